/// Settings of the membership protocol, and what a process says of itself. Read from an operator's file in `config/`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "membership/endpoint.hpp"
#include "membership/time.hpp"

namespace cressledge::membership {

/// Part of a probe's time in which the direct answer is awaited, before other members are asked to probe.
constexpr double direct_probe_fraction = 0.3;

/// Settings of SWIM with Lifeguard's refinements. All processes of a fleet should have the same.
struct MembershipSettings {
    /// One member is probed in each period; also the time within which a probe has to be answered.
    Duration probe_interval{500'000};
    /// Members that are asked to probe one that does not answer; also the confirmations that shorten a suspicion.
    unsigned indirect_probe_count = 3;
    /// The shortest suspicion, in units of `probe_interval` times log10 of the fleet's size.
    double suspicion_multiplier = 3.0;
    /// A suspicion that nobody confirms, in units of the shortest.
    double max_suspicion_multiplier = 2.0;
    /// Between two gossip rounds while there are updates to send.
    Duration gossip_interval{100'000};
    /// Members that get a message in one gossip round.
    unsigned gossip_fanout = 3;
    /// How often one process sends one update, in units of log10 of the fleet's size, rounded up.
    unsigned retransmit_multiplier = 6;
    /// Between two full exchanges in a fleet of up to 32 members; longer in larger ones.
    Duration exchange_interval{10'000'000};
    /// How long dead and departed members are remembered.
    Duration departed_retention{600'000'000};
    /// Members that are remembered, departed ones included; further ones are counted and not taken in.
    std::size_t max_members = 20'000;
};

/// The process that a membership table belongs to.
struct LocalMember {
    std::string id;
    /// Where other processes reach it.
    Endpoint endpoint;
    std::uint64_t start_time_us = 0;
};

}  // namespace cressledge::membership
