/// Validates and collects the servers of one inventory and the errors in its rows, for every file format.
///
/// Owns the servers until finish(). Invariant: names and addresses of the servers are unique.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/config_error.hpp"
#include "config/inventory.hpp"

namespace cressledge::config {

/// Values of a server's fields by the field's name in the file.
using InventoryFields = std::map<std::string, std::string>;

/// Builds the inventory of one file.
class InventoryBuilder {
public:
    /// `path` names the file in error messages.
    explicit InventoryBuilder(std::string path) : path_(std::move(path)) {}

    /// Throws a ConfigError for this line and field.
    [[noreturn]] void fail(std::size_t line, const std::string& field, const std::string& reason,
                           std::string value = {}) const;
    /// Runs `add_row` and stores the ConfigError that it throws, so that all bad rows of a file are reported at once.
    template <class AddRow>
    void try_row(AddRow add_row) {
        try {
            add_row();
        } catch (const ConfigError& error) {
            if (errors_.size() < max_errors)
                errors_.push_back(error);
        }
    }
    /// Returns whether any row was bad.
    bool has_errors() const { return !errors_.empty(); }

    /// Adds a server with the fields of its row. Name, address, protocol and group are taken from `upstream`, the
    /// optional fields from `fields`. Throws ConfigError.
    void add(Upstream upstream, const InventoryFields& fields, std::size_t line);
    /// Returns the servers. Throws InventoryError if any row was bad.
    std::vector<Upstream> finish();

private:
    static constexpr std::size_t max_errors = 100;

    void read_optional_fields(const InventoryFields& fields, std::size_t line, Upstream& upstream) const;
    double read_weight(const InventoryFields& fields, std::size_t line, double default_value) const;
    void check(const Upstream& upstream, std::size_t line) const;

    const std::string path_;
    std::vector<Upstream> upstreams_;
    std::vector<ConfigError> errors_;
    std::set<std::string> names_, addresses_;
};

}  // namespace cressledge::config
