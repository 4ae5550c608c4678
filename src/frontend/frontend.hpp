/// A listener for callers and the table of its connections, the same for every protocol.
///
/// Owns: the listening socket, the sessions and the counts of connections by what closed them. Does not own: what may
/// connect (ConnectionAdmitter), what runs (request::RequestManager) and when the process ends (ShutdownCoordinator).
///
/// Invariants: a session is found by its id only, and an id is not used again, so that a late event finds nothing; the
/// listening socket is not closed while its backlog may hold a connection, unless another process shares the socket.
#pragma once

#include <functional>
#include <memory>

#include "frontend/connection_admitter.hpp"
#include "frontend/connection_lifecycle.hpp"
#include "frontend/session.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"

namespace cressledge::frontend {

/// The listener of one protocol. The protocol is that of the sessions it is given.
class Frontend final : public request::Responder {
public:
    /// Makes the session of a new connection.
    using SessionFactory = std::function<std::unique_ptr<Session>(Frontend&)>;

    /// Time bounds of the connections of one listening socket.
    struct Limits {
        /// From the accept, or for later requests from their first byte, to a complete request.
        base::Duration request_timeout{2'500'000};
        /// A connection is closed after as long without a request. 0: left to the caller.
        base::Duration idle_timeout{0};
    };

    /// Throws std::runtime_error when the address cannot be listened on.
    Frontend(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
             ConnectionAdmitter& admitter, const net::ListenEndpoint& listening, const Limits& limits,
             SessionFactory make_session);
    ~Frontend() override;

    /// Passes a response to the session with the id `ticket`, if it is still open.
    void respond(std::uint64_t ticket, const request::Response& response) override;
    /// Sets the controller's idle limit for all connections. 0: none.
    void set_idle_limit(base::Duration limit);
    /// Closes a connection whose slot is given to another one.
    void evict(std::uint64_t session_id);
    /// Looks at the backlog again: there may be a descriptor for a connection that waits there.
    void resume_accepting();

    /// First step of a graceful shutdown. A listening socket shared with other processes is closed at once, so that the
    /// next connection waits in its backlog for the next process; one of our own is kept until start_drain().
    void start_handover();
    /// Ends idle connections, and the others with their response. Takes what is in the backlog already.
    void start_drain();
    /// After start_drain(): accepts what the backlog holds and closes the listening socket. Without descriptors it has to
    /// be tried again, unless this is the final attempt.
    void drain_backlog(bool is_final_attempt);
    /// After start_drain(): closes the connections that have sent nothing, or an incomplete request.
    void close_incomplete_requests();
    /// Whether no connection is left and none can come.
    bool is_drained() const { return sessions_.size() == 0 && !is_listening_; }
    /// Whether a request is in flight, or a last response may not have been read yet.
    bool has_unfinished_responses();

    /// The port that is listened on, also where the address left it to the system.
    int port() const { return listener_.port(); }
    /// The request manager that the sessions submit to.
    request::RequestManager& server() { return server_; }
    /// Connections that have ended, by the reason they ended.
    const ClosedConnectionCounts& closed_connections() const { return closed_connections_; }

private:
    friend class Session;

    void accept_pending();
    /// Returns false when the backlog is empty.
    bool accept_connection(connection_admission::FileDescriptorBudget::Lease lease);
    void admit_connection(Session& session);
    void remove_session(base::SlotId session_id);
    void stop_listening();

    base::TimerQueue& timers_;
    request::RequestManager& server_;
    const Limits limits_;
    ClosedConnectionCounts closed_connections_;
    const SessionFactory make_session_;
    ConnectionAdmitter& admitter_;
    const std::uint32_t listener_index_;
    base::SlotMap<Session> sessions_;
    base::Duration idle_limit_{0};
    bool is_listening_ = true;
    bool draining_ = false;
    /// The listening socket is shared with other processes.
    const bool is_socket_inherited_;
    /// The shared socket has been closed by this process.
    bool handing_over_ = false;
    connection_admission::FileDescriptorBudget::Lease listener_lease_;
    net::Listener listener_;
};

}  // namespace cressledge::frontend
