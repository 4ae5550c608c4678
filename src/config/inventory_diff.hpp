/// What differs between two inventories. Owns nothing.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "config/upstream_server.hpp"

namespace cressledge::config {

/// Names of the servers that differ, by how.
struct InventoryDiff {
    std::vector<std::string> added, removed, changed;

    /// Whether the two inventories name the same servers with the same fields.
    bool is_empty() const { return added.empty() && removed.empty() && changed.empty(); }
    /// One line with at most `max_names` names of each kind.
    std::string summary(std::size_t max_names) const;
};

/// Compares by name; a server with any other field is changed.
InventoryDiff diff_inventories(const std::vector<Upstream>& before, const std::vector<Upstream>& after);

/// Whether more than a fraction of the servers has been removed.
bool exceeds_removal_limit(const InventoryDiff& difference, std::size_t servers_before,
                           double max_removed_fraction);

}  // namespace cressledge::config
