// The slots of open and rejected connections, and for each client group and evictable state a list of its
// slots in the order in which they entered it. Decides nothing.
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

/// Names a slot and the connection in it: a released slot gets a new id. Never 0.
using ConnectionSlotId = std::uint64_t;

/// Position of a slot in its table.
using SlotIndex = std::uint32_t;
constexpr SlotIndex no_slot = ~SlotIndex{0};

/// What the connection of a slot is doing. Connections in the first three states can be evicted.
enum class SlotState : std::uint8_t {
    /// No whole request has been read yet, or the last one got its response without being in flight.
    awaiting_request,
    /// Between two requests.
    idle,
    /// The last response is being sent; its request counts as in flight until the connection is closed.
    closing,
    request_in_flight,
    /// Rejected when it was opened, and read until its request can get a response.
    rejected,
    free
};

/// The number of states that come first in SlotState and in which a connection can be evicted.
constexpr std::size_t evictable_state_count = 3;

/// One connection.
struct ConnectionSlot {
    IpAddress address;
    /// The caller's own id of the connection.
    std::uint64_t connection_id = 0;
    Timestamp state_since{0};
    SourceRef source;
    std::uint32_t listener_index = 0;
    /// Counts the connections that this slot has held.
    std::uint32_t generation = 1;
    /// Neighbours in the list of its group and state.
    SlotIndex previous = no_slot;
    SlotIndex next = no_slot;
    SlotState state = SlotState::free;
    /// Whether its request is included in the numbers of requests in flight.
    bool counts_as_in_flight = false;
    /// Of a slot in the state `rejected`.
    RejectionReason rejection_reason = RejectionReason::source_connections;
};

/// Owns the slots and their lists. Ids of released slots are never used again.
class ConnectionSlotTable {
public:
    /// Makes room for at least this many slots; never gives any back.
    void grow_to(std::size_t slot_count);

    /// Starts with empty lists for this many groups. All listed slots must have been unlinked before.
    void reset_groups(std::size_t group_count);

    /// Returns nullptr if the connection of this id is gone.
    const ConnectionSlot* find(ConnectionSlotId slot_id) const;
    ConnectionSlot* find(ConnectionSlotId slot_id) {
        return const_cast<ConnectionSlot*>(std::as_const(*this).find(slot_id));
    }

    /// The id of the connection that the slot holds now.
    ConnectionSlotId id_of(SlotIndex index) const;
    /// The slot that an id names, whether or not its connection is gone.
    static SlotIndex index_of(ConnectionSlotId slot_id) { return static_cast<SlotIndex>(slot_id); }

    ConnectionSlot& operator[](SlotIndex index) { return slots_[index]; }
    const ConnectionSlot& operator[](SlotIndex index) const { return slots_[index]; }

    /// Takes a free slot; there must be one. Its state stays `free` until set_state().
    SlotIndex acquire();
    /// Ends the life of its id.
    void release(SlotIndex index);

    /// Moves the slot to the end of the list of its group and the new state, if that state is evictable.
    void set_state(SlotIndex index, SlotState state, Timestamp now);
    /// Takes the slot out of its list; its state is unchanged.
    void unlink(SlotIndex index);

    /// The slot of the group that has been longest in this evictable state, or no_slot. `next` leads to the
    /// others.
    SlotIndex oldest(std::uint32_t group_index, SlotState state) const;

    /// All slots, free ones included.
    const std::vector<ConnectionSlot>& slots() const { return slots_; }
    /// Memory of the slots and lists, in bytes.
    std::size_t memory_bytes() const;

private:
    struct SlotList {
        SlotIndex head = no_slot;
        SlotIndex tail = no_slot;
    };
    using SlotLists = std::array<SlotList, evictable_state_count>;

    /// The list that the slot belongs to, or nullptr if its state has none.
    SlotList* list_of(const ConnectionSlot& slot);

    std::vector<ConnectionSlot> slots_;
    std::vector<SlotIndex> free_slots_;
    std::vector<SlotLists> lists_by_group_;
};

}  // namespace cressledge::connection_admission
