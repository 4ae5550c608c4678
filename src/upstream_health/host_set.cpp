#include "upstream_health/host_set.hpp"

#include <algorithm>
#include <unordered_map>

namespace cressledge::upstream_health {
namespace {

constexpr double min_smoothing_factor = 0.1, median_smoothing_factor = 0.2;
constexpr double min_sample_calls = 10.0;  // below, a share of failures or a mean says little

}  // namespace

const char* to_string(HostState state) {
    static constexpr const char* words[] = {"joining", "ready", "suspect", "ejected", "draining", "gone"};
    return words[static_cast<std::size_t>(state)];
}

void HostSet::transition(Timestamp now, HostId host_id, HostState new_state, const char* reason,
                         std::vector<HostStateChange>& changes) {
    HostStatus& m = hosts_[host_id];
    if (m.state == new_state)
        return;
    if (m.state == HostState::ejected)
        --ejected_count_;
    if (new_state == HostState::ejected)
        ++ejected_count_;
    changes.push_back({host_id, m.state, new_state, reason});
    m.state = new_state;
    m.state_since = now;
}

void HostSet::remove_if_drained(Timestamp now, HostId host_id, std::vector<HostStateChange>& changes) {
    HostStatus& m = hosts_[host_id];
    if (m.state != HostState::draining || m.calls_in_flight != 0)
        return;
    const bool listed = m.inventory_version == inventory_version_;
    if (listed)
        return;  // the inventory keeps it, draining
    transition(now, host_id, HostState::removed, "nothing is in hand", changes);
    free_ids_.push_back(host_id);
}

std::vector<HostStateChange> HostSet::update(Timestamp now, const std::vector<HostSpec>& specs,
                                             Random& random) {
    std::vector<HostStateChange> changes;
    const bool first = inventory_version_ == 0;
    ++inventory_version_;
    std::unordered_map<std::string, HostId> known;
    for (HostId host_id = 0; host_id < hosts_.size(); ++host_id)
        if (hosts_[host_id].state != HostState::removed &&
            hosts_[host_id].inventory_version + 1 == inventory_version_)
            known[hosts_[host_id].spec.name] = host_id;
    listed_hosts_.clear();
    for (const HostSpec& spec : specs) {
        const auto it = known.find(spec.name);
        // Another address is another server, whatever its name: guards against two that swap theirs.
        const bool is_same_host = it != known.end() && hosts_[it->second].spec.address == spec.address &&
                                  hosts_[it->second].spec.protocol == spec.protocol;
        HostId host_id = is_same_host ? it->second : no_host;
        if (!is_same_host) {
            if (free_ids_.empty()) {
                hosts_.emplace_back();
                host_id = static_cast<HostId>(hosts_.size() - 1);
            } else {
                host_id = free_ids_.back();
                free_ids_.pop_back();
            }
            hosts_[host_id] = HostStatus{};
            hosts_[host_id].next_health_check =
                now +
                Duration(random(static_cast<std::uint32_t>(settings_.health_check_interval.count()) + 1U));
        }
        HostStatus& m = hosts_[host_id];
        m.spec = spec;
        m.inventory_version = inventory_version_;
        if (m.state == HostState::removed)
            transition(now, host_id, first ? HostState::ready : HostState::warming_up, "in the inventory",
                       changes);
        if (spec.drain_requested)
            transition(now, host_id, HostState::draining, "drained by the inventory", changes);
        if (!spec.drain_requested && m.state == HostState::draining)
            transition(now, host_id, HostState::warming_up, "no longer drained", changes);
        listed_hosts_.push_back(host_id);
    }
    for (HostId host_id = 0; host_id < hosts_.size(); ++host_id) {
        if (hosts_[host_id].state == HostState::removed ||
            hosts_[host_id].inventory_version == inventory_version_)
            continue;
        transition(now, host_id, HostState::draining, "not in the inventory", changes);
        remove_if_drained(now, host_id, changes);
    }
    update_panic_mode();
    return changes;
}

void HostSet::eject(Timestamp now, HostId host_id, const char* reason,
                    std::vector<HostStateChange>& changes) {
    HostStatus& m = hosts_[host_id];
    if (m.state == HostState::ejected || m.state == HostState::draining || m.state == HostState::removed)
        return;
    // Guards against ejecting a fleet whose common dependency is what fails. One may always go, of two or more.
    const auto most =
        std::max<double>(1.0, settings_.max_ejected_fraction * static_cast<double>(listed_hosts_.size()));
    if (listed_hosts_.size() < 2 || static_cast<double>(ejected_count_ + 1) > most) {
        if (m.state != HostState::suspect)
            transition(now, host_id, HostState::suspect, reason, changes);
        return;
    }
    ++m.consecutive_ejections;
    Duration length = settings_.base_ejection_time;
    for (std::uint32_t i = 1; i < m.consecutive_ejections && length < settings_.max_ejection_time; ++i)
        length *= 2;
    m.ejected_until = now + std::min(length, settings_.max_ejection_time);
    transition(now, host_id, HostState::ejected, reason, changes);
    update_panic_mode();
}

void HostSet::evaluate(Timestamp now, HostId host_id, std::vector<HostStateChange>& changes) {
    HostStatus& m = hosts_[host_id];
    if (m.consecutive_failures >= settings_.eject_after_failures)
        return eject(now, host_id, "failures in a row", changes);
    if (m.sample_calls >= min_sample_calls && m.failure_rate > settings_.max_failure_rate)
        return eject(now, host_id, "most calls fail", changes);
    if (m.consecutive_failures >= settings_.suspect_after_failures &&
        (m.state == HostState::ready || m.state == HostState::warming_up))
        transition(now, host_id, HostState::suspect, "failures", changes);
    if (m.consecutive_failures == 0 && m.state == HostState::suspect) {
        transition(now, host_id, HostState::warming_up, "calls go well again",
                   changes);  // through slow start: no herd on its return
    }
}

std::vector<HostStateChange> HostSet::on_call_finished(Timestamp now, HostId host_id, CallResult result,
                                                       Duration latency) {
    std::vector<HostStateChange> changes;
    HostStatus& m = hosts_[host_id];
    if (m.calls_in_flight > 0)
        --m.calls_in_flight;
    const bool good = result == CallResult::ok;
    m.sample_calls = std::min(m.sample_calls + 1.0, 1e6);
    const double g = std::max(min_smoothing_factor, 1.0 / m.sample_calls);
    m.failure_rate += g * ((good ? 0.0 : 1.0) - m.failure_rate);
    m.consecutive_failures = good ? 0 : m.consecutive_failures + 1;
    if (good) {
        const double seconds = static_cast<double>(latency.count()) * 1e-6;
        m.mean_latency_s += (m.mean_latency_s <= 0.0 ? 1.0 : g) * (seconds - m.mean_latency_s);
        if (m.state == HostState::ready)
            m.consecutive_ejections = 0;
    }
    evaluate(now, host_id, changes);
    remove_if_drained(now, host_id, changes);
    if (!changes.empty())
        update_panic_mode();
    return changes;
}

std::vector<HostStateChange> HostSet::on_call_cancelled(Timestamp now, HostId host_id) {
    std::vector<HostStateChange> changes;
    HostStatus& m = hosts_[host_id];
    if (m.calls_in_flight > 0)
        --m.calls_in_flight;
    remove_if_drained(now, host_id, changes);
    return changes;
}

std::vector<HostStateChange> HostSet::on_health_check(Timestamp now, HostId host_id, CallResult result) {
    std::vector<HostStateChange> changes;
    HostStatus& m = hosts_[host_id];
    if (m.state == HostState::removed)
        return changes;
    if (result != CallResult::ok) {
        ++m.consecutive_failures;
        evaluate(now, host_id, changes);
    } else if (m.state == HostState::suspect) {
        m.consecutive_failures = 0;
        evaluate(now, host_id, changes);
    }
    if (!changes.empty())
        update_panic_mode();
    return changes;
}

std::vector<HostStateChange> HostSet::tick(Timestamp now) {
    std::vector<HostStateChange> changes;
    std::vector<double> times;
    for (const HostId no : listed_hosts_) {
        HostStatus& m = hosts_[no];
        if (m.state == HostState::ejected && now >= m.ejected_until) {
            m.consecutive_failures =
                settings_.suspect_after_failures;  // one more failure in a row is not forgiven for long
            m.failure_rate = 0.0;
            m.sample_calls = 0.0;
            m.mean_latency_s = 0.0;
            transition(now, no, HostState::suspect, "its time is over", changes);
        }
        if (m.state == HostState::warming_up && now - m.state_since >= settings_.slow_start_time)
            transition(now, no, HostState::ready, "slow start is over", changes);
        if (m.state == HostState::ready && m.mean_latency_s > 0.0)
            times.push_back(m.mean_latency_s);
    }
    if (!times.empty()) {
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), middle, times.end());
        typical_latency_s_ +=
            (typical_latency_s_ <= 0.0 ? 1.0 : median_smoothing_factor) * (*middle - typical_latency_s_);
        if (times.size() >= 4)  // of fewer the median is one of those it judges
            for (const HostId no : listed_hosts_) {
                const HostStatus& m = hosts_[no];
                if (m.state == HostState::ready && m.sample_calls >= min_sample_calls &&
                    m.mean_latency_s > settings_.max_latency_ratio * *middle)
                    eject(now, no, "far slower than its peers", changes);
            }
    }
    update_panic_mode();
    return changes;
}

