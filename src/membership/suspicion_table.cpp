#include "membership/suspicion_table.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::membership {
namespace {

/// Fraction of the suspicion timeout after which the member is pinged once more.
constexpr double recheck_fraction = 0.6;

/// Returns the suspicion timeout. It decreases from the maximum to the minimum with the logarithm of the number of
/// confirmations (Lifeguard, section 4.2).
Duration suspicion_duration(const SuspicionTiming& timing, unsigned confirmations) {
    if (timing.confirmations_needed == 0)
        return timing.min;
    const double progress = std::log(confirmations + 1.0) / std::log(timing.confirmations_needed + 1.0);
    return std::max(timing.min, timing.max - scaled(timing.max - timing.min, progress));
}

bool contains(const std::vector<MemberIndex>& members, MemberIndex member) {
    return std::find(members.begin(), members.end(), member) != members.end();
}

}  // namespace

void SuspicionTable::start(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
                           const SuspicionTiming& timing) {
    Suspicion& suspicion = suspicions_[member];
    suspicion = {};
    suspicion.started_at = now;
    suspicion.is_raised_locally = origin == SuspicionOrigin::local_probe;
    suspicion.accusers.push_back(accuser);
    reschedule(now, member, suspicion, timing);
}

bool SuspicionTable::confirm(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
                             unsigned max_confirmations, const SuspicionTiming& timing) {
    Suspicion& suspicion = suspicions_.at(member);
    if (origin == SuspicionOrigin::local_probe)
        suspicion.is_raised_locally = true;
    if (suspicion.confirmations >= max_confirmations || contains(suspicion.accusers, accuser))
        return false;
    suspicion.accusers.push_back(accuser);
    ++suspicion.confirmations;
    reschedule(now, member, suspicion, timing);
    return true;
}

void SuspicionTable::reschedule(Timestamp now, MemberIndex member, Suspicion& suspicion,
                                const SuspicionTiming& timing) {
    timers_.erase({suspicion.next_deadline(), member});
    const Duration duration = suspicion_duration(timing, suspicion.confirmations);
    suspicion.expires_at = suspicion.started_at + duration;
    suspicion.recheck_at = std::max(now, suspicion.started_at + scaled(duration, recheck_fraction));
    // Confirmations may move the expiry close to the present, but the answer to the recheck needs time to arrive.
    if (!suspicion.is_rechecked)
        suspicion.expires_at = std::max(suspicion.expires_at, suspicion.recheck_at + timing.recheck_timeout);
    timers_.insert({suspicion.next_deadline(), member});
}

void SuspicionTable::end(MemberIndex member) {
    const auto it = suspicions_.find(member);
    if (it == suspicions_.end())
        return;
    timers_.erase({it->second.next_deadline(), member});
    suspicions_.erase(it);
}

std::optional<SuspicionTable::Due> SuspicionTable::pop_due(Timestamp now) {
    if (timers_.empty() || timers_.begin()->at > now)
        return std::nullopt;
    const MemberIndex member = timers_.begin()->member;
    timers_.erase(timers_.begin());
    Suspicion& suspicion = suspicions_.at(member);
    if (suspicion.is_rechecked)
        return Due{member, DueAction::declare_dead};
    suspicion.is_rechecked = true;
    timers_.insert({suspicion.expires_at, member});
    return Due{member, DueAction::recheck};
}

void SuspicionTable::postpone(Duration delay) {
    timers_.clear();
    for (auto& [member, suspicion] : suspicions_) {
        suspicion.started_at += delay;
        suspicion.expires_at += delay;
        suspicion.recheck_at += delay;
        timers_.insert({suspicion.next_deadline(), member});
    }
}

Timestamp SuspicionTable::next_deadline() const {
    return timers_.empty() ? never : timers_.begin()->at;
}

std::vector<MemberIndex> SuspicionTable::raised_locally() const {
    std::vector<MemberIndex> members;
    for (const auto& [member, suspicion] : suspicions_)
        if (suspicion.is_raised_locally)
            members.push_back(member);
    return members;
}

}  // namespace cressledge::membership
