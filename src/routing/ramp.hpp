// The slow-start ramp of a cold server, held by the fleet and not by each process alone: a server falls under the sum of
// what all processes send. Each process gives itself its share of the calls that the server is allowed since it was
// announced. No I/O; time, randomness and what is known of the fleet are arguments.
//
// Invariants, over any span of `window` in which N calls are allowed, of P processes that know of each other:
// - the sum of what they send is at most N, one for the rounding, and a tenth of a window's that nobody had asked for in time
// - who is lost sight of is counted for as long as a ramp lasts: he may be cut off and go on sending
// - a process that knows of nobody else counts `peers`, and draws its part of the rounding by itself
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/membership.hpp"

namespace cressledge::routing {

struct RampRules {
    double calls_per_s = 0.0;  // that a warm server of weight 1 is allowed, from all processes together; 0: no bound
    double from = 0.2;  // of it, at the announcement
    core::Span warm_for{10'000'000};  // then it is allowed all of it
    core::Span window{2'000'000};  // over which a server feels the sum
    double peers = 32.0;  // processes that send, where this one knows of no other
};

class Ramp {
public:
    explicit Ramp(RampRules rules = {}) : rules_(rules) {}
    void retune(RampRules rules) { rules_ = rules; }
    bool on() const { return rules_.calls_per_s > 0.0; }

    // The live processes by name, this one among them as `self`.
    void sharers(core::Time now, const std::vector<std::string>& names, const std::string& self);
    // A server's ramp begins, or has begun before this process knew of it.
    void begin(membership::No no, const membership::Spec& spec, core::Time announced, membership::Random& random);
    void end(membership::No no);
    bool runs(membership::No no, core::Time announced) const;
    bool may(core::Time now, membership::No no) const;  // a call more
    void took(core::Time now, membership::No no);
    // By all processes, to a server of weight 1: N.
    double allowed(core::Time announced, core::Time from, core::Time to) const;
    double count() const { return ranked() ? static_cast<double>(seen_.size()) : std::max(rules_.peers, 1.0); }

private:
    struct State {
        bool on = false;
        core::Time announced{0}, at{0};
        double weight = 1.0;
        double due = 0.0;  // this process's share up to `at`, with its part of the rounding
        double used = 0.0;
    };
    bool ranked() const { return seen_.size() > 1; }
    State current(core::Time now, const State& s) const;
    double share(const State& s, core::Time from, core::Time to) const;

    RampRules rules_;
    std::map<std::string, core::Time> seen_;  // of each sharer, when it was last known to live
    std::size_t rank_ = 0;  // of this one among them, in an order that all agree on
    std::vector<State> servers_;
};

}  // namespace cressledge::routing
