#include "membership/disseminator.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "membership/codec.hpp"

namespace cressledge::membership {
namespace {

/// Maximum number of dead members that are pinged in one gossip round.
constexpr std::size_t max_rechecks_per_round = 8;
constexpr std::size_t max_recheck_candidates = 16 * max_rechecks_per_round;
/// Multiplies the gossip fanout of a leaving process, which has only a few rounds left.
constexpr unsigned leaving_fanout_factor = 2;
/// Maximum number of random draws per recipient of a gossip round.
constexpr unsigned draws_per_recipient = 4;

/// Appends updates to a message while they fit into a datagram.
class DatagramFiller {
public:
    explicit DatagramFiller(Message& message)
        : message_(message), free_bytes_(max_datagram_bytes - max_encoded_size(message, max_id_length)) {}

    bool try_append(MemberUpdate update) {
        const std::size_t size = max_encoded_size(update);
        if (size > free_bytes_)
            return false;
        free_bytes_ -= size;
        message_.updates.push_back(std::move(update));
        return true;
    }

private:
    Message& message_;
    std::size_t free_bytes_;
};

}  // namespace

void Disseminator::start(Timestamp now) {
    next_gossip_at_ = now + state_.random.jitter(state_.settings.gossip_interval);
}

void Disseminator::announce(MemberIndex member) {
    if (member == state_.local_index && state_.is_displaced)
        return;
    broadcasts_.push(member);
}

void Disseminator::gossip_by(Timestamp time) {
    next_gossip_at_ = std::min(next_gossip_at_, time);
}

void Disseminator::request_recheck(MemberIndex member) {
    const bool is_requested = std::find(recheck_candidates_.begin(), recheck_candidates_.end(), member) !=
                              recheck_candidates_.end();
    if (recheck_candidates_.size() < max_recheck_candidates && !is_requested)
        recheck_candidates_.push_back(member);
}

void Disseminator::forget(MemberIndex member) {
    broadcasts_.remove(member);
    std::erase(recheck_candidates_, member);
}

MemberUpdate Disseminator::local_update() const {
    const LocalMember& local = state_.local;
    const MemberState own_state = state_.is_leaving ? MemberState::left : MemberState::alive;
    return {local.id, local.endpoint, local.start_time_us, state_.local_incarnation, own_state, {}};
}

MemberUpdate Disseminator::update_of(MemberIndex member, const MemberRecord& record) const {
    MemberUpdate update{state_.indices.id(member), record.endpoint, record.start_time_us,
                        record.incarnation,        record.state,    {}};
    if (record.state == MemberState::suspect) {
        update.accuser_id = state_.indices.id(state_.suspicions.last_accuser(member));
        // The accuser may have been removed from the table, but the wire format requires one for a suspect.
        if (update.accuser_id.empty())
            update.accuser_id = state_.local.id;
    }
    return update;
}

Message Disseminator::make_message(MessageType type, std::uint32_t sequence) const {
    Message message;
    message.type = type;
    message.sequence = sequence;
    message.sender = local_update();
    return message;
}

Message Disseminator::full_state(MessageType type) const {
    Message message = make_message(type, 0);
    state_.records.for_each([&](MemberIndex member, const MemberRecord& record) {
        message.updates.push_back(update_of(member, record));
    });
    return message;
}

unsigned Disseminator::max_transmissions() const {
    return state_.settings.retransmit_multiplier * static_cast<unsigned>(std::ceil(state_.log_size_factor()));
}

bool Disseminator::needs_update_about_itself(MemberIndex recipient,
                                             std::uint64_t recipient_start_time_us) const {
    const MemberRecord* record = state_.records.find(recipient);
    if (record == nullptr)
        return false;
    return record->state != MemberState::alive || recipient_start_time_us < record->start_time_us;
}

void Disseminator::piggyback_updates(Message& message, MemberIndex recipient,
                                     std::uint64_t recipient_start_time_us) {
    DatagramFiller filler(message);
    // A claim about the recipient goes first, so that the recipient can refute it at once (Lifeguard, section 4.3).
    const bool is_recipient_notified = needs_update_about_itself(recipient, recipient_start_time_us) &&
                                       filler.try_append(update_of(recipient, state_.records.at(recipient)));
    std::vector<MemberIndex> transmitted;
    for (const BroadcastRank& rank : broadcasts_.ranked()) {
        // The sender's own state is part of every message.
        const bool is_already_included =
            rank.member == state_.local_index || (is_recipient_notified && rank.member == recipient);
        if (!is_already_included &&
            !filler.try_append(update_of(rank.member, state_.records.at(rank.member))))
            break;
        transmitted.push_back(rank.member);
    }
    broadcasts_.record_transmissions(transmitted, max_transmissions());
}

void Disseminator::send(const Endpoint& destination, Message message, MemberIndex recipient,
                        Effects& effects) {
    send(destination, std::move(message), recipient, max_start_time_us, effects);
}

void Disseminator::send(const Endpoint& destination, Message message, MemberIndex recipient,
                        std::uint64_t recipient_start_time_us, Effects& effects) {
    piggyback_updates(message, recipient, recipient_start_time_us);
    effects.messages.push_back({destination, std::move(message)});
}

void Disseminator::ping(MemberIndex member, std::uint32_t sequence, Effects& effects) {
    Message message = make_message(MessageType::ping, sequence);
    message.target_id = state_.indices.id(member);
    send(state_.records.at(member).endpoint, std::move(message), member, effects);
}

Timestamp Disseminator::next_deadline() const {
    const bool is_idle = broadcasts_.empty() && recheck_candidates_.empty();
    return is_idle ? never : next_gossip_at_;
}

void Disseminator::tick(Timestamp now, Effects& effects) {
    if (next_gossip_at_ > now)
        return;
    next_gossip_at_ = now + state_.settings.gossip_interval;
    ping_recheck_candidates(effects);
    const unsigned fanout = state_.settings.gossip_fanout * (state_.is_leaving ? leaving_fanout_factor : 1);
    std::set<MemberIndex> recipients;
    for (unsigned draw = 0;
         draw < fanout * draws_per_recipient && recipients.size() < fanout && !broadcasts_.empty(); ++draw) {
        const MemberIndex member = state_.probe_order.random_live_member();
        if (member == no_member)
            break;
        if (recipients.insert(member).second)
            send(state_.records.at(member).endpoint, make_message(MessageType::gossip, 0), member, effects);
    }
    // No live member is left to notify.
    if (state_.is_leaving && state_.records.live_count() == 0)
        broadcasts_.remove(state_.local_index);
}

void Disseminator::ping_recheck_candidates(Effects& effects) {
    for (std::size_t i = 0; i < max_rechecks_per_round && !recheck_candidates_.empty(); ++i) {
        const MemberIndex member = recheck_candidates_.back();
        recheck_candidates_.pop_back();
        const MemberRecord* record = state_.records.find(member);
        if (record != nullptr && record->state == MemberState::dead)
            ping(member, state_.next_sequence(), effects);
    }
}

}  // namespace cressledge::membership
