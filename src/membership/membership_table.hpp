/// The membership table of one process. Implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
/// Infection-style Process Group Membership Protocol", DSN 2002) with suspicion and incarnations, and these Lifeguard
/// extensions (Dadgar, Phillips, Currey, 2017): suspicion timeouts that independent confirmations shorten, local
/// health, and the buddy system, which notifies a suspect of its suspicion in the first message sent to it.
///
/// The table is a pure state machine without I/O and without a clock. Its inputs are time, a random seed and received
/// messages; its outputs are messages to send and changes to report. Times are Unix microseconds. If the caller's
/// clock is set back, the table's time does not advance until the clock has caught up.
///
///     alive   -> suspect  a probe was not answered, or another member reported the suspicion
///     suspect -> alive    the member refuted the suspicion with a higher incarnation
///     suspect -> dead     the suspicion timed out, or another member reported the death
///     dead    -> alive    the member refuted its death (after a healed partition) or restarted
///     any     -> left     the member announced its departure
///
/// Components: update_merger.hpp resolves conflicting claims, failure_detector.hpp probes members, disseminator.hpp
/// spreads updates, and anti_entropy.hpp schedules full exchanges.
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

/// Snapshot of one member's record, for reporting.
struct MemberInfo {
    std::string id;
    Endpoint endpoint;
    MemberState state;
    std::uint32_t incarnation;
    std::uint64_t start_time_us;
    /// Time of the last state change in this table.
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

    /// `member_indices` must outlive the table. `shares_member_indices` states whether other tables use it too; if so,
    /// this table releases no index. `seeds` are the endpoints used to find the fleet.
    MembershipTable(MemberIndexTable& member_indices, bool shares_member_indices,
                    const MembershipSettings& settings, const LocalMember& local_member,
                    std::vector<Endpoint> seeds, std::uint64_t random_seed, Timestamp now);

    /// Returns when `tick` is due. Calling it earlier is allowed.
    Timestamp next_deadline() const;

    /// Performs all actions that are due at `now`.
    void tick(Timestamp now, Effects& effects);

    /// Handles a received datagram. Answers are sent to `from`.
    void on_message(Timestamp now, const Message& message, const Endpoint& from, Effects& effects);

    /// Returns a message with the full table, for an exchange. `type` is `exchange` or `exchange_reply`.
    Message full_state(MessageType type) const;

    /// Merges the full state that was received in an exchange.
    void merge_full_state(Timestamp now, const Message& message, Effects& effects);

    /// Starts announcing, over the next gossip rounds, that this process leaves the fleet.
    void leave(Timestamp now);

    /// Returns whether this process is leaving and its announcement has been transmitted often enough.
    bool departure_announced() const;

    /// Marks the table as converged: discards pending updates and skips the early exchanges.
    void assume_converged();

    /// Replaces the settings and seeds. Members and open suspicions are kept.
    void reconfigure(const MembershipSettings& settings, std::vector<Endpoint> seeds);

    /// Identity of this process as a member.
    const LocalMember& local_member() const { return state_.local; }
    /// Incarnation of this process. Raised above the incarnation of a false claim to refute it.
    std::uint32_t incarnation() const { return state_.local_incarnation; }

    /// Returns whether a process that started later holds this process's id.
    bool is_displaced() const { return state_.is_displaced; }
    /// Returns whether `leave` has been called.
    bool is_leaving() const { return state_.is_leaving; }

    /// Number of alive and suspect members, not counting this process.
    std::size_t live_count() const { return state_.records.live_count(); }
    /// Number of suspect members.
    std::size_t suspect_count() const { return state_.suspicions.size(); }

    /// Returns all known members except this process, ordered by id.
    std::vector<MemberInfo> members() const;

    /// Returns the state of a member, or nothing if the member is not known.
    std::optional<MemberState> state_of(std::string_view id) const;

    /// Returns a digest of the ids, endpoints and states of all live members, including this process. Tables with the
    /// same view have equal digests.
    std::uint64_t digest() const;

    /// Returns the contribution of one alive member to the digest. The digest is the sum of all contributions.
    static std::uint64_t member_digest(const std::string& id, const Endpoint& endpoint);

    /// Event counters since the start.
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
