// Stories of the operator's set-up: small SCGI clients and servers of our own, on loopback.
#include <sys/socket.h>
#include <unistd.h>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace cressledge::testing;

struct ScgiGatewayFixture {
    TestLoop test_loop;
    TemporaryDirectory directory;
    ListeningPeer upstream_server{test_loop.loop}, spare_server{test_loop.loop};
    std::unique_ptr<upstream::UpstreamGateway> gateway;
    config::OperatorConfig config;

    explicit ScgiGatewayFixture(const std::string& protocol = "scgi", Duration whole = Duration(5'000'000)) {
        config.scgi_address = config.http_address = "127.0.0.1:0";
        config.inventory_path = write_inventory(protocol);
        config.request_timeout = whole;
        config.stop_delay = Duration(900'000);
        config.policy_settings = test_settings();
        gateway = std::make_unique<upstream::UpstreamGateway>(test_loop.loop, test_loop.timers,
                                                              test_loop.loop, config, 7);
    }
    std::string write_inventory(const std::string& protocol) {
        return directory.write_file(
            "servers.csv",
            "name,address,protocol,group\nup," + upstream_server.address() + "," + protocol + ",maps\n");
    }
    static std::string scgi_request(const std::string& path, const std::string& body,
                                    const std::string& extra_fields = "") {
        std::string head = binary_literal("CONTENT_LENGTH\0");
        head += std::to_string(body.size()) + '\0' +
                std::string(
                    "SCGI\0"
                    "1\0",
                    7);
        head += binary_literal("REQUEST_METHOD\0POST\0REQUEST_URI\0") + path + '\0' + extra_fields;
        return std::to_string(head.size()) + ':' + head + ',' + body;
    }
    std::unique_ptr<StreamPeer> client() { return connect_peer(test_loop, gateway->scgi_port()); }
    std::unique_ptr<StreamPeer> send_request(const std::string& bytes) {
        auto c = client();
        c->send(bytes);
        return c;
    }
    std::string read_status(StreamPeer& c) {
        test_loop.run_until([&] { return c.is_closed; });
        return c.received.substr(0, c.received.find("\r\n"));
    }
};

TEST_CASE("an old client that knows no platform fields reaches a server over SCGI, byte for byte") {
    ScgiGatewayFixture o;
    const std::string body = binary_literal("\0,1:\r\n"), result = binary_literal("\r\n\r\n\0x");
    const std::string request = ScgiGatewayFixture::scgi_request("/maps/trail-sheet?x=1", body);
    auto c = o.client();
    for (const char byte : request) {  // however it is split
        c->send(std::string(1, byte));
        o.test_loop.loop.run_once(false);
    }
    o.test_loop.run_until([&] { return o.upstream_server.has_received("," + body); });
    StreamPeer& up = o.upstream_server.latest_peer();
    CHECK(up.has_received(binary_literal("REQUEST_URI\0/v1/trail-sheet\0")));
    CHECK(up.has_received("HTTP_TRACE_ID"));
    up.send("Status: 200 OK\r\nContent-Length: 6\r\n");
    up.send("\r\n" + result);
    CHECK(o.read_status(*c) == "Status: 200 OK");
    CHECK(c->has_received("Content-Length: 6\r\n\r\n" + result));
}

TEST_CASE("an SCGI client reaches a new server that speaks HTTP") {
    ScgiGatewayFixture o("http");
    auto c = o.send_request(ScgiGatewayFixture::scgi_request("/route-profile", "x"));
    o.test_loop.run_until([&] { return o.upstream_server.has_received("\r\n\r\nx"); });
    CHECK(o.upstream_server.latest_peer().received.rfind("POST /v1/route-profile HTTP/1.1\r\n", 0) == 0);
    o.upstream_server.latest_peer().send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nmap\r\n0\r\n\r\n");
    CHECK(o.read_status(*c) == "Status: 200 OK");
    CHECK(c->has_received("\r\n\r\nmap"));
}

TEST_CASE("malformed and oversized headers are refused at once, and others keep moving") {
    ScgiGatewayFixture o;
    auto stalled = o.send_request("70:CONTENT_LENGTH");  // says no more, and is not waited for
    const std::string good = ScgiGatewayFixture::scgi_request("/trail-sheet", "");
    const auto net = [](const std::string& block, char end = ',') {
        return std::to_string(block.size()) + ':' + block + end;
    };
    const std::string start = binary_literal(
        "CONTENT_LENGTH\0"
        "0\0SCGI\0"
        "1\0");
    const std::string bads[] = {
        "x",
        ":",
        "012:",
        "9000:",
        "24:SCGI",
        net(start, ';'),
        net(binary_literal("CONTENT_LENGTH\0"
                           "0\0")),  // no SCGI
        net(binary_literal("CONTENT_LENGTH\0"
                           "x\0SCGI\0"
                           "1\0")),
        net(binary_literal("CONTENT_LENGTH\0"
                           "0\0SCGI\0"
                           "2\0")),
        net(start + binary_literal("A\0b\0A\0c\0")),  // a name that comes twice
        net(start + binary_literal("A\0")),  // no value
        net(start + binary_literal("\0b\0")),  // no name
        net(start + "A"),  // not ended
    };
    for (const std::string& bad : bads) {
        INFO(bad);
        auto c = o.send_request(bad);
        CHECK(o.read_status(*c) == "Status: 400 Bad Request");
    }
    auto large = o.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", std::string(2049, 'x')));
    CHECK(o.read_status(*large) == "Status: 413 Payload Too Large");
    auto lost = o.send_request(ScgiGatewayFixture::scgi_request("/no-such-class", ""));
    CHECK(o.read_status(*lost) == "Status: 404 Not Found");
    auto wrong = o.send_request(
        ScgiGatewayFixture::scgi_request("/trail-sheet", "", binary_literal("HTTP_TRACE_ID\0zz\0")));
    CHECK(o.read_status(*wrong) == "Status: 400 Bad Request");
    CHECK(stalled->received.empty());
    auto c = o.send_request(good);
    o.test_loop.run_until([&] { return o.upstream_server.peers.size() == 1; });
}

TEST_CASE("a truncated header is refused when its client ends it, or by an absolute deadline") {
    ScgiGatewayFixture o("scgi", Duration(150'000));
    auto silent = o.client();
    auto cut = o.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "body").substr(0, 40));
    CHECK(o.read_status(*cut) == "Status: 400 Bad Request");
    CHECK(o.read_status(*silent) == "Status: 400 Bad Request");
    auto half = o.send_request("70:CONT");
    half->stream->shut_down_writes();
    CHECK(o.read_status(*half) == "Status: 400 Bad Request");
    CHECK(o.gateway->request_manager().counts().received == 0);
}

TEST_CASE("a reset after sending proves nothing: the write fails, and no other server is tried") {
    ScgiGatewayFixture o;
    o.directory.write_file("servers.csv", "name,address,protocol,group\nup," + o.upstream_server.address() +
                                              ",scgi,maps\nspare," + o.spare_server.address() +
                                              ",scgi,maps\n");
    o.gateway->reload();
    auto c = o.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
    const auto both = [&] { return o.upstream_server.peers.size() + o.spare_server.peers.size(); };
    o.test_loop.run_until(
        [&] { return o.upstream_server.has_received(",pay") || o.spare_server.has_received(",pay"); });
    (o.upstream_server.peers.empty() ? o.spare_server : o.upstream_server).latest_peer().close();
    CHECK(o.read_status(*c) == "Status: 502 Bad Gateway");
    CHECK(both() == 1);
}

namespace {

// A server that acts by plain system calls: it can break a connection off by a reset, which a Peer cannot.
struct RawServer {
    int listener_fd = net::open_listening_socket(loopback_address(0)), connection_fd = -1;
    std::string received;
    std::size_t calls = 0;
    ~RawServer() { ::close(listener_fd), ::close(connection_fd); }
    bool has_received(const std::string& part) {
        char b[4096];
        if (connection_fd < 0 &&
            (connection_fd = ::accept4(listener_fd, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
            ++calls;
        for (ssize_t n = 0; connection_fd >= 0 && (n = ::recv(connection_fd, b, sizeof b, 0)) > 0;)
            received.append(b, static_cast<std::size_t>(n));
        return received.find(part) != std::string::npos;
    }
    void send(const std::string& b) const {
        REQUIRE(::send(connection_fd, b.data(), b.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(b.size()));
    }
    void reset_connection() {
        const linger now{1, 0};
        ::setsockopt(connection_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(std::exchange(connection_fd, -1));
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(net::local_port(listener_fd)); }
};

}  // namespace

TEST_CASE(
    "an answer up to the connection's end that a reset cuts off is no answer, and what is unsafe is never "
    "called again") {
    for (const std::string& protocol : {std::string("scgi"), std::string("http")}) {
        ScgiGatewayFixture o;
        RawServer raw;
        const bool scgi = protocol == "scgi";
        o.directory.write_file(
            "servers.csv", "name,address,protocol,group\nup," + raw.address() + ',' + protocol + ",maps\n");
        o.gateway->reload();
        auto c = o.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
        o.test_loop.run_until([&] { return raw.has_received(scgi ? ",pay" : "\r\n\r\npay"); }, false);
        raw.send(std::string(scgi ? "Status: 200 OK" : "HTTP/1.1 200 OK") + "\r\n\r\nhalf a rec");
        // The program has read the half before the reset comes: nothing but the reset tells that it is one.
        for (int i = 0; i < 5; ++i)
            o.test_loop.loop.run_once(false);
        raw.reset_connection();
        CHECK(o.read_status(*c) == "Status: 502 Bad Gateway");
        CHECK(c->received.find("half") == std::string::npos);
        CHECK_FALSE(raw.has_received("never"));
        CHECK(raw.calls == 1);
        CHECK(o.gateway->request_manager().counts().failed == 1);
        // The same bytes, ended by the server itself, are an answer.
        auto d = o.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
        raw.received.clear();
        o.test_loop.run_until([&] { return raw.has_received(scgi ? ",pay" : "\r\n\r\npay"); }, false);
        raw.send(std::string(scgi ? "Status: 200 OK" : "HTTP/1.1 200 OK") + "\r\n\r\nhalf a rec");
        ::close(std::exchange(raw.connection_fd, -1));
        CHECK(o.read_status(*d) == "Status: 200 OK");
        CHECK(d->has_received("half a rec"));
    }
}

TEST_CASE("a refused connection proves that nothing ran: the next server is called") {
    ScgiGatewayFixture o;
    o.directory.write_file("servers.csv", "name,address,protocol,group\nup," + o.upstream_server.address() +
                                              ",scgi,maps\nspare," + o.spare_server.address() +
                                              ",scgi,maps\n");
    o.gateway->reload();
    o.upstream_server.listener->close();
    for (int i = 0; i < 2; ++i) {  // whichever is first in turn
        const std::size_t before = o.spare_server.peers.size();
        auto c = o.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
        o.test_loop.run_until(
            [&] { return o.spare_server.peers.size() > before && o.spare_server.has_received(",pay"); });
        o.spare_server.latest_peer().send("Status: 200 OK\r\n\r\nreceipt");
        o.spare_server.latest_peer().stream->shut_down_writes();
        CHECK(o.read_status(*c) == "Status: 200 OK");
    }
    o.spare_server.listener->close();
    auto c = o.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
    CHECK(o.read_status(*c) == "Status: 502 Bad Gateway");
}

TEST_CASE("a server's answer that is cut short or says failure is a failure") {
    for (const std::string& answer :
         {std::string("Status: 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
          std::string("Status: 500 No\r\n\r\n"), std::string("nonsense\r\n\r\n")}) {
        ScgiGatewayFixture o;
        auto c = o.send_request(ScgiGatewayFixture::scgi_request("/route-profile", "x"));
        o.test_loop.run_until([&] { return o.upstream_server.has_received(",x"); });
        o.upstream_server.latest_peer().send(answer);
        o.upstream_server.latest_peer().stream->shut_down_writes();
        CHECK(o.read_status(*c) == "Status: 502 Bad Gateway");
    }
}

TEST_CASE("out of time is told at once as 504, and a client that goes cancels its call") {
    ScgiGatewayFixture o;
    auto late = o.send_request(
        ScgiGatewayFixture::scgi_request("/route-profile", "x",
                                         binary_literal("HTTP_ACCEPTED_AT_MS\0") +
                                             std::to_string(wall_clock_now().count() / 1000 - 1000) + '\0'));
    o.test_loop.run_until([&] { return o.upstream_server.has_received(",x"); });
    auto c = o.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "y"));
    o.test_loop.run_until(
        [&] { return o.upstream_server.peers.size() == 2 && o.upstream_server.has_received(",y"); });
    c->close();
    o.test_loop.run_until([&] { return o.upstream_server.latest_peer().is_closed; });
    CHECK(o.read_status(*late) == "Status: 504 Gateway Timeout");
    CHECK(o.upstream_server.peers[0]->is_closed);
}

TEST_CASE("refused is 503 with Retry-After, and a drain treats a write over SCGI as one over HTTP") {
    ScgiGatewayFixture o;
    o.gateway->begin_graceful_shutdown();
    // Accepted before the notice, or within its grace, a write may run; the controller says which.
    auto c = o.send_request(ScgiGatewayFixture::scgi_request(
        "/map-order", "a",
        binary_literal("HTTP_ACCEPTED_AT_MS\0") + std::to_string(wall_clock_now().count() / 1000 - 11'500) +
            '\0'));
    CHECK(o.read_status(*c) == "Status: 503 Service Unavailable");
    CHECK(c->has_received("\r\nRetry-After: 1\r\n"));
    auto h = connect_peer(o.test_loop, o.gateway->http_port());
    h->send("POST /v1/map-order HTTP/1.1\r\nAccepted-At-Ms: " +
            std::to_string(wall_clock_now().count() / 1000 - 11'500) + "\r\nContent-Length: 1\r\n\r\na");
    o.test_loop.run_until([&] { return h->has_received("\r\n\r\n"); });
    CHECK(h->received.rfind("HTTP/1.1 503 ", 0) == 0);
    CHECK(o.upstream_server.peers.empty());
}

TEST_CASE("a bad inventory leaves the old one in force") {
    ScgiGatewayFixture o;
    o.directory.write_file("servers.csv", "name,address,protocol,group\nup,nowhere,scgi,maps\n");
    o.gateway->reload();
    auto c = o.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "x"));
    o.test_loop.run_until([&] { return o.upstream_server.has_received(",x"); });
}

TEST_CASE("over SCGI too, an open request's id is refused to another, and silent clients make room") {
    ScgiGatewayFixture o;
    const std::string id = binary_literal(
        "HTTP_TRACE_ID\0"
        "00000000000000aa\0");
    auto c = o.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "x", id));
    o.test_loop.run_until([&] { return o.upstream_server.has_received(",x"); });
    auto thief = o.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "y", id));
    CHECK(o.read_status(*thief) == "Status: 400 Bad Request");
    std::vector<std::unique_ptr<StreamPeer>> silent;
    for (std::size_t i = 0; i < o.config.admission.max_connections; ++i)
        silent.push_back(o.client());
    o.test_loop.run_until([&] { return silent[0]->is_closed; });
    CHECK_FALSE(c->is_closed);
    auto late = o.send_request(ScgiGatewayFixture::scgi_request("/healthz", ""));
    CHECK(o.read_status(*late) == "Status: 200 OK");
    o.upstream_server.latest_peer().send("Status: 200 OK\r\nContent-Length: 1\r\n\r\nz");
    CHECK(o.read_status(*c) == "Status: 200 OK");
}

}  // namespace
