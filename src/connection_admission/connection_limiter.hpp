// Decides which connections and which requests may enter, and which connection is evicted to make room. No
// I/O: time, addresses and the seed are arguments, and the caller closes the connections that it is told to
// close.
//
// Invariants, with C connections, T requests, and for each client group g reserves of R(g) connections and
// Q(g) requests:
// - open connections <= C, and rejected connections that are still read <= rejection slots
// - requests in flight outside the reserves <= min(T - sum Q, C - sum R)
// - so a client of group g that has fewer than R(g) connections open always gets another: there is a
//   connection without a request in flight that belongs to no group within its reserve, and it is evicted
//
// A new configuration may leave more open than it allows: nothing is cut off, and nothing is admitted until
// its limits hold.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "connection_admission/connection_registry.hpp"
#include "connection_admission/source_report.hpp"

namespace cressledge::connection_admission {

/// Admission control of connections and of the requests on them; see the head of this file for its invariants.
class ConnectionLimiter {
public:
    /// `seed` keeps clients from choosing addresses that collide in the tables of sources.
    ConnectionLimiter(Settings settings, std::uint64_t seed);

    using ConnectionRef = connection_admission::ConnectionRef;

    struct ConnectionDecision {
        /// 0: the connection is to be closed at once.
        ConnectionSlotId slot_id = 0;
        /// With a slot: the connection is read until its request can get a rejection with Retry-After.
        bool rejected = false;
        /// Of a rejected connection.
        RejectionReason reason = RejectionReason::source_connections;
        /// This connection is to be closed; its slot is released already.
        std::optional<ConnectionRef> evicted;
        /// Of a rejected connection: whether a line about its source may be logged.
        bool should_log = false;
    };
    /// Decides about a new connection. `listener_index` and `connection_id` are the caller's own and come
    /// back when the connection is evicted.
    ConnectionDecision admit_connection(Timestamp now, const IpAddress& address, std::uint32_t listener_index,
                                        std::uint64_t connection_id);

    /// Evicts a connection without a request in flight to free its file descriptor. The caller closes it; its
    /// slot is released already.
    std::optional<ConnectionRef> evict_connection(Timestamp now);

    /// The connection is closed. Does nothing if its slot has been released before.
    void release_connection(ConnectionSlotId slot_id);

    struct RequestDecision {
        bool admitted = true;
        /// Of a rejected request.
        RejectionReason reason = RejectionReason::source_requests;
        /// Of a rejected request.
        Duration retry_after{0};
        /// Of a rejected request: whether a line about its source may be logged.
        bool should_log = false;
    };
    /// Decides about a request that has been read whole. An admitted one is in flight until
    /// on_response_sent().
    RequestDecision admit_request(Timestamp now, ConnectionSlotId slot_id);

    /// The response has been sent. Without `keep_alive` the request counts as in flight until the connection
    /// is closed.
    void on_response_sent(Timestamp now, ConnectionSlotId slot_id, bool keep_alive);

    /// The first byte of a request has arrived on an idle connection: it awaits a request until that is
    /// whole.
    void on_first_byte(Timestamp now, ConnectionSlotId slot_id);

    /// Open connections are counted anew under the new groups; none is closed.
    void reconfigure(Timestamp now, Settings settings);

    /// The client's address; a default one if the connection is gone.
    IpAddress address_of(ConnectionSlotId slot_id) const;

    /// At most `max_sources` reports, those with the most rejections first.
    std::vector<SourceReport> top_rejected_sources(std::size_t max_sources) const;

    struct GroupUsage {
        std::uint32_t open_connections = 0;
        std::uint32_t in_flight_requests = 0;
    };
    /// What the clients of a group use now; index 0 is of clients that no group lists.
    GroupUsage group_usage(GroupIndex group_index) const;

    /// All rejections since the start.
    const RejectionCounts& rejections() const { return rejections_; }
    /// The part of rejections() whose sources are not tracked any more.
    RejectionCounts rejections_of_evicted_sources() const { return registry_.sources().evicted_rejections(); }
    /// Connections evicted for other connections or for file descriptors since the start.
    std::uint64_t evicted_connections() const { return evicted_connections_; }
    /// Admitted connections that are open; rejected ones are not counted.
    std::size_t open_connections() const { return registry_.open_connections(); }
    /// Rejected connections that are still read.
    std::size_t rejection_slots_in_use() const { return registry_.rejection_slots_in_use(); }
    /// Requests in flight outside the groups' reserves.
    std::size_t shared_in_flight_requests() const { return registry_.shared_in_flight_requests(); }
    /// Sources that have an entry, with or without open connections.
    std::size_t tracked_source_count() const { return registry_.sources().size(); }
    /// Memory of the tables, in bytes.
    std::size_t memory_bytes() const { return registry_.memory_bytes(); }
    /// The settings in force.
    const Settings& settings() const { return registry_.settings(); }

    /// For tests: throws std::logic_error if a count differs from the slots that it counts.
    void check_invariants() const { registry_.check_invariants(); }

private:
    /// Whether there is capacity for a connection, and which slot is evicted for it.
    struct CapacityDecision {
        std::optional<RejectionReason> rejection;
        SlotIndex evicted_slot = no_slot;
    };

    std::optional<RejectionReason> check_source_limits(Timestamp now, const SourceRef& source_ref);
    CapacityDecision check_capacity(Timestamp now, const SourceRef& source_ref) const;
    bool exceeds_dynamic_threshold(const SourceRef& source_ref) const;
    ConnectionDecision reject_connection(Timestamp now, RejectionReason reason,
                                         const IncomingConnection& connection);
    /// Counts the rejection. Returns whether a line about it may be logged.
    bool record_rejection(Timestamp now, RejectionReason reason, Source& source);
    ConnectionRef evict_slot(SlotIndex index);

    std::optional<RejectionReason> check_request_limits(const ConnectionSlot& slot) const;
    RequestDecision reject_on_rejected_connection(const ConnectionSlot& slot) const;

    ConnectionRegistry registry_;
    RejectionCounts rejections_{};
    std::uint64_t evicted_connections_ = 0;
    Timestamp next_log_at_{0};
};

}  // namespace cressledge::connection_admission
