// Stories of a listening socket handed down by the platform, as on the day of a new version under load.
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

#include "support.hpp"

namespace {

using namespace cressledge::testing;

// A listening socket on a port of the kernel's choosing, as the platform makes it.
int platform_socket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(fd >= 0);
    const net::Address a = loopback_address(0);
    REQUIRE(::bind(fd, reinterpret_cast<const sockaddr*>(&a.raw), sizeof(sockaddr_in)) == 0);
    REQUIRE(::listen(fd, 64) == 0);
    return fd;
}

std::string refusal(const char* value) {
    ::setenv("CRESSLEDGE_TEST_FD", value, 1);
    try {
        net::inherited_listening_socket("CRESSLEDGE_TEST_FD");
    } catch (const std::runtime_error& e) {
        return e.what();
    }
    return "taken";
}

}  // namespace

TEST_CASE("a handed-down descriptor that is no listening TCP socket is refused at the start, by name") {
    ::unsetenv("CRESSLEDGE_TEST_FD");
    CHECK(net::inherited_listening_socket("CRESSLEDGE_TEST_FD") == -1);
    CHECK(refusal("seven") == "CRESSLEDGE_TEST_FD=seven: not a descriptor number");
    CHECK(refusal("7x") == "CRESSLEDGE_TEST_FD=7x: not a descriptor number");
    CHECK(refusal("") == "CRESSLEDGE_TEST_FD=: not a descriptor number");
    CHECK(refusal("-1") == "CRESSLEDGE_TEST_FD=-1: not a descriptor number");
    CHECK(refusal("1000000") == "CRESSLEDGE_TEST_FD=1000000: no such descriptor");
    int pipe_ends[2];
    REQUIRE(::pipe(pipe_ends) == 0);
    CHECK(refusal(std::to_string(pipe_ends[0]).c_str()) ==
          "CRESSLEDGE_TEST_FD=" + std::to_string(pipe_ends[0]) + ": not a socket");
    const int udp = ::socket(AF_INET, SOCK_DGRAM, 0), unbound = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK(refusal(std::to_string(udp).c_str()) ==
          "CRESSLEDGE_TEST_FD=" + std::to_string(udp) + ": not a TCP socket");
    CHECK(refusal(std::to_string(unbound).c_str()) ==
          "CRESSLEDGE_TEST_FD=" + std::to_string(unbound) + ": not listening");
    for (const int fd : {pipe_ends[0], pipe_ends[1], udp, unbound})
        ::close(fd);
    ::unsetenv("CRESSLEDGE_TEST_FD");
}

TEST_CASE("a handed-down listening socket is adopted, and given up without closing it for the others") {
    TestLoop w;
    const int platform = platform_socket();
    const int mine = ::dup(platform);
    ::setenv("CRESSLEDGE_TEST_FD", std::to_string(mine).c_str(), 1);
    const int adopted = net::inherited_listening_socket("CRESSLEDGE_TEST_FD");
    ::unsetenv("CRESSLEDGE_TEST_FD");
    REQUIRE(adopted == mine);
    std::vector<std::unique_ptr<StreamPeer>> taken;
    std::unique_ptr<net::Listener> listener;
    listener =
        std::make_unique<net::Listener>(w.loop.uv(), net::ListenEndpoint{loopback_address(0), adopted}, [&] {
            taken.push_back(std::make_unique<StreamPeer>());
            taken.back()->stream = net::Stream::accept(*listener, *taken.back());
        });
    const int port = listener->port();
    REQUIRE(port > 0);
    auto first = connect_peer(w, port);
    w.run_until([&] { return taken.size() == 1; });
    first->send("one");
    w.run_until([&] { return taken[0]->has_received("one"); });

    // Given up, as on the notice to leave: the platform's socket still takes who comes, into its backlog.
    listener->close();
    auto second = connect_peer(w, port);
    REQUIRE(second->is_open);
    second->send("two");
    const int next = ::accept(platform, nullptr, nullptr);
    REQUIRE(next >= 0);
    char got[3];
    REQUIRE(::read(next, got, sizeof got) == 3);
    CHECK(std::string(got, 3) == "two");
    CHECK(taken.size() == 1);
    ::close(next);
    ::close(platform);
}
