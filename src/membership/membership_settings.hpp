/// Settings of the membership protocol and the identity of the local member. `config/` reads them from the operator's
/// configuration file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "membership/endpoint.hpp"
#include "membership/time.hpp"

namespace cressledge::membership {

/// Fraction of the probe period after which an unanswered direct probe is followed by indirect probes.
constexpr double direct_probe_fraction = 0.3;

/// Settings of SWIM with the Lifeguard extensions. All processes of a fleet should use the same values.
struct MembershipSettings {
    /// Probe period. One member is probed per period, and the probe has to be answered within it.
    Duration probe_interval{500'000};
    /// Number of members that are asked to probe an unresponsive member. Also the number of confirmations that reduce
    /// the suspicion timeout to its minimum.
    unsigned indirect_probe_count = 3;
    /// Minimum suspicion timeout, in units of `probe_interval` times log10 of the fleet size.
    double suspicion_multiplier = 3.0;
    /// Timeout of a suspicion without confirmations, in units of the minimum suspicion timeout.
    double max_suspicion_multiplier = 2.0;
    /// Time between two gossip rounds while updates are pending.
    Duration gossip_interval{100'000};
    /// Number of members that receive a message in one gossip round.
    unsigned gossip_fanout = 3;
    /// Number of times that a process transmits an update, in units of log10 of the fleet size, rounded up.
    unsigned retransmit_multiplier = 6;
    /// Mean time between two full exchanges in a fleet of up to 32 members. Proportionally longer in larger fleets.
    Duration exchange_interval{10'000'000};
    /// Time after which dead and left members are removed from the table.
    Duration departed_retention{600'000'000};
    /// Maximum number of members in the table, including departed ones. Further members are counted and rejected.
    std::size_t max_members = 20'000;
};

/// Identity of the process that owns a membership table.
struct LocalMember {
    std::string id;
    /// Endpoint at which other processes reach this one.
    Endpoint endpoint;
    std::uint64_t start_time_us = 0;
};

}  // namespace cressledge::membership
