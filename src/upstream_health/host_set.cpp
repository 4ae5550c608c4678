#include "upstream_health/host_set.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cressledge::upstream_health {

void HostSet::reconfigure(const HealthSettings& settings) {
    settings_ = settings;
    outlier_detector_.reconfigure(settings);
}

std::vector<HostStateChange> HostSet::update(Timestamp now, const std::vector<HostSpec>& specs,
                                             Random& random) {
    Changes changes;
    const HostState initial_state = inventory_version_ == 0 ? HostState::ready : HostState::warming_up;
    const IdsByName known_hosts = hosts_of_last_inventory();
    ++inventory_version_;
    listed_hosts_.clear();
    for (const HostSpec& spec : specs) {
        const HostId host_id = find_or_add(now, spec, known_hosts, random);
        apply_spec(now, host_id, spec, initial_state, changes);
        listed_hosts_.push_back(host_id);
    }
    drain_unlisted(now, changes);
    update_panic_mode();
    return changes;
}

HostSet::IdsByName HostSet::hosts_of_last_inventory() const {
    IdsByName known_hosts;
    for (HostId host_id = 0; host_id < hosts_.size(); ++host_id) {
        const HostStatus& host = hosts_[host_id];
        if (host.state != HostState::removed && host.inventory_version == inventory_version_)
            known_hosts[host.spec.name] = host_id;
    }
    return known_hosts;
}

HostId HostSet::find_or_add(Timestamp now, const HostSpec& spec, const IdsByName& known_hosts,
                            Random& random) {
    const auto it = known_hosts.find(spec.name);
    // An entry with another address or protocol is another host, even under the same name: two hosts may swap
    // addresses.
    const bool is_same_host = it != known_hosts.end() && hosts_[it->second].spec.address == spec.address &&
                              hosts_[it->second].spec.protocol == spec.protocol;
    if (is_same_host)
        return it->second;
    const HostId host_id = allocate_id();
    hosts_[host_id] = HostStatus{};
    const auto interval = static_cast<std::uint32_t>(settings_.health_check_interval.count());
    hosts_[host_id].next_health_check = now + Duration(random(interval + 1U));
    return host_id;
}

HostId HostSet::allocate_id() {
    if (free_ids_.empty()) {
        hosts_.emplace_back();
        return static_cast<HostId>(hosts_.size() - 1);
    }
    const HostId host_id = free_ids_.back();
    free_ids_.pop_back();
    return host_id;
}

void HostSet::apply_spec(Timestamp now, HostId host_id, const HostSpec& spec, HostState initial_state,
                         Changes& changes) {
    HostStatus& host = hosts_[host_id];
    host.spec = spec;
    host.inventory_version = inventory_version_;
    if (host.state == HostState::removed)
        transition(now, host_id, initial_state, "added to the inventory", changes);
    if (spec.drain_requested)
        transition(now, host_id, HostState::draining, "drain requested in the inventory", changes);
    if (!spec.drain_requested && host.state == HostState::draining)
        transition(now, host_id, HostState::warming_up, "drain request withdrawn", changes);
}

void HostSet::drain_unlisted(Timestamp now, Changes& changes) {
    for (HostId host_id = 0; host_id < hosts_.size(); ++host_id) {
        const HostStatus& host = hosts_[host_id];
        if (host.state == HostState::removed || host.inventory_version == inventory_version_)
            continue;
        transition(now, host_id, HostState::draining, "removed from the inventory", changes);
        remove_if_drained(now, host_id, changes);
    }
}

void HostSet::remove_if_drained(Timestamp now, HostId host_id, Changes& changes) {
    const HostStatus& host = hosts_[host_id];
    const bool is_listed = host.inventory_version == inventory_version_;
    if (host.state != HostState::draining || host.calls_in_flight != 0 || is_listed)
        return;
    transition(now, host_id, HostState::removed, "no calls in flight", changes);
    free_ids_.push_back(host_id);
}

std::vector<HostStateChange> HostSet::on_call_finished(Timestamp now, HostId host_id, CallResult result,
                                                       Duration latency) {
    Changes changes;
    HostStatus& host = hosts_[host_id];
    if (host.calls_in_flight > 0)
        --host.calls_in_flight;
    OutlierDetector::record_call(host, result, latency);
    if (result == CallResult::ok && host.state == HostState::ready)
        host.consecutive_ejections = 0;
    apply_assessment(now, host_id, changes);
    remove_if_drained(now, host_id, changes);
    if (!changes.empty())
        update_panic_mode();
    return changes;
}

std::vector<HostStateChange> HostSet::on_call_cancelled(Timestamp now, HostId host_id) {
    Changes changes;
    HostStatus& host = hosts_[host_id];
    if (host.calls_in_flight > 0)
        --host.calls_in_flight;
    remove_if_drained(now, host_id, changes);
    return changes;
}

std::vector<HostStateChange> HostSet::on_health_check(Timestamp now, HostId host_id, CallResult result) {
    Changes changes;
    HostStatus& host = hosts_[host_id];
    if (host.state == HostState::removed)
        return changes;
    if (result != CallResult::ok) {
        ++host.consecutive_failures;
        apply_assessment(now, host_id, changes);
    } else if (host.state == HostState::suspect) {
        host.consecutive_failures = 0;
        apply_assessment(now, host_id, changes);
    }
    if (!changes.empty())
        update_panic_mode();
    return changes;
}

void HostSet::transition(Timestamp now, HostId host_id, HostState new_state, const char* reason,
                         Changes& changes) {
    HostStatus& host = hosts_[host_id];
    if (host.state == new_state)
        return;
    if (host.state == HostState::ejected)
        --ejected_count_;
    if (new_state == HostState::ejected)
        ++ejected_count_;
    changes.push_back({host_id, host.state, new_state, reason});
    host.state = new_state;
    host.state_since = now;
}

