// A server as a queue with places for so many calls at once: what stands in for the servers of an inventory, in the
// emulator and on sockets alike. No I/O; time and randomness are arguments.
//
// A call that finds a place takes a service time drawn for it; others wait in order (M/G/k). A server may run slower,
// fail at once, and start cold: its speed then grows evenly from `cold_speed` over `cold_for`.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "load_balancing/load_probes.hpp"

namespace cressledge::fake_upstream {

using base::Duration;
using base::Timestamp;
using upstream_health::Random;

enum class Law {
    exponential,
    constant,
    lognormal
};  // of service times; lognormal: of a coefficient of variation of 1

struct Nature {
    unsigned slots = 8;  // calls at once, 1 or more
    double mean_s = 0.05;  // of a call's service at full speed
    Law law = Law::exponential;
    Duration cold_for{10'000'000};
    double cold_speed = 0.2;  // above 0
    // For its word on its load: calls that probes of the last moments may still bring (load_balancing::Expected). 0: none.
    Duration expects{500};
    unsigned probes = 5;
};

using CallNo = std::uint64_t;

class Queue {
public:
    explicit Queue(const Nature& nature) : nature_(nature), expected_(nature.expects, nature.probes) {}

    struct Begun {
        CallNo call = 0;
        Timestamp ends{0};
    };
    // A call has been read. None: it waits for a place.
    std::optional<Begun> arrive(Timestamp now, CallNo call, Random& random);
    // A call has ended, or nobody waits for it any more. The one that takes its place, if one does.
    std::optional<Begun> leave(Timestamp now, CallNo call, Random& random);
    bool failing() const { return fails_; }  // its answers are errors, given in a millisecond

    void slow(double factor) { slow_ = factor; }  // 1: as it was
    void fail(bool on) { fails_ = on; }
    // It begins anew, cold, with nothing in hand.
    void restart(Timestamp now);

    load_balancing::LoadReport load() const {
        return {static_cast<double>(in_flight()), static_cast<double>(nature_.slots), latency_};
    }
    load_balancing::LoadReport probed(Timestamp now);  // its word to a probe
    std::size_t in_flight() const { return served_.size() + waiting_.size(); }
    unsigned slots() const { return nature_.slots; }
    bool queues() const { return !waiting_.empty(); }

private:
    Begun serve(Timestamp now, CallNo call, Random& random);
    double speed(Timestamp now) const;

    Nature nature_;
    load_balancing::ExpectedCallEstimator expected_;
    std::unordered_map<CallNo, Timestamp> served_;  // and when each was read
    std::deque<std::pair<CallNo, Timestamp>> waiting_;
    double slow_ = 1.0, latency_ = 0.0;
    bool fails_ = false;
    std::optional<Timestamp> cold_since_;
};

}  // namespace cressledge::fake_upstream
