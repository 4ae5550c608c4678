// The servers of an inventory and the state of each, as calls and probes find it. No I/O; time and randomness are
// arguments.
//
// joining  -> ready     its slow start is over
// ready    -> suspect   some failures in a row: it gets a trickle
// suspect  -> ready     calls went well again
// any      -> ejected   an outlier; for a time that doubles with each ejection in a row
// ejected  -> suspect   that time is over
// any      -> draining  it has left the inventory: what is in hand ends
// draining -> gone      nothing is in hand
//
// Invariants: at most max_ejected of those in the inventory are ejected; a draining server gets nothing new; the number
// of a server is its own until it is gone.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::upstream_health {

using base::Duration;
using base::Timestamp;
using Random = pcg32;
using HostId = std::uint32_t;
constexpr HostId no_host = ~HostId{0};

enum class HostState : std::uint8_t { warming_up, ready, suspect, ejected, draining, removed };
const char* to_string(HostState state);

enum class CallResult : std::uint8_t { ok, error, connection_refused, timeout };  // of a call or probe

struct HostSpec {  // as the inventory has it
    std::string name, address, protocol, data_centre, machine_model;  // place: its data centre
    double weight = 1.0;
    bool drain_requested = false;  // kept in the inventory, and gets nothing new
    bool operator==(const HostSpec&) const = default;
};

struct HealthSettings {
    std::uint32_t suspect_after_failures = 2, eject_after_failures = 5;  // failures in a row
    double max_failure_rate = 0.5;  // share of calls, smoothed
    double max_latency_ratio = 3.0;  // times the median of its peers
    double max_ejected_fraction = 0.3;  // share of the inventory
    double panic_threshold = 0.5;  // usable share
    Duration base_ejection_time{5'000'000}, max_ejection_time{60'000'000};
    Duration slow_start_time{10'000'000};
    Duration health_check_interval{2'000'000};  // and as much again at random
    double min_traffic_fraction = 0.05;  // of its share, for a suspect; where slow start begins
};

struct HostStatus {
    HostSpec spec;
    HostState state = HostState::removed;
    Timestamp state_since{0};
    std::uint32_t consecutive_failures = 0;  // in a row
    std::uint32_t consecutive_ejections = 0;  // in a row
    std::uint32_t calls_in_flight = 0;
    double failure_rate = 0.0, mean_latency_s = 0.0;  // smoothed: share of failures, time of a good call
    double sample_calls = 0.0;  // behind them
    Timestamp ejected_until{0}, next_health_check{0};  // of an ejection; of the next probe
    std::uint64_t inventory_version = 0;  // of the inventory that brought it
};

struct HostStateChange {  // for the log
    HostId host_id = no_host;
    HostState old_state = HostState::removed, new_state = HostState::removed;
    const char* reason = "";
};

class HostSet {
public:
    explicit HostSet(HealthSettings settings = {}) : settings_(settings) {}

    void reconfigure(const HealthSettings& settings) {
        settings_ = settings;
    }  // from the next call or look on
    // The inventory as it is now. Known names keep their numbers, unless their address changed: then the old one
    // drains and a new one joins. At the very first all are ready, as nobody else is there to carry the load.
    std::vector<HostStateChange> update(Timestamp now, const std::vector<HostSpec>& specs, Random& random);
    void on_call_started(HostId host_id) { ++hosts_[host_id].calls_in_flight; }
    std::vector<HostStateChange> on_call_finished(Timestamp now, HostId host_id, CallResult result,
                                                  Duration latency);
    std::vector<HostStateChange> on_call_cancelled(
        Timestamp now, HostId host_id);  // a call that nobody waits for any more: it tells nothing
    std::vector<HostStateChange> on_health_check(Timestamp now, HostId host_id, CallResult result);
    std::vector<HostStateChange> tick(Timestamp now);  // once a second or so
    std::vector<HostId> take_due_health_checks(Timestamp now, Random& random);  // to be probed now

    // Its part of what a ready server of its weight gets, 0 to 1. In panic, 1 for all that are in the inventory.
    double traffic_fraction(Timestamp now, HostId host_id) const;
    bool is_usable(HostId host_id) const;
    bool in_panic_mode() const { return in_panic_mode_; }
    const HostStatus& at(HostId host_id) const { return hosts_[host_id]; }
    std::size_t slot_count() const { return hosts_.size(); }
    const std::vector<HostId>& listed_hosts() const { return listed_hosts_; }  // those in the inventory
    std::uint64_t inventory_version() const { return inventory_version_; }
    // Typical time of a good call over the fleet, seconds; for those that have shown none.
    double typical_latency_s() const { return typical_latency_s_ > 0.0 ? typical_latency_s_ : 0.1; }

private:
    void transition(Timestamp now, HostId host_id, HostState new_state, const char* reason,
                    std::vector<HostStateChange>& changes);
    void evaluate(Timestamp now, HostId host_id, std::vector<HostStateChange>& changes);
    void eject(Timestamp now, HostId host_id, const char* reason, std::vector<HostStateChange>& changes);
    void update_panic_mode();
    void remove_if_drained(Timestamp now, HostId host_id, std::vector<HostStateChange>& changes);

    HealthSettings settings_;
    std::vector<HostStatus> hosts_;
    std::vector<HostId> listed_hosts_, free_ids_;
    std::size_t ejected_count_ = 0;
    std::uint64_t inventory_version_ = 0;
    bool in_panic_mode_ = false;
    double typical_latency_s_ = 0.0;
};

}  // namespace cressledge::upstream_health
