// Slots of open and rejected connections. For each client group and evictable state, the table links the
// slots in the order in which they entered that state.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "connection_admission/ip_address.hpp"
#include "connection_admission/rejection_reason.hpp"
#include "connection_admission/settings.hpp"
#include "connection_admission/source_registry.hpp"

namespace cressledge::connection_admission {

/// Identifies a slot and its current connection; a slot gets a new id when it is released. Never 0.
using ConnectionSlotId = std::uint64_t;

/// Index of a slot in its table.
using SlotIndex = std::uint32_t;
/// The index that stands for "no slot".
constexpr SlotIndex no_slot = ~SlotIndex{0};

/// State of a slot and its connection. Connections in the first three states can be evicted.
enum class SlotState : std::uint8_t {
    /// No complete request has been read yet, or a response was sent to a request that was not in flight.
    awaiting_request,
    /// Between two requests.
    idle,
    /// The last response has been passed to the connection for sending; its request counts as in flight until
    /// the connection is closed.
    closing,
    /// A request has been admitted and its response has not been sent.
    request_in_flight,
    /// Rejected when it was opened, and read until its request can be answered.
    rejected,
    /// The slot holds no connection.
    free
};

/// Number of states, at the start of SlotState, in which a connection can be evicted.
constexpr std::size_t evictable_state_count = 3;

/// A slot and its connection.
struct ConnectionSlot {
    IpAddress address;
    /// The caller's id of the connection.
    std::uint64_t connection_id = 0;
    /// When the slot entered `state`.
    Timestamp state_since{0};
    SourceRef source;
    std::uint32_t listener_index = 0;
    /// Incremented when the slot is released, so that old ids do not match the next connection.
    std::uint32_t generation = 1;
    /// Neighbors in the list of the group and state.
    SlotIndex previous = no_slot;
    SlotIndex next = no_slot;
    SlotState state = SlotState::free;
    /// Whether the request is included in the counts of requests in flight.
    bool counts_as_in_flight = false;
    /// Valid only in the state `rejected`.
    RejectionReason rejection_reason = RejectionReason::source_connections;
};

/// Owns the slots and their lists. Ids of released slots are not reused.
class ConnectionSlotTable {
public:
    /// Grows the table to at least `slot_count` slots; never shrinks it.
    void grow_to(std::size_t slot_count);

    /// Replaces all lists by empty ones for `group_count` groups. Every slot must be unlinked first.
    void reset_groups(std::size_t group_count);

    /// Returns nullptr if the slot has been released since it had this id.
    const ConnectionSlot* find(ConnectionSlotId slot_id) const;
    ConnectionSlot* find(ConnectionSlotId slot_id) {
        return const_cast<ConnectionSlot*>(std::as_const(*this).find(slot_id));
    }

    /// The current id of the slot.
    ConnectionSlotId id_of(SlotIndex index) const;
    /// The index of the slot with this id, whether or not the id is still current.
    static SlotIndex index_of(ConnectionSlotId slot_id) { return static_cast<SlotIndex>(slot_id); }

    ConnectionSlot& operator[](SlotIndex index) { return slots_[index]; }
    const ConnectionSlot& operator[](SlotIndex index) const { return slots_[index]; }

    /// Returns a free slot; there must be one. Its state remains `free` until set_state().
    SlotIndex acquire();
    /// Frees the slot and invalidates its id.
    void release(SlotIndex index);

    /// Sets the state and, if it is evictable, appends the slot to the list of its group and state.
    void set_state(SlotIndex index, SlotState state, Timestamp now);
    /// Removes the slot from its list, if it is in one. Does not change its state.
    void unlink(SlotIndex index);

    /// The slot of the group that has been in this evictable state for longest, or no_slot. Follow
    /// ConnectionSlot::next for the others.
    SlotIndex oldest(std::uint32_t group_index, SlotState state) const;

    /// All slots, free ones included.
    const std::vector<ConnectionSlot>& slots() const { return slots_; }
    /// Memory of the slots and of the list of free slots, in bytes.
    std::size_t memory_bytes() const;

private:
    struct SlotList {
        SlotIndex head = no_slot;
        SlotIndex tail = no_slot;
    };
    using SlotLists = std::array<SlotList, evictable_state_count>;

    /// The list of the group and state of the slot, or nullptr if the state is not evictable.
    SlotList* list_of(const ConnectionSlot& slot);

    std::vector<ConnectionSlot> slots_;
    std::vector<SlotIndex> free_slots_;
    std::vector<SlotLists> lists_by_group_;
};

}  // namespace cressledge::connection_admission
