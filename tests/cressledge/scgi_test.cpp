// Tests of the gateway over SCGI: protocol, errors and calls to the upstream hosts of an inventory. Clients and hosts
// are sockets on the loopback address.
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

    explicit ScgiGatewayFixture(const std::string& protocol = "scgi",
                                Duration request_timeout = Duration(5'000'000)) {
        config.scgi_address = config.http_address = "127.0.0.1:0";
        config.inventory_path = write_inventory(protocol);
        config.request_timeout = request_timeout;
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
    std::unique_ptr<StreamPeer> connect_client() { return connect_peer(test_loop, gateway->scgi_port()); }
    std::unique_ptr<StreamPeer> send_request(const std::string& bytes) {
        auto client = connect_client();
        client->send(bytes);
        return client;
    }
    std::string read_status(StreamPeer& client) {
        test_loop.run_until([&] { return client.is_closed; });
        return client.received.substr(0, client.received.find("\r\n"));
    }
};

TEST_CASE("SCGI: a request without platform fields reaches the upstream host byte for byte") {
    ScgiGatewayFixture fixture;
    const std::string body = binary_literal("\0,1:\r\n"), result = binary_literal("\r\n\r\n\0x");
    const std::string request = ScgiGatewayFixture::scgi_request("/maps/trail-sheet?x=1", body);
    auto client = fixture.connect_client();
    for (const char byte : request) {  // split after each byte
        client->send(std::string(1, byte));
        fixture.test_loop.loop.run_once(false);
    }
    fixture.test_loop.run_until([&] { return fixture.upstream_server.has_received("," + body); });
    StreamPeer& upstream_peer = fixture.upstream_server.latest_peer();
    CHECK(upstream_peer.has_received(binary_literal("REQUEST_URI\0/v1/trail-sheet\0")));
    CHECK(upstream_peer.has_received("HTTP_TRACE_ID"));
    upstream_peer.send("Status: 200 OK\r\nContent-Length: 6\r\n");
    upstream_peer.send("\r\n" + result);
    CHECK(fixture.read_status(*client) == "Status: 200 OK");
    CHECK(client->has_received("Content-Length: 6\r\n\r\n" + result));
}

