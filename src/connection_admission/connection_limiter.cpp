#include "connection_admission/connection_limiter.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cressledge::connection_admission {
namespace {

constexpr Duration request_arrival_grace{250'000};  // a usual caller's request follows its connection sooner
constexpr Duration source_log_interval{10'000'000},
    log_interval{1'000'000};  // in the log: for one source, and in all
constexpr Duration min_retry_after{50'000};
constexpr std::size_t max_scanned_slots = 16;  // of a queue: bounds the cost of a choice, whatever is open
constexpr std::uint32_t rejection_slots_divisor = 4;  // of the lobby, for one source: one in so many

}  // namespace

ConnectionLimiter::ConnectionLimiter(Settings settings, std::uint64_t seed)
    : unlisted_sources_(
          std::max<std::size_t>(settings.tracked_sources, std::size_t{4} * settings.max_connections), seed),
      listed_sources_(unlisted_sources_.capacity() / 4, seed ^ 0x9e3779b97f4a7c15ULL) {
    apply_settings(std::move(settings));
}

void ConnectionLimiter::apply_settings(Settings settings) {
    settings_ = std::move(settings);
    settings_.max_connections = std::max(settings_.max_connections, 1U);
    groups_.assign(settings_.groups.size() + 1, GroupState{});
    groups_[0].source_limits = settings_.unlisted_source_limits;
    reserved_connections_ = reserved_requests_ = 0;
    for (std::size_t g = 0; g < settings_.groups.size(); ++g) {
        const ClientGroup& from = settings_.groups[g];
        groups_[g + 1].source_limits = from.source_limits;
        reserved_connections_ += groups_[g + 1].reserved_connections = from.reserved_connections;
        reserved_requests_ += groups_[g + 1].reserved_requests = from.reserved_requests;
    }
    const std::size_t slot_count = std::size_t{settings_.max_connections} + settings_.rejection_slots;
    while (slots_.size() < slot_count) {
        slots_.emplace_back();
        free_slots_.push_back(static_cast<SlotIndex>(slots_.size() - 1));
    }
}

std::size_t ConnectionLimiter::max_shared_requests() const {
    const std::size_t all =
        settings_.max_in_flight_requests == 0 ? settings_.max_connections : settings_.max_in_flight_requests;
    const auto less = [](std::size_t a, std::size_t b) { return a > b ? a - b : std::size_t{0}; };
    return std::min(less(all, reserved_requests_), less(settings_.max_connections, reserved_connections_));
}

const ConnectionLimiter::ConnectionSlot* ConnectionLimiter::find_slot(ConnectionSlotId slot_id) const {
    const auto i = static_cast<SlotIndex>(slot_id);
    if (i >= slots_.size() || slots_[i].state == SlotState::free || make_slot_id(i) != slot_id)
        return nullptr;
    return &slots_[i];
}

ConnectionLimiter::SourceRef ConnectionLimiter::find_or_insert_source(Timestamp now,
                                                                      const IpAddress& address) {
    const NetworkGroupTable::Match found = settings_.networks.longest_match(address);
    unsigned prefix_length = address.is_v4() ? 96 + settings_.v4_prefix_length : settings_.v6_prefix_length;
    // A listed caller is never counted together with others outside the network that lists him.
    if (found.group_index != 0)
        prefix_length = std::max(prefix_length, found.prefix_length);
    const auto group_index = static_cast<std::uint32_t>(found.group_index);
    return {group_index, source_table(group_index)
                             .find_or_insert(now, address.masked(prefix_length), prefix_length,
                                             groups_[group_index].source_limits)};
}

// ---- seats ----

void ConnectionLimiter::unlink_slot(SlotIndex i) {
    ConnectionSlot& s = slots_[i];
    if (static_cast<std::size_t>(s.state) >= evictable_state_count)
        return;
    SlotList& q = groups_[s.group_index].evictable_slots[static_cast<std::size_t>(s.state)];
    (s.previous == no_slot ? q.head : slots_[s.previous].next) = s.next;
    (s.next == no_slot ? q.tail : slots_[s.next].previous) = s.previous;
    s.previous = s.next = no_slot;
}

void ConnectionLimiter::set_state(SlotIndex i, SlotState to, Timestamp now) {
    unlink_slot(i);
    ConnectionSlot& s = slots_[i];
    s.state = to;
    s.state_since = now;
    if (static_cast<std::size_t>(to) >= evictable_state_count)
        return;
    SlotList& q = groups_[s.group_index].evictable_slots[static_cast<std::size_t>(to)];
    s.previous = q.tail;
    (q.tail == no_slot ? q.head : slots_[q.tail].next) = i;
    q.tail = i;
}

void ConnectionLimiter::count_in_flight(ConnectionSlot& s) {
    GroupState& g = groups_[s.group_index];
    if (g.in_flight_requests >= g.reserved_requests)
        ++shared_in_flight_requests_;
    ++g.in_flight_requests;
    ++source_of(s).in_flight_requests;
    s.counts_as_in_flight = true;
}

void ConnectionLimiter::uncount_in_flight(ConnectionSlot& s) {
    if (!std::exchange(s.counts_as_in_flight, false))
        return;
    GroupState& g = groups_[s.group_index];
    --g.in_flight_requests;
    if (g.in_flight_requests >= g.reserved_requests)
        --shared_in_flight_requests_;
    --source_of(s).in_flight_requests;
}

ConnectionLimiter::SlotIndex ConnectionLimiter::occupy_slot(Timestamp now, const IpAddress& address,
                                                            std::uint32_t group_index,
                                                            SourceTable::SourceIndex source_index,
                                                            std::uint32_t listener_index,
                                                            std::uint64_t connection_id, SlotState state) {
    const SlotIndex i = free_slots_.back();
    free_slots_.pop_back();
    ConnectionSlot& s = slots_[i];
    s.address = address;
    s.group_index = group_index;
    s.source_index = source_index;
    s.listener_index = listener_index;
    s.connection_id = connection_id;
    set_state(i, state, now);
    if (state == SlotState::rejected) {
        rejection_slots_.push_back(i);
        ++source_of(s).rejection_slots;
    } else {
        ++source_of(s).open_connections;
        ++open_connections_;
        ++groups_[group_index].open_connections;
    }
    return i;
}

void ConnectionLimiter::release_connection(ConnectionSlotId slot_id) {
    ConnectionSlot* s = find_slot(slot_id);
    if (s == nullptr)
        return;
    const auto i = static_cast<SlotIndex>(slot_id);
    uncount_in_flight(*s);
    if (s->state == SlotState::rejected) {
        --source_of(*s).rejection_slots;
        rejection_slots_.erase(std::find(rejection_slots_.begin(), rejection_slots_.end(), i));
    } else {
        --source_of(*s).open_connections;
        --open_connections_;
        --groups_[s->group_index].open_connections;
    }
    unlink_slot(i);
    s->state = SlotState::free;
    ++s->generation;
    free_slots_.push_back(i);
}

IpAddress ConnectionLimiter::address_of(ConnectionSlotId slot_id) const {
    const ConnectionSlot* s = find_slot(slot_id);
    return s == nullptr ? IpAddress{} : s->address;
}

// ---- who makes room ----

// Nobody outside may take a place from a group that is within its reserve.
bool ConnectionLimiter::is_within_reserve(std::uint32_t group_index) const {
    return group_index != 0 &&
           groups_[group_index].open_connections <= groups_[group_index].reserved_connections;
}

// Among the longest waiting of each group, the one whose source holds most; of equals, the longest waiting.
// `old`: only those that have been what they are since then. `over`: only those whose source holds far more.
ConnectionLimiter::SlotIndex ConnectionLimiter::find_slot_of_heaviest_source(SlotState state,
                                                                             Timestamp since_at_most,
                                                                             const Source* newcomer) const {
    SlotIndex best = no_slot;
    std::uint32_t max_open_connections = 0;
    for (std::uint32_t g = 0; g < groups_.size(); ++g) {
        if (is_within_reserve(g))
            continue;
        std::size_t scanned = 0;
        for (SlotIndex i = groups_[g].evictable_slots[static_cast<std::size_t>(state)].head;
             i != no_slot && scanned < max_scanned_slots; i = slots_[i].next, ++scanned) {
            const ConnectionSlot& s = slots_[i];
            if (s.state_since > since_at_most)
                break;
            const Source& source = (g == 0 ? unlisted_sources_ : listed_sources_).at(s.source_index);
            if (newcomer != nullptr &&
                (&source == newcomer || source.open_connections <= 2 * newcomer->open_connections + 8))
                continue;
            const bool longer = best != no_slot && source.open_connections == max_open_connections &&
                                s.state_since < slots_[best].state_since;
            if (best == no_slot || source.open_connections > max_open_connections || longer)
                best = i, max_open_connections = source.open_connections;
        }
    }
    return best;
}

ConnectionLimiter::SlotIndex ConnectionLimiter::select_eviction_candidate(Timestamp now,
                                                                          const Source* newcomer) {
    // Silent for longer than a usual caller; given the time to read its last answer; silent and from one that holds
    // far more than the taker; resting; silent at all.
    SlotIndex i =
        find_slot_of_heaviest_source(SlotState::awaiting_request, now - request_arrival_grace, nullptr);
    if (i == no_slot)
        i = find_slot_of_heaviest_source(SlotState::closing, now - request_arrival_grace, nullptr);
    if (i == no_slot && newcomer != nullptr)
        i = find_slot_of_heaviest_source(SlotState::awaiting_request, now, newcomer);
    if (i == no_slot)
        i = find_slot_of_heaviest_source(SlotState::idle, now, nullptr);
    return i != no_slot ? i : find_slot_of_heaviest_source(SlotState::awaiting_request, now, nullptr);
}

ConnectionLimiter::ConnectionRef ConnectionLimiter::evict_slot(SlotIndex i) {
    ++source_of(slots_[i]).evicted_connections;
    ++evicted_connections_;
    const ConnectionRef who{slots_[i].listener_index, slots_[i].connection_id};
    release_connection(make_slot_id(i));
    return who;
}

ConnectionLimiter::SlotIndex ConnectionLimiter::find_own_awaiting_slot(
    Timestamp now, std::uint32_t group_index, SourceTable::SourceIndex source_index) const {
    std::size_t scanned = 0;
    for (SlotIndex i =
             groups_[group_index].evictable_slots[static_cast<std::size_t>(SlotState::awaiting_request)].head;
         i != no_slot && scanned < max_scanned_slots && slots_[i].state_since <= now - request_arrival_grace;
         i = slots_[i].next, ++scanned)
        if (slots_[i].source_index == source_index)
            return i;
    return no_slot;
}

std::optional<ConnectionLimiter::ConnectionRef> ConnectionLimiter::evict_connection(Timestamp now) {
    const SlotIndex i = select_eviction_candidate(now, nullptr);
    if (i == no_slot)
        return std::nullopt;
    return evict_slot(i);
}

// ---- connections ----

bool ConnectionLimiter::record_rejection(Timestamp now, RejectionReason reason, Source& source) {
    const auto r = static_cast<std::size_t>(reason);
    ++rejections_[r];
    if (source.rejections[r] != ~std::uint32_t{0})
        ++source.rejections[r];
    if (now < source.next_log_at || now < next_log_at_)
        return false;
    source.next_log_at = now + source_log_interval;
    next_log_at_ = now + log_interval;
    return true;
}

ConnectionLimiter::ConnectionDecision ConnectionLimiter::reject_connection(
    Timestamp now, RejectionReason reason, const IpAddress& address, std::uint32_t group_index,
    SourceTable::SourceIndex source_index, std::uint32_t listener_index, std::uint64_t connection_id) {
    ConnectionDecision e;
    e.rejected = true;
    e.reason = reason;
    Source& from = source_table(group_index).at(source_index);
    e.should_log = record_rejection(now, reason, from);
    // The lobby is not for one source alone: the others that are refused shall hear why as well.
    if (rejection_slots_.size() >= settings_.rejection_slots ||
        from.rejection_slots >= std::max(1U, settings_.rejection_slots / rejection_slots_divisor))
        return e;
    const SlotIndex i = occupy_slot(now, address, group_index, source_index, listener_index, connection_id,
                                    SlotState::rejected);
    slots_[i].rejection_reason = reason;
    e.slot_id = make_slot_id(i);
    return e;
}

ConnectionLimiter::ConnectionDecision ConnectionLimiter::admit_connection(Timestamp now,
                                                                          const IpAddress& address,
                                                                          std::uint32_t listener_index,
                                                                          std::uint64_t connection_id) {
    const auto [group_index, source_index] = find_or_insert_source(now, address);
    const GroupState& g = groups_[group_index];
    Source& source = source_table(group_index).at(source_index);
    const auto reject = [&, group = group_index, no = source_index](RejectionReason reason) {
        return reject_connection(now, reason, address, group, no, listener_index, connection_id);
    };
    Duration wait{0};
    if (!source.bucket.try_acquire(now, g.source_limits, wait))
        return reject(RejectionReason::connection_rate);
    if (g.source_limits.max_connections != 0 && source.open_connections >= g.source_limits.max_connections)
        return reject(RejectionReason::source_connections);
    ConnectionDecision e;
    SlotIndex evicted_slot = no_slot;
    const std::size_t max_connections = settings_.max_connections;
    if (group_index == 0 && settings_.free_connection_share > 0.0) {
        // The dynamic threshold: of the room that is still free, one source gets a share.
        const auto free_connections =
            static_cast<double>(max_connections - std::min(max_connections, open_connections_));
        if (source.open_connections >= std::max(1.0, settings_.free_connection_share * free_connections)) {
            evicted_slot = find_own_awaiting_slot(now, group_index, source_index);
            if (evicted_slot == no_slot)
                return reject(RejectionReason::source_share);
        }
    }
    if (evicted_slot == no_slot && open_connections_ >= max_connections) {
        // After a reload that shrank the table only a reserve is still served, one place for another.
        if (open_connections_ == max_connections || g.open_connections < g.reserved_connections)
            evicted_slot = select_eviction_candidate(now, &source);
        if (evicted_slot == no_slot)
            return reject(RejectionReason::total_connections);
    }
    if (evicted_slot != no_slot)
        e.evicted = evict_slot(evicted_slot);
    e.slot_id = make_slot_id(occupy_slot(now, address, group_index, source_index, listener_index,
                                         connection_id, SlotState::awaiting_request));
    return e;
}

// ---- requests ----

ConnectionLimiter::RequestDecision ConnectionLimiter::admit_request(Timestamp now, ConnectionSlotId slot_id) {
    ConnectionSlot* s = find_slot(slot_id);
    RequestDecision r;
    if (s == nullptr || s->counts_as_in_flight)
        return r;
    Source& source = source_of(*s);
    const GroupState& g = groups_[s->group_index];
    r.retry_after = settings_.max_retry_after;
    if (s->state == SlotState::rejected) {  // counted as refused when it came
        r.admitted = false;
        r.reason = s->rejection_reason;
        if (r.reason == RejectionReason::connection_rate && g.source_limits.connections_per_second > 0.0)
            r.retry_after = std::min(
                settings_.max_retry_after,
                std::max(min_retry_after,
                         Duration(static_cast<std::int64_t>(1e6 / g.source_limits.connections_per_second))));
        return r;
    }
    if (g.source_limits.max_in_flight_requests != 0 &&
        source.in_flight_requests >= g.source_limits.max_in_flight_requests) {
        r.admitted = false;
        r.reason = RejectionReason::source_requests;
    } else if (g.in_flight_requests >= g.reserved_requests &&
               shared_in_flight_requests_ >= max_shared_requests()) {
        r.admitted = false;
        r.reason = RejectionReason::total_requests;
    }
    if (!r.admitted) {
        r.should_log = record_rejection(now, r.reason, source);
        return r;
    }
    set_state(static_cast<SlotIndex>(slot_id), SlotState::request_in_flight, now);
    count_in_flight(*s);
    return r;
}

void ConnectionLimiter::on_response_sent(Timestamp now, ConnectionSlotId slot_id, bool keep_alive) {
    ConnectionSlot* s = find_slot(slot_id);
    if (s == nullptr || s->state == SlotState::rejected)
        return;
    if (keep_alive)
        uncount_in_flight(*s);
    set_state(static_cast<SlotIndex>(slot_id),
              keep_alive               ? SlotState::idle
              : s->counts_as_in_flight ? SlotState::closing
                                       : SlotState::awaiting_request,
              now);
}

void ConnectionLimiter::on_first_byte(Timestamp now, ConnectionSlotId slot_id) {
    const ConnectionSlot* s = find_slot(slot_id);
    if (s != nullptr && s->state == SlotState::idle)
        set_state(static_cast<SlotIndex>(slot_id), SlotState::awaiting_request, now);
}

void ConnectionLimiter::reconfigure(Timestamp now, Settings settings) {
    // In the order of their standing, so that each queue keeps its own.
    std::vector<SlotIndex> order;
    for (SlotIndex i = 0; i < slots_.size(); ++i)
        if (slots_[i].state != SlotState::free)
            order.push_back(i);
    std::sort(order.begin(), order.end(),
              [this](SlotIndex a, SlotIndex b) { return slots_[a].state_since < slots_[b].state_since; });
    struct PreviousState {
        SlotState state;
        bool counts_as_in_flight;
    };
    std::vector<PreviousState> previous_states;
    for (const SlotIndex i : order) {
        ConnectionSlot& s = slots_[i];
        previous_states.push_back({s.state, s.counts_as_in_flight});
        uncount_in_flight(s);
        --(s.state == SlotState::rejected ? source_of(s).rejection_slots : source_of(s).open_connections);
        unlink_slot(i);
    }
    apply_settings(std::move(settings));
    shared_in_flight_requests_ = 0;
    for (std::size_t n = 0; n < order.size(); ++n) {
        ConnectionSlot& s = slots_[order[n]];
        const SourceRef found = find_or_insert_source(now, s.address);
        s.group_index = found.group_index;
        s.source_index = found.source_index;
        s.state = SlotState::free;
        set_state(order[n], previous_states[n].state, s.state_since);
        ++(s.state == SlotState::rejected ? source_of(s).rejection_slots : source_of(s).open_connections);
        if (s.state != SlotState::rejected)
            ++groups_[s.group_index].open_connections;
        if (previous_states[n].counts_as_in_flight)
            count_in_flight(s);
    }
}

// ---- what an operator reads ----

std::vector<ConnectionLimiter::SourceReport> ConnectionLimiter::top_rejected_sources(
    std::size_t max_sources) const {
    std::vector<SourceReport> reports;
    const auto collect = [&](const SourceTable& from, bool listed) {
        for (const Source& s : from.entries()) {
            if (!s.in_use || (s.total_rejections() == 0 && s.evicted_connections == 0))
                continue;
            SourceReport r;
            r.source = &s == &from.entries().back() ? "others"
                                                    : Network{s.base_address, s.prefix_length}.to_string();
            if (const GroupIndex g =
                    listed ? settings_.networks.longest_match(s.base_address).group_index : 0;
                g != 0)
                r.group = settings_.groups[g - 1].name;
            r.open_connections = s.open_connections;
            r.in_flight_requests = s.in_flight_requests;
            r.evicted_connections = s.evicted_connections;
            r.rejections = s.rejections;
            r.total_rejections = s.total_rejections();
            reports.push_back(std::move(r));
        }
    };
    collect(unlisted_sources_, false);
    collect(listed_sources_, true);
    std::sort(reports.begin(), reports.end(), [](const SourceReport& a, const SourceReport& b) {
        return std::tuple(b.total_rejections, b.evicted_connections, a.source) <
               std::tuple(a.total_rejections, a.evicted_connections, b.source);
    });
    if (reports.size() > max_sources)
        reports.resize(max_sources);
    return reports;
}

RejectionCounts ConnectionLimiter::rejections_of_evicted_sources() const {
    RejectionCounts all = unlisted_sources_.evicted_rejections();
    for (std::size_t r = 0; r < rejection_reason_count; ++r)
        all[r] += listed_sources_.evicted_rejections()[r];
    return all;
}

std::size_t ConnectionLimiter::memory_bytes() const {
    return unlisted_sources_.memory_bytes() + listed_sources_.memory_bytes() +
           slots_.capacity() * sizeof(ConnectionSlot) + free_slots_.capacity() * sizeof(SlotIndex);
}

void ConnectionLimiter::check_invariants() const {
    const auto require = [](bool holds, const char* what) {
        if (!holds)
            throw std::logic_error(std::string("gate: ") + what);
    };
    std::size_t taken = 0, lobby = 0;
    std::vector<GroupUsage> uses(groups_.size());
    for (const ConnectionSlot& s : slots_) {
        if (s.state == SlotState::free)
            continue;
        require(!s.counts_as_in_flight || s.state == SlotState::request_in_flight ||
                    s.state == SlotState::closing,
                "counted, and nothing in hand");
        require(s.state != SlotState::request_in_flight || s.counts_as_in_flight, "in hand, and not counted");
        if (s.state == SlotState::rejected) {
            ++lobby;
            continue;
        }
        ++taken;
        ++uses[s.group_index].open_connections;
        uses[s.group_index].in_flight_requests += s.counts_as_in_flight ? 1 : 0;
    }
    require(taken == open_connections_ && lobby == rejection_slots_.size(), "seats");
    std::size_t shared = 0;
    for (std::size_t g = 0; g < groups_.size(); ++g) {
        require(uses[g].open_connections == groups_[g].open_connections &&
                    uses[g].in_flight_requests == groups_[g].in_flight_requests,
                "a group");
        shared +=
            uses[g].in_flight_requests - std::min(uses[g].in_flight_requests, groups_[g].reserved_requests);
    }
    require(shared == shared_in_flight_requests_, "shared in hand");
    std::size_t open = 0, in_hand = 0;
    for (const SourceTable* from : {&unlisted_sources_, &listed_sources_})
        for (const Source& s : from->entries())
            open += s.open_connections + s.rejection_slots, in_hand += s.in_flight_requests;
    std::size_t held = 0;
    for (const GroupUsage& u : uses)
        held += u.in_flight_requests;
    require(open == open_connections_ + rejection_slots_.size() && in_hand == held, "sources");
}

}  // namespace cressledge::connection_admission
