/// The calls of a rollout to the supervisors of a fleet and to their processes. Each call ends with an answer or at its
/// deadline; an answer that is lost is asked for again by the next call. It decides nothing.
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

/// Another rollout holds the lease of a supervisor.
struct LeaseConflict {
    std::string message;
};

/// The reachable processes of the supervisors whose leases are held.
struct LeasedFleet {
    std::vector<ProcessAssignment> processes;
    /// How many supervisors have named any of them.
    std::size_t supervisor_count = 0;
};

/// Talks to the admin addresses of supervisors and processes. Each public call runs the loop until every answer has come
/// or `request_timeout` is over.
class FleetClient {
public:
    /// For the answer to one call.
    static constexpr base::Duration request_timeout{1'500'000};

    /// `supervisor_addresses` as `HOST:PORT`; `rollout_name` is the holder of the leases that it takes.
    FleetClient(net::Loop& loop, base::TimerQueue& timers,
                const std::vector<std::string>& supervisor_addresses, std::string rollout_name);

    /// All supervisors, whether reachable or not.
    std::size_t supervisor_count() const { return supervisors_.size(); }

    /// Asks each supervisor that has not confirmed it for its lease.
    std::optional<LeaseConflict> take_leases();

    /// Gives back every lease that a supervisor has confirmed.
    void release_leases();

    /// Takes every lease as held: a confirmation may have been lost.
    void assume_leases_held();
    /// Whether any supervisor has confirmed a lease that it has not confirmed to be released.
    bool holds_any_lease() const;

    /// Asks every supervisor for its processes, and then each process for its metrics. Returns whether any supervisor
    /// answered.
    bool observe();

    /// Every process that was ever seen, as of the last call of `observe`.
    const Observations& observations() const { return observations_; }
    /// The reachable processes whose supervisors have confirmed their leases, as of the last call of `observe`.
    LeasedFleet leased_fleet() const;

    /// Sends processes their specs. The next observation shows what became of it.
    void send_updates(const std::vector<ProcessAssignment>& updates);

private:
    struct SupervisorLink {
        std::string name;
        net::Address address;
        bool has_lease = false;
    };
    struct ProcessLocation {
        std::size_t supervisor_index = 0;
        /// Of the process itself; empty: none is up.
        std::string admin_address;
    };

    std::optional<LeaseConflict> change_leases(bool take);
    void observe_processes(std::size_t supervisor_index, const nlohmann::json& status);
    void request_metrics();
    base::Timestamp deadline() const;
    void wait_for_replies();

    net::Loop& loop_;
    net::HttpClient http_client_;
    const std::string rollout_name_;
    std::vector<SupervisorLink> supervisors_;
    Observations observations_;
    std::map<std::string, ProcessLocation> process_locations_;
};

}  // namespace cressledge::rollout
