// The sources of all clients. Listed and unlisted sources have separate tables, so that unlisted sources
// cannot evict listed ones, regardless of the number of addresses they use.
#pragma once

#include <cstddef>
#include <cstdint>

#include "connection_admission/source_table.hpp"

namespace cressledge::connection_admission {

/// Group index of the clients that no network lists.
constexpr std::uint32_t unlisted_group = 0;

/// Refers to a source and to the group whose limits apply to it.
struct SourceRef {
    std::uint32_t group_index = unlisted_group;
    SourceTable::SourceIndex source_index = 0;
    bool operator==(const SourceRef&) const = default;
};

/// Owns the tables of unlisted and listed sources.
class SourceRegistry {
public:
    /// `unlisted_capacity` is rounded up to a power of two; the table of listed sources has a quarter of
    /// that.
    SourceRegistry(std::size_t unlisted_capacity, std::uint64_t seed);

    /// The source that a reference refers to; SourceTable::SourceIndex documents how long it is valid.
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

    /// The tables of the sources that no client group lists and of those that one lists.
    const SourceTable& unlisted() const { return unlisted_; }
    const SourceTable& listed() const { return listed_; }

    /// Number of sources in both tables.
    std::size_t size() const { return unlisted_.size() + listed_.size(); }
    /// Memory of both tables, in bytes.
    std::size_t memory_bytes() const { return unlisted_.memory_bytes() + listed_.memory_bytes(); }
    /// Rejections of the sources that have been evicted from either table.
    RejectionCounts evicted_rejections() const;

private:
    SourceTable unlisted_;
    SourceTable listed_;
};

}  // namespace cressledge::connection_admission
