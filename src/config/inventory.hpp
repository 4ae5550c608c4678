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
    std::string place, model;  // its data centre and machine model
    double weight = 1.0;
    bool drains = false;  // its state says so: nothing new goes there
    std::vector<std::string> tags;
    bool operator==(const Upstream&) const = default;
    bool in(const std::string& wanted) const {
        return wanted == group || std::find(above.begin(), above.end(), wanted) != above.end();
    }
};

// A file is taken whole or not at all. Throws Refused, which names file, line and field of each bad row.
std::vector<Upstream> load_inventory(const std::string& path);
struct Refused final : Invalid {
    explicit Refused(std::vector<std::string> all) : Invalid(all.front()), rows(std::move(all)) {}
    std::vector<std::string> rows;  // the first is what()
};
// What has come, gone and changed, by name; and whether more than a share of the servers has gone.
struct InventoryDiff {
    std::vector<std::string> added, removed, changed;
    bool empty() const { return added.empty() && removed.empty() && changed.empty(); }
    std::string text(std::size_t names) const;  // so many names of each kind
};
InventoryDiff diff(const std::vector<Upstream>& before, const std::vector<Upstream>& after);
bool too_many_gone(const InventoryDiff& d, std::size_t before, double most);
bool is_inventory(const std::string& path);  // a YAML file with `all` at its root

}  // namespace cressledge::config
