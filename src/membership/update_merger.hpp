/// Decides which of two claims about a member holds, and changes the table by it. Every change of a member's state goes
/// through here.
///
/// Claims about one id are ordered by start time, then incarnation, then state. Of two processes that claim one id the
/// one that started later holds it in every table, so that all tables agree; the other is displaced.
#pragma once

#include <cstdint>

#include "membership/disseminator.hpp"
#include "membership/effects.hpp"
#include "membership/membership_state.hpp"
#include "membership/message.hpp"

namespace cressledge::membership {

/// How a claim came: in a datagram, or with another process's whole table.
enum class UpdateSource : std::uint8_t { gossip, exchange };

/// Applies claims to the membership state (SWIM, section 4.2).
class UpdateMerger {
public:
    /// Both outlive this object.
    UpdateMerger(MembershipState& state, Disseminator& disseminator)
        : state_(state), disseminator_(disseminator) {}

    /// Applies the sender's claim about itself and the updates of its message.
    void apply_message(Timestamp now, const Message& message, UpdateSource source, Effects& effects);

    /// Suspects a known member, or confirms the suspicion. `accuser`: `no_member` counts as this process.
    void suspect(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
                 Effects& effects);

    /// Sets the state of a known member and has it spread.
    void set_state(Timestamp now, MemberIndex member, MemberState new_state, Effects& effects);

    /// Forgets the members that departed longer ago than the retention.
    void forget_departed(Timestamp now);

private:
    void apply(Timestamp now, const MemberUpdate& update, UpdateSource source, Effects& effects);
    void apply_about_self(Timestamp now, const MemberUpdate& update, Effects& effects);
    void apply_later_report_of_own_id(const MemberUpdate& update, Effects& effects);
    void apply_later_process(Timestamp now, MemberIndex member, const MemberUpdate& update, Effects& effects);
    void apply_alive(Timestamp now, MemberIndex member, const MemberUpdate& update, UpdateSource source,
                     Effects& effects);
    void apply_suspect(Timestamp now, MemberIndex member, const MemberUpdate& update, Effects& effects);
    void apply_dead(Timestamp now, MemberIndex member, const MemberUpdate& update, UpdateSource source,
                    Effects& effects);
    void apply_left(Timestamp now, MemberIndex member, const MemberUpdate& update, Effects& effects);
    void add_member(Timestamp now, const MemberUpdate& update, Effects& effects);
    void suspect_as_reported(Timestamp now, MemberIndex member, const MemberUpdate& update, Effects& effects);
    void count_transition(MemberState old_state, MemberState new_state);
    SuspicionTiming suspicion_timing() const;

    MembershipState& state_;
    Disseminator& disseminator_;
};

}  // namespace cressledge::membership
