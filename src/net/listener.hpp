// Listening sockets, opened by this process or inherited from its parent.
//
// When the process runs out of descriptors, libuv's own listening handle accepts and closes all connections in the
// backlog, including those with requests, without reporting it. This listener only polls the socket: a connection stays
// in the backlog until the owner has a descriptor for it and calls Stream::accept.
#pragma once

#include <uv.h>

#include <functional>

#include "net/address.hpp"

namespace cressledge::net {

/// Where clients connect: an address to bind, or an inherited listening socket.
struct ListenEndpoint {
    Address address;
    /// Used instead of `address` unless negative.
    int inherited_fd = -1;
};

/// A listening socket on the event loop. Owns its descriptor, also if it is inherited, and closes it.
class Listener {
public:
    /// `on_connection` may call Stream::accept; it is called in each loop iteration while a connection waits in the
    /// backlog. Throws SocketError if listening on the address fails.
    Listener(uv_loop_t* loop, const Address& address, std::function<void()> on_connection);
    /// Like the other constructor, but listens on the endpoint's inherited socket if there is one.
    Listener(uv_loop_t* loop, const ListenEndpoint& endpoint, std::function<void()> on_connection);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Pauses or resumes calls of `on_connection`. While paused, connections wait in the backlog.
    void set_paused(bool paused);

    /// Whether a connection waits in the backlog.
    bool has_waiting_connection() const;

    /// Closes the socket. New connections are then refused unless another process also has the socket open.
    void close();

    /// The local port; 0 once closed.
    int port() const;

private:
    friend class Stream;
    void start_polling();

    int fd_ = -1;
    uv_poll_t* poll_ = nullptr;
    std::function<void()> on_connection_;
};

/// Adopts the listening socket whose descriptor number the environment variable `variable` (the platform's
/// NODE_ACCEPT_FD) contains, and makes it non-blocking and close-on-exec. Returns -1 if the variable is unset. Throws
/// SocketError, naming the variable, if the value is not a descriptor number or the descriptor is not a listening TCP
/// socket over IPv4 or IPv6.
int inherited_listening_socket(const char* variable);

/// Opens a non-blocking, close-on-exec listening socket. Throws SocketError.
int open_listening_socket(const Address& address);

/// The local port of a socket; 0 if it has none.
int local_port(int socket);

}  // namespace cressledge::net
