// The entries of a store and changes to them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace cressledge::store {

/// Values by key.
using Entries = std::map<std::string, std::string>;

/// New values by key; std::nullopt erases the key.
using Changes = std::map<std::string, std::optional<std::string>>;

/// The maximum size of all entries, and of the changes in one record, before compression.
constexpr std::size_t max_uncompressed_bytes = 4U << 20U;
constexpr std::size_t max_key_bytes = 4096;

/// Applies the changes to the entries.
inline void apply_changes(const Changes& changes, Entries& entries) {
    for (const auto& [key, value] : changes) {
        if (value)
            entries[key] = *value;
        else
            entries.erase(key);
    }
}

}  // namespace cressledge::store