TEST_CASE("SCGI: a request is translated for an upstream host that speaks HTTP") {
    ScgiGatewayFixture fixture("http");
    auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/route-profile", "x"));
    fixture.test_loop.run_until([&] { return fixture.upstream_server.has_received("\r\n\r\nx"); });
    CHECK(fixture.upstream_server.latest_peer().received.rfind("POST /v1/route-profile HTTP/1.1\r\n", 0) ==
          0);
    fixture.upstream_server.latest_peer().send(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nmap\r\n0\r\n\r\n");
    CHECK(fixture.read_status(*client) == "Status: 200 OK");
    CHECK(client->has_received("\r\n\r\nmap"));
}

TEST_CASE("SCGI: malformed and oversized headers are rejected at once, and other connections are served") {
    ScgiGatewayFixture fixture;
    auto stalled = fixture.send_request("70:CONTENT_LENGTH");  // never completes its request
    const std::string valid_request = ScgiGatewayFixture::scgi_request("/trail-sheet", "");
    const auto netstring = [](const std::string& block, char terminator = ',') {
        return std::to_string(block.size()) + ':' + block + terminator;
    };
    const std::string required_headers = binary_literal(
        "CONTENT_LENGTH\0"
        "0\0SCGI\0"
        "1\0");
    const std::string malformed_requests[] = {
        "x",
        ":",
        "012:",
        "9000:",
        "24:SCGI",
        netstring(required_headers, ';'),
        netstring(binary_literal("CONTENT_LENGTH\0"
                                 "0\0")),  // no SCGI header
        netstring(binary_literal("CONTENT_LENGTH\0"
                                 "x\0SCGI\0"
                                 "1\0")),
        netstring(binary_literal("CONTENT_LENGTH\0"
                                 "0\0SCGI\0"
                                 "2\0")),
        netstring(required_headers + binary_literal("A\0b\0A\0c\0")),  // duplicate name
        netstring(required_headers + binary_literal("A\0")),  // no value
        netstring(required_headers + binary_literal("\0b\0")),  // no name
        netstring(required_headers + "A"),  // not terminated
    };
    for (const std::string& malformed_request : malformed_requests) {
        INFO(malformed_request);
        auto client = fixture.send_request(malformed_request);
        CHECK(fixture.read_status(*client) == "Status: 400 Bad Request");
    }
    auto large =
        fixture.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", std::string(2049, 'x')));
    CHECK(fixture.read_status(*large) == "Status: 413 Payload Too Large");
    auto unknown_class = fixture.send_request(ScgiGatewayFixture::scgi_request("/no-such-class", ""));
    CHECK(fixture.read_status(*unknown_class) == "Status: 404 Not Found");
    auto invalid_field = fixture.send_request(
        ScgiGatewayFixture::scgi_request("/trail-sheet", "", binary_literal("HTTP_TRACE_ID\0zz\0")));
    CHECK(fixture.read_status(*invalid_field) == "Status: 400 Bad Request");
    CHECK(stalled->received.empty());
    auto client = fixture.send_request(valid_request);
    fixture.test_loop.run_until([&] { return fixture.upstream_server.peers.size() == 1; });
}

TEST_CASE("SCGI: a truncated header is rejected at the client's end of input or at the request timeout") {
    ScgiGatewayFixture fixture("scgi", Duration(150'000));
    auto silent = fixture.connect_client();
    auto truncated =
        fixture.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "body").substr(0, 40));
    CHECK(fixture.read_status(*truncated) == "Status: 400 Bad Request");
    CHECK(fixture.read_status(*silent) == "Status: 400 Bad Request");
    auto half_closed = fixture.send_request("70:CONT");
    half_closed->stream->shut_down_writes();
    CHECK(fixture.read_status(*half_closed) == "Status: 400 Bad Request");
    CHECK(fixture.gateway->request_manager().counts().received == 0);
}

TEST_CASE("gateway: a write whose connection breaks after sending fails, and no other host is tried") {
    ScgiGatewayFixture fixture;
    fixture.directory.write_file("servers.csv", "name,address,protocol,group\nup," +
                                                    fixture.upstream_server.address() + ",scgi,maps\nspare," +
                                                    fixture.spare_server.address() + ",scgi,maps\n");
    fixture.gateway->reload();
    auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
    const auto upstream_connections = [&] {
        return fixture.upstream_server.peers.size() + fixture.spare_server.peers.size();
    };
    fixture.test_loop.run_until([&] {
        return fixture.upstream_server.has_received(",pay") || fixture.spare_server.has_received(",pay");
    });
    (fixture.upstream_server.peers.empty() ? fixture.spare_server : fixture.upstream_server)
        .latest_peer()
        .close();
    CHECK(fixture.read_status(*client) == "Status: 502 Bad Gateway");
    CHECK(upstream_connections() == 1);
}

namespace {

// An upstream host on system calls, which can reset a connection, unlike a StreamPeer.
struct RawServer {
    int listener_fd = net::open_listening_socket(loopback_address(0)), connection_fd = -1;
    std::string received;
    std::size_t accepted_connections = 0;
    ~RawServer() { ::close(listener_fd), ::close(connection_fd); }
    bool has_received(const std::string& text) {
        char buffer[4096];
        if (connection_fd < 0 &&
            (connection_fd = ::accept4(listener_fd, nullptr, nullptr, SOCK_NONBLOCK)) >= 0)
            ++accepted_connections;
        for (ssize_t n = 0; connection_fd >= 0 && (n = ::recv(connection_fd, buffer, sizeof buffer, 0)) > 0;)
            received.append(buffer, static_cast<std::size_t>(n));
        return received.find(text) != std::string::npos;
    }
    void send(const std::string& bytes) const {
        REQUIRE(::send(connection_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }
    void reset_connection() {
        const linger reset_on_close{1, 0};
        ::setsockopt(connection_fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        ::close(std::exchange(connection_fd, -1));
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(net::local_port(listener_fd)); }
};

}  // namespace

TEST_CASE("gateway: a close-delimited response cut off by a reset is a failure, and a write is not retried") {
    for (const std::string& protocol : {std::string("scgi"), std::string("http")}) {
        ScgiGatewayFixture fixture;
        RawServer raw;
        const bool scgi = protocol == "scgi";
        fixture.directory.write_file(
            "servers.csv", "name,address,protocol,group\nup," + raw.address() + ',' + protocol + ",maps\n");
        fixture.gateway->reload();
        auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
        fixture.test_loop.run_until([&] { return raw.has_received(scgi ? ",pay" : "\r\n\r\npay"); }, false);
        raw.send(std::string(scgi ? "Status: 200 OK" : "HTTP/1.1 200 OK") + "\r\n\r\nhalf a rec");
        // The gateway reads these bytes before the reset, so only the reset shows that the response is truncated.
        for (int i = 0; i < 5; ++i)
            fixture.test_loop.loop.run_once(false);
        raw.reset_connection();
        CHECK(fixture.read_status(*client) == "Status: 502 Bad Gateway");
        CHECK(client->received.find("half") == std::string::npos);
        CHECK_FALSE(raw.has_received("never"));
        CHECK(raw.accepted_connections == 1);
        CHECK(fixture.gateway->request_manager().counts().failed == 1);
        // The same bytes, followed by a normal close, are a complete response.
        auto second_client = fixture.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
        raw.received.clear();
        fixture.test_loop.run_until([&] { return raw.has_received(scgi ? ",pay" : "\r\n\r\npay"); }, false);
        raw.send(std::string(scgi ? "Status: 200 OK" : "HTTP/1.1 200 OK") + "\r\n\r\nhalf a rec");
        ::close(std::exchange(raw.connection_fd, -1));
        CHECK(fixture.read_status(*second_client) == "Status: 200 OK");
        CHECK(second_client->has_received("half a rec"));
    }
}

TEST_CASE("gateway: a refused connection proves that nothing ran, and the next host is called") {
    ScgiGatewayFixture fixture;
    fixture.directory.write_file("servers.csv", "name,address,protocol,group\nup," +
                                                    fixture.upstream_server.address() + ",scgi,maps\nspare," +
                                                    fixture.spare_server.address() + ",scgi,maps\n");
    fixture.gateway->reload();
    fixture.upstream_server.listener->close();
    for (int i = 0; i < 2; ++i) {  // whichever host is called first
        const std::size_t peers_before = fixture.spare_server.peers.size();
        auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
        fixture.test_loop.run_until([&] {
            return fixture.spare_server.peers.size() > peers_before &&
                   fixture.spare_server.has_received(",pay");
        });
        fixture.spare_server.latest_peer().send("Status: 200 OK\r\n\r\nreceipt");
        fixture.spare_server.latest_peer().stream->shut_down_writes();
        CHECK(fixture.read_status(*client) == "Status: 200 OK");
    }
    fixture.spare_server.listener->close();
    auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/map-order", "pay"));
    CHECK(fixture.read_status(*client) == "Status: 502 Bad Gateway");
}

TEST_CASE("gateway: a truncated or failed upstream response is a failure") {
    for (const std::string& response :
         {std::string("Status: 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
          std::string("Status: 500 No\r\n\r\n"), std::string("nonsense\r\n\r\n")}) {
        ScgiGatewayFixture fixture;
        auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/route-profile", "x"));
        fixture.test_loop.run_until([&] { return fixture.upstream_server.has_received(",x"); });
        fixture.upstream_server.latest_peer().send(response);
        fixture.upstream_server.latest_peer().stream->shut_down_writes();
        CHECK(fixture.read_status(*client) == "Status: 502 Bad Gateway");
    }
}

TEST_CASE("SCGI: a missed deadline is a 504 at once, and a client's disconnect cancels the upstream call") {
    ScgiGatewayFixture fixture;
    auto expired = fixture.send_request(
        ScgiGatewayFixture::scgi_request("/route-profile", "x",
                                         binary_literal("HTTP_ACCEPTED_AT_MS\0") +
                                             std::to_string(wall_clock_now().count() / 1000 - 1000) + '\0'));
    fixture.test_loop.run_until([&] { return fixture.upstream_server.has_received(",x"); });
    auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "y"));
    fixture.test_loop.run_until([&] {
        return fixture.upstream_server.peers.size() == 2 && fixture.upstream_server.has_received(",y");
    });
    client->close();
    fixture.test_loop.run_until([&] { return fixture.upstream_server.latest_peer().is_closed; });
    CHECK(fixture.read_status(*expired) == "Status: 504 Gateway Timeout");
    CHECK(fixture.upstream_server.peers[0]->is_closed);
}

TEST_CASE("SCGI: a rejection is a 503 with Retry-After, and a drain treats a write as HTTP does") {
    ScgiGatewayFixture fixture;
    fixture.gateway->begin_graceful_shutdown();
    // A write accepted before the shutdown notice or within its grace period may run. The admission controller decides.
    auto client = fixture.send_request(ScgiGatewayFixture::scgi_request(
        "/map-order", "a",
        binary_literal("HTTP_ACCEPTED_AT_MS\0") + std::to_string(wall_clock_now().count() / 1000 - 11'500) +
            '\0'));
    CHECK(fixture.read_status(*client) == "Status: 503 Service Unavailable");
    CHECK(client->has_received("\r\nRetry-After: 1\r\n"));
    auto http_client = connect_peer(fixture.test_loop, fixture.gateway->http_port());
    http_client->send("POST /v1/map-order HTTP/1.1\r\nAccepted-At-Ms: " +
                      std::to_string(wall_clock_now().count() / 1000 - 11'500) +
                      "\r\nContent-Length: 1\r\n\r\na");
    fixture.test_loop.run_until([&] { return http_client->has_received("\r\n\r\n"); });
    CHECK(http_client->received.rfind("HTTP/1.1 503 ", 0) == 0);
    CHECK(fixture.upstream_server.peers.empty());
}

TEST_CASE("gateway: an invalid inventory is rejected and the previous one stays in use") {
    ScgiGatewayFixture fixture;
    fixture.directory.write_file("servers.csv", "name,address,protocol,group\nup,nowhere,scgi,maps\n");
    fixture.gateway->reload();
    auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "x"));
    fixture.test_loop.run_until([&] { return fixture.upstream_server.has_received(",x"); });
}

TEST_CASE("SCGI: a request with the id of an open request is rejected, and silent connections are evicted") {
    ScgiGatewayFixture fixture;
    const std::string id = binary_literal(
        "HTTP_TRACE_ID\0"
        "00000000000000aa\0");
    auto client = fixture.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "x", id));
    fixture.test_loop.run_until([&] { return fixture.upstream_server.has_received(",x"); });
    auto duplicate = fixture.send_request(ScgiGatewayFixture::scgi_request("/trail-sheet", "y", id));
    CHECK(fixture.read_status(*duplicate) == "Status: 400 Bad Request");
    std::vector<std::unique_ptr<StreamPeer>> silent;
    for (std::size_t i = 0; i < fixture.config.admission.max_connections; ++i)
        silent.push_back(fixture.connect_client());
    fixture.test_loop.run_until([&] { return silent[0]->is_closed; });
    CHECK_FALSE(client->is_closed);
    auto health_check = fixture.send_request(ScgiGatewayFixture::scgi_request("/healthz", ""));
    CHECK(fixture.read_status(*health_check) == "Status: 200 OK");
    fixture.upstream_server.latest_peer().send("Status: 200 OK\r\nContent-Length: 1\r\n\r\nz");
    CHECK(fixture.read_status(*client) == "Status: 200 OK");
}

}  // namespace
