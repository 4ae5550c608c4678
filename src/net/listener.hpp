// Listening sockets: opened here, or inherited from the process that started this one.
//
// libuv's own listening handle empties the backlog and closes what it finds there, requests included, when there is no
// descriptor for it, and reports nothing. This one polls the socket only: a connection stays in the backlog until its
// owner has a descriptor for it and calls Stream::accept.
#pragma once

#include <uv.h>

#include <functional>

#include "net/address.hpp"

namespace cressledge::net {

/// Where clients connect: an address to bind, or a listening socket that was inherited.
struct ListenEndpoint {
    Address address;
    /// Used in place of `address` where it is not negative.
    int inherited_fd = -1;
};

/// A listening socket on the event loop. Owns the socket, adopted or not, and closes this process's copy of it.
class Listener {
public:
    /// `on_connection` may call Stream::accept; it is called again on each turn of the loop while a connection waits.
    /// Throws SocketError when the address cannot be listened on.
    Listener(uv_loop_t* loop, const Address& address, std::function<void()> on_connection);
    /// As above, on the endpoint's address, or on its inherited socket where `inherited_fd` is not negative.
    Listener(uv_loop_t* loop, const ListenEndpoint& endpoint, std::function<void()> on_connection);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// While paused, connections wait in the backlog and `on_connection` is not called.
    void set_paused(bool paused);

    /// New connections are refused from here on, unless another process has the socket open as well.
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

/// The listening socket whose number stands in the environment variable `variable` (the platform's NODE_ACCEPT_FD),
/// made non-blocking and closed on exec. Returns -1 when the variable is unset. Throws SocketError, naming the
/// variable, when the value is no whole number or the descriptor is not a listening TCP socket over IPv4 or IPv6.
int inherited_listening_socket(const char* variable);

/// Opens a listening socket, non-blocking and closed on exec. Throws SocketError.
int open_listening_socket(const Address& address);

/// The local port of a socket; 0 when it has none.
int local_port(int socket);

}  // namespace cressledge::net
