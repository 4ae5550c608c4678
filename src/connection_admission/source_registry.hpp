// The sources of all client groups: listed and unlisted ones in separate tables, so that unlisted sources
// cannot evict listed ones however many addresses they use.
#pragma once

#include <cstddef>
#include <cstdint>

#include "connection_admission/source_table.hpp"

namespace cressledge::connection_admission {

/// The group of clients that no network lists.
constexpr std::uint32_t unlisted_group = 0;

/// A source and the group whose limits hold for it.
struct SourceRef {
    std::uint32_t group_index = unlisted_group;
    SourceTable::SourceIndex source_index = 0;
    bool operator==(const SourceRef&) const = default;
};

/// Owns the two tables of sources.
class SourceRegistry {
public:
    /// `unlisted_capacity` is rounded up to a power of two; a quarter of it is added for listed sources.
    SourceRegistry(std::size_t unlisted_capacity, std::uint64_t seed);

    /// The entry that a reference names; see SourceTable::SourceIndex for how long it is valid.
    Source& at(const SourceRef& source) { return table(source.group_index).at(source.source_index); }
    const Source& at(const SourceRef& source) const {
        return table(source.group_index).at(source.source_index);
    }

    /// The table that holds the sources of a group.
    SourceTable& table(std::uint32_t group_index) {
        return group_index == unlisted_group ? unlisted_ : listed_;
    }
    const SourceTable& table(std::uint32_t group_index) const {
        return group_index == unlisted_group ? unlisted_ : listed_;
    }

    /// Sources that no client group lists, and those that one does.
    const SourceTable& unlisted() const { return unlisted_; }
    const SourceTable& listed() const { return listed_; }

    /// Sources in both tables.
    std::size_t size() const { return unlisted_.size() + listed_.size(); }
    /// Memory of both tables, in bytes.
    std::size_t memory_bytes() const { return unlisted_.memory_bytes() + listed_.memory_bytes(); }
    /// Rejections of sources whose entries have been evicted from either table.
    RejectionCounts evicted_rejections() const;

private:
    SourceTable unlisted_;
    SourceTable listed_;
};

}  // namespace cressledge::connection_admission
