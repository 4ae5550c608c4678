/// What a membership table has counted since its start; the metrics `fleet.*` show it.
#pragma once

#include <cstdint>

namespace cressledge::membership {

/// Totals since the start of the process.
struct Counters {
    std::uint64_t probes = 0;
    std::uint64_t acks = 0;
    std::uint64_t indirect_probes = 0;
    std::uint64_t nacks = 0;
    /// Suspicions that this process's own probes raised.
    std::uint64_t suspicions_raised = 0;
    /// Members that became suspect in this table, whoever raised the suspicion.
    std::uint64_t members_suspected = 0;
    /// Of those, the ones that were found alive.
    std::uint64_t suspicions_refuted = 0;
    /// Claims about this process that it refuted.
    std::uint64_t own_refutations = 0;
    std::uint64_t dead = 0;
    std::uint64_t joined = 0;
    std::uint64_t left = 0;
    std::uint64_t revived = 0;
    std::uint64_t forgotten = 0;
    /// Times that a later process took this process's id.
    std::uint64_t displaced = 0;
    /// Times that a later process took another member's id while that one was live.
    std::uint64_t id_conflicts = 0;
    /// Members that were not taken in because `max_members` were known.
    std::uint64_t rejected_at_capacity = 0;
    /// Received probes that were meant for another process.
    std::uint64_t misdirected_probes = 0;
    /// Times that this process did not run for longer than a probe.
    std::uint64_t stalls = 0;
    std::uint64_t exchanges = 0;
};

}  // namespace cressledge::membership
