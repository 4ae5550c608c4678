/// A model of an upstream server, a queue with a fixed number of slots, used by the emulator and by the fake servers on
/// sockets. Does no I/O; time and the random generator are arguments.
///
/// A call that finds a free slot occupies it for a random service time; others wait in order of arrival (M/G/k). A
/// server can be slowed down, made to fail every call, and restarted cold: its speed then grows linearly from
/// `cold_start_speed` to 1 over `warm_up_time`.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "load_balancing/load_probes.hpp"

namespace cressledge::fake_upstream {

using base::Duration;
using base::Timestamp;
using upstream_health::Random;

/// The distribution of service times. `lognormal` has a coefficient of variation of 1.
enum class ServiceTimeDistribution { exponential, constant, lognormal };

/// The properties of one server.
struct ServerProfile {
    /// Number of calls served concurrently, 1 or more.
    unsigned slots = 8;
    /// Mean service time of a call at full speed, in seconds.
    double mean_service_time_s = 0.05;
    ServiceTimeDistribution service_time_distribution = ServiceTimeDistribution::exponential;
    Duration warm_up_time{10'000'000};
    /// Speed immediately after a restart as a fraction of full speed, above 0.
    double cold_start_speed = 0.2;
    /// How long after a probe its call may still arrive; used in answers to probes
    /// (load_balancing::ExpectedCallEstimator).
    Duration probe_round_trip{500};
    /// Number of probes sent for each call; with 0, answers to probes include no expected calls.
    unsigned probes_per_call = 5;
};

using CallId = std::uint64_t;

/// One server: the calls in service, the waiting calls, and the load it reports.
class ServerModel {
public:
    /// Creates an idle server at full speed.
    explicit ServerModel(const ServerProfile& profile)
        : profile_(profile), expected_calls_(profile.probe_round_trip, profile.probes_per_call) {}

    /// A call that has been assigned a slot, and the time at which its service ends.
    struct ServiceStart {
        CallId call = 0;
        Timestamp finishes_at{0};
    };
    /// Adds a call. Returns the start of its service, or nothing if it must wait for a slot.
    std::optional<ServiceStart> arrive(Timestamp now, CallId call, Random& random);
    /// Removes a call that has finished or was cancelled by its caller. Returns the start of service of the waiting
    /// call that takes its slot, if there is one.
    std::optional<ServiceStart> depart(Timestamp now, CallId call, Random& random);

    /// Divides the speed by `factor`; 1 restores it.
    void set_slowdown(double factor) { slowdown_ = factor; }
    /// Sets whether every call fails, after a service time of 1 ms.
    void set_failing(bool failing) { failing_ = failing; }
    /// Whether every call fails.
    bool is_failing() const { return failing_; }
    /// Drops all calls and starts cold.
    void restart(Timestamp now);

    /// The current load.
    load_balancing::LoadReport load_report() const {
        return {static_cast<double>(in_flight()), static_cast<double>(profile_.slots), mean_latency_s_};
    }
    /// The load report that answers a probe; it includes the calls expected from recent probes.
    load_balancing::LoadReport answer_probe(Timestamp now);
    /// Number of calls in service or waiting.
    std::size_t in_flight() const { return in_service_.size() + waiting_.size(); }
    /// Number of calls served concurrently.
    unsigned slots() const { return profile_.slots; }
    /// Whether any call waits for a slot.
    bool has_waiting_calls() const { return !waiting_.empty(); }

private:
    ServiceStart start_service(Timestamp now, CallId call, Random& random);
    double service_time_s(Random& random) const;
    double speed(Timestamp now) const;

    ServerProfile profile_;
    load_balancing::ExpectedCallEstimator expected_calls_;
    /// Calls in service and the time at which each arrived.
    std::unordered_map<CallId, Timestamp> in_service_;
    std::deque<std::pair<CallId, Timestamp>> waiting_;
    double slowdown_ = 1.0;
    /// Exponential moving average of the latencies of finished calls.
    double mean_latency_s_ = 0.0;
    bool failing_ = false;
    std::optional<Timestamp> restarted_at_;
};

}  // namespace cressledge::fake_upstream
