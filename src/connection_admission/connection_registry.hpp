// All connections in their slots, the sources and client groups they belong to, and every count of them,
// under the settings in force. Keeps the counts consistent; ConnectionLimiter decides what may happen.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "connection_admission/client_group_usage.hpp"
#include "connection_admission/connection_slot_table.hpp"
#include "connection_admission/eviction_selector.hpp"
#include "connection_admission/source_registry.hpp"

namespace cressledge::connection_admission {

/// A connection in the caller's terms.
struct ConnectionRef {
    std::uint32_t listener_index = 0;
    std::uint64_t connection_id = 0;
};

/// What is known of a connection before it has a slot.
struct IncomingConnection {
    IpAddress address;
    SourceRef source;
    ConnectionRef ref;
};

/// Owns the slots, the sources and the usage of each client group.
///
/// Invariant: every count equals the number of slots that it counts; see check_invariants().
class ConnectionRegistry {
public:
    /// `seed` keeps clients from choosing addresses that collide in the tables of sources.
    ConnectionRegistry(Settings settings, std::uint64_t seed);

    /// Counts the open connections anew under the new groups; none is closed.
    void reconfigure(Timestamp now, Settings settings);
    /// The settings in force; `max_connections` is at least 1.
    const Settings& settings() const { return settings_; }

    /// The source of an address and the group that lists it. May evict a source without connections from its
    /// table.
    SourceRef find_or_insert_source(Timestamp now, const IpAddress& address);

    /// Gives the connection a free slot, of which there must be one, in this state.
    SlotIndex occupy_slot(Timestamp now, const IncomingConnection& connection, SlotState state);
    /// Does nothing if the slot has been released before.
    void release_slot(ConnectionSlotId slot_id);

    /// Counts the slot's request as in flight.
    void count_in_flight(ConnectionSlot& slot);
    /// Does nothing if the slot's request is not counted.
    void uncount_in_flight(ConnectionSlot& slot);

    /// The slots; whether a slot's request is in flight changes through the functions above alone.
    ConnectionSlotTable& slots() { return slots_; }
    const ConnectionSlotTable& slots() const { return slots_; }
    /// The sources of all groups.
    SourceRegistry& sources() { return sources_; }
    const SourceRegistry& sources() const { return sources_; }
    /// `group_index` must be of the settings in force.
    const ClientGroupUsage& group(GroupIndex group_index) const { return groups_[group_index]; }
    /// A selector over these tables; it must not outlive the registry.
    EvictionSelector eviction_selector() const { return {slots_, sources_, groups_}; }

    /// Slots in use other than rejection slots.
    std::size_t open_connections() const { return open_connections_; }
    /// Slots in the state `rejected`.
    std::size_t rejection_slots_in_use() const { return rejection_slots_in_use_; }
    /// Requests in flight outside the groups' reserves.
    std::size_t shared_in_flight_requests() const { return shared_in_flight_requests_; }
    /// Requests that may be in flight outside the groups' reserves.
    std::size_t max_shared_requests() const;
    /// Memory of slots and sources, in bytes.
    std::size_t memory_bytes() const { return sources_.memory_bytes() + slots_.memory_bytes(); }

    /// For tests: throws std::logic_error if a count differs from the slots that it counts.
    void check_invariants() const;

private:
    /// A slot as it was before a reconfiguration.
    struct PreviousSlot {
        SlotIndex index;
        SlotState state;
        bool counts_as_in_flight;
    };
    struct GroupCounts {
        std::uint32_t open_connections = 0;
        std::uint32_t in_flight_requests = 0;
    };

    void apply_settings(Settings settings);
    ClientGroupUsage& group_of(const ConnectionSlot& slot) { return groups_[slot.source.group_index]; }

    /// Adds the slot to, or takes it from, the counts of connections of its source and group.
    void count_connection(const ConnectionSlot& slot);
    void uncount_connection(const ConnectionSlot& slot);

    /// The slots in use, in the order in which they entered their states. Takes them out of all counts and
    /// lists.
    std::vector<PreviousSlot> unlink_slots_in_use();
    void relink_slot(Timestamp now, const PreviousSlot& previous);

    /// Returns what the slots say of each group.
    std::vector<GroupCounts> check_slots() const;
    void check_groups(const std::vector<GroupCounts>& counts) const;
    void check_sources(const std::vector<GroupCounts>& counts) const;

    Settings settings_;
    SourceRegistry sources_;
    ConnectionSlotTable slots_;
    /// Indexed by group; the first one is of clients that no group lists.
    std::vector<ClientGroupUsage> groups_;
    std::size_t open_connections_ = 0;
    std::size_t rejection_slots_in_use_ = 0;
    std::size_t shared_in_flight_requests_ = 0;
    /// Sums over the groups.
    std::size_t reserved_connections_ = 0;
    std::size_t reserved_requests_ = 0;
};

}  // namespace cressledge::connection_admission
