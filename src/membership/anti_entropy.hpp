/// Anti-entropy: reconciles tables that gossip alone leaves different. Schedules full exchanges of the table, and
/// pings dead members so that the two sides of a healed partition rejoin.
#pragma once

#include <vector>

#include "membership/disseminator.hpp"
#include "membership/effects.hpp"
#include "membership/membership_state.hpp"

namespace cressledge::membership {

/// Schedules full exchanges, chooses their peers, and pings dead members.
class AntiEntropy {
public:
    /// `state` and `disseminator` must outlive this object. `seeds` are the endpoints used to find the fleet at the
    /// start and after a long partition.
    AntiEntropy(MembershipState& state, Disseminator& disseminator, std::vector<Endpoint> seeds);

    /// Schedules the first exchange at `now`, and the first ping of a departed member.
    void start(Timestamp now);

    /// Pings a dead member and requests an exchange, each if due.
    void tick(Timestamp now, Effects& effects);

    /// Returns when `tick` is due.
    Timestamp next_deadline() const;

    /// Replaces the seeds, which come from the setting `fleet.seeds`. While no other member is live, all exchanges go
    /// to a seed; otherwise some exchanges go to a seed that is not a live member.
    void set_seeds(std::vector<Endpoint> seeds);

    /// Skips the early exchanges of a newly started process.
    void skip_early_exchanges(Timestamp now);

private:
    void ping_departed_member(Effects& effects);
    void request_exchange(Timestamp now, Effects& effects);
    void schedule_next_exchange(Timestamp now);
    Duration exchange_interval() const;
    std::vector<Endpoint> seeds_without_live_member() const;

    MembershipState& state_;
    Disseminator& disseminator_;
    std::vector<Endpoint> seeds_;
    unsigned remaining_early_exchanges_;
    Timestamp next_exchange_at_{0};
    Timestamp next_departed_ping_at_{0};
};

}  // namespace cressledge::membership
