/// Builds the messages of a membership table, piggybacks pending updates on them (SWIM, section 4.1), and sends gossip
/// rounds while updates are pending. update_merger.hpp decides which updates are valid.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/broadcast_queue.hpp"
#include "membership/effects.hpp"
#include "membership/membership_state.hpp"
#include "membership/message.hpp"

namespace cressledge::membership {

/// The dissemination component of SWIM, with Lifeguard's buddy system: a message to a suspect always contains the
/// claim about it.
class Disseminator {
public:
    /// `state` must outlive the disseminator.
    explicit Disseminator(MembershipState& state) : state_(state) {}

    /// Schedules the first gossip round at a random time within the interval, so that processes that start at the same
    /// time do not gossip in lockstep.
    void start(Timestamp now);

    /// Sends a gossip round if one is due.
    void tick(Timestamp now, Effects& effects);

    /// Returns when `tick` is due, or `never` if there is nothing to send.
    Timestamp next_deadline() const;

    /// Queues the member's current state for dissemination.
    void announce(MemberIndex member);

    /// Stops the dissemination of the member's state.
    void cancel(MemberIndex member) { broadcasts_.remove(member); }

    /// Discards all pending updates.
    void clear() { broadcasts_.clear(); }

    /// Returns whether the member's state is pending dissemination.
    bool is_pending(MemberIndex member) const { return broadcasts_.contains(member); }

    /// Sets the time of the next gossip round.
    void gossip_at(Timestamp time) { next_gossip_at_ = time; }

    /// Moves the next gossip round to `time` if it is scheduled later.
    void gossip_by(Timestamp time);

    /// Requests a ping to a dead member in one of the next rounds, to check whether it is alive.
    void request_recheck(MemberIndex member);

    /// Discards the pending update and the pending recheck of a member that is removed from the table.
    void forget(MemberIndex member);

    /// Returns this process's claim about itself.
    MemberUpdate local_update() const;

    /// Returns a message from this process without updates.
    Message make_message(MessageType type, std::uint32_t sequence) const;

    /// Returns a message with the full table.
    Message full_state(MessageType type) const;

    /// Piggybacks pending updates on the message and sends it. `recipient` is `no_member` if it is unknown.
    void send(const Endpoint& destination, Message message, MemberIndex recipient, Effects& effects);

    /// Like `send`, for a recipient whose start time is known. It is notified if a process that started later holds
    /// its id.
    void send(const Endpoint& destination, Message message, MemberIndex recipient,
              std::uint64_t recipient_start_time_us, Effects& effects);

    /// Sends a ping to a known member.
    void ping(MemberIndex member, std::uint32_t sequence, Effects& effects);

private:
    MemberUpdate update_of(MemberIndex member, const MemberRecord& record) const;
    void piggyback_updates(Message& message, MemberIndex recipient, std::uint64_t recipient_start_time_us);
    bool needs_update_about_itself(MemberIndex recipient, std::uint64_t recipient_start_time_us) const;
    unsigned max_transmissions() const;
    void ping_recheck_candidates(Effects& effects);

    MembershipState& state_;
    BroadcastQueue broadcasts_;
    /// Members that are dead in this table and alive in another process's table.
    std::vector<MemberIndex> recheck_candidates_;
    Timestamp next_gossip_at_{0};
};

}  // namespace cressledge::membership
