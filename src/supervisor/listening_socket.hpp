/// A listening TCP socket that is owned here and inherited by child processes.
#pragma once

#include <string>

namespace cressledge::supervisor {

/// Owns the descriptor of a listening socket; closes it at the end of its life.
class ListeningSocket {
public:
    /// No socket.
    ListeningSocket() = default;

    /// Binds and listens at `address`, `HOST:PORT` with port 0 for one of the kernel's choice; empty: no socket.
    /// Throws `std::runtime_error` where the address cannot be listened on.
    explicit ListeningSocket(const std::string& address);

    ListeningSocket(ListeningSocket&& other) noexcept;
    ListeningSocket& operator=(ListeningSocket&& other) noexcept;
    ~ListeningSocket();

    /// Whether there is a socket.
    bool is_open() const { return descriptor_ >= 0; }
    /// The file descriptor, still owned here; -1 for no socket.
    int descriptor() const { return descriptor_; }
    /// The address with the port as bound; empty for no socket.
    const std::string& address() const { return address_; }

private:
    int descriptor_ = -1;
    std::string address_;
};

}  // namespace cressledge::supervisor
