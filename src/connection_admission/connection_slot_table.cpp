#include "connection_admission/connection_slot_table.hpp"

namespace cressledge::connection_admission {
namespace {

/// An id holds the generation above this bit and the index below it.
constexpr unsigned generation_shift = 32;

}  // namespace

void ConnectionSlotTable::grow_to(std::size_t slot_count) {
    while (slots_.size() < slot_count) {
        slots_.emplace_back();
        free_slots_.push_back(static_cast<SlotIndex>(slots_.size() - 1));
    }
}

void ConnectionSlotTable::reset_groups(std::size_t group_count) {
    lists_by_group_.assign(group_count, SlotLists{});
}

const ConnectionSlot* ConnectionSlotTable::find(ConnectionSlotId slot_id) const {
    const SlotIndex index = index_of(slot_id);
    if (index >= slots_.size() || slots_[index].state == SlotState::free || id_of(index) != slot_id)
        return nullptr;
    return &slots_[index];
}

ConnectionSlotId ConnectionSlotTable::id_of(SlotIndex index) const {
    return static_cast<ConnectionSlotId>(slots_[index].generation) << generation_shift | index;
}

SlotIndex ConnectionSlotTable::acquire() {
    const SlotIndex index = free_slots_.back();
    free_slots_.pop_back();
    return index;
}

void ConnectionSlotTable::release(SlotIndex index) {
    unlink(index);
    ConnectionSlot& slot = slots_[index];
    slot.state = SlotState::free;
    ++slot.generation;
    free_slots_.push_back(index);
}

void ConnectionSlotTable::set_state(SlotIndex index, SlotState state, Timestamp now) {
    unlink(index);
    ConnectionSlot& slot = slots_[index];
    slot.state = state;
    slot.state_since = now;
    SlotList* list = list_of(slot);
    if (list == nullptr)
        return;
    slot.previous = list->tail;
    if (list->tail == no_slot)
        list->head = index;
    else
        slots_[list->tail].next = index;
    list->tail = index;
}

void ConnectionSlotTable::unlink(SlotIndex index) {
    ConnectionSlot& slot = slots_[index];
    SlotList* list = list_of(slot);
    if (list == nullptr)
        return;
    if (slot.previous == no_slot)
        list->head = slot.next;
    else
        slots_[slot.previous].next = slot.next;
    if (slot.next == no_slot)
        list->tail = slot.previous;
    else
        slots_[slot.next].previous = slot.previous;
    slot.previous = no_slot;
    slot.next = no_slot;
}

SlotIndex ConnectionSlotTable::oldest(std::uint32_t group_index, SlotState state) const {
    return lists_by_group_[group_index][static_cast<std::size_t>(state)].head;
}

std::size_t ConnectionSlotTable::memory_bytes() const {
    return slots_.capacity() * sizeof(ConnectionSlot) + free_slots_.capacity() * sizeof(SlotIndex);
}

ConnectionSlotTable::SlotList* ConnectionSlotTable::list_of(const ConnectionSlot& slot) {
    const auto state = static_cast<std::size_t>(slot.state);
    if (state >= evictable_state_count)
        return nullptr;
    return &lists_by_group_[slot.source.group_index][state];
}

}  // namespace cressledge::connection_admission
