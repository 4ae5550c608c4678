// What a store holds and how it changes.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace cressledge::store {

/// Values by key.
using Entries = std::map<std::string, std::string>;

/// New values by key; no value: the key is erased.
using Changes = std::map<std::string, std::optional<std::string>>;

/// Bytes of all entries, and of the changes of one record, before compression.
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
