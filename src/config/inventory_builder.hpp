/// Collects the servers of one inventory and what is wrong with its rows, whatever the format of the file.
///
/// Owns the servers until finish(). Invariant: no two servers have one name or one address.
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

/// Fields of a server by their names in the file.
using InventoryFields = std::map<std::string, std::string>;

/// The inventory of one file while it is read.
class InventoryBuilder {
public:
    /// `path`: the file that is read, for the text of errors.
    explicit InventoryBuilder(std::string path) : path_(std::move(path)) {}

    /// Throws a ConfigError at a line of the file.
    [[noreturn]] void fail(std::size_t line, const std::string& field, const std::string& reason,
                           std::string value = {}) const;
    /// Runs `add_row` and keeps the error it throws, so that all bad rows of a file are told at once.
    template <class AddRow>
    void try_row(AddRow add_row) {
        try {
            add_row();
        } catch (const ConfigError& error) {
            if (errors_.size() < max_errors)
                errors_.push_back(error);
        }
    }
    /// Whether a row was bad.
    bool has_errors() const { return !errors_.empty(); }

    /// Adds a server with the fields of its row. `group` is not among them in YAML. Throws ConfigError.
    void add(Upstream upstream, const InventoryFields& fields, std::size_t line);
    /// The servers. Throws InventoryError where a row was bad.
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
