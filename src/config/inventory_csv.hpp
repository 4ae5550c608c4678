/// Parses inventories in CSV (RFC 4180): a header row, then one server per row. Columns may be in any order.
#pragma once

#include <string>
#include <vector>

#include "config/upstream_server.hpp"

namespace cressledge::config {

/// Parses an inventory. `path` names the file in errors. Throws InventoryError for bad rows, and ConfigError for invalid
/// CSV.
std::vector<Upstream> parse_csv_inventory(const std::string& path, const std::string& text);

}  // namespace cressledge::config
