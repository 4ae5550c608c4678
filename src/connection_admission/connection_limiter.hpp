// Admission control of client connections and their requests, with eviction of connections when all are in
// use. Performs no I/O: time, addresses and the seed are arguments, and the caller closes the evicted
// connections.
//
// Invariants, where C is the connection limit, T the limit of requests in flight, and R(g) and Q(g) are the
// connections and requests reserved for client group g:
// - open connections <= C, and rejected connections that are still read <= rejection slots
// - requests in flight outside the reserves <= min(T - sum Q, C - sum R)
// - therefore, while group g has fewer than R(g) connections open, a new connection of the group always finds
//   capacity: some connection has no request in flight and belongs to no group within its reserve, and it is
//   evicted
//
// After a reconfiguration that lowers limits, more connections may be open than the new limits allow. None of
// them is closed. Until the limits hold, requests outside the reserves are rejected, and a new connection is
// admitted only in exchange for an evicted one.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "connection_admission/connection_registry.hpp"
#include "connection_admission/source_report.hpp"

namespace cressledge::connection_admission {

/// Admits, rejects and evicts connections and admits or rejects their requests. The invariants are listed at
/// the top of this file.
class ConnectionLimiter {
public:
    /// `seed` is the hash seed of the source tables; keep it secret so that clients cannot choose addresses
    /// that collide.
    ConnectionLimiter(Settings settings, std::uint64_t seed);

    using ConnectionRef = connection_admission::ConnectionRef;

    /// Result of admit_connection().
    struct ConnectionDecision {
        /// 0: close the connection immediately.
        ConnectionSlotId slot_id = 0;
        /// A rejected connection that has a slot is read until its request can be answered with Retry-After.
        bool rejected = false;
        /// Set only for a rejected connection.
        RejectionReason reason = RejectionReason::source_connections;
        /// The connection that was evicted: the caller closes it, and its slot is already released.
        std::optional<ConnectionRef> evicted;
        /// For a rejected connection: whether the log rate limits allow a line about it.
        bool should_log = false;
    };
    /// Admits or rejects a new connection. `listener_index` and `connection_id` are opaque to the limiter; it
    /// returns them when the connection is evicted.
    ConnectionDecision admit_connection(Timestamp now, const IpAddress& address, std::uint32_t listener_index,
                                        std::uint64_t connection_id);

    /// Evicts a connection without a request in flight to free its file descriptor. The caller closes it; its
    /// slot is already released. Returns nothing if no connection can be evicted.
    std::optional<ConnectionRef> evict_connection(Timestamp now);

    /// Releases the slot of a closed connection. Does nothing if it is already released.
    void release_connection(ConnectionSlotId slot_id);

    /// Result of admit_request().
    struct RequestDecision {
        bool admitted = true;
        /// Set only for a rejected request.
        RejectionReason reason = RejectionReason::source_requests;
        /// Value of the Retry-After of a rejected request.
        Duration retry_after{0};
        /// For a rejected request: whether the log rate limits allow a line about it.
        bool should_log = false;
    };
    /// Admits or rejects a request that has been read completely. An admitted request is in flight until
    /// on_response_sent().
    RequestDecision admit_request(Timestamp now, ConnectionSlotId slot_id);

    /// Records that the response was passed to the connection for sending. With `keep_alive` the connection
    /// becomes idle; otherwise its request counts as in flight until the connection is closed.
    void on_response_sent(Timestamp now, ConnectionSlotId slot_id, bool keep_alive);

    /// Records that the first byte of a request arrived. An idle connection changes to the state
    /// `awaiting_request`.
    void on_first_byte(Timestamp now, ConnectionSlotId slot_id);

    /// Applies new settings and recounts the open connections under the new groups. Closes no connection.
    void reconfigure(Timestamp now, Settings settings);

    /// The client's address, or a default-constructed address if the slot has been released.
    IpAddress address_of(ConnectionSlotId slot_id) const;

    /// At most `max_sources` reports, in descending order of rejections.
    std::vector<SourceReport> top_rejected_sources(std::size_t max_sources) const;

    /// Current usage of one client group.
    struct GroupUsage {
        std::uint32_t open_connections = 0;
        std::uint32_t in_flight_requests = 0;
    };
    /// The usage of a group. Index 0 stands for the clients that no group lists.
    GroupUsage group_usage(GroupIndex group_index) const;

    /// Rejections by reason since startup.
    const RejectionCounts& rejections() const { return rejections_; }
    /// The subset of rejections() whose sources have been evicted from the source tables.
    RejectionCounts rejections_of_evicted_sources() const { return registry_.sources().evicted_rejections(); }
    /// Connections evicted since startup, for other connections or to free file descriptors.
    std::uint64_t evicted_connections() const { return evicted_connections_; }
    /// Open connections that were admitted; rejected connections are not included.
    std::size_t open_connections() const { return registry_.open_connections(); }
    /// Rejected connections that are still read.
    std::size_t rejection_slots_in_use() const { return registry_.rejection_slots_in_use(); }
    /// Requests in flight outside the groups' reserves.
    std::size_t shared_in_flight_requests() const { return registry_.shared_in_flight_requests(); }
    /// Sources in the source tables, with or without open connections.
    std::size_t tracked_source_count() const { return registry_.sources().size(); }
    /// Memory of the slots and source tables, in bytes.
    std::size_t memory_bytes() const { return registry_.memory_bytes(); }
    /// The settings in force.
    const Settings& settings() const { return registry_.settings(); }

    /// For tests: throws std::logic_error if a stored count differs from the slots.
    void check_invariants() const { registry_.check_invariants(); }

private:
    /// Result of check_capacity(): why there is no capacity, or the slot to evict, if any.
    struct CapacityDecision {
        std::optional<RejectionReason> rejection;
        SlotIndex evicted_slot = no_slot;
    };

    std::optional<RejectionReason> check_source_limits(Timestamp now, const SourceRef& source_ref);
    CapacityDecision check_capacity(Timestamp now, const SourceRef& source_ref) const;
    /// Whether the source has as many connections open as its dynamic threshold allows, or more.
    bool exceeds_dynamic_threshold(const SourceRef& source_ref) const;
    /// Records the rejection and assigns a rejection slot if one is available.
    ConnectionDecision reject_connection(Timestamp now, RejectionReason reason,
                                         const IncomingConnection& connection);
    /// Counts the rejection. Returns whether the log rate limits allow a line about it.
    bool record_rejection(Timestamp now, RejectionReason reason, Source& source);
    /// Counts the eviction and releases the slot.
    ConnectionRef evict_slot(SlotIndex index);

    std::optional<RejectionReason> check_request_limits(const ConnectionSlot& slot) const;
    RequestDecision reject_on_rejected_connection(const ConnectionSlot& slot) const;

    ConnectionRegistry registry_;
    RejectionCounts rejections_{};
    std::uint64_t evicted_connections_ = 0;
    /// No rejection is logged before this time.
    Timestamp next_log_at_{0};
};

}  // namespace cressledge::connection_admission
