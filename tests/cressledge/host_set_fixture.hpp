// Test fixture: a HostSet and a Balancer on a manual clock.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "load_balancing/balancer.hpp"
#include "milliseconds.hpp"
#include "support.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::testing {

using load_balancing::Balancer;
using load_balancing::BalancerSettings;
using upstream_health::CallResult;
using upstream_health::HealthSettings;
using upstream_health::HostId;
using upstream_health::HostSet;
using upstream_health::HostSpec;
using upstream_health::HostState;
using upstream_health::HostStateChange;
using upstream_health::no_host;
using upstream_health::Random;

/// Hosts "tiles-N", alternately in two data centres.
struct HostSetFixture {
    Timestamp now{1'764'576'000'000'000};
    Random random{7, 7};
    HostSet hosts;
    BalancerSettings settings;
    std::unique_ptr<Balancer> lazy_balancer;
    std::vector<HostSpec> specs;

    explicit HostSetFixture(std::size_t host_count, HealthSettings health = {}) : hosts(health) {
        for (std::size_t i = 0; i < host_count; ++i)
            specs.push_back({"tiles-" + std::to_string(i) + (i % 2 == 0 ? ".thies" : ".plateau"),
                             "127.0.0.1:" + std::to_string(4000 + i), "http",
                             i % 2 == 0 ? "thies" : "plateau", "", 1.0, false});
        hosts.update(now, specs, random);
    }
    /// Returns the balancer, which is created on first use; `settings` may be changed until then.
    Balancer& balancer() {
        if (!lazy_balancer) {
            lazy_balancer = std::make_unique<Balancer>(hosts, settings);
            lazy_balancer->refresh();
        }
        return *lazy_balancer;
    }
    /// Refreshes the balancer if there are changes.
    void apply(const std::vector<HostStateChange>& changes) {
        if (!changes.empty())
            balancer().refresh();
    }
    /// Applies `specs` as the new inventory.
    void update_inventory() { apply(hosts.update(now, specs, random)); }
    /// Makes one call to `fixed_host`, or to the host that the balancer picks, and advances the clock by `latency`.
    HostId call(CallResult result, Duration latency, HostId fixed_host = no_host) {
        const HostId host_id = fixed_host != no_host ? fixed_host : balancer().pick(now, 0, {}, random);
        balancer().on_call_started(now, host_id);
        now += latency;
        balancer().on_call_finished(now, host_id, result, latency);
        apply(hosts.on_call_finished(now, host_id, result, latency));
        return host_id;
    }
    /// Health state of a host.
    HostState state(HostId host_id) const { return hosts.at(host_id).state; }
};

}  // namespace cressledge::testing
