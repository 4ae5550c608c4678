/// An emulated process that balances calls over servers, with the production load_balancing::Balancer and HostSet or
/// with a baseline policy.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/load_spread.hpp"

namespace cressledge::emulator {

/// Whether load_balancing::Balancer chooses the servers, and not a baseline policy.
bool uses_balancer(BalancingChoice choice);

/// The names of processes 0 to `count` - 1 in ascending order, as Balancer::update_peers expects them.
std::vector<std::string> process_names(std::size_t count);

/// Fraction of subset members that are replaced when the fleet is resized from `old_count` to `new_count` processes,
/// over the processes that are in the fleet before and after.
double subset_churn(std::size_t old_count, std::size_t new_count, const std::vector<std::string>& servers,
                    std::size_t subset_size);

/// An emulated process. Times are microseconds since the start of the run.
class BalancingProcess {
public:
    /// Begins a new incarnation without learned state. `fleet_size`: number of processes, this one included.
    void start(const LoadSpreadScenario& scenario, const std::vector<upstream_health::HostSpec>& servers,
               std::size_t index, std::size_t fleet_size, std::int64_t now, upstream_health::Random& random);
    /// Number of calls of start() so far.
    std::uint32_t incarnation() const { return incarnation_; }
    /// The balancer. Only if uses_balancer().
    load_balancing::Balancer& balancer() { return *balancer_; }

    /// Updates the time-dependent health states of the servers. Only if uses_balancer().
    void tick(std::int64_t now);
    /// Records that a call has been sent to a server.
    void on_call_started(std::int64_t now, upstream_health::HostId server);
    /// Records that a call of this incarnation has ended.
    void on_call_finished(std::int64_t now, upstream_health::HostId server,
                          upstream_health::CallResult result, Duration latency);
    /// Records that a connection was refused before a call was sent. Only if uses_balancer().
    void on_connection_refused(std::int64_t now, upstream_health::HostId server);

    /// Chooses the next server of BalancingChoice::round_robin.
    upstream_health::HostId next_round_robin(const std::vector<upstream_health::HostSpec>& servers);
    /// Number of calls of this process in flight at a server.
    std::uint32_t in_flight(upstream_health::HostId server) const { return in_flight_[server]; }

private:
    void report_result(std::int64_t now, upstream_health::HostId server, upstream_health::CallResult result,
                       Duration latency);

    std::uint32_t incarnation_ = 0;
    /// Calls in flight by server.
    std::vector<std::uint32_t> in_flight_;
    std::vector<double> round_robin_credit_;
    std::unique_ptr<upstream_health::HostSet> hosts_;
    std::unique_ptr<load_balancing::Balancer> balancer_;
};

}  // namespace cressledge::emulator
