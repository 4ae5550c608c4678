// Per-source state in a fixed amount of memory. A source with an open connection keeps its entry; the entry
// of any other source may be reused for a new one.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "connection_admission/rejection_reason.hpp"
#include "connection_admission/settings.hpp"
#include "connection_admission/token_bucket.hpp"

namespace cressledge::connection_admission {

/// A source: a network prefix or single address from which clients connect.
struct Source {
    /// Masked to the first `prefix_length` bits.
    IpAddress base_address;
    unsigned prefix_length = 128;
    /// Whether this entry holds a source.
    bool in_use = false;
    std::uint32_t open_connections = 0;
    std::uint32_t in_flight_requests = 0;
    /// Rejected connections that are still read so that their request can be answered with Retry-After.
    std::uint32_t rejection_slots = 0;
    TokenBucket bucket;
    Timestamp last_seen{0};
    /// No rejection of this source is logged before this time.
    Timestamp next_log_at{0};
    /// Indexed by RejectionReason. Each count saturates at its maximum.
    std::array<std::uint32_t, rejection_reason_count> rejections{};
    /// Connections of this source that were evicted.
    std::uint32_t evicted_connections = 0;

    /// Rejections over all reasons.
    std::uint64_t total_rejections() const;
};

/// A set-associative cache of sources. Its memory is allocated once, by the constructor.
///
/// Invariant: a source with an open connection or a rejection slot is never evicted from the table.
class SourceTable {
public:
    /// An index into entries(); valid while a connection of the source is open.
    using SourceIndex = std::uint32_t;

    /// `capacity` is rounded up to a power of two. `seed` is the hash seed; keep it secret so that clients
    /// cannot choose addresses that collide.
    SourceTable(std::size_t capacity, std::uint64_t seed);

    /// Finds or inserts a source. Inserting may evict a source without open connections from its set. If
    /// every source of the set has open connections, returns the index of the shared entry.
    SourceIndex find_or_insert(Timestamp now, const IpAddress& base_address, unsigned prefix_length,
                               const SourceLimits& limits);

    /// `source_index` must be a result of find_or_insert().
    Source& at(SourceIndex source_index) { return entries_[source_index]; }
    const Source& at(SourceIndex source_index) const { return entries_[source_index]; }

    /// Number of entries, without the shared entry.
    std::size_t capacity() const { return entries_.size() - 1; }
    /// Number of entries in use.
    std::size_t size() const { return size_; }
    /// Memory of the entries, in bytes.
    std::size_t memory_bytes() const { return entries_.size() * sizeof(Source); }

    /// Rejections of the sources that have been evicted from the table.
    const RejectionCounts& evicted_rejections() const { return evicted_rejections_; }

    /// All entries, in use or not. The last is the shared entry.
    const std::vector<Source>& entries() const { return entries_; }

private:
    /// Searches the set that starts at index `first`. Returns the index of the entry of this source, or else
    /// of the entry to replace, or capacity() if none can be replaced. Refills the token buckets that it
    /// compares.
    std::size_t find_entry(Timestamp now, std::size_t first, const IpAddress& base_address,
                           unsigned prefix_length, const SourceLimits& limits);
    /// Replaces the source in `entry`, if any, by a new one.
    void replace(Source& entry, Timestamp now, const IpAddress& base_address, unsigned prefix_length,
                 const SourceLimits& limits);

    /// Entries in one set.
    static constexpr std::size_t associativity = 8;

    /// The sets, followed by the entry shared by the sources whose set had no replaceable entry.
    std::vector<Source> entries_;
    const std::uint64_t seed_;
    std::size_t size_ = 0;
    RejectionCounts evicted_rejections_{};
};

}  // namespace cressledge::connection_admission
