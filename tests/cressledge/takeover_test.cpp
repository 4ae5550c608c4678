// Two platform nodes share a listening socket: the second one takes over while callers connect.
#include <sys/socket.h>
#include <unistd.h>

#include "listening_sockets.hpp"
#include "platform_fixture.hpp"

namespace {

using namespace cressledge::testing;

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

// The node that takes over, with links of its own, on the event loop of the old node.
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

// Connects a caller and sends its request, without waiting until the connection is accepted.
int connect_to_backlog(int port, const std::string& request) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const net::Address address = loopback_address(port);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&address.raw), sizeof(sockaddr_in)) == 0);
    REQUIRE(::write(fd, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    return fd;
}

// Reads until `expected_text` has been received, the peer has closed the connection, or five seconds have passed.
std::string receive_until(TestLoop& test_loop, int fd, const std::string& expected_text) {
    std::string received;
    char buffer[4096];
    const Timestamp deadline = wall_clock_now() + Duration(5'000'000);
    while (received.find(expected_text) == std::string::npos && wall_clock_now() < deadline) {
        test_loop.loop.run_once(false);
        const ssize_t length = ::recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (length > 0)
            received.append(buffer, static_cast<std::size_t>(length));
        if (length == 0)
            break;
    }
    return received;
}

TEST_CASE("PlatformNode: taking over the listening socket loses no request and answers none twice") {
    const int platform_fd = open_platform_socket();
    PlatformFixture old_node({.has_admin = true, .inherited_listener_fd = ::dup(platform_fd)});
    const int port = old_node.node->http_port();
    std::vector<std::unique_ptr<StreamPeer>> earlier_callers;
    std::vector<std::string> earlier_runs;
    for (int n = 0; n < 6; ++n) {
        earlier_callers.push_back(old_node.connect_caller());
        earlier_runs.push_back(
            old_node.start_run(*earlier_callers.back(), "route-profile", "b" + std::to_string(n)));
    }
    Successor successor(old_node.test_loop, ::dup(platform_fd));

    // The successor accepts the connection that is in the backlog when the shutdown starts.
    const int waiting_fd = connect_to_backlog(port, old_node.make_request("route-profile", "queued"));
    const std::string waiting_run = PlatformFixture::request_name(old_node.request_count);
    old_node.node->begin_graceful_shutdown();
    CHECK_FALSE(old_node.node->is_ready());
    old_node.test_loop.run_until([&] { return successor.engine.has_received("RUN " + waiting_run); });
    CHECK_FALSE(old_node.engine.has_received("RUN " + waiting_run));

    // The old node answers each request that it has read once, and closes the connections.
    for (std::size_t n = 0; n < earlier_runs.size(); ++n)
        old_node.engine.latest_peer().send("DONE " + std::to_string(n + 1) + ' ' + earlier_runs[n] +
                                           " PASS 1 1\r\nx\r\n");
    for (auto& caller : earlier_callers) {
        old_node.test_loop.run_until([&] { return caller->is_closed; });
        CHECK(response_count(*caller) == 1);
        CHECK(caller->has_received("Connection: close\r\n"));
    }

    // New callers reach only the successor.
    std::vector<std::unique_ptr<StreamPeer>> later_callers;
    for (int n = 0; n < 6; ++n) {
        later_callers.push_back(connect_peer(old_node.test_loop, port));
        StreamPeer& caller = *later_callers.back();
        caller.send(old_node.make_request("route-profile", "a" + std::to_string(n)));
        const std::string run = PlatformFixture::request_name(old_node.request_count);
        old_node.test_loop.run_until([&] { return successor.engine.has_received("RUN " + run); });
        successor.engine.latest_peer().send("DONE " + std::to_string(n + 2) + ' ' + run +
                                            " PASS 1 1\r\ny\r\n");
        old_node.test_loop.run_until([&] { return caller.has_received("\r\n\r\ny"); });
        CHECK(response_count(caller) == 1);
        CHECK_FALSE(old_node.engine.has_received("RUN " + run));
    }
    successor.engine.latest_peer().send("DONE 8 " + waiting_run + " PASS 1 1\r\nq\r\n");
    const std::string received = receive_until(old_node.test_loop, waiting_fd, "\r\n\r\nq");
    CHECK(received.rfind("HTTP/1.1 200", 0) == 0);
    ::close(waiting_fd);
    ::close(platform_fd);
}

TEST_CASE(
    "PlatformNode: without a successor, connections on an inherited socket are answered until the shutdown "
    "ends") {
    const int platform_fd = open_platform_socket();
    PlatformFixture node({.stop_delay = Duration(1'500'000), .inherited_listener_fd = ::dup(platform_fd)});
    const int port = node.node->http_port();
    // Already in the backlog at the notice, and later, also when the connections are drained.
    std::vector<int> callers;
    const auto call = [&] {
        callers.push_back(connect_to_backlog(port, node.make_request("route-profile", "x")));
        return PlatformFixture::request_name(node.request_count);
    };
    std::vector<std::string> runs{call()};
    node.node->begin_graceful_shutdown();
    runs.push_back(call());
    node.run_for(Duration(500'000));
    runs.push_back(call());
    node.run_for(Duration(450'000));
    // Too late to be waited for: accepted with the backlog, as nobody has accepted the others.
    runs.push_back(call());
    for (std::size_t n = 0; n < callers.size(); ++n) {
        node.test_loop.run_until([&] { return node.engine.has_received("RUN " + runs[n]); });
        node.engine.latest_peer().send("DONE " + std::to_string(n + 1) + ' ' + runs[n] +
                                       " PASS 1 1\r\nq\r\n");
        const std::string received = receive_until(node.test_loop, callers[n], "\r\n\r\nq");
        CHECK(received.rfind("HTTP/1.1 200", 0) == 0);
        ::close(callers[n]);
    }
    CHECK(take_log().find("no successor accepts") != std::string::npos);
    ::close(platform_fd);
}

TEST_CASE("PlatformNode: a connection that a successor accepts late is left to it") {
    take_log();
    const int platform_fd = open_platform_socket();
    PlatformFixture old_node({.inherited_listener_fd = ::dup(platform_fd)});
    old_node.node->begin_graceful_shutdown();
    // The successor needs 50 ms for each connection. In between the backlog is empty for two looks.
    for (int n = 0; n < 5; ++n) {
        const int caller =
            connect_to_backlog(old_node.node->http_port(), old_node.make_request("route-profile", "x"));
        old_node.run_for(Duration(50'000));
        const int accepted = ::accept(platform_fd, nullptr, nullptr);
        CHECK(accepted >= 0);
        ::close(accepted);
        ::close(caller);
        old_node.run_for(Duration(20'000));
        // Also if the machine was too busy for a look in that time.
        for (int turn = 0; turn < 5; ++turn)
            old_node.test_loop.loop.run_once(false);
    }
    CHECK_FALSE(old_node.engine.has_received("RUN "));
    CHECK(take_log().find("no successor accepts") == std::string::npos);
    ::close(platform_fd);
}

}  // namespace
