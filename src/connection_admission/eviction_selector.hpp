// Selects the connection to evict. Reads slots, sources and groups without changing them.
#pragma once

#include <cstdint>
#include <vector>

#include "connection_admission/client_group_usage.hpp"
#include "connection_admission/connection_slot_table.hpp"
#include "connection_admission/source_registry.hpp"

namespace cressledge::connection_admission {

/// Selects the connection to evict among those without a request in flight that belong to no group within its
/// reserve.
///
/// The cost is bounded regardless of the number of open connections: only the first slots of each list are
/// scanned.
class EvictionSelector {
public:
    /// All three must outlive the selector.
    EvictionSelector(const ConnectionSlotTable& slots, const SourceRegistry& sources,
                     const std::vector<ClientGroupUsage>& groups)
        : slots_(slots), sources_(sources), groups_(groups) {}

    /// The slot to evict, or no_slot. `new_source` is the source of the new connection that needs capacity,
    /// or nullptr if the eviction is for another purpose.
    SlotIndex select(Timestamp now, const Source* new_source) const;

    /// A slot of this source that has awaited a request beyond the grace period, or no_slot.
    SlotIndex select_from_source(Timestamp now, const SourceRef& source) const;

private:
    /// Whether the group uses no more than its reserve, so that its connections are not evicted for others.
    bool is_within_reserve(std::uint32_t group_index) const;

    /// Among the slots in this state since `max_state_since` or earlier, the one whose source has the most
    /// connections; ties go to the slot that has been in the state for longest. With a new source, only
    /// sources with far more connections than it are considered.
    SlotIndex find_slot_of_largest_source(SlotState state, Timestamp max_state_since,
                                          const Source* new_source) const;

    const ConnectionSlotTable& slots_;
    const SourceRegistry& sources_;
    const std::vector<ClientGroupUsage>& groups_;
};

}  // namespace cressledge::connection_admission
