// What is known of each source, in fixed memory. Exact for every source with an open connection; the entry of
// any other source lasts until its entry is needed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "connection_admission/rejection_reason.hpp"
#include "connection_admission/settings.hpp"
#include "connection_admission/token_bucket.hpp"

namespace cressledge::connection_admission {

/// One source: a network prefix, or a single address, from which clients connect.
struct Source {
    /// Masked to `prefix_length`.
    IpAddress base_address;
    unsigned prefix_length = 128;
    /// Whether this entry of the table holds a source.
    bool in_use = false;
    std::uint32_t open_connections = 0;
    std::uint32_t in_flight_requests = 0;
    /// Rejected connections that are still read, for a response with Retry-After.
    std::uint32_t rejection_slots = 0;
    TokenBucket bucket;
    Timestamp last_seen{0};
    /// No line about this source is logged before this time.
    Timestamp next_log_at{0};
    /// By RejectionReason. Each saturates at the largest value.
    std::array<std::uint32_t, rejection_reason_count> rejections{};
    /// Connections of this source that were closed to make room for others.
    std::uint32_t evicted_connections = 0;

    /// Rejections for any reason.
    std::uint64_t total_rejections() const;
};

/// A set-associative cache of sources whose memory is allocated once.
///
/// Invariant: a source with an open connection or a rejection slot is never evicted from the table.
class SourceTable {
public:
    /// An index into entries(); valid as long as a connection of its source is open.
    using SourceIndex = std::uint32_t;

    /// `capacity` is rounded up to a power of two. `seed` keeps clients from choosing addresses that collide.
    SourceTable(std::size_t capacity, std::uint64_t seed);

    /// Finds the source or inserts it, which may evict one without open connections. If every source of its
    /// set has connections open, the result is the one entry that all such sources share.
    SourceIndex find_or_insert(Timestamp now, const IpAddress& base_address, unsigned prefix_length,
                               const SourceLimits& limits);

    /// `source_index` must come from find_or_insert().
    Source& at(SourceIndex source_index) { return entries_[source_index]; }
    const Source& at(SourceIndex source_index) const { return entries_[source_index]; }

    /// Entries without the shared one.
    std::size_t capacity() const { return entries_.size() - 1; }
    /// Entries in use.
    std::size_t size() const { return size_; }
    /// Memory of the entries, in bytes.
    std::size_t memory_bytes() const { return entries_.size() * sizeof(Source); }

    /// Rejections of sources whose entries have been evicted.
    const RejectionCounts& evicted_rejections() const { return evicted_rejections_; }

    /// All entries, whether in use or not; the last one is the shared entry.
    const std::vector<Source>& entries() const { return entries_; }

private:
    /// Returns the index of the entry of this source in the set that starts at `first`, or of the one that it
    /// may take, or `capacity()` if there is none. Refills the buckets that it compares.
    std::size_t find_entry(Timestamp now, std::size_t first, const IpAddress& base_address,
                           unsigned prefix_length, const SourceLimits& limits);
    void replace(Source& entry, Timestamp now, const IpAddress& base_address, unsigned prefix_length,
                 const SourceLimits& limits);

    /// Entries in one set.
    static constexpr std::size_t associativity = 8;

    /// The sets, then the entry shared by sources that found none free.
    std::vector<Source> entries_;
    const std::uint64_t seed_;
    std::size_t size_ = 0;
    RejectionCounts evicted_rejections_{};
};

}  // namespace cressledge::connection_admission
