// Which connection is closed to make room for another. Looks at slots, sources and groups, and changes
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

    /// The slot to evict, or no_slot. `newcomer` is the source that room is made for; nullptr: room is made
    /// for something else than a connection.
    SlotIndex select(Timestamp now, const Source* newcomer) const;

    /// A slot of this source that has been waiting for a request for longer than usual, or no_slot.
    SlotIndex select_from_source(Timestamp now, const SourceRef& source) const;

private:
    /// Whether no other group may take a connection from this one.
    bool is_within_reserve(std::uint32_t group_index) const;

    /// Among the slots in this state since `since_at_most` or earlier, the one whose source has the most
    /// connections; of equals, the one longest in that state. With a newcomer only sources with far more
    /// connections count.
    SlotIndex find_slot_of_heaviest_source(SlotState state, Timestamp since_at_most,
                                           const Source* newcomer) const;

    const ConnectionSlotTable& slots_;
    const SourceRegistry& sources_;
    const std::vector<ClientGroupUsage>& groups_;
};

}  // namespace cressledge::connection_admission
