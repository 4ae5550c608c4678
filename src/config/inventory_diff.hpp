/// Compares two inventories.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "config/upstream_server.hpp"

namespace cressledge::config {

/// Names of the servers that differ between two inventories.
struct InventoryDiff {
    std::vector<std::string> added, removed, changed;

    /// Returns whether both inventories have the same servers with the same fields.
    bool is_empty() const { return added.empty() && removed.empty() && changed.empty(); }
    /// Returns one line of text with at most `max_names` added, removed and changed names each.
    std::string summary(std::size_t max_names) const;
};

/// Matches servers by name. A server is changed if any of its fields differs.
InventoryDiff diff_inventories(const std::vector<Upstream>& before, const std::vector<Upstream>& after);

/// Returns whether more than `max_removed_fraction` of the servers has been removed.
bool exceeds_removal_limit(const InventoryDiff& difference, std::size_t servers_before,
                           double max_removed_fraction);

}  // namespace cressledge::config
