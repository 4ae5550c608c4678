// The operator's servers: from CSV with a header row, or from YAML as configuration tools keep it.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace cressledge::config {

struct Upstream {
    std::string name, address, protocol, group;  // protocol: http or scgi
    std::vector<std::string> parent_groups;  // the groups that its group stands in
    std::string data_centre, machine_model;  // its data centre and machine model
    double weight = 1.0;
    bool is_drained = false;  // its state says so: nothing new goes there
    std::vector<std::string> tags;
    bool operator==(const Upstream&) const = default;
    bool belongs_to(const std::string& group_name) const {
        return group_name == group ||
               std::find(parent_groups.begin(), parent_groups.end(), group_name) != parent_groups.end();
    }
};

// A file is taken whole or not at all. Throws Refused, which names file, line and field of each bad row.
std::vector<Upstream> load_inventory(const std::string& path);
struct InventoryError final : ConfigError {
    explicit InventoryError(std::vector<std::string> errors)
        : ConfigError(errors.front()), row_errors(std::move(errors)) {}
    std::vector<std::string> row_errors;  // the first is what()
};
// What has come, gone and changed, by name; and whether more than a share of the servers has gone.
struct InventoryDiff {
    std::vector<std::string> added, removed, changed;
    bool is_empty() const { return added.empty() && removed.empty() && changed.empty(); }
    std::string summary(std::size_t max_names) const;  // so many names of each kind
};
InventoryDiff diff_inventories(const std::vector<Upstream>& before, const std::vector<Upstream>& after);
bool exceeds_removal_limit(const InventoryDiff& difference, std::size_t servers_before,
                           double max_removed_fraction);
bool is_inventory_file(const std::string& path);  // a YAML file with `all` at its root

}  // namespace cressledge::config
