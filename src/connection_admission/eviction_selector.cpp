#include "connection_admission/eviction_selector.hpp"

#include <cstddef>

namespace cressledge::connection_admission {
namespace {

/// Grace period for a client to send its request or read its last response. Most clients send their request
/// within it after connecting.
constexpr Duration request_arrival_grace{250'000};
/// Slots scanned in each list; bounds the cost of a selection.
constexpr std::size_t max_scanned_slots = 16;

/// Whether a source has far more connections open than another: more than `factor` times as many plus
/// `margin`.
bool has_far_more_connections(const Source& source, const Source& other) {
    constexpr std::uint32_t factor = 2;
    constexpr std::uint32_t margin = 8;
    return source.open_connections > factor * other.open_connections + margin;
}

}  // namespace

SlotIndex EvictionSelector::select(Timestamp now, const Source* new_source) const {
    const Timestamp grace_started_at = now - request_arrival_grace;
    // Clients that did not send a request within the grace period.
    SlotIndex slot = find_slot_of_largest_source(SlotState::awaiting_request, grace_started_at, nullptr);
    // Clients that had the grace period to read their last response.
    if (slot == no_slot)
        slot = find_slot_of_largest_source(SlotState::closing, grace_started_at, nullptr);
    if (slot == no_slot && new_source != nullptr)
        slot = find_slot_of_largest_source(SlotState::awaiting_request, now, new_source);
    if (slot == no_slot)
        slot = find_slot_of_largest_source(SlotState::idle, now, nullptr);
    if (slot == no_slot)
        slot = find_slot_of_largest_source(SlotState::awaiting_request, now, nullptr);
    return slot;
}

SlotIndex EvictionSelector::select_from_source(Timestamp now, const SourceRef& source) const {
    SlotIndex index = slots_.oldest(source.group_index, SlotState::awaiting_request);
    for (std::size_t scanned = 0; index != no_slot && scanned < max_scanned_slots; ++scanned) {
        const ConnectionSlot& slot = slots_[index];
        if (slot.state_since > now - request_arrival_grace)
            return no_slot;
        if (slot.source.source_index == source.source_index)
            return index;
        index = slot.next;
    }
    return no_slot;
}

bool EvictionSelector::is_within_reserve(std::uint32_t group_index) const {
    const ClientGroupUsage& group = groups_[group_index];
    return group_index != unlisted_group && group.open_connections <= group.reserved_connections;
}

SlotIndex EvictionSelector::find_slot_of_largest_source(SlotState state, Timestamp max_state_since,
                                                        const Source* new_source) const {
    SlotIndex selected = no_slot;
    std::uint32_t max_connections = 0;
    for (std::uint32_t group = 0; group < groups_.size(); ++group) {
        if (is_within_reserve(group))
            continue;
        SlotIndex index = slots_.oldest(group, state);
        for (std::size_t scanned = 0; index != no_slot && scanned < max_scanned_slots; ++scanned) {
            const SlotIndex candidate = index;
            const ConnectionSlot& slot = slots_[candidate];
            if (slot.state_since > max_state_since)
                break;
            index = slot.next;
            const Source& source = sources_.at(slot.source);
            if (new_source != nullptr &&
                (&source == new_source || !has_far_more_connections(source, *new_source)))
                continue;
            const bool is_larger = selected == no_slot || source.open_connections > max_connections;
            const bool is_older = selected != no_slot && source.open_connections == max_connections &&
                                  slot.state_since < slots_[selected].state_since;
            if (!is_larger && !is_older)
                continue;
            selected = candidate;
            max_connections = source.open_connections;
        }
    }
    return selected;
}

}  // namespace cressledge::connection_admission
