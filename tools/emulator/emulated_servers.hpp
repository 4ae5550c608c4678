/// The servers of an emulated run, and the baseline policies that choose among them without a balancer.
#pragma once

#include <vector>

#include "emulator/load_spread.hpp"
#include "load_balancing/weighted_sampler.hpp"

namespace cressledge::emulator {

/// The emulated servers. The index of a server is also its HostId in every process.
class EmulatedServers {
public:
    /// Creates the servers of a scenario, idle and at full speed.
    explicit EmulatedServers(const LoadSpreadScenario& scenario);

    /// Number of servers.
    std::size_t size() const { return models_.size(); }
    /// The servers as listed in the inventory of every process.
    const std::vector<upstream_health::HostSpec>& specs() const { return specs_; }
    /// Names of the servers in the inventory.
    std::vector<std::string> names() const;
    /// Sum of the slots of all servers.
    double total_slots() const { return total_slots_; }
    /// The models of all servers.
    const std::vector<fake_upstream::ServerModel>& models() const { return models_; }
    /// The model of one server.
    fake_upstream::ServerModel& model(std::size_t server) { return models_[server]; }

    /// Whether connections to a server are refused.
    bool is_down(std::size_t server) const { return is_down_[server]; }
    /// Makes a server refuse connections until restart().
    void set_down(std::size_t server) { is_down_[server] = true; }
    /// Makes a server accept connections again, starting cold.
    void restart(std::size_t server, base::Timestamp now);

    /// Copies the current load reports for pick_by_stale_reports().
    void refresh_stale_reports();
    /// Draws a server with a probability proportional to its capacity.
    upstream_health::HostId pick_random(upstream_health::Random& random) {
        return capacity_sampler_.sample(random);
    }
    /// The server with the lowest utilization in the copied reports.
    upstream_health::HostId pick_by_stale_reports() const;
    /// Join the shortest queue, by the true load. Of equals, the first one after a random index is chosen.
    upstream_health::HostId pick_shortest_queue(upstream_health::Random& random) const;

private:
    std::vector<upstream_health::HostSpec> specs_;
    std::vector<fake_upstream::ServerModel> models_;
    std::vector<bool> is_down_;
    std::vector<load_balancing::LoadReport> stale_reports_;
    load_balancing::WeightedSampler capacity_sampler_;
    double total_slots_ = 0.0;
};

}  // namespace cressledge::emulator
