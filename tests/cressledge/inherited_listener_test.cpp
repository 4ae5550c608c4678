// Listening sockets inherited from the platform: which descriptors are adopted, and that closing one here leaves the
// platform's socket open.
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

#include "listening_sockets.hpp"
#include "net/socket_error.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

// Returns the error for a descriptor that is not adopted, or "adopted".
std::string adoption_error(const char* value) {
    ::setenv("CRESSLEDGE_TEST_FD", value, 1);
    try {
        net::inherited_listening_socket("CRESSLEDGE_TEST_FD");
    } catch (const net::SocketError& error) {
        return error.what();
    }
    return "adopted";
}

}  // namespace

TEST_CASE(
    "inherited listener: a descriptor that is not a listening TCP socket is rejected, with the variable's "
    "name") {
    ::unsetenv("CRESSLEDGE_TEST_FD");
    CHECK(net::inherited_listening_socket("CRESSLEDGE_TEST_FD") == -1);
    CHECK(adoption_error("seven") == "CRESSLEDGE_TEST_FD=seven: not a descriptor number");
    CHECK(adoption_error("7x") == "CRESSLEDGE_TEST_FD=7x: not a descriptor number");
    CHECK(adoption_error("") == "CRESSLEDGE_TEST_FD=: not a descriptor number");
    CHECK(adoption_error("-1") == "CRESSLEDGE_TEST_FD=-1: not a descriptor number");
    CHECK(adoption_error("1000000") == "CRESSLEDGE_TEST_FD=1000000: no such descriptor");
    int pipe_ends[2];
    REQUIRE(::pipe(pipe_ends) == 0);
    CHECK(adoption_error(std::to_string(pipe_ends[0]).c_str()) ==
          "CRESSLEDGE_TEST_FD=" + std::to_string(pipe_ends[0]) + ": not a socket");
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0), unbound = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK(adoption_error(std::to_string(udp).c_str()) ==
          "CRESSLEDGE_TEST_FD=" + std::to_string(udp) + ": not a TCP socket");
    CHECK(adoption_error(std::to_string(unbound).c_str()) ==
          "CRESSLEDGE_TEST_FD=" + std::to_string(unbound) + ": not listening");
    for (const int fd : {pipe_ends[0], pipe_ends[1], udp, unbound})
        ::close(fd);
    ::unsetenv("CRESSLEDGE_TEST_FD");
}

TEST_CASE("inherited listener: an adopted socket stays open for other processes when it is closed here") {
    TestLoop test_loop;
    const int platform_fd = open_platform_socket();
    const int own_fd = ::dup(platform_fd);
    ::setenv("CRESSLEDGE_TEST_FD", std::to_string(own_fd).c_str(), 1);
    const int adopted = net::inherited_listening_socket("CRESSLEDGE_TEST_FD");
    ::unsetenv("CRESSLEDGE_TEST_FD");
    REQUIRE(adopted == own_fd);
    std::vector<std::unique_ptr<StreamPeer>> accepted;
    std::unique_ptr<net::Listener> listener;
    listener = std::make_unique<net::Listener>(
        test_loop.loop.uv(), net::ListenEndpoint{loopback_address(0), adopted}, [&] {
            accepted.push_back(std::make_unique<StreamPeer>());
            accepted.back()->stream = net::Stream::accept(*listener, *accepted.back());
        });
    const int port = listener->port();
    REQUIRE(port > 0);
    auto first = connect_peer(test_loop, port);
    test_loop.run_until([&] { return accepted.size() == 1; });
    first->send("one");
    test_loop.run_until([&] { return accepted[0]->has_received("one"); });

    // As in a graceful shutdown, new connections still reach the backlog of the platform's socket.
    listener->close();
    auto second = connect_peer(test_loop, port);
    REQUIRE(second->is_open);
    second->send("two");
    const int accepted_fd = ::accept(platform_fd, nullptr, nullptr);
    REQUIRE(accepted_fd >= 0);
    char bytes[3];
    REQUIRE(::read(accepted_fd, bytes, sizeof bytes) == 3);
    CHECK(std::string(bytes, 3) == "two");
    CHECK(accepted.size() == 1);
    ::close(accepted_fd);
    ::close(platform_fd);
}
