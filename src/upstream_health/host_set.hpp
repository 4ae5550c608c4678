// The hosts of an inventory and the health state of each, as calls and health checks find it. It owns the states and the
// ids; which host gets a call is decided by `load_balancing::Balancer`, and the calls and checks themselves are made by
// the upstream executor. No I/O; time and randomness are arguments.
//
// warming_up -> ready       its slow start is over
// ready      -> suspect     some failures in a row: it gets little traffic
// suspect    -> warming_up  calls succeed again
// any        -> ejected     an outlier; for a time that doubles with each consecutive ejection
// ejected    -> suspect     that time is over
// any        -> draining    it has left the inventory, or is marked so there: calls in flight end
// draining   -> removed     it has left the inventory and no calls are in flight
//
// Invariants: at most `max_ejected_fraction` of the hosts in the inventory are ejected (one always may be, of two or
// more); a draining host gets no new calls; the id of a host is its own until it is removed.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "upstream_health/health_settings.hpp"
#include "upstream_health/host.hpp"
#include "upstream_health/outlier_detector.hpp"

namespace cressledge::upstream_health {

/// Functions that return changes: whoever keeps data about hosts, such as a Balancer, has to be told of them.
class HostSet {
public:
    explicit HostSet(HealthSettings settings = {}) : settings_(settings), outlier_detector_(settings) {}

    /// Takes effect with the next event; states stay.
    void reconfigure(const HealthSettings& settings);

    /// Takes the inventory as it is now. Known names keep their ids unless address or protocol changed: then the old
    /// host drains and a new one warms up. With the very first inventory all are ready, as nobody else can take calls.
    std::vector<HostStateChange> update(Timestamp now, const std::vector<HostSpec>& specs, Random& random);

    /// Counts a call to the host as in flight, until one of the next two.
    void on_call_started(HostId host_id) { ++hosts_[host_id].calls_in_flight; }
    /// Takes the result of a call; `latency` counts where it succeeded.
    std::vector<HostStateChange> on_call_finished(Timestamp now, HostId host_id, CallResult result,
                                                  Duration latency);
    /// The caller no longer waits: says nothing of the host's health.
    std::vector<HostStateChange> on_call_cancelled(Timestamp now, HostId host_id);
    /// Takes the result of a health check, which counts like that of a call.
    std::vector<HostStateChange> on_health_check(Timestamp now, HostId host_id, CallResult result);
    /// Ends ejections and slow starts and compares latencies; to be called about once a second.
    std::vector<HostStateChange> tick(Timestamp now);
    /// Hosts to check now; sets the time of their next check.
    std::vector<HostId> take_due_health_checks(Timestamp now, Random& random);

    /// Fraction, 0 to 1, of what a ready host of the same weight gets. In panic mode 1 for all that are usable.
    double traffic_fraction(Timestamp now, HostId host_id) const;
    /// Whether the host may get calls, as its state and panic mode have it.
    bool is_usable(HostId host_id) const;
    /// Too few hosts are ready or warming up: ejected ones are used as well.
    bool in_panic_mode() const { return in_panic_mode_; }
    /// `host_id` must be below slot_count().
    const HostStatus& at(HostId host_id) const { return hosts_[host_id]; }
    /// All ids are below it.
    std::size_t slot_count() const { return hosts_.size(); }
    /// Hosts in the inventory, in its order; the draining ones among them.
    const std::vector<HostId>& listed_hosts() const { return listed_hosts_; }
    /// Counts the inventories taken; 0: none yet.
    std::uint64_t inventory_version() const { return inventory_version_; }
    /// Smoothed median latency of a successful call over all hosts, seconds.
    double typical_latency_s() const { return outlier_detector_.typical_latency_s(); }

private:
    using Changes = std::vector<HostStateChange>;
    using IdsByName = std::unordered_map<std::string, HostId>;

    IdsByName hosts_of_last_inventory() const;
    HostId find_or_add(Timestamp now, const HostSpec& spec, const IdsByName& known, Random& random);
    HostId allocate_id();
    void apply_spec(Timestamp now, HostId host_id, const HostSpec& spec, HostState initial_state,
                    Changes& changes);
    void drain_unlisted(Timestamp now, Changes& changes);
    void remove_if_drained(Timestamp now, HostId host_id, Changes& changes);

    void transition(Timestamp now, HostId host_id, HostState new_state, const char* reason, Changes& changes);
    void evaluate(Timestamp now, HostId host_id, Changes& changes);
    void eject(Timestamp now, HostId host_id, const char* reason, Changes& changes);
    void end_expired_state(Timestamp now, HostId host_id, Changes& changes);
    void eject_slow_hosts(Timestamp now, Changes& changes);
    void update_panic_mode();

    HealthSettings settings_;
    OutlierDetector outlier_detector_;
    std::vector<HostStatus> hosts_;
    std::vector<HostId> listed_hosts_;
    std::vector<HostId> free_ids_;
    std::size_t ejected_count_ = 0;
    std::uint64_t inventory_version_ = 0;
    bool in_panic_mode_ = false;
};

}  // namespace cressledge::upstream_health
