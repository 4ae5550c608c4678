// Which server gets a call, by what a few servers have just said of themselves: probing in the manner of Prequal
// (Wydrowski, Kleinberg, Rumble, Archer: "Load is not what you should balance", NSDI 2024). HostId I/O; time and randomness
// are arguments.
//
// Two ways to use it. Asynchronous (ProbePool): some probes go out beside each call, their answers wait in a small pool,
// and the next call takes the best of them; it costs no time, and what is known is a few calls old. Synchronous (best):
// a call's own probes go out first and it goes where the best answer came from; it costs a round trip, and what is known
// is as old as half of that.
//
// Shares are in flight over capacity: 1 is as much as a server does at once. Latencies are seconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

using base::Duration;
using base::Timestamp;
using upstream_health::HostId;
using upstream_health::no_host;
using upstream_health::Random;

struct LoadReport {  // a server's word on itself
    double in_flight = 0.0;
    double capacity = 1.0;  // what it does at once, above 0
    double latency_s = 0.0;  // of late answers at about this load; 0: not said
    double utilization(double extra_calls = 0.0) const { return (in_flight + extra_calls) / capacity; }
};

struct LoadProbeSettings {
    std::size_t pool_size = 16;  // answers kept
    double probes_per_call = 3.0;  // probes sent for each call
    double removals_per_call = 1.0;  // answers dropped for each call: the oldest and the worst in turn
    Duration max_age{1'000'000};
    double hot_quantile =
        0.0;  // quantile of the shares above which a server is hot, and only the load counts; 0: all are
    double min_pool_growth =
        1.0;  // delta of the paper's equation 1: the pool grows by so many answers a call at least
};

class ProbePool {
public:
    explicit ProbePool(const LoadProbeSettings& settings, std::size_t host_count)
        : settings_(settings), host_count_(host_count) {}
    void set_host_count(std::size_t host_count) { host_count_ = host_count; }  // that may be probed
    void reconfigure(const LoadProbeSettings& settings) {
        settings_ = settings;
    }  // what has been heard stays
    unsigned take_due_probes();  // probes to be sent for one more call; a fraction is carried over
    void add(Timestamp now, HostId host_id, const LoadReport& load);
    void remove(HostId host_id);  // a probe or call failed: what it said is worth nothing
    // The best answer, and the call it leads to counted in it. nobody: fewer than two that may are known; the caller
    // falls back on a choice of its own.
    HostId pick(Timestamp now, const std::function<bool(HostId)>& is_eligible);
    std::size_t size() const { return pool_.size(); }

private:
    struct PooledReport {
        HostId host_id = no_host;
        LoadReport load;
        Timestamp received_at{0};
        unsigned uses = 0;
    };
    double max_uses() const;
    void remove_oldest_or_worst();

    LoadProbeSettings settings_;
    std::size_t host_count_;
    std::vector<PooledReport> pool_;  // in the order in which they came
    double probe_credit_ = 0.0, removal_credit_ = 0.0;
    bool remove_oldest_next_ = true;
};

// What a server adds to its load when it is probed: the calls that probes of the last moments may still bring. Guards
// against a herd: of all who probe within one round trip each would find it idle. Counts 1 / `probes` for each.
class ExpectedCallEstimator {
public:
    ExpectedCallEstimator(Duration window, unsigned probes_per_call)
        : window_(window), calls_per_probe_(1.0 / std::max(1U, probes_per_call)) {}
    double expected_calls(Timestamp now);  // expected now, from the probes before
    void on_probe(Timestamp now) { probe_times_.push_back(now); }

private:
    const Duration window_;
    const double calls_per_probe_;
    std::deque<Timestamp> probe_times_;
};

/// What a host answered to a load probe.
struct ProbeAnswer {
    HostId host_id = no_host;
    LoadReport load;
};

/// Of a call's own probes: the host with the lowest utilization, this call included, then the lowest latency, then the
/// first one. `no_host` without an answer.
HostId least_loaded(const std::vector<ProbeAnswer>& answers);

// Servers by chance in proportion to their capacity: those of 4 are asked four times as often as those of 1, which
// keeps what each is offered in step with what it can do. Alias method (Vose, 1991): O(1) a draw, O(n) to make.
class WeightedSampler {
public:
    void build(const std::vector<double>& weights);  // each above 0
    std::uint32_t sample(Random& random) const;  // not of an empty one
    // Different ones, into `to`; fewer where there are fewer, or where chance has it so eight times over.
    void sample(Random& random, unsigned count, std::vector<std::uint32_t>& to) const;
    bool empty() const { return acceptance_.empty(); }

private:
    std::vector<double> acceptance_;
    std::vector<std::uint32_t> alias_;
};

}  // namespace cressledge::load_balancing
