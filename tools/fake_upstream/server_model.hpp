/// A model of an upstream server: a queue with a fixed number of slots, for the emulator and for fake servers on sockets
/// alike. No I/O; time and randomness are arguments.
///
/// A call that finds a free slot takes a service time drawn for it; others wait in order of arrival (M/G/k). A server may
/// run slower, answer errors at once, and start cold: its speed then grows linearly from `cold_start_speed` to 1 over
/// `warm_up_time`.
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
    /// Calls served at once, 1 or more.
    unsigned slots = 8;
    /// Mean service time of a call at full speed, in seconds.
    double mean_service_time_s = 0.05;
    ServiceTimeDistribution service_time_distribution = ServiceTimeDistribution::exponential;
    Duration warm_up_time{10'000'000};
    /// Speed right after a restart as a fraction of full speed, above 0.
    double cold_start_speed = 0.2;
    /// For answers to probes: how long after a probe its call may still arrive (load_balancing::ExpectedCallEstimator).
    Duration probe_round_trip{500};
    /// Probes sent for each call; 0: answers to probes count no expected calls.
    unsigned probes_per_call = 5;
};

using CallId = std::uint64_t;

/// One server: the calls it serves, the calls that wait, and the load it reports.
class ServerModel {
public:
    /// An idle, warm server.
    explicit ServerModel(const ServerProfile& profile)
        : profile_(profile), expected_calls_(profile.probe_round_trip, profile.probes_per_call) {}

    /// A call that has got a slot, and when its service ends.
    struct ServiceStart {
        CallId call = 0;
        Timestamp finishes_at{0};
    };
    /// A call arrives. Its start of service; nothing if it waits for a slot.
    std::optional<ServiceStart> arrive(Timestamp now, CallId call, Random& random);
    /// A call has finished, or its caller has given it up. The waiting call that takes its slot, if there is one.
    std::optional<ServiceStart> depart(Timestamp now, CallId call, Random& random);

    /// Divides the speed by `factor`; 1 restores it.
    void set_slowdown(double factor) { slowdown_ = factor; }
    /// Whether its answers are errors, each given after a millisecond.
    void set_failing(bool failing) { failing_ = failing; }
    /// As set_failing() has set it.
    bool is_failing() const { return failing_; }
    /// Drops every call and starts cold.
    void restart(Timestamp now);

    /// The load as it is now.
    load_balancing::LoadReport load_report() const {
        return {static_cast<double>(in_flight()), static_cast<double>(profile_.slots), mean_latency_s_};
    }
    /// The load report that answers a probe: with the calls that recent probes may still bring.
    load_balancing::LoadReport answer_probe(Timestamp now);
    /// Calls served and waiting.
    std::size_t in_flight() const { return in_service_.size() + waiting_.size(); }
    /// Calls served at once.
    unsigned slots() const { return profile_.slots; }
    /// Whether a call waits for a slot.
    bool has_waiting_calls() const { return !waiting_.empty(); }

private:
    ServiceStart start_service(Timestamp now, CallId call, Random& random);
    double service_time_s(Random& random) const;
    double speed(Timestamp now) const;

    ServerProfile profile_;
    load_balancing::ExpectedCallEstimator expected_calls_;
    /// Calls in service, each with its arrival.
    std::unordered_map<CallId, Timestamp> in_service_;
    std::deque<std::pair<CallId, Timestamp>> waiting_;
    double slowdown_ = 1.0;
    /// Exponential moving average over finished calls.
    double mean_latency_s_ = 0.0;
    bool failing_ = false;
    std::optional<Timestamp> restarted_at_;
};

}  // namespace cressledge::fake_upstream
