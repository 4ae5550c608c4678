#include "membership/update_merger.hpp"

#include <algorithm>
#include <optional>

namespace cressledge::membership {

void UpdateMerger::apply_message(Timestamp now, const Message& message, UpdateSource source,
                                 Effects& effects) {
    apply(now, message.sender, source, effects);
    for (const MemberUpdate& update : message.updates)
        apply(now, update, source, effects);
}

void UpdateMerger::apply(Timestamp now, const MemberUpdate& update, UpdateSource source, Effects& effects) {
    if (update.id == state_.local.id)
        return apply_about_self(now, update, effects);
    const MemberIndex member = state_.indices.find(update.id);
    const MemberRecord* record = state_.records.find(member);
    if (record == nullptr) {
        if (!is_departed(update.state))
            add_member(now, update, effects);
        return;
    }
    if (update.start_time_us < record->start_time_us)
        return;
    if (update.start_time_us > record->start_time_us)
        return apply_newer_process(now, member, update, effects);
    switch (update.state) {
        case MemberState::alive:
            return apply_alive(now, member, update, source, effects);
        case MemberState::suspect:
            return apply_suspect(now, member, update, effects);
        case MemberState::dead:
            return apply_dead(now, member, update, source, effects);
        case MemberState::left:
            return apply_left(now, member, update, effects);
    }
}

void UpdateMerger::apply_newer_process(Timestamp now, MemberIndex member, const MemberUpdate& update,
                                       Effects& effects) {
    MemberRecord& record = state_.records.at(member);
    if (!is_departed(record.state) && record.endpoint != update.endpoint)
        ++state_.counters.id_conflicts;
    state_.suspicions.end(member);
    record.start_time_us = update.start_time_us;
    record.endpoint = update.endpoint;
    record.incarnation = update.incarnation;
    set_state(now, member, is_departed(update.state) ? update.state : MemberState::alive, effects);
    if (update.state == MemberState::suspect)
        apply_reported_suspicion(now, member, update, effects);
}

void UpdateMerger::apply_alive(Timestamp now, MemberIndex member, const MemberUpdate& update,
                               UpdateSource source, Effects& effects) {
    MemberRecord& record = state_.records.at(member);
    if (update.incarnation > record.incarnation) {
        record.incarnation = update.incarnation;
        // A claim with a higher incarnation comes from the member itself, whose endpoint may have changed.
        record.endpoint = update.endpoint;
        if (record.state == MemberState::suspect)
            ++state_.counters.suspicions_refuted;
        set_state(now, member, MemberState::alive, effects);
    } else if (record.state == MemberState::dead && source == UpdateSource::exchange) {
        disseminator_.request_recheck(member);
    }
}

void UpdateMerger::apply_suspect(Timestamp now, MemberIndex member, const MemberUpdate& update,
                                 Effects& effects) {
    MemberRecord& record = state_.records.at(member);
    if (update.incarnation < record.incarnation)
        return;
    if (is_departed(record.state) && update.incarnation == record.incarnation)
        return;
    if (update.incarnation > record.incarnation) {
        record.incarnation = update.incarnation;
        if (is_departed(record.state))
            set_state(now, member, MemberState::alive, effects);
        if (record.state == MemberState::suspect)
            disseminator_.announce(member);
    }
    apply_reported_suspicion(now, member, update, effects);
}

void UpdateMerger::apply_dead(Timestamp now, MemberIndex member, const MemberUpdate& update,
                              UpdateSource source, Effects& effects) {
    MemberRecord& record = state_.records.at(member);
    if (update.incarnation < record.incarnation || is_departed(record.state))
        return;
    record.incarnation = update.incarnation;
    // After a partition heals, each side's table lists the other side's members as dead. They are only suspected here,
    // so that live members can refute the claim.
    if (source == UpdateSource::exchange)
        suspect(now, member, state_.local_index, SuspicionOrigin::remote_report, effects);
    else
        set_state(now, member, MemberState::dead, effects);
}

void UpdateMerger::apply_left(Timestamp now, MemberIndex member, const MemberUpdate& update,
                              Effects& effects) {
    MemberRecord& record = state_.records.at(member);
    if (update.incarnation < record.incarnation || record.state == MemberState::left)
        return;
    record.incarnation = update.incarnation;
    set_state(now, member, MemberState::left, effects);
}

void UpdateMerger::add_member(Timestamp now, const MemberUpdate& update, Effects& effects) {
    if (state_.records.known_count() >= state_.settings.max_members) {
        ++state_.counters.rejected_at_capacity;
        return;
    }
    const MemberIndex member = state_.indices.add(update.id);
    MemberRecord record;
    record.changed_at = now;
    record.start_time_us = update.start_time_us;
    record.endpoint = update.endpoint;
    record.incarnation = update.incarnation;
    record.state = MemberState::alive;
    record.is_known = true;
    state_.records.add(member, record, state_.indices.size());
    ++state_.counters.joined;
    state_.probe_order.insert(member);
    effects.changes.push_back(
        {update.id, update.endpoint, std::nullopt, MemberState::alive, update.incarnation, false});
    disseminator_.announce(member);
    if (update.state == MemberState::suspect)
        apply_reported_suspicion(now, member, update, effects);
}

void UpdateMerger::apply_about_self(Timestamp now, const MemberUpdate& update, Effects& effects) {
    if (update.start_time_us > state_.local.start_time_us)
        return apply_newer_claim_to_own_id(update, effects);
    if (update.start_time_us < state_.local.start_time_us || state_.is_leaving)
        return;
    const bool is_false_claim = update.state != MemberState::alive;
    const bool is_outdated = is_false_claim ? update.incarnation < state_.local_incarnation
                                            : update.incarnation <= state_.local_incarnation;
    if (is_outdated)
        return;
    state_.local_incarnation = std::min(update.incarnation + 1, max_incarnation);
    if (is_false_claim) {
        ++state_.counters.own_refutations;
        state_.local_health.degrade();
    }
    disseminator_.announce(state_.local_index);
    // The refutation has to reach the other tables before the suspicion expires there.
    disseminator_.gossip_by(now);
}

void UpdateMerger::apply_newer_claim_to_own_id(const MemberUpdate& update, Effects& effects) {
    LocalMember& local = state_.local;
    // The claim is about an earlier process at this endpoint whose clock was ahead, or about a process that has ended.
    // In both cases the id is free.
    if (update.endpoint == local.endpoint || is_departed(update.state)) {
        local.start_time_us = std::min(update.start_time_us + 1, max_start_time_us);
        state_.local_incarnation = 0;
        state_.is_displaced = false;
        disseminator_.announce(state_.local_index);
        return;
    }
    if (state_.is_displaced)
        return;
    state_.is_displaced = true;
    ++state_.counters.displaced;
    disseminator_.cancel(state_.local_index);
    effects.changes.push_back(
        {local.id, update.endpoint, MemberState::alive, MemberState::alive, update.incarnation, true});
}

void UpdateMerger::set_state(Timestamp now, MemberIndex member, MemberState new_state, Effects& effects) {
    const MemberRecord& record = state_.records.at(member);
    const MemberState old_state = record.state;
    if (old_state != new_state) {
        if (old_state == MemberState::suspect)
            state_.suspicions.end(member);
        state_.records.set_state(member, new_state, now);
        count_transition(old_state, new_state);
        if (is_departed(old_state) && !is_departed(new_state))
            state_.probe_order.insert(member);
        effects.changes.push_back(
            {state_.indices.id(member), record.endpoint, old_state, new_state, record.incarnation, false});
    }
    disseminator_.announce(member);
}

void UpdateMerger::count_transition(MemberState old_state, MemberState new_state) {
    if (is_departed(old_state) == is_departed(new_state))
        return;
    if (!is_departed(new_state))
        ++state_.counters.revived;
    else if (new_state == MemberState::dead)
        ++state_.counters.dead;
    else
        ++state_.counters.left;
}

void UpdateMerger::apply_reported_suspicion(Timestamp now, MemberIndex member, const MemberUpdate& update,
                                            Effects& effects) {
    suspect(now, member, state_.indices.find(update.accuser_id), SuspicionOrigin::remote_report, effects);
}

void UpdateMerger::suspect(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
                           Effects& effects) {
    const MemberState old_state = state_.records.at(member).state;
    if (is_departed(old_state))
        return;
    // An unknown accuser does not count as an independent confirmation.
    if (accuser == no_member)
        accuser = state_.local_index;
    if (old_state != MemberState::suspect) {
        ++state_.counters.members_suspected;
        state_.suspicions.start(now, member, accuser, origin, suspicion_timing());
        return set_state(now, member, MemberState::suspect, effects);
    }
    const unsigned max_confirmations = state_.settings.indirect_probe_count;
    // Confirmations are disseminated too.
    if (state_.suspicions.confirm(now, member, accuser, origin, max_confirmations, suspicion_timing()))
        disseminator_.announce(member);
}

SuspicionTiming UpdateMerger::suspicion_timing() const {
    const MembershipSettings& settings = state_.settings;
    SuspicionTiming timing;
    timing.min = scaled(settings.probe_interval, settings.suspicion_multiplier * state_.log_size_factor());
    timing.max = scaled(timing.min, settings.max_suspicion_multiplier);
    const bool has_enough_members = state_.records.live_count() > settings.indirect_probe_count + 1;
    timing.confirmations_needed = has_enough_members ? settings.indirect_probe_count : 0;
    timing.recheck_timeout = scaled(settings.probe_interval, direct_probe_fraction);
    return timing;
}

void UpdateMerger::forget_departed(Timestamp now) {
    for (const MemberIndex member : state_.records.remove_expired(now, state_.settings.departed_retention)) {
        disseminator_.forget(member);
        state_.probe_order.erase(member);
        if (!state_.shares_indices)
            state_.indices.release(member);
        ++state_.counters.forgotten;
    }
}

}  // namespace cressledge::membership
