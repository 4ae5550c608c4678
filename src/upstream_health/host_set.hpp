// The hosts of the inventory with their health states, which follow from the results of calls and health checks.
// `HostSet` owns the states and ids; `load_balancing::Balancer` chooses the host of each call, and the upstream
// executor makes the calls and health checks. No I/O; time and randomness are passed as arguments.
//
// warming_up -> ready       slow start has finished
// ready      -> suspect     consecutive failures; the host gets little traffic
// suspect    -> warming_up  calls succeed again
// any        -> ejected     the host is an outlier; the ejection time doubles with each consecutive ejection
// ejected    -> suspect     the ejection time has elapsed
// any        -> draining    removed from the inventory or marked there for draining; calls in flight may finish
// draining   -> removed     not in the inventory and no calls in flight
//
// Invariants: at most `max_ejected_fraction` of the hosts in the inventory are ejected, except that one of two or
// more may always be ejected; a draining host gets no new calls; the id of a host is not reused before the host is
// removed.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "upstream_health/health_settings.hpp"
#include "upstream_health/host.hpp"
#include "upstream_health/outlier_detector.hpp"

namespace cressledge::upstream_health {

/// The hosts of an upstream. Owners of per-host data, such as a `Balancer`, must be updated after every function that
/// returns state changes.
class HostSet {
public:
    explicit HostSet(HealthSettings settings = {}) : settings_(settings), outlier_detector_(settings) {}

    /// Replaces the settings from the next event on; health states are kept.
    void reconfigure(const HealthSettings& settings);

    /// Applies a new inventory. Hosts keep their ids by name unless the address or protocol changed; in that case
    /// the old host drains and a new one warms up. With the first inventory all hosts are ready, because no warm
    /// host could take their calls.
    std::vector<HostStateChange> update(Timestamp now, const std::vector<HostSpec>& specs, Random& random);

    /// Counts a call as in flight until `on_call_finished` or `on_call_cancelled`.
    void on_call_started(HostId host_id) { ++hosts_[host_id].calls_in_flight; }
    /// Records the result of a call; `latency` is used only if the call succeeded.
    std::vector<HostStateChange> on_call_finished(Timestamp now, HostId host_id, CallResult result,
                                                  Duration latency);
    /// Ends a call that the caller no longer waits for; it does not affect the host's health.
    std::vector<HostStateChange> on_call_cancelled(Timestamp now, HostId host_id);
    /// Records the result of a health check. A failure adds to the consecutive failures; a success counts only for a
    /// suspect host.
    std::vector<HostStateChange> on_health_check(Timestamp now, HostId host_id, CallResult result);
    /// Ends elapsed ejections and slow starts and ejects slow hosts. Call it about once a second.
    std::vector<HostStateChange> tick(Timestamp now);
    /// Returns the hosts that are due for a health check and schedules their next one.
    std::vector<HostId> take_due_health_checks(Timestamp now, Random& random);

    /// Traffic of the host as a fraction, 0 to 1, of that of a ready host with the same weight. In panic mode it is
    /// 1 for all usable hosts.
    double traffic_fraction(Timestamp now, HostId host_id) const;
    /// Whether the host may get calls, given its state and panic mode.
    bool is_usable(HostId host_id) const;
    /// Whether so few hosts are ready or warming up that ejected ones are used too.
    bool in_panic_mode() const { return in_panic_mode_; }
    /// Returns the status of a host; `host_id` must be below slot_count().
    const HostStatus& at(HostId host_id) const { return hosts_[host_id]; }
    /// Upper bound of the ids: all are below it.
    std::size_t slot_count() const { return hosts_.size(); }
    /// Hosts in the inventory, in its order, including those marked there for draining.
    const std::vector<HostId>& listed_hosts() const { return listed_hosts_; }
    /// Number of inventories applied so far.
    std::uint64_t inventory_version() const { return inventory_version_; }
    /// Smoothed median over the ready hosts of the mean latency of successful calls, in seconds.
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
    void apply_assessment(Timestamp now, HostId host_id, Changes& changes);
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
