/// One process's table of the members of its fleet: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
/// Infection-style Process Group Membership Protocol", DSN 2002) with suspicion and incarnations, and of Lifeguard
/// (Dadgar, Phillips, Currey, 2017) the suspicion time that shrinks with independent confirmations, the local health
/// and the buddy system: a suspect is the first to hear of its suspicion.
///
/// A pure state machine: time, randomness and received messages go in; messages to send and changes to report come
/// out. It has no I/O and no clock. Times are Unix microseconds; a clock that is set back stands still.
///
///     alive   -> suspect  a probe got no answer, or another member says so
///     suspect -> alive    the member refuted with a higher incarnation
///     suspect -> dead     the suspicion's time ran out, or another member says so
///     dead    -> alive    it was alive after all (a partition healed), or started again
///     any     -> left     it said so itself
///
/// Its parts: update_merger.hpp decides which claim holds, failure_detector.hpp probes, disseminator.hpp spreads
/// updates, anti_entropy.hpp schedules full exchanges.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/anti_entropy.hpp"
#include "membership/codec.hpp"
#include "membership/counters.hpp"
#include "membership/disseminator.hpp"
#include "membership/effects.hpp"
#include "membership/failure_detector.hpp"
#include "membership/member_index_table.hpp"
#include "membership/membership_settings.hpp"
#include "membership/membership_state.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"
#include "membership/update_merger.hpp"

namespace cressledge::membership {

/// What is known of one member, for reports.
struct MemberInfo {
    std::string id;
    Endpoint endpoint;
    MemberState state;
    std::uint32_t incarnation;
    std::uint64_t start_time_us;
    /// When the state last changed in this table.
    Timestamp changed_at;
};

/// The membership protocol of one process.
class MembershipTable {
public:
    using Counters = membership::Counters;
    using Effects = membership::Effects;
    using MemberChange = membership::MemberChange;
    using MemberInfo = membership::MemberInfo;
    using OutgoingMessage = membership::OutgoingMessage;

    /// `member_indices` outlives the table. `shares_member_indices`: others use them too, and none is released.
    MembershipTable(MemberIndexTable& member_indices, bool shares_member_indices,
                    const MembershipSettings& settings, const LocalMember& local_member,
                    std::vector<Endpoint> seeds, std::uint64_t random_seed, Timestamp now);

    /// When `tick` is due. It may be called sooner.
    Timestamp next_deadline() const;

    /// Does what is due.
    void tick(Timestamp now, Effects& effects);

    /// Takes a received datagram in. `from`: where the answer goes.
    void on_message(Timestamp now, const Message& message, const Endpoint& from, Effects& effects);

    /// The whole table, for an exchange. `type`: `exchange` or `exchange_reply`.
    Message full_state(MessageType type) const;

    /// Takes the other side's full state in.
    void merge_full_state(Timestamp now, const Message& message, Effects& effects);

    /// Begins to tell the others, over the next rounds, that this process leaves.
    void leave(Timestamp now);

    /// Whether this process leaves and has said so as often as it takes.
    bool departure_announced() const;

    /// For a table that starts in full knowledge: nothing is to be spread, and no exchange is due soon.
    void assume_converged();

    /// Takes new settings and seeds over; members and suspicions stay.
    void reconfigure(const MembershipSettings& settings, std::vector<Endpoint> seeds);

    /// This process as a member: id and endpoint.
    const LocalMember& local_member() const { return state_.local; }
    /// This process's incarnation, raised above that of a suspicion of itself to refute it.
    std::uint32_t incarnation() const { return state_.local_incarnation; }

    /// Whether a process that started later holds this process's id.
    bool is_displaced() const { return state_.is_displaced; }
    /// Whether this process has begun to announce that it leaves.
    bool is_leaving() const { return state_.is_leaving; }

    /// Alive and suspect members, this process not counted.
    std::size_t live_count() const { return state_.records.live_count(); }
    /// Suspect members.
    std::size_t suspect_count() const { return state_.suspicions.size(); }

    /// All known members but this process, by id.
    std::vector<MemberInfo> members() const;

    /// Empty if no such member is known.
    std::optional<MemberState> state_of(std::string_view id) const;

    /// Of the live members' ids, endpoints and states, this process included: equal where two tables agree.
    std::uint64_t digest() const;

    /// The part of an alive member in the digest, which is the sum of these.
    static std::uint64_t member_digest(const std::string& id, const Endpoint& endpoint);

    /// Counts of messages and changes since the start.
    const Counters& counters() const { return state_.counters; }

private:
    void advance_clock(Timestamp now);

    MembershipState state_;
    Disseminator disseminator_;
    UpdateMerger merger_;
    FailureDetector failure_detector_;
    AntiEntropy anti_entropy_;
    Timestamp now_;
    Timestamp next_forget_at_;
};

}  // namespace cressledge::membership
