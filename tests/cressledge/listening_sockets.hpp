/// Listening sockets that a test opens in place of the platform or of a supervisor.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include "support.hpp"

namespace cressledge::testing {

/// Opens a listening socket on a free port, like the platform.
inline int open_platform_socket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(fd >= 0);
    const net::Address any_port = loopback_address(0);
    REQUIRE(::bind(fd, reinterpret_cast<const sockaddr*>(&any_port.raw), sizeof(sockaddr_in)) == 0);
    REQUIRE(::listen(fd, 128) == 0);
    return fd;
}

/// Returns a port that no socket listens on.
inline int free_port() {
    const int fd = net::open_listening_socket(loopback_address(0));
    const int port = net::local_port(fd);
    ::close(fd);
    return port;
}

}  // namespace cressledge::testing
