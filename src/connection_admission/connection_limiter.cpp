#include "connection_admission/connection_limiter.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::connection_admission {
namespace {

/// Minimum time between log lines about the same source.
constexpr Duration source_log_interval{10'000'000};
/// Minimum time between log lines about any source.
constexpr Duration log_interval{1'000'000};
/// Lower bound of the Retry-After of a connection rate rejection.
constexpr Duration min_retry_after{50'000};
constexpr double microseconds_per_second = 1e6;
/// One source may use at most one in this many of the rejection slots, so that other rejected clients also
/// get a response.
constexpr std::uint32_t rejection_slots_per_source_divisor = 4;

/// The Retry-After of a source over its connection rate: the time in which its bucket gains one token.
Duration connection_rate_retry_after(const SourceLimits& limits, Duration max_retry_after) {
    if (limits.connections_per_second <= 0.0)
        return max_retry_after;
    const double token_interval = microseconds_per_second / limits.connections_per_second;
    const Duration wait(static_cast<std::int64_t>(token_interval));
    return std::min(max_retry_after, std::max(min_retry_after, wait));
}

}  // namespace

ConnectionLimiter::ConnectionLimiter(Settings settings, std::uint64_t seed)
    : registry_(std::move(settings), seed) {}

void ConnectionLimiter::reconfigure(Timestamp now, Settings settings) {
    registry_.reconfigure(now, std::move(settings));
}

IpAddress ConnectionLimiter::address_of(ConnectionSlotId slot_id) const {
    const ConnectionSlot* slot = registry_.slots().find(slot_id);
    return slot == nullptr ? IpAddress{} : slot->address;
}

// ---- connections ----

ConnectionLimiter::ConnectionDecision ConnectionLimiter::admit_connection(Timestamp now,
                                                                          const IpAddress& address,
                                                                          std::uint32_t listener_index,
                                                                          std::uint64_t connection_id) {
    const IncomingConnection connection{
        address, registry_.find_or_insert_source(now, address), {listener_index, connection_id}};
    if (const auto reason = check_source_limits(now, connection.source))
        return reject_connection(now, *reason, connection);
    const CapacityDecision capacity = check_capacity(now, connection.source);
    if (capacity.rejection)
        return reject_connection(now, *capacity.rejection, connection);
    ConnectionDecision decision;
    if (capacity.evicted_slot != no_slot)
        decision.evicted = evict_slot(capacity.evicted_slot);
    decision.slot_id =
        registry_.slots().id_of(registry_.occupy_slot(now, connection, SlotState::awaiting_request));
    return decision;
}

std::optional<RejectionReason> ConnectionLimiter::check_source_limits(Timestamp now,
                                                                      const SourceRef& source_ref) {
    const SourceLimits& limits = registry_.group(source_ref.group_index).source_limits;
    Source& source = registry_.sources().at(source_ref);
    Duration wait{0};
    if (!source.bucket.try_acquire(now, limits, wait))
        return RejectionReason::connection_rate;
    if (limits.max_connections != 0 && source.open_connections >= limits.max_connections)
        return RejectionReason::source_connections;
    return std::nullopt;
}

ConnectionLimiter::CapacityDecision ConnectionLimiter::check_capacity(Timestamp now,
                                                                      const SourceRef& source_ref) const {
    if (exceeds_dynamic_threshold(source_ref)) {
        const SlotIndex own_slot = registry_.eviction_selector().select_from_source(now, source_ref);
        if (own_slot == no_slot)
            return {RejectionReason::dynamic_threshold, no_slot};
        return {std::nullopt, own_slot};
    }
    if (registry_.open_connections() < settings().max_connections)
        return {};
    const ClientGroupUsage& group = registry_.group(source_ref.group_index);
    // While a lowered limit is exceeded, only a group within its reserve may replace another connection.
    const bool may_evict = registry_.open_connections() == settings().max_connections ||
                           group.open_connections < group.reserved_connections;
    SlotIndex evicted_slot = no_slot;
    if (may_evict)
        evicted_slot = registry_.eviction_selector().select(now, &registry_.sources().at(source_ref));
    if (evicted_slot == no_slot)
        return {RejectionReason::total_connections, no_slot};
    return {std::nullopt, evicted_slot};
}

// Dynamic threshold as in shared-memory switches (Choudhury and Hahne, 1998): the limit of a source is the
// number of free connections times a factor, so it falls as more connections are in use.
bool ConnectionLimiter::exceeds_dynamic_threshold(const SourceRef& source_ref) const {
    if (source_ref.group_index != unlisted_group || settings().dynamic_threshold_factor <= 0.0)
        return false;
    const std::size_t max_connections = settings().max_connections;
    const std::size_t free_connections =
        max_connections - std::min(max_connections, registry_.open_connections());
    const double max_source_connections =
        std::max(1.0, settings().dynamic_threshold_factor * static_cast<double>(free_connections));
    return registry_.sources().at(source_ref).open_connections >= max_source_connections;
}

ConnectionLimiter::ConnectionDecision ConnectionLimiter::reject_connection(
    Timestamp now, RejectionReason reason, const IncomingConnection& connection) {
    Source& source = registry_.sources().at(connection.source);
    ConnectionDecision decision;
    decision.rejected = true;
    decision.reason = reason;
    decision.should_log = record_rejection(now, reason, source);
    const std::uint32_t max_source_slots =
        std::max(1U, settings().rejection_slots / rejection_slots_per_source_divisor);
    if (registry_.rejection_slots_in_use() >= settings().rejection_slots ||
        source.rejection_slots >= max_source_slots)
        return decision;
    const SlotIndex index = registry_.occupy_slot(now, connection, SlotState::rejected);
    registry_.slots()[index].rejection_reason = reason;
    decision.slot_id = registry_.slots().id_of(index);
    return decision;
}

bool ConnectionLimiter::record_rejection(Timestamp now, RejectionReason reason, Source& source) {
    const auto reason_index = static_cast<std::size_t>(reason);
    ++rejections_[reason_index];
    if (source.rejections[reason_index] != ~std::uint32_t{0})
        ++source.rejections[reason_index];
    if (now < source.next_log_at || now < next_log_at_)
        return false;
    source.next_log_at = now + source_log_interval;
    next_log_at_ = now + log_interval;
    return true;
}

std::optional<ConnectionRef> ConnectionLimiter::evict_connection(Timestamp now) {
    const SlotIndex index = registry_.eviction_selector().select(now, nullptr);
    if (index == no_slot)
        return std::nullopt;
    return evict_slot(index);
}

ConnectionRef ConnectionLimiter::evict_slot(SlotIndex index) {
    const ConnectionSlot& slot = registry_.slots()[index];
    ++registry_.sources().at(slot.source).evicted_connections;
    ++evicted_connections_;
    const ConnectionRef connection{slot.listener_index, slot.connection_id};
    release_connection(registry_.slots().id_of(index));
    return connection;
}

void ConnectionLimiter::release_connection(ConnectionSlotId slot_id) {
    registry_.release_slot(slot_id);
}

// ---- requests ----

ConnectionLimiter::RequestDecision ConnectionLimiter::admit_request(Timestamp now, ConnectionSlotId slot_id) {
    ConnectionSlot* slot = registry_.slots().find(slot_id);
    if (slot == nullptr || slot->counts_as_in_flight)
        return {};
    if (slot->state == SlotState::rejected)
        return reject_on_rejected_connection(*slot);
    RequestDecision decision;
    decision.retry_after = settings().max_retry_after;
    if (const auto reason = check_request_limits(*slot)) {
        decision.admitted = false;
        decision.reason = *reason;
        decision.should_log = record_rejection(now, *reason, registry_.sources().at(slot->source));
        return decision;
    }
    registry_.slots().set_state(ConnectionSlotTable::index_of(slot_id), SlotState::request_in_flight, now);
    registry_.count_in_flight(*slot);
    return decision;
}

// The rejection is not recorded again: it was recorded when the connection was opened.
ConnectionLimiter::RequestDecision ConnectionLimiter::reject_on_rejected_connection(
    const ConnectionSlot& slot) const {
    RequestDecision decision;
    decision.admitted = false;
    decision.reason = slot.rejection_reason;
    decision.retry_after = settings().max_retry_after;
    if (slot.rejection_reason == RejectionReason::connection_rate)
        decision.retry_after = connection_rate_retry_after(
            registry_.group(slot.source.group_index).source_limits, settings().max_retry_after);
    return decision;
}

std::optional<RejectionReason> ConnectionLimiter::check_request_limits(const ConnectionSlot& slot) const {
    const Source& source = registry_.sources().at(slot.source);
    const ClientGroupUsage& group = registry_.group(slot.source.group_index);
    const std::uint32_t max_source_requests = group.source_limits.max_in_flight_requests;
    if (max_source_requests != 0 && source.in_flight_requests >= max_source_requests)
        return RejectionReason::source_requests;
    const bool is_reserve_in_use = group.in_flight_requests >= group.reserved_requests;
    if (is_reserve_in_use && registry_.shared_in_flight_requests() >= registry_.max_shared_requests())
        return RejectionReason::total_requests;
    return std::nullopt;
}

void ConnectionLimiter::on_response_sent(Timestamp now, ConnectionSlotId slot_id, bool keep_alive) {
    ConnectionSlot* slot = registry_.slots().find(slot_id);
    if (slot == nullptr || slot->state == SlotState::rejected)
        return;
    SlotState state = SlotState::awaiting_request;
    if (keep_alive) {
        registry_.uncount_in_flight(*slot);
        state = SlotState::idle;
    } else if (slot->counts_as_in_flight) {
        state = SlotState::closing;
    }
    registry_.slots().set_state(ConnectionSlotTable::index_of(slot_id), state, now);
}

void ConnectionLimiter::on_first_byte(Timestamp now, ConnectionSlotId slot_id) {
    const ConnectionSlot* slot = registry_.slots().find(slot_id);
    if (slot != nullptr && slot->state == SlotState::idle)
        registry_.slots().set_state(ConnectionSlotTable::index_of(slot_id), SlotState::awaiting_request, now);
}

// ---- reports ----

std::vector<SourceReport> ConnectionLimiter::top_rejected_sources(std::size_t max_sources) const {
    return report_top_rejected_sources(registry_.sources(), settings(), max_sources);
}

ConnectionLimiter::GroupUsage ConnectionLimiter::group_usage(GroupIndex group_index) const {
    const ClientGroupUsage& group = registry_.group(group_index);
    return {group.open_connections, group.in_flight_requests};
}

}  // namespace cressledge::connection_admission
