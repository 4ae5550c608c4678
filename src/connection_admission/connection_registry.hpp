// The connection slots, sources and client groups under the current settings, with the counts of each. Keeps
// the counts consistent; ConnectionLimiter makes the admission decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "connection_admission/client_group_usage.hpp"
#include "connection_admission/connection_slot_table.hpp"
#include "connection_admission/eviction_selector.hpp"
#include "connection_admission/source_registry.hpp"

namespace cressledge::connection_admission {

/// Identifies a connection by the caller's listener index and connection id.
struct ConnectionRef {
    std::uint32_t listener_index = 0;
    std::uint64_t connection_id = 0;
};

/// A new connection that has no slot yet.
struct IncomingConnection {
    IpAddress address;
    SourceRef source;
    ConnectionRef ref;
};

/// Owns the slots, the sources and the usage of each client group.
///
/// Invariant: every stored count agrees with the slots; see check_invariants().
class ConnectionRegistry {
public:
    /// `seed` is the hash seed of the source tables; keep it secret so that clients cannot choose addresses
    /// that collide.
    ConnectionRegistry(Settings settings, std::uint64_t seed);

    /// Applies new settings and recounts the open connections under the new groups. Closes no connection.
    void reconfigure(Timestamp now, Settings settings);
    /// The current settings; `max_connections` is at least 1.
    const Settings& settings() const { return settings_; }

    /// Returns the source of an address and the group that lists it. Inserting a new source may evict one
    /// without connections from its table.
    SourceRef find_or_insert_source(Timestamp now, const IpAddress& address);

    /// Assigns a free slot to the connection and sets its state. There must be a free slot.
    SlotIndex occupy_slot(Timestamp now, const IncomingConnection& connection, SlotState state);
    /// Releases the slot and updates the counts. Does nothing if the slot is already released.
    void release_slot(ConnectionSlotId slot_id);

    /// Counts the slot's request as in flight.
    void count_in_flight(ConnectionSlot& slot);
    /// Stops counting the slot's request as in flight. Does nothing if it is not counted.
    void uncount_in_flight(ConnectionSlot& slot);

    /// The slots. Call count_in_flight() and uncount_in_flight() instead of setting
    /// ConnectionSlot::counts_as_in_flight.
    ConnectionSlotTable& slots() { return slots_; }
    const ConnectionSlotTable& slots() const { return slots_; }
    /// The sources of all groups.
    SourceRegistry& sources() { return sources_; }
    const SourceRegistry& sources() const { return sources_; }
    /// `group_index` must be valid for the current settings.
    const ClientGroupUsage& group(GroupIndex group_index) const { return groups_[group_index]; }
    /// A selector over the slots, sources and groups; it must not outlive the registry.
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

    /// For tests: throws std::logic_error if a stored count differs from the slots.
    void check_invariants() const;

private:
    /// The state of a slot before a reconfiguration.
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

    /// Add the slot to, or remove it from, the connection counts of its source and group.
    void count_connection(const ConnectionSlot& slot);
    void uncount_connection(const ConnectionSlot& slot);

    /// Removes the slots in use from all counts and lists. Returns them in the order in which they entered
    /// their states.
    std::vector<PreviousSlot> unlink_slots_in_use();
    /// Adds a slot to the counts and lists of its new group.
    void relink_slot(Timestamp now, const PreviousSlot& previous);

    /// Counts the connections and requests of each group from the slots.
    std::vector<GroupCounts> check_slots() const;
    void check_groups(const std::vector<GroupCounts>& counts_by_group) const;
    void check_sources(const std::vector<GroupCounts>& counts_by_group) const;

    Settings settings_;
    SourceRegistry sources_;
    ConnectionSlotTable slots_;
    /// Indexed by group; index 0 stands for the clients that no group lists.
    std::vector<ClientGroupUsage> groups_;
    std::size_t open_connections_ = 0;
    std::size_t rejection_slots_in_use_ = 0;
    std::size_t shared_in_flight_requests_ = 0;
    /// Sums over all groups.
    std::size_t reserved_connections_ = 0;
    std::size_t reserved_requests_ = 0;
};

}  // namespace cressledge::connection_admission
