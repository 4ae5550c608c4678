/// Builds the messages of a membership table and puts the updates into them that are still to be spread (SWIM, section
/// 4.1), and sends gossip rounds while there are any. Which state is true is not decided here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/broadcast_queue.hpp"
#include "membership/effects.hpp"
#include "membership/membership_state.hpp"
#include "membership/message.hpp"

namespace cressledge::membership {

/// The dissemination component of SWIM, with Lifeguard's buddy system: a member that is suspected hears of it first.
class Disseminator {
public:
    /// `state` has to outlive the disseminator.
    explicit Disseminator(MembershipState& state) : state_(state) {}

    /// Sets the first gossip round at a random time within the interval, so that a fleet that was started at once
    /// does not send at once ever after.
    void start(Timestamp now);

    /// Sends a gossip round if one is due.
    void tick(Timestamp now, Effects& effects);

    /// When `tick` is due; `never` while there is nothing to send.
    Timestamp next_deadline() const;

    /// Queues the member's present state to be spread.
    void announce(MemberIndex member);

    /// Stops spreading the member's state.
    void cancel(MemberIndex member) { broadcasts_.remove(member); }

    /// Drops all that is still to be spread.
    void clear() { broadcasts_.clear(); }

    /// Whether the member's state is still to be spread.
    bool is_pending(MemberIndex member) const { return broadcasts_.contains(member); }

    /// Sets the time of the next gossip round.
    void gossip_at(Timestamp time) { next_gossip_at_ = time; }

    /// Moves the next gossip round to this time if it would be later.
    void gossip_by(Timestamp time);

    /// Has a dead member asked in one of the next rounds whether it is alive after all.
    void request_recheck(MemberIndex member);

    /// Ends the claims of a member that is forgotten.
    void forget(MemberIndex member);

    /// This process's claim about itself.
    MemberUpdate local_update() const;

    /// A message of this process, without updates.
    Message make_message(MessageType type, std::uint32_t sequence) const;

    /// A message with the whole table.
    Message full_state(MessageType type) const;

    /// Adds updates to the message and sends it. `recipient`: `no_member` if it is not known.
    void send(const Endpoint& destination, Message message, MemberIndex recipient, Effects& effects);

    /// As `send`, to a process that gave its start time: it is notified if a later one holds its id.
    void send(const Endpoint& destination, Message message, MemberIndex recipient,
              std::uint64_t recipient_start_time_us, Effects& effects);

    /// Probes a known member.
    void ping(MemberIndex member, std::uint32_t sequence, Effects& effects);

private:
    MemberUpdate update_of(MemberIndex member, const MemberRecord& record) const;
    void piggyback_updates(Message& message, MemberIndex recipient, std::uint64_t recipient_start_time_us);
    bool needs_update_about_itself(MemberIndex recipient, std::uint64_t recipient_start_time_us) const;
    unsigned max_transmissions() const;
    void ping_recheck_candidates(Effects& effects);

    MembershipState& state_;
    BroadcastQueue broadcasts_;
    /// Dead in this table and alive in another's.
    std::vector<MemberIndex> recheck_candidates_;
    Timestamp next_gossip_at_{0};
};

}  // namespace cressledge::membership
