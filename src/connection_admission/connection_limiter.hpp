// Who may connect, who makes room, and which request may go to the Controller. No I/O: time, addresses and the seed
// are arguments, and whoever calls closes what it is told to close.
//
// Invariants, with C connections, T requests, reserves R(g) of connections and Q(g) of requests for each group g:
// - seats taken <= C, and lobby seats <= lobby
// - requests in hand outside the reserves <= min(T - sum Q, C - sum R)
// - so a caller of group g that holds fewer than R(g) connections always finds one without a request in hand that
//   belongs to nobody within his reserve: it makes room, and no request in hand is ever cut off
// A reload may leave more open than its new bounds allow; nothing is cut off, and nothing is added until they hold.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "connection_admission/source_table.hpp"

namespace cressledge::connection_admission {

using ConnectionSlotId = std::uint64_t;  // never 0; carries the seat's generation

class ConnectionLimiter {
public:
    ConnectionLimiter(Settings settings, std::uint64_t seed);

    struct ConnectionRef {  // what open() was told
        std::uint32_t listener_index = 0;
        std::uint64_t connection_id = 0;
    };
    struct ConnectionDecision {
        ConnectionSlotId slot_id = 0;  // 0: close it at once
        bool rejected =
            false;  // with a seat: in the lobby, to be read for a request that is refused with advice
        RejectionReason reason = RejectionReason::source_connections;  // refused: why
        std::optional<ConnectionRef> evicted;  // close this one's connection: its seat is the new one's
        bool should_log = false;  // refused: a line in the log may be written about this source
    };
    // A connection has come. `door` and `tag` are the caller's own, told back when the seat has to go.
    ConnectionDecision admit_connection(Timestamp now, const IpAddress& address, std::uint32_t listener_index,
                                        std::uint64_t connection_id);
    // One without a request in hand, to be closed for its descriptor. Its seat is free already.
    std::optional<ConnectionRef> evict_connection(Timestamp now);
    void release_connection(ConnectionSlotId seat);  // its connection is gone; safe to call again

    struct RequestDecision {
        bool admitted = true;
        RejectionReason reason = RejectionReason::source_requests;
        Duration retry_after{0};  // the advice with a refusal
        bool should_log = false;
    };
    // A whole request has been read on it. May: it is in hand until answered().
    RequestDecision admit_request(Timestamp now, ConnectionSlotId seat);
    // Its answer has gone out. `stays`: another request may come. Otherwise what was in hand counts as such until
    // the connection is closed.
    void on_response_sent(Timestamp now, ConnectionSlotId seat, bool keep_alive);
    // A first byte has come on a resting connection: until it is whole the connection is silent again.
    void on_first_byte(Timestamp now, ConnectionSlotId seat);

    void reconfigure(Timestamp now,
                     Settings settings);  // the open ones are counted anew under the new groups

    IpAddress address_of(ConnectionSlotId slot_id) const;

