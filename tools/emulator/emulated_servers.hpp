/// The servers of an emulated run, and the baseline rules that choose among them without a balancer.
#pragma once

#include <vector>

#include "emulator/load_spread.hpp"
#include "load_balancing/weighted_sampler.hpp"

namespace cressledge::emulator {

/// Servers by index, which is also their HostId in every process.
class EmulatedServers {
public:
    /// The servers of a scenario, idle and warm.
    explicit EmulatedServers(const LoadSpreadScenario& scenario);

    /// How many servers there are.
    std::size_t size() const { return models_.size(); }
    /// As the inventory of every process lists them.
    const std::vector<upstream_health::HostSpec>& specs() const { return specs_; }
    /// The names in the inventory.
    std::vector<std::string> names() const;
    /// Calls that all servers serve at once.
    double total_slots() const { return total_slots_; }
    /// The state of all servers.
    const std::vector<fake_upstream::ServerModel>& models() const { return models_; }
    /// The state of one server.
    fake_upstream::ServerModel& model(std::size_t server) { return models_[server]; }

    /// Whether connections to it are refused.
    bool is_down(std::size_t server) const { return is_down_[server]; }
    /// Connections to it are refused until restart().
    void set_down(std::size_t server) { is_down_[server] = true; }
    /// It accepts connections again, cold.
    void restart(std::size_t server, base::Timestamp now);

    /// Copies the load reports that pick_by_stale_reports() goes by.
    void refresh_stale_reports();
    /// Draws a server with a chance in proportion to its capacity.
    upstream_health::HostId pick_random(upstream_health::Random& random) {
        return capacity_sampler_.sample(random);
    }
    /// The least utilized server by the last copy of the reports.
    upstream_health::HostId pick_by_stale_reports() const;
    /// Join the shortest queue, by the true load; ties go to the first from a random start.
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
