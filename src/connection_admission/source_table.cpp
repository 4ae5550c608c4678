#include "connection_admission/source_table.hpp"

#include <algorithm>
#include <bit>
#include <numeric>
#include <tuple>

#include "connection_admission/address_hash.hpp"

namespace cressledge::connection_admission {
namespace {

/// The entry with the lowest rank is replaced first: entries with a full token bucket before others, then
/// those with fewer rejections, then the least recently seen.
using EvictionRank = std::tuple<bool, std::uint64_t, Timestamp>;

EvictionRank rank_of(const Source& source, const SourceLimits& limits) {
    const bool is_bucket_below_capacity = source.bucket.tokens() < limits.connection_burst;
    return {is_bucket_below_capacity, source.total_rejections(), source.last_seen};
}

bool is_entry_of(const Source& entry, const IpAddress& base_address, unsigned prefix_length) {
    return entry.in_use && entry.base_address == base_address && entry.prefix_length == prefix_length;
}

}  // namespace

std::uint64_t Source::total_rejections() const {
    return std::accumulate(rejections.begin(), rejections.end(), std::uint64_t{0});
}

SourceTable::SourceTable(std::size_t capacity, std::uint64_t seed)
    : entries_(std::bit_ceil(std::max(capacity, associativity)) + 1), seed_(seed) {}

SourceTable::SourceIndex SourceTable::find_or_insert(Timestamp now, const IpAddress& base_address,
                                                     unsigned prefix_length, const SourceLimits& limits) {
    const std::size_t set_count = capacity() / associativity;
    const std::size_t set = hash_address(base_address, seed_ + prefix_length) & (set_count - 1);
    const std::size_t index = find_entry(now, set * associativity, base_address, prefix_length, limits);
    Source& source = entries_[index];
    const bool is_shared_entry_in_use = index == capacity() && source.in_use;
    if (is_entry_of(source, base_address, prefix_length) || is_shared_entry_in_use)
        source.last_seen = now;
    else
        replace(source, now, base_address, prefix_length, limits);
    return static_cast<SourceIndex>(index);
}

std::size_t SourceTable::find_entry(Timestamp now, std::size_t first, const IpAddress& base_address,
                                    unsigned prefix_length, const SourceLimits& limits) {
    std::size_t victim = capacity();
    EvictionRank victim_rank;
    for (std::size_t i = first; i < first + associativity; ++i) {
        Source& candidate = entries_[i];
        if (is_entry_of(candidate, base_address, prefix_length))
            return i;
        const bool found_unused_entry = victim != capacity() && !entries_[victim].in_use;
        if (found_unused_entry || candidate.open_connections != 0 || candidate.rejection_slots != 0)
            continue;
        if (candidate.in_use && limits.connections_per_second > 0.0)
            candidate.bucket.refill(now, limits);
        const EvictionRank rank = rank_of(candidate, limits);
        if (!candidate.in_use || victim == capacity() || rank < victim_rank) {
            victim = i;
            victim_rank = rank;
        }
    }
    return victim;
}

void SourceTable::replace(Source& entry, Timestamp now, const IpAddress& base_address, unsigned prefix_length,
                          const SourceLimits& limits) {
    double tokens = limits.connection_burst;
    if (entry.in_use) {
        // The new source inherits the tokens of the evicted one, so that rotating addresses cannot evade the
        // rate.
        tokens = std::min(tokens, entry.bucket.tokens());
        for (std::size_t reason = 0; reason < rejection_reason_count; ++reason)
            evicted_rejections_[reason] += entry.rejections[reason];
    } else {
        ++size_;
    }
    entry = Source{};
    entry.in_use = true;
    entry.base_address = base_address;
    entry.prefix_length = prefix_length;
    entry.last_seen = now;
    entry.bucket.reset(now, tokens);
}

}  // namespace cressledge::connection_admission
