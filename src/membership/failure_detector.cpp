#include "membership/failure_detector.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace cressledge::membership {
namespace {

/// Timeout of a relayed probe, as a fraction of the probe interval.
constexpr double relay_fraction = 0.5;
/// Maximum number of random draws per relay that is to be chosen.
constexpr unsigned draws_per_relay = 4;

}  // namespace

void FailureDetector::start(Timestamp now) {
    next_period_at_ = now + state_.random.jitter(state_.settings.probe_interval);
}

Timestamp FailureDetector::next_deadline() const {
    Timestamp earliest = std::min(state_.suspicions.next_deadline(), relays_.next_deadline());
    if (!state_.is_leaving)
        earliest = std::min(earliest, next_period_at_);
    if (probe_ && probe_->phase == ProbePhase::direct)
        earliest = std::min(earliest, probe_->indirect_at);
    return earliest;
}

void FailureDetector::tick(Timestamp now, Effects& effects) {
    if (probe_ && probe_->phase == ProbePhase::direct && probe_->indirect_at <= now)
        send_indirect_probes(effects);
    if (!state_.is_leaving && next_period_at_ <= now) {
        evaluate_probe(now, effects);
        start_period(now, effects);
    }
    handle_due_suspicions(now, effects);
    expire_relays(now, effects);
}

void FailureDetector::evaluate_probe(Timestamp now, Effects& effects) {
    if (!probe_)
        return;
    const Probe probe = *std::exchange(probe_, std::nullopt);
    if (probe.phase == ProbePhase::answered)
        return state_.local_health.improve();
    const MemberRecord* record = state_.records.find(probe.target);
    if (record == nullptr || record->start_time_us != probe.target_start_time_us ||
        is_departed(record->state))
        return;
    // If even the relays did not send a nack, the fault may be local to this process.
    const bool are_relays_reachable =
        probe.nacks_expected > 0 && probe.nacks_received >= probe.nacks_expected;
    if (are_relays_reachable)
        state_.local_health.improve();
    else
        state_.local_health.degrade();
    ++state_.counters.suspicions_raised;
    merger_.suspect(now, probe.target, state_.local_index, SuspicionOrigin::local_probe, effects);
}

void FailureDetector::start_period(Timestamp now, Effects& effects) {
    const Duration period = state_.settings.probe_interval * state_.local_health.multiplier();
    next_period_at_ += period;
    // After a delay the period is restarted, so that a probe always has the full period.
    if (next_period_at_ <= now)
        next_period_at_ = now + period;
    ping_local_suspects(effects);
    const MemberIndex target = state_.probe_order.next();
    if (target == no_member)
        return;
    ++state_.counters.probes;
    Probe probe;
    probe.target = target;
    probe.target_start_time_us = state_.records.at(target).start_time_us;
    probe.sequence = state_.next_sequence();
    probe.indirect_at = now + scaled(period, direct_probe_fraction);
    probe_ = probe;
    disseminator_.ping(target, probe.sequence, effects);
}

// Members that this process suspects are pinged in each period until they answer or are declared dead.
void FailureDetector::ping_local_suspects(Effects& effects) {
    for (const MemberIndex member : state_.suspicions.raised_locally())
        disseminator_.ping(member, state_.next_sequence(), effects);
}

// The target is also pinged directly once more, so that one lost datagram does not cause a suspicion.
void FailureDetector::send_indirect_probes(Effects& effects) {
    probe_->phase = ProbePhase::indirect;
    disseminator_.ping(probe_->target, probe_->sequence, effects);
    const unsigned count = state_.settings.indirect_probe_count;
    std::set<MemberIndex> chosen_relays;
    for (unsigned draw = 0; draw < count * draws_per_relay && chosen_relays.size() < count; ++draw) {
        const MemberIndex relay = state_.probe_order.random_live_member();
        if (relay == no_member || relay == probe_->target)
            continue;
        if (state_.records.at(relay).state != MemberState::alive)
            continue;
        if (chosen_relays.insert(relay).second)
            send_ping_request(relay, effects);
    }
}

void FailureDetector::send_ping_request(MemberIndex relay, Effects& effects) {
    Message request = disseminator_.make_message(MessageType::ping_request, probe_->sequence);
    request.target_id = state_.indices.id(probe_->target);
    request.target_endpoint = state_.records.at(probe_->target).endpoint;
    ++state_.counters.indirect_probes;
    ++probe_->nacks_expected;
    disseminator_.send(state_.records.at(relay).endpoint, std::move(request), relay, effects);
}

void FailureDetector::handle_due_suspicions(Timestamp now, Effects& effects) {
    while (const auto due = state_.suspicions.pop_due(now)) {
        switch (due->action) {
            case SuspicionTable::DueAction::recheck:
                // The suspect's refutation may have been lost, so it is pinged once more before it is declared dead.
                if (!state_.is_leaving)
                    disseminator_.ping(due->member, state_.next_sequence(), effects);
                break;
            case SuspicionTable::DueAction::declare_dead:
                merger_.set_state(now, due->member, MemberState::dead, effects);
                break;
        }
    }
}

void FailureDetector::expire_relays(Timestamp now, Effects& effects) {
    for (const Relay& relay : relays_.take_expired(now)) {
        Message nack = disseminator_.make_message(MessageType::nack, relay.requester_sequence);
        disseminator_.send(relay.requester, std::move(nack), no_member, effects);
    }
}

void FailureDetector::on_ping(const Message& ping, const Endpoint& from, Effects& effects) {
    if (ping.target_id != state_.local.id) {
        ++state_.counters.misdirected_probes;
        return;
    }
    const MemberIndex sender = state_.indices.find(ping.sender.id);
    Message ack = disseminator_.make_message(MessageType::ack, ping.sequence);
    disseminator_.send(from, std::move(ack), sender, ping.sender.start_time_us, effects);
}

void FailureDetector::on_ping_request(Timestamp now, const Message& request, const Endpoint& from,
                                      Effects& effects) {
    if (relays_.is_full() || state_.is_leaving)
        return;
    const std::uint32_t sequence = state_.next_sequence();
    const Timestamp expires_at = now + scaled(state_.settings.probe_interval, relay_fraction);
    relays_.add(sequence, {from, request.sequence, expires_at});
    Message ping = disseminator_.make_message(MessageType::ping, sequence);
    ping.target_id = request.target_id;
    const MemberIndex target = state_.indices.find(request.target_id);
    disseminator_.send(request.target_endpoint, std::move(ping), target, effects);
}

void FailureDetector::on_ack(const Message& ack, Effects& effects) {
    ++state_.counters.acks;
    if (probe_ && probe_->sequence == ack.sequence)
        probe_->phase = ProbePhase::answered;
    const std::optional<Relay> relay = relays_.take(ack.sequence);
    if (!relay)
        return;
    Message answer = disseminator_.make_message(MessageType::ack, relay->requester_sequence);
    disseminator_.send(relay->requester, std::move(answer), no_member, effects);
}

void FailureDetector::on_nack(const Message& nack) {
    ++state_.counters.nacks;
    if (probe_ && probe_->sequence == nack.sequence)
        ++probe_->nacks_received;
}

void FailureDetector::compensate_stall(Duration stall_duration) {
    probe_.reset();
    state_.suspicions.postpone(stall_duration);
    relays_.clear();
}

}  // namespace cressledge::membership
