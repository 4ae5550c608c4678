/// State shared by the components of a membership table: the local member, the known members, the probe order and the
/// suspicions. Internal to the module; other modules include only membership_table.hpp.
#pragma once

#include <cstdint>

#include "membership/counters.hpp"
#include "membership/local_health.hpp"
#include "membership/member_index_table.hpp"
#include "membership/member_records.hpp"
#include "membership/membership_settings.hpp"
#include "membership/probe_order.hpp"
#include "membership/random_source.hpp"
#include "membership/suspicion_table.hpp"

namespace cressledge::membership {

/// Shared state. Owned by the membership table; its components hold references to it.
struct MembershipState {
    /// `is_index_table_shared` states whether other membership tables use `index_table` too. `random_seed` seeds the
    /// random source.
    MembershipState(MemberIndexTable& index_table, bool is_index_table_shared,
                    const MembershipSettings& initial_settings, const LocalMember& local_member,
                    std::uint64_t random_seed);
    MembershipState(const MembershipState&) = delete;
    MembershipState& operator=(const MembershipState&) = delete;

    /// Returns log10 of the fleet size, at least 1. The number of gossip rounds that an update needs grows with it.
    double log_size_factor() const;

    /// Returns the sequence number for a new ping.
    std::uint32_t next_sequence() { return ++last_sequence; }

    MemberIndexTable& indices;
    /// Whether other membership tables use the index table too. No index is released in that case.
    const bool shares_indices;
    MembershipSettings settings;

    LocalMember local;
    const MemberIndex local_index;
    std::uint32_t local_incarnation = 0;
    /// Whether this process is shutting down and announces itself as `left`.
    bool is_leaving = false;
    /// Whether a process that started later holds this process's id.
    bool is_displaced = false;
    LocalHealth local_health;

    RandomSource random;
    std::uint32_t last_sequence;
    MemberRecords records;
    ProbeOrder probe_order;
    SuspicionTable suspicions;
    Counters counters;
};

}  // namespace cressledge::membership
