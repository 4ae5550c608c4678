/// What the parts of a membership table share: this process, the members it knows, and the queues between the parts.
/// Internal to the module; from outside only membership_table.hpp is used.
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

/// Owned by the membership table; its parts hold references.
struct MembershipState {
    /// `is_index_table_shared`: whether other tables use `index_table` too; `random_seed` seeds its random
    /// choices.
    MembershipState(MemberIndexTable& index_table, bool is_index_table_shared,
                    const MembershipSettings& initial_settings, const LocalMember& local_member,
                    std::uint64_t random_seed);
    MembershipState(const MembershipState&) = delete;
    MembershipState& operator=(const MembershipState&) = delete;

    /// log10 of the fleet's size, at least 1: the number of gossip rounds grows with it.
    double log_size_factor() const;

    /// The number of a new ping.
    std::uint32_t next_sequence() { return ++last_sequence; }

    MemberIndexTable& indices;
    /// Others use the index table too: nothing is released in it.
    const bool shares_indices;
    MembershipSettings settings;

    LocalMember local;
    const MemberIndex local_index;
    std::uint32_t local_incarnation = 0;
    /// Shutting down: says `left` of itself.
    bool is_leaving = false;
    /// A process that started later holds this process's id.
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
