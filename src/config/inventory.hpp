/// Loads the inventory of upstream servers from CSV with a header row, or from YAML in the form of configuration
/// management tools.
///
/// Invariant: an inventory with any bad row is rejected; names and addresses of its servers are unique.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "config/config_error.hpp"
#include "config/inventory_diff.hpp"
#include "config/upstream_server.hpp"

namespace cressledge::config {

/// An inventory with bad rows. The message is that of the first one.
class InventoryError final : public ConfigError {
public:
    /// `errors_by_row` has one error for each bad row, in the order of the file; it is not empty.
    explicit InventoryError(std::vector<ConfigError> errors_by_row)
        : ConfigError(errors_by_row.front()),
          errors(std::move(errors_by_row)),
          row_errors(messages_of(errors)) {}

    /// The errors of the bad rows, at most the first 100.
    const std::vector<ConfigError> errors;
    /// The messages of `errors`, with file, line and field.
    const std::vector<std::string> row_errors;

private:
    static std::vector<std::string> messages_of(const std::vector<ConfigError>& errors);
};

/// Loads the inventory. Throws InventoryError for bad rows, and ConfigError if the file cannot be read or parsed.
std::vector<Upstream> load_inventory(const std::string& path);

/// Returns whether the file is YAML with the key `all` at its root. Throws ConfigError if it cannot be read.
bool is_inventory_file(const std::string& path);

}  // namespace cressledge::config
