/// Open suspicions and their deadlines. Knows nothing of messages; the failure detector acts on what is due.
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

/// Who raised a suspicion: this process's own probe, or another member's claim.
enum class SuspicionOrigin : std::uint8_t { local_probe, remote_report };

/// How long suspicions last at the present size of the fleet.
struct SuspicionTiming {
    /// With all confirmations.
    Duration min{0};
    /// With none.
    Duration max{0};
    /// Confirmations that bring the time down to `min`; zero where the fleet is too small to have them.
    unsigned confirmations_needed = 0;
    /// The time that a suspect has for its answer to the last check.
    Duration answer_time{0};
};

/// One suspicion.
struct Suspicion {
    Timestamp started_at{0};
    /// The member is dead then.
    Timestamp expires_at{0};
    /// The member is asked once more then, so that a refutation that was lost costs nobody its membership.
    Timestamp recheck_at{0};
    unsigned confirmations = 0;
    bool is_raised_locally = false;
    bool is_rechecked = false;
    /// Distinct members that hold the suspicion, the latest last.
    std::vector<MemberIndex> accusers;

    /// When the suspicion is next due: its recheck, or once rechecked, its expiry.
    Timestamp next_deadline() const { return is_rechecked ? expires_at : recheck_at; }
};

/// Suspicions by member, in the order of their deadlines.
///
/// Invariant: each suspicion has exactly one timer, at its `next_deadline()`.
class SuspicionTable {
public:
    /// What the owner has to do for a suspicion whose deadline has come.
    enum class DueAction : std::uint8_t { recheck, declare_dead };
    /// A suspicion whose deadline has come, with what to do.
    struct Due {
        MemberIndex member;
        DueAction action;
    };

    /// Starts a suspicion of a member that has none.
    void start(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
               const SuspicionTiming& timing);

    /// One more accusation of a suspect. Returns whether it confirms the suspicion: independently, and while fewer
    /// than `max_confirmations` have.
    bool confirm(Timestamp now, MemberIndex member, MemberIndex accuser, SuspicionOrigin origin,
                 unsigned max_confirmations, const SuspicionTiming& timing);

    /// Ends the member's suspicion, if there is one.
    void end(MemberIndex member);

    /// The next suspicion whose deadline has come. After `declare_dead` the caller ends it.
    std::optional<Due> pop_due(Timestamp now);

    /// Moves all deadlines.
    void postpone(Duration gap);

    /// `never` if there is no suspicion.
    Timestamp next_deadline() const;

    /// The latest member that accused the suspect.
    MemberIndex last_accuser(MemberIndex member) const { return suspicions_.at(member).accusers.back(); }

    /// Members that this process's own probes found silent.
    std::vector<MemberIndex> raised_locally() const;

    /// Suspicions held.
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
