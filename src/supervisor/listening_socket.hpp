/// A listening TCP socket that the supervisor owns and child processes inherit.
#pragma once

#include <string>

namespace cressledge::supervisor {

/// Owns the descriptor of a listening socket and closes it on destruction.
class ListeningSocket {
public:
    /// Creates an object without a socket.
    ListeningSocket() = default;

    /// Binds and listens on `address`, of the form `HOST:PORT`. With port 0 the kernel chooses the port; an empty
    /// address creates no socket. Throws `std::runtime_error` if listening fails.
    explicit ListeningSocket(const std::string& address);

    ListeningSocket(ListeningSocket&& other) noexcept;
    ListeningSocket& operator=(ListeningSocket&& other) noexcept;
    ~ListeningSocket();

    /// Closes the descriptor. The socket refuses callers once every process that inherited it has closed it too.
    void close();

    /// Whether there is a socket.
    bool is_open() const { return descriptor_ >= 0; }
    /// The file descriptor, still owned by this object; -1 without a socket or after `close`.
    int descriptor() const { return descriptor_; }
    /// The address with the bound port, also after `close`; empty without a socket.
    const std::string& address() const { return address_; }

private:
    int descriptor_ = -1;
    std::string address_;
};

}  // namespace cressledge::supervisor
