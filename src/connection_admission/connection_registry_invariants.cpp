// Consistency checks of ConnectionRegistry, called by tests.
#include <algorithm>
#include <stdexcept>
#include <string>

#include "connection_admission/connection_registry.hpp"

namespace cressledge::connection_admission {
namespace {

void require(bool condition, const char* description) {
    if (!condition)
        throw std::logic_error(std::string("connection registry: ") + description);
}

}  // namespace

void ConnectionRegistry::check_invariants() const {
    const std::vector<GroupCounts> counts_by_group = check_slots();
    check_groups(counts_by_group);
    check_sources(counts_by_group);
}

std::vector<ConnectionRegistry::GroupCounts> ConnectionRegistry::check_slots() const {
    std::size_t open_connections = 0;
    std::size_t rejected_connections = 0;
    std::vector<GroupCounts> counts_by_group(groups_.size());
    for (const ConnectionSlot& slot : slots_.slots()) {
        if (slot.state == SlotState::free)
            continue;
        const bool is_in_flight = slot.state == SlotState::request_in_flight;
        require(!slot.counts_as_in_flight || is_in_flight || slot.state == SlotState::closing,
                "a slot without a request in flight is counted as in flight");
        require(!is_in_flight || slot.counts_as_in_flight,
                "a slot with a request in flight is not counted as in flight");
        if (slot.state == SlotState::rejected) {
            ++rejected_connections;
            continue;
        }
        ++open_connections;
        GroupCounts& counts = counts_by_group[slot.source.group_index];
        ++counts.open_connections;
        counts.in_flight_requests += slot.counts_as_in_flight ? 1 : 0;
    }
    require(open_connections == open_connections_, "open_connections differs from the slots");
    require(rejected_connections == rejection_slots_in_use_, "rejection_slots_in_use differs from the slots");
    return counts_by_group;
}

void ConnectionRegistry::check_groups(const std::vector<GroupCounts>& counts_by_group) const {
    std::size_t shared_requests = 0;
    for (std::size_t group_index = 0; group_index < groups_.size(); ++group_index) {
        const GroupCounts& counts = counts_by_group[group_index];
        require(counts.open_connections == groups_[group_index].open_connections,
                "open_connections of a group differs from the slots");
        require(counts.in_flight_requests == groups_[group_index].in_flight_requests,
                "in_flight_requests of a group differs from the slots");
        const std::uint32_t within_reserve =
            std::min(counts.in_flight_requests, groups_[group_index].reserved_requests);
        shared_requests += counts.in_flight_requests - within_reserve;
    }
    require(shared_requests == shared_in_flight_requests_,
            "shared_in_flight_requests differs from the slots");
}

void ConnectionRegistry::check_sources(const std::vector<GroupCounts>& counts_by_group) const {
    std::size_t connections = 0;
    std::size_t source_requests = 0;
    for (const SourceTable* table : {&sources_.unlisted(), &sources_.listed()}) {
        for (const Source& source : table->entries()) {
            connections += source.open_connections + source.rejection_slots;
            source_requests += source.in_flight_requests;
        }
    }
    std::size_t group_requests = 0;
    for (const GroupCounts& counts : counts_by_group)
        group_requests += counts.in_flight_requests;
    require(connections == open_connections_ + rejection_slots_in_use_,
            "open_connections and rejection_slots of the sources differ from the slots");
    require(source_requests == group_requests, "in_flight_requests of the sources differ from the groups");
}

}  // namespace cressledge::connection_admission
