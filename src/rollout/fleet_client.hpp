/// HTTP client of a rollout for the supervisors of a fleet and their processes. Each request ends with a reply or
/// at its deadline; the next call repeats a request whose reply was lost. Contains no rollout decisions.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "rollout/process_observation.hpp"
#include "rollout/rollout_state_machine.hpp"

namespace cressledge::rollout {

/// Reports that another rollout holds the lease of a supervisor.
struct LeaseConflict {
    std::string message;
};

/// The reachable processes of the supervisors whose leases this rollout holds.
struct LeasedFleet {
    std::vector<ProcessAssignment> processes;
    /// Number of supervisors with at least one of these processes.
    std::size_t supervisor_count = 0;
};

/// Sends requests to the admin addresses of supervisors and processes. Each public call that sends requests runs
/// the loop until every request has a reply or has timed out.
class FleetClient {
public:
    /// Timeout of one request, in microseconds.
    static constexpr base::Duration request_timeout{1'500'000};

    /// `supervisor_addresses` have the form `HOST:PORT`; leases are taken in the name of `rollout_name`.
    FleetClient(net::Loop& loop, base::TimerQueue& timers,
                const std::vector<std::string>& supervisor_addresses, std::string rollout_name);

    /// Number of supervisors, reachable or not.
    std::size_t supervisor_count() const { return supervisors_.size(); }

    /// Requests the lease of each supervisor that has not confirmed it. Returns a conflict if another rollout holds
    /// one.
    std::optional<LeaseConflict> take_leases();

    /// Releases every lease that a supervisor has confirmed.
    void release_leases();

    /// Treats every lease as held, because a confirmation may have been lost.
    void assume_leases_held();
    /// Whether any lease is held whose release has not been confirmed.
    bool holds_any_lease() const;

    /// Requests the processes of every supervisor, then the metrics of each process. Returns whether any supervisor
    /// replied.
    bool observe();

    /// All processes that were ever reported, as of the last call of `observe`.
    const Observations& observations() const { return observations_; }
    /// The reachable processes of supervisors with a confirmed lease, as of the last call of `observe`.
    LeasedFleet leased_fleet() const;

    /// Sends each process its new spec. The next observation shows the result.
    void send_updates(const std::vector<ProcessAssignment>& updates);

private:
    struct SupervisorLink {
        std::string name;
        net::Address address;
        bool has_lease = false;
    };
    struct ProcessLocation {
        std::size_t supervisor_index = 0;
        /// Admin address of the process itself; empty if none is running.
        std::string admin_address;
    };

    std::optional<LeaseConflict> change_leases(bool take);
    void observe_processes(std::size_t supervisor_index, const nlohmann::json& status);
    void request_metrics();
    base::Timestamp request_deadline() const;
    void wait_for_replies();

    net::Loop& loop_;
    net::HttpClient http_client_;
    const std::string rollout_name_;
    std::vector<SupervisorLink> supervisors_;
    Observations observations_;
    std::map<std::string, ProcessLocation> process_locations_;
};

}  // namespace cressledge::rollout
