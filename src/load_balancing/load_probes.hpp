// Chooses a host by recent load reports of a few hosts, which are probed as in Prequal (Wydrowski, Kleinberg, Rumble,
// Archer: "Load is not what you should balance", NSDI 2024). No I/O; time and randomness are passed as arguments.
//
// Asynchronous probing (`ProbePool`): probes are sent along with each call, their answers are kept in a small pool,
// and a later call uses the best of them. It adds no latency, but the reports are a few calls old. Synchronous
// probing (`least_loaded`): probes are sent before the call, which goes to the host with the best answer. It adds a
// round trip, and the reports are half a round trip old.
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

/// Settings of load probes, from `routing.probing` of the operator's file.
struct LoadProbeSettings {
    /// Capacity of the pool, in answers.
    std::size_t pool_size = 16;
    /// Probes sent per call.
    double probes_per_call = 3.0;
    /// Answers removed from the pool per call, alternately the oldest and the one with the highest utilization.
    double removals_per_call = 1.0;
    /// Age beyond which an answer is discarded.
    Duration max_age{1'000'000};
    /// A host is hot from this quantile of the pooled utilizations on; hot hosts are compared by load alone. 0
    /// makes all hosts hot.
    double hot_quantile = 0.0;
    /// Delta in equation 1 of the paper: minimum net growth of the pool, in answers per call.
    double min_pool_growth = 1.0;
};

/// Pool of recent answers to load probes, from which calls choose their host.
class ProbePool {
public:
    /// `host_count` is the number of hosts that may be probed.
    explicit ProbePool(const LoadProbeSettings& settings, std::size_t host_count)
        : settings_(settings), host_count_(host_count) {}

    /// Sets the number of hosts that may be probed. Call it after a change of the inventory.
    void set_host_count(std::size_t host_count) { host_count_ = host_count; }
    /// Replaces the settings from the next call on; pooled answers are kept.
    void reconfigure(const LoadProbeSettings& settings) { settings_ = settings; }

    /// Returns the number of probes to send for one more call. The fractional remainder carries over to the next call.
    unsigned take_due_probes();

    /// Adds an answer. It replaces an earlier answer of the same host, or the oldest one of a full pool.
    void add(Timestamp now, HostId host_id, const LoadReport& load);
    /// Removes the answer of a host, for instance after a failed call or probe.
    void remove(HostId host_id);

    /// Returns the host with the best answer and adds the call to that answer's calls in flight. Returns `no_host` if
    /// the pool has fewer than two answers of eligible hosts.
    HostId pick(Timestamp now, const std::function<bool(HostId)>& is_eligible);

    /// Number of answers in the pool.
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
    double hot_utilization_threshold() const;
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

/// Estimates the calls that recent probes of a host may still bring; the host adds them to the load that it
/// reports. Without them, all callers that probe an idle host within one round trip would send their calls to it at
/// once. A probe counts as 1 / `probes_per_call` calls.
class ExpectedCallEstimator {
public:
    /// `window` is the time in which a call may follow a probe; a `probes_per_call` of 0 is treated as 1.
    ExpectedCallEstimator(Duration window, unsigned probes_per_call)
        : window_(window), calls_per_probe_(1.0 / std::max(1U, probes_per_call)) {}

    /// Number of calls expected from probes within the window before `now`.
    double expected_calls(Timestamp now);
    /// Records a probe at `now`; times must not decrease.
    void on_probe(Timestamp now) { probe_times_.push_back(now); }

private:
    const Duration window_;
    const double calls_per_probe_;
    std::deque<Timestamp> probe_times_;
};

/// A host's answer to a load probe.
struct ProbeAnswer {
    HostId host_id = no_host;
    LoadReport load;
};

/// Returns the host with the lowest utilization, including the call that is being placed. Ties go to the lower latency,
/// then to the first answer. Returns `no_host` if there are no answers.
HostId least_loaded(const std::vector<ProbeAnswer>& answers);

}  // namespace cressledge::load_balancing
