/// Inventories as CSV (RFC 4180): a header row, and one server a row; columns in any order.
#pragma once

#include <string>
#include <vector>

#include "config/upstream_server.hpp"

namespace cressledge::config {

/// `path` names the file in errors. Throws ConfigError, and InventoryError for bad rows.
std::vector<Upstream> parse_csv_inventory(const std::string& path, const std::string& text);

}  // namespace cressledge::config
