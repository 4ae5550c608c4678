// Choice of a host by what a few hosts have just reported of their load: probing as in Prequal (Wydrowski, Kleinberg,
// Rumble, Archer: "Load is not what you should balance", NSDI 2024). No I/O; time and randomness are arguments.
//
// Two ways to use it. Asynchronous (`ProbePool`): some probes go out beside each call, their answers wait in a small
// pool, and the next call takes the best of them; it costs no time, and what is known is a few calls old. Synchronous
// (`least_loaded`): a call's own probes go out before it and it goes where the best answer came from; it costs a round
// trip, and what is known is as old as half of that.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "load_balancing/load_reports.hpp"
#include "load_balancing/weighted_sampler.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

using base::Duration;
using base::Timestamp;
using upstream_health::HostId;
using upstream_health::no_host;
using upstream_health::Random;

/// How load probes are sent and their answers kept; read from `routing.probing` of an operator's file.
struct LoadProbeSettings {
    /// Most answers in the pool.
    std::size_t pool_size = 16;
    /// Probes sent for each call.
    double probes_per_call = 3.0;
    /// Answers removed from the pool for each call: the oldest and the worst in turn.
    double removals_per_call = 1.0;
    /// An older answer is not used.
    Duration max_age{1'000'000};
    /// Quantile of the utilizations from which on a host is hot, and only its load counts; 0: all are.
    double hot_quantile = 0.0;
    /// Delta in equation 1 of the paper: the pool grows by at least so many answers for each call.
    double min_pool_growth = 1.0;
};

/// Answers to probes that wait for a call.
class ProbePool {
public:
    /// `host_count`: hosts that may be probed.
    explicit ProbePool(const LoadProbeSettings& settings, std::size_t host_count)
        : settings_(settings), host_count_(host_count) {}

    /// Hosts that may be probed, after a change of the inventory.
    void set_host_count(std::size_t host_count) { host_count_ = host_count; }
    /// Takes effect with the next call; answers stay.
    void reconfigure(const LoadProbeSettings& settings) { settings_ = settings; }

    /// Number of probes to send for one more call; a fraction is carried over to the next.
    unsigned take_due_probes();

    /// Takes an answer; it replaces an earlier one of the same host, or the oldest of a full pool.
    void add(Timestamp now, HostId host_id, const LoadReport& load);
    /// Drops the answer of a host whose call or probe has failed.
    void remove(HostId host_id);

    /// Host with the best answer; the call that it will get is counted in that answer. `no_host` if fewer than two
    /// answers of eligible hosts are known.
    HostId pick(Timestamp now, const std::function<bool(HostId)>& is_eligible);

    /// Answers in the pool.
    std::size_t size() const { return pool_.size(); }

private:
    struct PooledReport {
        HostId host_id = no_host;
        LoadReport load;
        Timestamp received_at{0};
        unsigned uses = 0;
    };
    using Pool = std::vector<PooledReport>;

    double max_uses() const;
    double hot_utilization() const;
    Pool::iterator best_report();
    void remove_oldest_or_worst();

    LoadProbeSettings settings_;
    std::size_t host_count_;
    /// Oldest first.
    Pool pool_;
    double probe_credit_ = 0.0;
    double removal_credit_ = 0.0;
    bool remove_oldest_next_ = true;
};

/// What a host adds to its reported load when it is probed: the calls that probes of the last moments may still bring.
/// Without it all who probe within one round trip would find the same host idle and send to it at once. A probe counts
/// as 1 / `probes_per_call` calls.
class ExpectedCallEstimator {
public:
    /// `window`: how long a probe may still bring a call; `probes_per_call`: 0 counts as 1.
    ExpectedCallEstimator(Duration window, unsigned probes_per_call)
        : window_(window), calls_per_probe_(1.0 / std::max(1U, probes_per_call)) {}

    /// Calls that probes within the window before `now` may bring.
    double expected_calls(Timestamp now);
    /// Counts a probe sent at `now`.
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

}  // namespace cressledge::load_balancing
