/// Event counters of a membership table, exported as the metrics `fleet.*`.
#pragma once

#include <cstdint>

namespace cressledge::membership {

/// Totals since the start of the process.
struct Counters {
    std::uint64_t probes = 0;
    std::uint64_t acks = 0;
    std::uint64_t indirect_probes = 0;
    std::uint64_t nacks = 0;
    /// Suspicions raised by this process's own probes.
    std::uint64_t suspicions_raised = 0;
    /// Members that became suspect in this table, including suspicions reported by other members.
    std::uint64_t members_suspected = 0;
    /// Suspicions in this table that were refuted by the suspect.
    std::uint64_t suspicions_refuted = 0;
    /// Claims about this process that it refuted.
    std::uint64_t own_refutations = 0;
    std::uint64_t dead = 0;
    std::uint64_t joined = 0;
    std::uint64_t left = 0;
    std::uint64_t revived = 0;
    std::uint64_t forgotten = 0;
    /// Number of times that a process started later claimed this process's id.
    std::uint64_t displaced = 0;
    /// Number of times that a process started later claimed the id of another live member.
    std::uint64_t id_conflicts = 0;
    /// Members that were rejected because the table held `max_members` members.
    std::uint64_t rejected_at_capacity = 0;
    /// Received probes whose target is another member.
    std::uint64_t misdirected_probes = 0;
    /// Number of times that this process was stalled for longer than the probe interval.
    std::uint64_t stalls = 0;
    std::uint64_t exchanges = 0;
};

}  // namespace cressledge::membership
