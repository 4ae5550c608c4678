#include "connection_admission/connection_registry.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::connection_admission {
namespace {

/// Minimum number of tracked sources for each connection of the connection limit.
constexpr std::size_t min_tracked_sources_per_connection = 4;
/// Length in bits of the prefix of IPv4-mapped addresses, ::ffff:0:0/96.
constexpr unsigned v4_mapped_prefix_length = 96;

std::size_t saturating_subtract(std::size_t a, std::size_t b) {
    return a > b ? a - b : 0;
}

std::size_t tracked_sources(const Settings& settings) {
    return std::max<std::size_t>(settings.tracked_sources,
                                 min_tracked_sources_per_connection * settings.max_connections);
}

}  // namespace

ConnectionRegistry::ConnectionRegistry(Settings settings, std::uint64_t seed)
    : sources_(tracked_sources(settings), seed) {
    apply_settings(std::move(settings));
}

void ConnectionRegistry::apply_settings(Settings settings) {
    settings_ = std::move(settings);
    settings_.max_connections = std::max(settings_.max_connections, 1U);
    groups_.assign(settings_.groups.size() + 1, ClientGroupUsage{});
    groups_[unlisted_group].source_limits = settings_.unlisted_source_limits;
    reserved_connections_ = 0;
    reserved_requests_ = 0;
    for (std::size_t i = 0; i < settings_.groups.size(); ++i) {
        const ClientGroup& configured = settings_.groups[i];
        ClientGroupUsage& group = groups_[i + 1];
        group.source_limits = configured.source_limits;
        group.reserved_connections = configured.reserved_connections;
        group.reserved_requests = configured.reserved_requests;
        reserved_connections_ += configured.reserved_connections;
        reserved_requests_ += configured.reserved_requests;
    }
    slots_.reset_groups(groups_.size());
    slots_.grow_to(std::size_t{settings_.max_connections} + settings_.rejection_slots);
}

std::size_t ConnectionRegistry::max_shared_requests() const {
    const std::size_t max_requests =
        settings_.max_in_flight_requests == 0 ? settings_.max_connections : settings_.max_in_flight_requests;
    return std::min(saturating_subtract(max_requests, reserved_requests_),
                    saturating_subtract(settings_.max_connections, reserved_connections_));
}

SourceRef ConnectionRegistry::find_or_insert_source(Timestamp now, const IpAddress& address) {
    const NetworkGroupTable::Match match = settings_.networks.longest_match(address);
    unsigned prefix_length =
        address.is_v4() ? v4_mapped_prefix_length + settings_.v4_prefix_length : settings_.v6_prefix_length;
    // A source must not mix a listed client with clients outside the network that lists it.
    if (match.group_index != unlisted_group)
        prefix_length = std::max(prefix_length, match.prefix_length);
    const auto group_index = static_cast<std::uint32_t>(match.group_index);
    SourceTable& table = sources_.table(group_index);
    return {group_index, table.find_or_insert(now, address.masked(prefix_length), prefix_length,
                                              groups_[group_index].source_limits)};
}

// ---- slots and counts ----

SlotIndex ConnectionRegistry::occupy_slot(Timestamp now, const IncomingConnection& connection,
                                          SlotState state) {
    const SlotIndex index = slots_.acquire();
    ConnectionSlot& slot = slots_[index];
    slot.address = connection.address;
    slot.source = connection.source;
    slot.listener_index = connection.ref.listener_index;
    slot.connection_id = connection.ref.connection_id;
    slots_.set_state(index, state, now);
    count_connection(slot);
    return index;
}

void ConnectionRegistry::release_slot(ConnectionSlotId slot_id) {
    ConnectionSlot* slot = slots_.find(slot_id);
    if (slot == nullptr)
        return;
    uncount_in_flight(*slot);
    uncount_connection(*slot);
    slots_.release(ConnectionSlotTable::index_of(slot_id));
}

void ConnectionRegistry::count_connection(const ConnectionSlot& slot) {
    Source& source = sources_.at(slot.source);
    if (slot.state == SlotState::rejected) {
        ++source.rejection_slots;
        ++rejection_slots_in_use_;
        return;
    }
    ++source.open_connections;
    ++open_connections_;
    ++group_of(slot).open_connections;
}

void ConnectionRegistry::uncount_connection(const ConnectionSlot& slot) {
    Source& source = sources_.at(slot.source);
    if (slot.state == SlotState::rejected) {
        --source.rejection_slots;
        --rejection_slots_in_use_;
        return;
    }
    --source.open_connections;
    --open_connections_;
    --group_of(slot).open_connections;
}

void ConnectionRegistry::count_in_flight(ConnectionSlot& slot) {
    ClientGroupUsage& group = group_of(slot);
    if (group.in_flight_requests >= group.reserved_requests)
        ++shared_in_flight_requests_;
    ++group.in_flight_requests;
    ++sources_.at(slot.source).in_flight_requests;
    slot.counts_as_in_flight = true;
}

void ConnectionRegistry::uncount_in_flight(ConnectionSlot& slot) {
    if (!std::exchange(slot.counts_as_in_flight, false))
        return;
    ClientGroupUsage& group = group_of(slot);
    --group.in_flight_requests;
    if (group.in_flight_requests >= group.reserved_requests)
        --shared_in_flight_requests_;
    --sources_.at(slot.source).in_flight_requests;
}

// ---- reconfiguration ----

void ConnectionRegistry::reconfigure(Timestamp now, Settings settings) {
    const std::vector<PreviousSlot> previous_slots = unlink_slots_in_use();
    apply_settings(std::move(settings));
    shared_in_flight_requests_ = 0;
    for (const PreviousSlot& previous : previous_slots)
        relink_slot(now, previous);
}

std::vector<ConnectionRegistry::PreviousSlot> ConnectionRegistry::unlink_slots_in_use() {
    std::vector<SlotIndex> indices;
    for (SlotIndex i = 0; i < slots_.slots().size(); ++i)
        if (slots_[i].state != SlotState::free)
            indices.push_back(i);
    // Relinking in this order preserves the order of each list.
    std::sort(indices.begin(), indices.end(),
              [this](SlotIndex a, SlotIndex b) { return slots_[a].state_since < slots_[b].state_since; });
    std::vector<PreviousSlot> previous_slots;
    for (const SlotIndex index : indices) {
        ConnectionSlot& slot = slots_[index];
        previous_slots.push_back({index, slot.state, slot.counts_as_in_flight});
        uncount_in_flight(slot);
        uncount_connection(slot);
        slots_.unlink(index);
    }
    return previous_slots;
}

void ConnectionRegistry::relink_slot(Timestamp now, const PreviousSlot& previous) {
    ConnectionSlot& slot = slots_[previous.index];
    slot.source = find_or_insert_source(now, slot.address);
    // Prevents set_state() from unlinking the slot: it is not in a list of its new group yet.
    slot.state = SlotState::free;
    slots_.set_state(previous.index, previous.state, slot.state_since);
    count_connection(slot);
    if (previous.counts_as_in_flight)
        count_in_flight(slot);
}

}  // namespace cressledge::connection_admission
