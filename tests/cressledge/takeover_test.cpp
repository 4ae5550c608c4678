// A listening socket that two platform nodes share: the second takes over while callers connect.
#include <sys/socket.h>
#include <unistd.h>

#include "platform_fixture.hpp"

namespace {

using namespace cressledge::testing;

// A listening socket on a free port, as the platform opens it.
int open_platform_socket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const net::Address any_port = loopback_address(0);
    REQUIRE(::bind(fd, reinterpret_cast<const sockaddr*>(&any_port.raw), sizeof(sockaddr_in)) == 0);
    REQUIRE(::listen(fd, 128) == 0);
    return fd;
}

std::size_t response_count(const StreamPeer& peer) {
    const std::string status_line = "HTTP/1.1 ";
    std::size_t count = 0;
    std::size_t found = peer.received.find(status_line);
    while (found != std::string::npos) {
        ++count;
        found = peer.received.find(status_line, found + 1);
    }
    return count;
}

// The process that takes over, with links of its own, on the loop of the other.
struct Successor {
    TestLoop& test_loop;
    ListeningPeer engine{test_loop.loop};
    ListeningPeer records{test_loop.loop};
    ListeningPeer directory{test_loop.loop};
    std::unique_ptr<platform::PlatformNode> node;

    Successor(TestLoop& loop, int listener_fd) : test_loop(loop) {
        config::NodeConfig config = PlatformFixture::configuration(engine, records, directory);
        config.max_descriptors = 64;
        config.admin_address = "127.0.0.1:0";
        config.inherited_listener_fd = listener_fd;
        node = std::make_unique<platform::PlatformNode>(test_loop.loop, test_loop.timers, config);
        node->start();
        test_loop.run_until([&] { return engine.has_received("ATTACH 0\r\n"); });
        engine.latest_peer().send("HELLO LOADED 5\r\n");
        test_loop.run_until([&] { return engine.has_received("STAT s"); });
        PlatformFixture::answer_gauges_query(test_loop, engine, " 0.1 0 0.1 3\r\n");
        test_loop.run_until([&] { return node->is_ready(); });
    }
};

// A caller whose connection stays in the backlog until somebody accepts it, with its request.
int connect_to_backlog(int port, const std::string& request) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const net::Address address = loopback_address(port);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&address.raw), sizeof(sockaddr_in)) == 0);
    REQUIRE(::write(fd, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    return fd;
}

// Reads until `part` has come, the peer has closed, or five seconds have passed.
std::string receive_through(TestLoop& test_loop, int fd, const std::string& part) {
    std::string received;
    char buffer[4096];
    const Timestamp end = wall_clock_now() + Duration(5'000'000);
    while (received.find(part) == std::string::npos && wall_clock_now() < end) {
        test_loop.loop.run_once(false);
        const ssize_t length = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (length > 0)
            received.append(buffer, static_cast<std::size_t>(length));
        if (length == 0)
            break;
    }
    return received;
}

TEST_CASE(
    "PlatformNode: a process that takes the listening socket over loses no request and answers none twice") {
    const int platform_fd = open_platform_socket();
    PlatformFixture old({.has_admin = true, .inherited_listener_fd = ::dup(platform_fd)});
    const int port = old.node->http_port();
    std::vector<std::unique_ptr<StreamPeer>> earlier_callers;
    std::vector<std::string> earlier_runs;
    for (int n = 0; n < 6; ++n) {
        earlier_callers.push_back(old.connect_caller());
        earlier_runs.push_back(
            old.start_run(*earlier_callers.back(), "route-profile", "b" + std::to_string(n)));
    }
    Successor successor(old.test_loop, ::dup(platform_fd));

    // The successor accepts who is in the backlog when the shutdown starts.
    const int waiting_fd = connect_to_backlog(port, old.make_request("route-profile", "queued"));
    const std::string waiting_run = PlatformFixture::request_name(old.request_count);
    old.node->begin_graceful_shutdown();
    CHECK_FALSE(old.node->is_ready());
    old.test_loop.run_until([&] { return successor.engine.has_received("RUN " + waiting_run); });
    CHECK_FALSE(old.engine.has_received("RUN " + waiting_run));

    // The old process answers what it has read, each once, and closes.
    for (std::size_t n = 0; n < earlier_runs.size(); ++n)
        old.engine.latest_peer().send("DONE " + std::to_string(n + 1) + ' ' + earlier_runs[n] +
                                      " PASS 1 1\r\nx\r\n");
    for (auto& caller : earlier_callers) {
        old.test_loop.run_until([&] { return caller->is_closed; });
        CHECK(response_count(*caller) == 1);
        CHECK(caller->has_received("Connection: close\r\n"));
    }

    // New callers come to the successor only.
    std::vector<std::unique_ptr<StreamPeer>> later_callers;
    for (int n = 0; n < 6; ++n) {
        later_callers.push_back(connect_peer(old.test_loop, port));
        StreamPeer& caller = *later_callers.back();
        caller.send(old.make_request("route-profile", "a" + std::to_string(n)));
        const std::string run = PlatformFixture::request_name(old.request_count);
        old.test_loop.run_until([&] { return successor.engine.has_received("RUN " + run); });
        successor.engine.latest_peer().send("DONE " + std::to_string(n + 2) + ' ' + run +
                                            " PASS 1 1\r\ny\r\n");
        old.test_loop.run_until([&] { return caller.has_received("\r\n\r\ny"); });
        CHECK(response_count(caller) == 1);
        CHECK_FALSE(old.engine.has_received("RUN " + run));
    }
    successor.engine.latest_peer().send("DONE 8 " + waiting_run + " PASS 1 1\r\nq\r\n");
    const std::string received = receive_through(old.test_loop, waiting_fd, "\r\n\r\nq");
    CHECK(received.rfind("HTTP/1.1 200", 0) == 0);
    ::close(waiting_fd);
    ::close(platform_fd);
}

}  // namespace
