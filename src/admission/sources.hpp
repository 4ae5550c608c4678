// What is known of each source, in fixed memory: exact for every source with something open, and for the others
// until their place is needed.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "admission/settings.hpp"

namespace cressledge::admission {

// Why somebody was turned away. The first four meet a new connection, the last two a request.
enum class Reason : std::uint8_t { rate, open, share, full, in_hand, requests };
constexpr std::size_t reasons = 6;
const char* word(Reason reason);

using Tally = std::array<std::uint64_t, reasons>;

class Bucket {  // new connections: so many a second, and so many at once
public:
    // Takes one, if there is one. `wait`: how long until there is.
    bool take(Time now, const Caps& caps, Span& wait);
    void fill(Time now, const Caps& caps);
    void start(Time now, double tokens) { last_ = now, tokens_ = tokens; }
    double tokens() const { return tokens_; }

private:
    double tokens_ = 0.0;
    Time last_{0};
};

struct Source {
    Ip base;  // masked to its prefix
    unsigned bits = 128;
    bool used = false;
    std::uint32_t open = 0, in_hand = 0, lobby = 0;  // connections, requests, and refused ones still read
    Bucket bucket;
    Time seen{0}, next_line{0};
    std::array<std::uint32_t, reasons> refused{};
    std::uint32_t let_go = 0;  // its connections closed to make room
    std::uint64_t refusals() const;
};

class Sources {
public:
    using No = std::uint32_t;  // good for as long as something of the source is open
    // `room` is rounded up to a power of two; the memory is taken here and never grows.
    Sources(std::size_t room, std::uint64_t seed);

    // The source's entry; made if it is not known, which may evict one with nothing open. If its whole set has
    // something open, the entry that such sources share.
    No touch(Time now, const Ip& base, unsigned bits, const Caps& caps);
    Source& at(No no) { return all_[no]; }
    const Source& at(No no) const { return all_[no]; }
    std::size_t room() const { return all_.size() - 1; }
    std::size_t known() const { return known_; }
    std::size_t bytes() const { return all_.size() * sizeof(Source); }
    const Tally& evicted_refusals() const { return evicted_refusals_; }  // of sources that are not known any more
    const std::vector<Source>& all() const { return all_; }

private:
    static constexpr std::size_t ways = 8;
    std::vector<Source> all_;  // sets of `ways`; the last entry is shared by those that found no place
    const std::uint64_t seed_;
    std::size_t known_ = 0;
    Tally evicted_refusals_{};
};

}  // namespace cressledge::admission
