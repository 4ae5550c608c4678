/// The operator's servers: from CSV with a header row, or from YAML as configuration tools keep it.
///
/// Invariant: an inventory is taken whole or not at all; names and addresses in it are unique.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "config/config_error.hpp"
#include "config/inventory_diff.hpp"
#include "config/upstream_server.hpp"

namespace cressledge::config {

/// An inventory with bad rows. The text is that of the first one.
class InventoryError final : public ConfigError {
public:
    /// `all`: the error of each bad row, in the order of the file; not empty.
    explicit InventoryError(std::vector<ConfigError> all)
        : ConfigError(all.front()), errors(std::move(all)), row_errors(texts_of(errors)) {}

    /// What is wrong with each bad row, up to a bound.
    const std::vector<ConfigError> errors;
    /// Their texts, with file, line and field.
    const std::vector<std::string> row_errors;

private:
    static std::vector<std::string> texts_of(const std::vector<ConfigError>& errors);
};

/// Throws InventoryError, and ConfigError where the file as a whole cannot be read.
std::vector<Upstream> load_inventory(const std::string& path);

/// Whether the file is YAML with `all` at its root. Throws ConfigError when it cannot be read.
bool is_inventory_file(const std::string& path);

}  // namespace cressledge::config
