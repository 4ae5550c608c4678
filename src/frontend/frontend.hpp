/// A listener for callers and the table of its connections, independent of the protocol.
///
/// Owns the listening socket, the sessions and the counts of closed connections by cause. ConnectionAdmitter decides
/// which connections are admitted, request::RequestManager which requests run, and ShutdownCoordinator when the
/// process stops.
///
/// A listening socket may be shared with other processes. Callers are refused once every process has closed it, so a
/// process that shuts down closes it at once only for a successor, which accepts what waits in the backlog.
///
/// Invariants: a session is looked up by its id only, and ids are never reused, so that an event for a removed session
/// is ignored. The listening socket is not closed while its backlog may hold a connection, unless another process
/// accepts from it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "frontend/connection_admitter.hpp"
#include "frontend/connection_lifecycle.hpp"
#include "frontend/session.hpp"
#include "frontend/unclaimed_backlog_detector.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"

namespace cressledge::frontend {

/// Whether another process accepts from a shared listening socket when this process shuts down.
enum class Successor : std::uint8_t {
    /// None: this process accepts until it drains.
    none,
    /// One does: this process stops accepting at once.
    present,
    /// The notice does not tell: this process accepts only what nobody else accepts.
    unknown,
};

/// The listener of one protocol, which is the protocol of the sessions that the session factory makes.
class Frontend final : public request::Responder {
public:
    /// Creates the session of a new connection.
    using SessionFactory = std::function<std::unique_ptr<Session>(Frontend&)>;

    /// Timeouts of the connections of one listening socket.
    struct Limits {
        /// Limit on the time until a request is complete. It starts at the accept, and for later requests on the same
        /// connection at their first byte.
        base::Duration request_timeout{2'500'000};
        /// A connection without a request is closed after this time. 0: only the caller closes it.
        base::Duration idle_timeout{0};
    };

    /// Starts listening on `endpoint`. Throws std::runtime_error if that fails.
    Frontend(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& request_manager,
             ConnectionAdmitter& admitter, const net::ListenEndpoint& endpoint, const Limits& limits,
             SessionFactory make_session);
    ~Frontend() override;

    /// Passes a response to the session whose id is `ticket`, if it is still open.
    void respond(std::uint64_t ticket, const request::Response& response) override;
    /// Sets the admission controller's idle limit for all connections. 0: none.
    void set_idle_limit(base::Duration limit);
    /// Closes a connection whose connection slot or descriptor goes to another connection.
    void evict(std::uint64_t session_id);
    /// Accepts from the backlog again. To be called when a descriptor may have become available.
    void resume_accepting();

    /// First step of a graceful shutdown: leaves new connections to the successor, if this process shares its listening
    /// socket and there may be one. Otherwise they are accepted until start_drain(). May be called again when more is
    /// known.
    void yield_to(Successor successor);
    /// Closes idle connections at once and the others after their next response. Accepts the connections that are
    /// already in the backlog.
    void start_drain();
    /// After start_drain(): accepts the connections in the backlog, unless another process does, and closes the
    /// listening socket. If no descriptor is available, or it is undecided who accepts, the socket stays open for
    /// another call, unless `is_final_attempt`.
    void drain_backlog(bool is_final_attempt);
    /// After start_drain(): closes the connections that have sent nothing or only a part of a request.
    void close_incomplete_requests();
    /// Whether no connection is open and none can be accepted any more.
    bool is_drained() const { return sessions_.size() == 0 && !is_listening_; }
    /// Whether the socket is still listening, a request is in flight, or a peer may not have read its last response.
    bool has_unfinished_responses();

    /// The port of the listening socket, also if the system chose it.
    int port() const { return listener_.port(); }
    /// The request manager that the sessions submit to.
    request::RequestManager& request_manager() { return request_manager_; }
    /// Closed connections by cause.
    const ClosedConnectionCounts& closed_connections() const { return closed_connections_; }

private:
    friend class Session;

    void on_connection_waiting();
    /// Looks at the backlog of the shared socket until another process has accepted what waits, or this one has to.
    void check_shared_backlog();
    void accept_pending();
    /// Accepts one connection. Returns false if the backlog is empty.
    bool accept_connection(connection_admission::FileDescriptorBudget::Lease lease);
    void admit_connection(Session& session);
    void remove_session(base::SlotId session_id);
    /// Closes the listening socket and logs why. `backlog_accepted`: connections taken from the backlog before.
    void stop_listening(const char* reason, std::size_t backlog_accepted);

    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    const Limits limits_;
    ClosedConnectionCounts closed_connections_;
    const SessionFactory make_session_;
    ConnectionAdmitter& admitter_;
    const std::uint32_t listener_index_;
    base::SlotMap<Session> sessions_;
    base::Duration idle_limit_{0};
    bool is_listening_ = true;
    bool draining_ = false;
    /// Whether the listening socket was inherited, and may be shared with other processes.
    const bool is_socket_inherited_;
    /// Whether new connections are left to another process that accepts them.
    bool is_yielding_ = false;
    UnclaimedBacklogDetector unclaimed_backlog_;
    base::TimerHandle backlog_check_timer_;
    connection_admission::FileDescriptorBudget::Lease listener_lease_;
    net::Listener listener_;
};

}  // namespace cressledge::frontend
