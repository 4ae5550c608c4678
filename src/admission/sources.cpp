#include "admission/sources.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <tuple>

#include "admission/hash.hpp"

namespace cressledge::admission {

const char* word(Reason reason) {
    static constexpr const char* words[reasons] = {"rate", "open", "share", "full", "in_hand", "requests"};
    return words[static_cast<std::size_t>(reason)];
}

void Bucket::fill(Time now, const Caps& caps) {
    // Guards against a clock that is set back: without this nothing would be refilled until it has caught up.
    const Span passed = std::max(Span(0), now - last_);
    last_ = now;
    tokens_ = std::min(caps.burst, tokens_ + static_cast<double>(passed.count()) * 1e-6 * caps.per_second);
}

bool Bucket::take(Time now, const Caps& caps, Span& wait) {
    if (caps.per_second <= 0.0) return true;
    fill(now, caps);
    if (tokens_ >= 1.0) {
        tokens_ -= 1.0;
        return true;
    }
    wait = Span(std::llround((1.0 - tokens_) / caps.per_second * 1e6));
    return false;
}

std::uint64_t Source::refusals() const {
    return std::accumulate(refused.begin(), refused.end(), std::uint64_t{0});
}

Sources::Sources(std::size_t room, std::uint64_t seed)
    : all_(std::bit_ceil(std::max(room, ways)) + 1), seed_(seed) {}

Sources::No Sources::touch(Time now, const Ip& base, unsigned bits, const Caps& caps) {
    const std::size_t sets = room() / ways;
    const std::size_t first = (hash(base, seed_ + bits) & (sets - 1)) * ways;
    std::size_t least = room();
    // Whom to forget: who has nothing open and a full bucket, few refusals, and was not seen for longest.
    std::tuple<bool, std::uint64_t, Time> least_rank;
    for (std::size_t i = first; i < first + ways; ++i) {
        Source& s = all_[i];
        if (s.used && s.base == base && s.bits == bits) {
            s.seen = now;
            return static_cast<No>(i);
        }
        if (least != room() && !all_[least].used) continue;  // there is a free place
        if (s.open != 0 || s.lobby != 0) continue;
        if (s.used && caps.per_second > 0.0) s.bucket.fill(now, caps);
        const std::tuple rank{s.bucket.tokens() < caps.burst, s.refusals(), s.seen};
        if (!s.used || least == room() || rank < least_rank) least = i, least_rank = rank;
    }
    Source& s = all_[least];
    if (least == room() && s.used) {
        s.seen = now;
        return static_cast<No>(least);
    }
    double tokens = caps.burst;
    if (s.used) {
        // Guards the rate against addresses that rotate: who takes a place over takes its bucket over too.
        tokens = std::min(tokens, s.bucket.tokens());
        for (std::size_t r = 0; r < reasons; ++r) evicted_refusals_[r] += s.refused[r];
    } else {
        ++known_;
    }
    s = Source{};
    s.used = true;
    s.base = base;
    s.bits = bits;
    s.seen = now;
    s.bucket.start(now, tokens);
    return static_cast<No>(least);
}

}  // namespace cressledge::admission
