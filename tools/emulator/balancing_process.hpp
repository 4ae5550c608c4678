/// One emulated process that balances calls over servers: the program's own Balancer over its HostSet, or the state of a
/// baseline rule.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emulator/load_spread.hpp"

namespace cressledge::emulator {

/// Whether a choice is made by load_balancing::Balancer and not by a baseline.
bool uses_balancer(BalancingChoice choice);

/// The names of processes 0 to `count` - 1 in ascending order, as Balancer::update_peers takes them.
std::vector<std::string> process_names(std::size_t count);

/// Fraction of subset members that are new to processes that are in both fleets, when the fleet grows or shrinks from
/// `old_count` to `new_count` processes.
double subset_churn(std::size_t old_count, std::size_t new_count, const std::vector<std::string>& servers,
                    std::size_t subset_size);

/// A process. Times are microseconds of the run.
class BalancingProcess {
public:
    /// Begins a new incarnation that knows nothing. `fleet_size`: processes in the fleet, this one included.
    void start(const LoadSpreadScenario& scenario, const std::vector<upstream_health::HostSpec>& servers,
               std::size_t index, std::size_t fleet_size, std::int64_t now, upstream_health::Random& random);
    /// Calls of start() so far.
    std::uint32_t incarnation() const { return incarnation_; }
    /// Only where uses_balancer().
    load_balancing::Balancer& balancer() { return *balancer_; }

    /// Moves the health of the servers on in time. Only where uses_balancer().
    void tick(std::int64_t now);
    /// A call has been sent to a server.
    void on_call_started(std::int64_t now, upstream_health::HostId server);
    /// A call of this incarnation has ended.
    void on_call_finished(std::int64_t now, upstream_health::HostId server,
                          upstream_health::CallResult result, Duration latency);
    /// A connection was refused before a call was sent. Only where uses_balancer().
    void on_connection_refused(std::int64_t now, upstream_health::HostId server);

    /// The next server of BalancingChoice::round_robin.
    upstream_health::HostId next_round_robin(const std::vector<upstream_health::HostSpec>& servers);
    /// Calls of this process in flight at a server.
    std::uint32_t in_flight(upstream_health::HostId server) const { return in_flight_[server]; }

private:
    void report_result(std::int64_t now, upstream_health::HostId server, upstream_health::CallResult result,
                       Duration latency);

    std::uint32_t incarnation_ = 0;
    /// By server.
    std::vector<std::uint32_t> in_flight_;
    std::vector<double> round_robin_credit_;
    std::unique_ptr<upstream_health::HostSet> hosts_;
    std::unique_ptr<load_balancing::Balancer> balancer_;
};

}  // namespace cressledge::emulator
