// Which connection is closed so that another can be admitted. Looks at slots, sources and groups, and changes
// nothing.
#pragma once

#include <cstdint>
#include <vector>

#include "connection_admission/client_group_usage.hpp"
#include "connection_admission/connection_slot_table.hpp"
#include "connection_admission/source_registry.hpp"

namespace cressledge::connection_admission {

/// Chooses among connections without a request in flight, none of them of a group within its reserve.
///
/// The cost of a choice is bounded, however many connections are open: only the first few slots of each list
/// are looked at.
class EvictionSelector {
public:
    /// All three must outlive the selector.
    EvictionSelector(const ConnectionSlotTable& slots, const SourceRegistry& sources,
                     const std::vector<ClientGroupUsage>& groups)
        : slots_(slots), sources_(sources), groups_(groups) {}

    /// The slot to evict, or no_slot. `new_source` is the source whose connection needs the capacity;
    /// nullptr: something else than a connection needs it.
    SlotIndex select(Timestamp now, const Source* new_source) const;

    /// A slot of this source that has been waiting for a request for longer than usual, or no_slot.
    SlotIndex select_from_source(Timestamp now, const SourceRef& source) const;

private:
    /// Whether no other group may take a connection from this one.
    bool is_within_reserve(std::uint32_t group_index) const;

    /// Among the slots in this state since `max_state_since` or earlier, the one whose source has the most
    /// connections; of equals, the one longest in that state. With a new source only sources with far more
    /// connections count.
    SlotIndex find_slot_of_heaviest_source(SlotState state, Timestamp max_state_since,
                                           const Source* new_source) const;

    const ConnectionSlotTable& slots_;
    const SourceRegistry& sources_;
    const std::vector<ClientGroupUsage>& groups_;
};

}  // namespace cressledge::connection_admission
