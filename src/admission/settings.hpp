// What the operator says about admission. All numbers of 0 mean "no such bound" unless said otherwise.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "admission/networks.hpp"
#include "core/deadlines.hpp"

namespace cressledge::admission {

using core::Span;
using core::Time;

struct Caps {  // of one source
    std::uint32_t open = 0;  // connections at a time
    std::uint32_t in_hand = 0;  // requests at a time
    double per_second = 0.0, burst = 1.0;  // new connections: a token bucket
};

struct Group {  // listed callers
    std::string name;
    Caps caps;  // of each source in it: a listed caller may run away as well
    std::uint32_t connections = 0, requests = 0;  // its reserve
};

struct Settings {
    std::uint32_t connections = 256;  // open at a time, over all fronts; at least 1
    std::uint32_t requests = 0;  // in hand at a time; 0: as many as connections
    std::uint32_t lobby = 0;  // refused connections that are still read, for an answer with advice
    Caps source;  // of a source that is not listed
    unsigned v4_bits = 32, v6_bits = 128;  // callers whose addresses begin alike are one source
    double share = 0.0;  // of the free room, for one source that is not listed; 0: no such rule
    std::uint32_t sources = 4096;  // remembered at a time; at least four times `connections` are
    Span hold_off{1'000'000};  // the longest advice to stay away
    std::vector<Group> groups;  // number n of Networks is groups[n - 1]
    Networks networks;
};

}  // namespace cressledge::admission
