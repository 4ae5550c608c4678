// The operator's servers: from CSV with a header row, or from YAML as configuration tools keep it.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace cressledge::config {

struct Upstream {
    std::string name, address, protocol, group;  // protocol: http or scgi
    std::vector<std::string> above;  // the groups that its group stands in
    bool in(const std::string& wanted) const {
        return wanted == group || std::find(above.begin(), above.end(), wanted) != above.end();
    }
};

// Throws Invalid with file, line and field.
std::vector<Upstream> load_inventory(const std::string& path);
bool is_inventory(const std::string& path);  // a YAML file with `all` at its root

}  // namespace cressledge::config
