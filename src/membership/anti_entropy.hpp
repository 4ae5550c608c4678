/// Brings tables together that gossip does not: full exchanges of the whole table, and questions to dead members, by
/// which the halves of a healed partition find each other.
#pragma once

#include <vector>

#include "membership/disseminator.hpp"
#include "membership/effects.hpp"
#include "membership/membership_state.hpp"

namespace cressledge::membership {

/// Schedules full exchanges and chooses their peers.
class AntiEntropy {
public:
    /// Both outlive this object. `seeds`: where the fleet may be found at the start, and after a long partition.
    AntiEntropy(MembershipState& state, Disseminator& disseminator, std::vector<Endpoint> seeds);

    /// The first exchange is due at once.
    void start(Timestamp now);

    /// Asks a dead member and requests an exchange, if it is time.
    void tick(Timestamp now, Effects& effects);

    /// When `tick` is due.
    Timestamp next_deadline() const;

    /// Addresses for full exchanges: always while no member is alive, now and then otherwise; from `fleet.seeds`.
    void set_seeds(std::vector<Endpoint> seeds);

    /// Leaves out the early exchanges of a process that has just started.
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
