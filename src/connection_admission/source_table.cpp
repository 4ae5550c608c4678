#include "connection_admission/source_table.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <tuple>

#include "connection_admission/address_hash.hpp"

namespace cressledge::connection_admission {

const char* to_string(RejectionReason reason) {
    static constexpr const char* words[rejection_reason_count] = {"rate", "open",    "share",
                                                                  "full", "in_hand", "requests"};
    return words[static_cast<std::size_t>(reason)];
}

void TokenBucket::refill(Timestamp now, const SourceLimits& limits) {
    // Guards against a clock that is set back: without this nothing would be refilled until it has caught up.
    const Duration elapsed = std::max(Duration(0), now - last_refill_);
    last_refill_ = now;
    tokens_ = std::min(limits.connection_burst,
                       tokens_ + static_cast<double>(elapsed.count()) * 1e-6 * limits.connections_per_second);
}

bool TokenBucket::try_acquire(Timestamp now, const SourceLimits& limits, Duration& wait) {
    if (limits.connections_per_second <= 0.0)
        return true;
    refill(now, limits);
    if (tokens_ >= 1.0) {
        tokens_ -= 1.0;
        return true;
    }
    wait = Duration(std::llround((1.0 - tokens_) / limits.connections_per_second * 1e6));
    return false;
}

std::uint64_t Source::total_rejections() const {
    return std::accumulate(rejections.begin(), rejections.end(), std::uint64_t{0});
}

SourceTable::SourceTable(std::size_t capacity, std::uint64_t seed)
    : entries_(std::bit_ceil(std::max(capacity, associativity)) + 1), seed_(seed) {}

SourceTable::SourceIndex SourceTable::find_or_insert(Timestamp now, const IpAddress& base_address,
                                                     unsigned prefix_length, const SourceLimits& limits) {
    const std::size_t sets = capacity() / associativity;
    const std::size_t first =
        (hash_address(base_address, seed_ + prefix_length) & (sets - 1)) * associativity;
    std::size_t victim = capacity();
    // Whom to forget: who has nothing open and a full bucket, few refusals, and was not seen for longest.
    std::tuple<bool, std::uint64_t, Timestamp> victim_rank;
    for (std::size_t i = first; i < first + associativity; ++i) {
        Source& s = entries_[i];
        if (s.in_use && s.base_address == base_address && s.prefix_length == prefix_length) {
            s.last_seen = now;
            return static_cast<SourceIndex>(i);
        }
        if (victim != capacity() && !entries_[victim].in_use)
            continue;  // there is a free place
        if (s.open_connections != 0 || s.rejection_slots != 0)
            continue;
        if (s.in_use && limits.connections_per_second > 0.0)
            s.bucket.refill(now, limits);
        const std::tuple rank{s.bucket.tokens() < limits.connection_burst, s.total_rejections(), s.last_seen};
        if (!s.in_use || victim == capacity() || rank < victim_rank)
            victim = i, victim_rank = rank;
    }
    Source& s = entries_[victim];
    if (victim == capacity() && s.in_use) {
        s.last_seen = now;
        return static_cast<SourceIndex>(victim);
    }
    double tokens = limits.connection_burst;
    if (s.in_use) {
        // Guards the rate against addresses that rotate: who takes a place over takes its bucket over too.
        tokens = std::min(tokens, s.bucket.tokens());
        for (std::size_t r = 0; r < rejection_reason_count; ++r)
            evicted_rejections_[r] += s.rejections[r];
    } else {
        ++size_;
    }
    s = Source{};
    s.in_use = true;
    s.base_address = base_address;
    s.prefix_length = prefix_length;
    s.last_seen = now;
    s.bucket.reset(now, tokens);
    return static_cast<SourceIndex>(victim);
}

}  // namespace cressledge::connection_admission