    struct SourceReport {  // one source in the report
        std::string source, group;
        std::uint32_t open_connections = 0, in_flight_requests = 0, evicted_connections = 0;
        std::array<std::uint32_t, rejection_reason_count> rejections{};
        std::uint64_t total_rejections = 0;
    };
    std::vector<SourceReport> top_rejected_sources(
        std::size_t max_sources) const;  // those refused most, the worst first
    struct GroupUsage {
        std::uint32_t open_connections = 0, in_flight_requests = 0;
    };
    GroupUsage group_usage(GroupIndex group_index) const {
        return {groups_[group_index].open_connections, groups_[group_index].in_flight_requests};
    }
    const RejectionCounts& rejections() const { return rejections_; }  // all refusals since the start, exact
    RejectionCounts rejections_of_evicted_sources() const;
    std::uint64_t evicted_connections() const { return evicted_connections_; }
    std::size_t open_connections() const { return open_connections_; }
    std::size_t rejection_slots_in_use() const { return rejection_slots_.size(); }
    std::size_t shared_in_flight_requests() const { return shared_in_flight_requests_; }
    std::size_t tracked_source_count() const { return unlisted_sources_.size() + listed_sources_.size(); }
    std::size_t memory_bytes() const;
    const Settings& settings() const { return settings_; }
    // For tests: throws std::logic_error if a count and the seats behind it differ, or an invariant is broken.
    void check_invariants() const;

private:
    using SlotIndex = std::uint32_t;
    static constexpr SlotIndex no_slot = ~SlotIndex{0};
    // Where a seat stands. Those of the first three make room, in an order that pick() tells: silent (no whole request
    // yet, or one that was answered without being in hand), resting between two requests, over (its last answer is on
    // its way, and its request counts as in hand until it is closed).
    enum class SlotState : std::uint8_t {
        awaiting_request,
        idle,
        closing,
        request_in_flight,
        rejected,
        free
    };
    static constexpr std::size_t evictable_state_count = 3;
    struct ConnectionSlot {
        IpAddress address;
        std::uint64_t connection_id = 0;
        Timestamp state_since{0};
        SourceTable::SourceIndex source_index = 0;
        std::uint32_t listener_index = 0, generation = 1, group_index = 0;
        SlotIndex previous = no_slot, next = no_slot;
        SlotState state = SlotState::free;
        bool counts_as_in_flight = false;  // its request counts as in hand
        RejectionReason rejection_reason = RejectionReason::source_connections;  // lobby: why it is there
    };
    struct SlotList {
        SlotIndex head = no_slot, tail = no_slot;
    };
    struct GroupState {
        SourceLimits source_limits;
        std::uint32_t reserved_connections = 0, reserved_requests = 0;  // the reserve
        std::uint32_t open_connections = 0, in_flight_requests = 0;
        std::array<SlotList, evictable_state_count> evictable_slots;
    };

    const ConnectionSlot* find_slot(ConnectionSlotId slot_id) const;
    ConnectionSlot* find_slot(ConnectionSlotId slot_id) {
        return const_cast<ConnectionSlot*>(std::as_const(*this).find_slot(slot_id));
    }
    ConnectionSlotId make_slot_id(SlotIndex i) const {
        return static_cast<ConnectionSlotId>(slots_[i].generation) << 32U | i;
    }
    SourceTable& source_table(std::uint32_t group_index) {
        return group_index == 0 ? unlisted_sources_ : listed_sources_;
    }
    Source& source_of(const ConnectionSlot& s) { return source_table(s.group_index).at(s.source_index); }
    struct SourceRef {
        std::uint32_t group_index;
        SourceTable::SourceIndex source_index;
    };
    SourceRef find_or_insert_source(Timestamp now, const IpAddress& address);
    ConnectionRef evict_slot(SlotIndex i);
    void set_state(SlotIndex i, SlotState to, Timestamp now);
    void unlink_slot(SlotIndex i);
    void count_in_flight(ConnectionSlot& s);
    void uncount_in_flight(ConnectionSlot& s);
    bool is_within_reserve(std::uint32_t group_index) const;
    SlotIndex select_eviction_candidate(Timestamp now, const Source* newcomer);
    SlotIndex find_slot_of_heaviest_source(SlotState state, Timestamp since_at_most,
                                           const Source* newcomer) const;
    SlotIndex find_own_awaiting_slot(Timestamp now, std::uint32_t group_index,
                                     SourceTable::SourceIndex source_index) const;
    SlotIndex occupy_slot(Timestamp now, const IpAddress& address, std::uint32_t group_index,
                          SourceTable::SourceIndex source_index, std::uint32_t listener_index,
                          std::uint64_t connection_id, SlotState state);
    ConnectionDecision reject_connection(Timestamp now, RejectionReason reason, const IpAddress& address,
                                         std::uint32_t group_index, SourceTable::SourceIndex source_index,
                                         std::uint32_t listener_index, std::uint64_t connection_id);
    bool record_rejection(Timestamp now, RejectionReason reason, Source& source);
    void apply_settings(Settings settings);
    std::size_t max_shared_requests() const;  // requests in hand outside the reserves

    Settings settings_;
    SourceTable unlisted_sources_, listed_sources_;
    std::vector<ConnectionSlot> slots_;
    std::vector<SlotIndex> free_slots_, rejection_slots_;
    std::vector<GroupState> groups_;  // 0: not listed
    std::size_t open_connections_ = 0, shared_in_flight_requests_ = 0, reserved_connections_ = 0,
                reserved_requests_ = 0;
    RejectionCounts rejections_{};
    std::uint64_t evicted_connections_ = 0;
    Timestamp next_log_at_{0};
};

}  // namespace cressledge::connection_admission
