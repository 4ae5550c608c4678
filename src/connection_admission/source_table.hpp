// What is known of each source, in fixed memory: exact for every source with something open, and for the others
// until their place is needed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "connection_admission/settings.hpp"

namespace cressledge::connection_admission {

// Why somebody was turned away. The first four meet a new connection, the last two a request.
enum class RejectionReason : std::uint8_t {
    connection_rate,
    source_connections,
    source_share,
    total_connections,
    source_requests,
    total_requests
};
constexpr std::size_t rejection_reason_count = 6;
const char* to_string(RejectionReason reason);

using RejectionCounts = std::array<std::uint64_t, rejection_reason_count>;

class TokenBucket {  // new connections: so many a second, and so many at once
public:
    // Takes one, if there is one. `wait`: how long until there is.
    bool try_acquire(Timestamp now, const SourceLimits& limits, Duration& wait);
    void refill(Timestamp now, const SourceLimits& limits);
    void reset(Timestamp now, double tokens) { last_refill_ = now, tokens_ = tokens; }
    double tokens() const { return tokens_; }

private:
    double tokens_ = 0.0;
    Timestamp last_refill_{0};
};

struct Source {
    IpAddress base_address;  // masked to its prefix
    unsigned prefix_length = 128;
    bool in_use = false;
    std::uint32_t open_connections = 0, in_flight_requests = 0,
                  rejection_slots = 0;  // connections, requests, and refused ones still read
    TokenBucket bucket;
    Timestamp last_seen{0}, next_log_at{0};
    std::array<std::uint32_t, rejection_reason_count> rejections{};
    std::uint32_t evicted_connections = 0;  // its connections closed to make room
    std::uint64_t total_rejections() const;
};

class SourceTable {
public:
    using SourceIndex = std::uint32_t;  // good for as long as something of the source is open
    // `room` is rounded up to a power of two; the memory is taken here and never grows.
    SourceTable(std::size_t capacity, std::uint64_t seed);

    // The source's entry; made if it is not known, which may evict one with nothing open. If its whole set has
    // something open, the entry that such sources share.
    SourceIndex find_or_insert(Timestamp now, const IpAddress& base_address, unsigned prefix_length,
                               const SourceLimits& limits);
    Source& at(SourceIndex source_index) { return entries_[source_index]; }
    const Source& at(SourceIndex source_index) const { return entries_[source_index]; }
    std::size_t capacity() const { return entries_.size() - 1; }
    std::size_t size() const { return size_; }
    std::size_t memory_bytes() const { return entries_.size() * sizeof(Source); }
    const RejectionCounts& evicted_rejections() const {
        return evicted_rejections_;
    }  // of sources that are not known any more
    const std::vector<Source>& entries() const { return entries_; }

private:
    static constexpr std::size_t associativity = 8;
    std::vector<Source> entries_;  // sets of `ways`; the last entry is shared by those that found no place
    const std::uint64_t seed_;
    std::size_t size_ = 0;
    RejectionCounts evicted_rejections_{};
};

}  // namespace cressledge::connection_admission