std::vector<HostId> HostSet::take_due_health_checks(Timestamp now, Random& random) {
    std::vector<HostId> due;
    const auto every = static_cast<std::uint32_t>(settings_.health_check_interval.count());
    for (const HostId no : listed_hosts_) {
        HostStatus& m = hosts_[no];
        if (m.state == HostState::draining || now < m.next_health_check)
            continue;
        m.next_health_check = now + settings_.health_check_interval + Duration(random(every + 1U));
        // Those that carry calls are judged by them.
        if (m.state != HostState::ready || m.sample_calls == 0.0)
            due.push_back(no);
    }
    return due;
}

void HostSet::update_panic_mode() {
    std::size_t usable_now = 0, in_all = 0;
    for (const HostId no : listed_hosts_) {
        const HostStatus& m = hosts_[no];
        if (m.state == HostState::draining)
            continue;
        ++in_all;
        usable_now += m.state == HostState::ready || m.state == HostState::warming_up ? 1 : 0;
    }
    in_panic_mode_ = in_all > 0 && static_cast<double>(usable_now) <
                                       settings_.panic_threshold * static_cast<double>(in_all);
}

bool HostSet::is_usable(HostId host_id) const {
    const HostState s = hosts_[host_id].state;
    return s != HostState::removed && s != HostState::draining && (in_panic_mode_ || s != HostState::ejected);
}

double HostSet::traffic_fraction(Timestamp now, HostId host_id) const {
    const HostStatus& m = hosts_[host_id];
    if (!is_usable(host_id))
        return 0.0;
    if (in_panic_mode_ || m.state == HostState::ready)
        return 1.0;
    if (m.state == HostState::suspect)
        return settings_.min_traffic_fraction;
    const double part = static_cast<double>((now - m.state_since).count()) /
                        static_cast<double>(settings_.slow_start_time.count());
    return std::clamp(part, settings_.min_traffic_fraction, 1.0);
}

}  // namespace cressledge::upstream_health
