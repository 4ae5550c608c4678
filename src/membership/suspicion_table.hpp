/// Open suspicions and their deadlines. The failure detector sends the messages for suspicions that are due.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "membership/member_index_table.hpp"
#include "membership/time.hpp"

namespace cressledge::membership {

/// Origin of a suspicion: a probe of this process, or a report from another member.
enum class SuspicionOrigin : std::uint8_t { local_probe, remote_report };

/// Suspicion timeouts for the current fleet size.
struct SuspicionTiming {
    /// Timeout once `confirmations_needed` confirmations have been received.
    Duration min{0};
    /// Timeout without confirmations.
    Duration max{0};
    /// Number of confirmations that reduce the timeout to `min`. Zero if the fleet is too small to provide them.
    unsigned confirmations_needed = 0;
    /// Time that a suspect has to answer the recheck.
    Duration recheck_timeout{0};
};

/// State of one suspicion.
struct Suspicion {
    Timestamp started_at{0};
    /// When the member is declared dead.
    Timestamp expires_at{0};
    /// When the member is pinged once more, so that a lost refutation does not cause a false death.
    Timestamp recheck_at{0};
    unsigned confirmations = 0;
    bool is_raised_locally = false;
    bool is_rechecked = false;
    /// Distinct members that raised or confirmed the suspicion, in order of arrival.
    std::vector<MemberIndex> accusers;

    /// Returns the time of the recheck, or of the expiry if the member has been rechecked.
    Timestamp next_deadline() const { return is_rechecked ? expires_at : recheck_at; }
};

/// Suspicions by member, ordered by deadline.
///
/// Invariant: each suspicion has exactly one timer, at its `next_deadline()`.
class SuspicionTable {
public:
    /// Action that the owner of the table takes for a suspicion that is due.
    enum class DueAction : std::uint8_t { recheck, declare_dead };
    /// A suspicion that is due, with the action to take.
    struct Due {
        MemberIndex member;
        DueAction action;
    };

    /// Starts a suspicion of a member. The member must not be suspect yet.
    void start(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
               const SuspicionTiming& timing);

    /// Records a further accusation of a suspect. Returns whether it counts as a confirmation: the accuser is a new
    /// one, and fewer than `max_confirmations` have been counted.
    bool confirm(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
                 unsigned max_confirmations, const SuspicionTiming& timing);

    /// Ends the member's suspicion, if any.
    void end(MemberIndex member);

    /// Returns the next suspicion that is due, or nothing. After `declare_dead` the caller must end the suspicion.
    std::optional<Due> pop_due(Timestamp now);

    /// Moves all deadlines by `delay` into the future.
    void postpone(Duration delay);

    /// Returns the earliest deadline, or `never` if there is no suspicion.
    Timestamp next_deadline() const;

    /// Returns the member that last raised or confirmed the suspicion.
    MemberIndex last_accuser(MemberIndex member) const { return suspicions_.at(member).accusers.back(); }

    /// Returns the suspects that did not answer this process's own probes.
    std::vector<MemberIndex> raised_locally() const;

    /// Number of open suspicions.
    std::size_t size() const { return suspicions_.size(); }

private:
    struct Timer {
        Timestamp at;
        MemberIndex member;

        // NOLINTNEXTLINE(modernize-use-nullptr): the literal 0 is the compiler's own.
        auto operator<=>(const Timer&) const = default;
    };

    void reschedule(Timestamp now, MemberIndex member, Suspicion& suspicion, const SuspicionTiming& timing);

    std::unordered_map<MemberIndex, Suspicion> suspicions_;
    std::set<Timer> timers_;
};

}  // namespace cressledge::membership