void HostSet::apply_assessment(Timestamp now, HostId host_id, Changes& changes) {
    const HostState state = hosts_[host_id].state;
    switch (outlier_detector_.assess(hosts_[host_id])) {
        case HealthAssessment::too_many_consecutive_failures:
            return eject(now, host_id, "too many consecutive failures", changes);
        case HealthAssessment::failure_rate_too_high:
            return eject(now, host_id, "failure rate too high", changes);
        case HealthAssessment::failing:
            if (state == HostState::ready || state == HostState::warming_up)
                transition(now, host_id, HostState::suspect, "consecutive failures", changes);
            return;
        case HealthAssessment::succeeding:
            // The host returns through slow start; otherwise all processes would send calls to it at once.
            if (state == HostState::suspect)
                transition(now, host_id, HostState::warming_up, "calls succeed again", changes);
            return;
        case HealthAssessment::inconclusive:
            return;
    }
}

void HostSet::eject(Timestamp now, HostId host_id, const char* reason, Changes& changes) {
    HostStatus& host = hosts_[host_id];
    if (host.state == HostState::ejected || host.state == HostState::draining ||
        host.state == HostState::removed)
        return;
    // Prevents ejecting all hosts when a dependency that they share fails.
    if (!outlier_detector_.can_eject(listed_hosts_.size(), ejected_count_)) {
        transition(now, host_id, HostState::suspect, reason, changes);
        return;
    }
    ++host.consecutive_ejections;
    host.ejected_until = now + outlier_detector_.ejection_time(host.consecutive_ejections);
    transition(now, host_id, HostState::ejected, reason, changes);
    update_panic_mode();
}

std::vector<HostStateChange> HostSet::tick(Timestamp now) {
    Changes changes;
    for (const HostId host_id : listed_hosts_)
        end_expired_state(now, host_id, changes);
    eject_slow_hosts(now, changes);
    update_panic_mode();
    return changes;
}

void HostSet::end_expired_state(Timestamp now, HostId host_id, Changes& changes) {
    HostStatus& host = hosts_[host_id];
    if (host.state == HostState::ejected && now >= host.ejected_until) {
        // The count starts at the suspect threshold, so that fewer further failures eject the host again.
        host.consecutive_failures = settings_.suspect_after_failures;
        host.failure_rate = 0.0;
        host.sample_calls = 0.0;
        host.mean_latency_s = 0.0;
        transition(now, host_id, HostState::suspect, "ejection time elapsed", changes);
    }
    if (host.state == HostState::warming_up && now - host.state_since >= settings_.slow_start_time)
        transition(now, host_id, HostState::ready, "slow start finished", changes);
}

void HostSet::eject_slow_hosts(Timestamp now, Changes& changes) {
    std::vector<double> latencies_s;
    for (const HostId host_id : listed_hosts_) {
        const HostStatus& host = hosts_[host_id];
        if (host.state == HostState::ready && host.mean_latency_s > 0.0)
            latencies_s.push_back(host.mean_latency_s);
    }
    const std::optional<double> limit_s = outlier_detector_.update_latency_limit_s(std::move(latencies_s));
    if (!limit_s)
        return;
    for (const HostId host_id : listed_hosts_) {
        const HostStatus& host = hosts_[host_id];
        if (host.state == HostState::ready && OutlierDetector::is_slow(host, *limit_s))
            eject(now, host_id, "latency too high", changes);
    }
}

std::vector<HostId> HostSet::take_due_health_checks(Timestamp now, Random& random) {
    std::vector<HostId> due;
    const auto interval = static_cast<std::uint32_t>(settings_.health_check_interval.count());
    for (const HostId host_id : listed_hosts_) {
        HostStatus& host = hosts_[host_id];
        if (host.state == HostState::draining || now < host.next_health_check)
            continue;
        host.next_health_check = now + settings_.health_check_interval + Duration(random(interval + 1U));
        // Ready hosts with calls are assessed by their calls and need no health check.
        if (host.state != HostState::ready || host.sample_calls == 0.0)
            due.push_back(host_id);
    }
    return due;
}

void HostSet::update_panic_mode() {
    std::size_t usable_count = 0;
    std::size_t host_count = 0;
    for (const HostId host_id : listed_hosts_) {
        const HostState state = hosts_[host_id].state;
        if (state == HostState::draining)
            continue;
        ++host_count;
        if (state == HostState::ready || state == HostState::warming_up)
            ++usable_count;
    }
    const double min_usable = settings_.panic_threshold * static_cast<double>(host_count);
    in_panic_mode_ = host_count > 0 && static_cast<double>(usable_count) < min_usable;
}

bool HostSet::is_usable(HostId host_id) const {
    const HostState state = hosts_[host_id].state;
    return state != HostState::removed && state != HostState::draining &&
           (in_panic_mode_ || state != HostState::ejected);
}

double HostSet::traffic_fraction(Timestamp now, HostId host_id) const {
    const HostStatus& host = hosts_[host_id];
    if (!is_usable(host_id))
        return 0.0;
    if (in_panic_mode_ || host.state == HostState::ready)
        return 1.0;
    if (host.state == HostState::suspect)
        return settings_.min_traffic_fraction;
    const double warm_up_progress = static_cast<double>((now - host.state_since).count()) /
                                    static_cast<double>(settings_.slow_start_time.count());
    return std::clamp(warm_up_progress, settings_.min_traffic_fraction, 1.0);
}

}  // namespace cressledge::upstream_health
