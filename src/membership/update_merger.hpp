/// Resolves conflicting claims about a member and applies the result to the table. All state changes of members are
/// made here.
///
/// Claims about one id are ordered by start time, then incarnation, then state. If two processes claim the same id,
/// the one that started later holds it in every table, so that all tables agree; the other one is displaced.
#pragma once

#include <cstdint>

#include "membership/disseminator.hpp"
#include "membership/effects.hpp"
#include "membership/membership_state.hpp"
#include "membership/message.hpp"

namespace cressledge::membership {

/// How a claim was received: in a datagram, or with the full state of another process.
enum class UpdateSource : std::uint8_t { gossip, exchange };

/// Applies claims to the membership state (SWIM, section 4.2).
class UpdateMerger {
public:
    /// Both arguments must outlive this object.
    UpdateMerger(MembershipState& state, Disseminator& disseminator)
        : state_(state), disseminator_(disseminator) {}

    /// Applies the sender's claim about itself and all updates of the message.
    void apply_message(Timestamp now, const Message& message, UpdateSource source, Effects& effects);

    /// Marks a known member as suspect, or confirms its suspicion. An `accuser` of `no_member` counts as this process.
    void suspect(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
                 Effects& effects);

    /// Sets the state of a known member and queues it for dissemination.
    void set_state(Timestamp now, MemberIndex member, MemberState new_state, Effects& effects);

    /// Removes the members that departed longer ago than the retention.
    void forget_departed(Timestamp now);

private:
    void apply(Timestamp now, const MemberUpdate& update, UpdateSource source, Effects& effects);
    void apply_about_self(Timestamp now, const MemberUpdate& update, Effects& effects);
    void apply_newer_claim_to_own_id(const MemberUpdate& update, Effects& effects);
    void apply_newer_process(Timestamp now, MemberIndex member, const MemberUpdate& update, Effects& effects);
    void apply_alive(Timestamp now, MemberIndex member, const MemberUpdate& update, UpdateSource source,
                     Effects& effects);
    void apply_suspect(Timestamp now, MemberIndex member, const MemberUpdate& update, Effects& effects);
    void apply_dead(Timestamp now, MemberIndex member, const MemberUpdate& update, UpdateSource source,
                    Effects& effects);
    void apply_left(Timestamp now, MemberIndex member, const MemberUpdate& update, Effects& effects);
    void add_member(Timestamp now, const MemberUpdate& update, Effects& effects);
    void apply_reported_suspicion(Timestamp now, MemberIndex member, const MemberUpdate& update,
                                  Effects& effects);
    void count_transition(MemberState old_state, MemberState new_state);
    SuspicionTiming suspicion_timing() const;

    MembershipState& state_;
    Disseminator& disseminator_;
};

}  // namespace cressledge::membership
