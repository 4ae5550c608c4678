// The admin address: readiness, metrics, invalid requests, and fairness between connections.
#include "admin/admin_server.hpp"

#include "connection_admission/file_descriptor_budget.hpp"
#include "frontend_fixture.hpp"

namespace {

using namespace cressledge::testing;

struct FakeAdminSource final : admin::AdminSource {
    bool ready_to_serve = false;
    std::uint64_t served_count = 0;
    bool is_ready() override { return ready_to_serve; }
    void collect_metrics(cressledge::base::Metrics& out) override {
        out.emplace_back("node.responses.map-order.ok", served_count);
        out.emplace_back("node.active", 2);
    }
};

connection_admission::DescriptorPlan make_admin_plan(std::size_t admin_descriptors) {
    connection_admission::DescriptorDemand demand;
    demand.admin = admin_descriptors;
    return connection_admission::plan_descriptors(200, 0, demand, 100);
}

struct AdminServerFixture {
    TestLoop test_loop;
    FakeAdminSource source;
    connection_admission::FileDescriptorBudget descriptors;
    admin::AdminServer server;
    explicit AdminServerFixture(std::size_t admin_descriptors = admin::AdminServer::max_connections + 1)
        : descriptors(make_admin_plan(admin_descriptors)),
          server(test_loop.loop, test_loop.timers, descriptors, net::ListenEndpoint{loopback_address(0)},
                 source) {}
    // Sends a request and returns the complete reply once the server has closed the connection.
    std::string exchange(const std::string& request) {
        auto peer = connect_peer(test_loop, server.port());
        peer->send(request);
        test_loop.run_until([&] { return peer->is_closed; });
        return peer->received;
    }
};

std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: node\r\n\r\n";
}

}  // namespace

TEST_CASE("AdminServer: readyz reports the source's readiness, and metrics lists its metrics") {
    AdminServerFixture fixture;
    CHECK(fixture.exchange(get("/v1/readyz")).rfind("HTTP/1.1 503 ", 0) == 0);
    fixture.source.ready_to_serve = true;
    const std::string ready_reply = fixture.exchange(get("/v1/readyz"));
    CHECK(ready_reply.rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
    CHECK(ready_reply.find("Connection: close\r\n") != std::string::npos);
    fixture.source.served_count = 812;
    const std::string metrics_reply = fixture.exchange(get("/v1/metrics?all"));
    CHECK(metrics_reply.rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
    CHECK(metrics_reply.substr(metrics_reply.find("\r\n\r\n") + 4) ==
          "node.responses.map-order.ok=812\nnode.active=2\n");
}

TEST_CASE("AdminServer: an invalid request gets a 4xx response or a close in time") {
    AdminServerFixture fixture;
    CHECK(fixture.exchange(get("/v1/nothing")).rfind("HTTP/1.1 404 ", 0) == 0);
    CHECK(
        fixture.exchange("POST /v1/readyz HTTP/1.1\r\nContent-Length: 0\r\n\r\n").rfind("HTTP/1.1 405 ", 0) ==
        0);
    CHECK(fixture.exchange("GARBLE\x01\x02 \r\n\r\n").rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(fixture.exchange("GET /v1/readyz HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n")
              .rfind("HTTP/1.1 431 ", 0) == 0);
    {  // The client sends an incomplete request and shuts down its side.
        auto peer = connect_peer(fixture.test_loop, fixture.server.port());
        peer->send("GET /v1/rea");
        peer->stream->shut_down_writes();
        fixture.test_loop.run_until([&] { return peer->is_closed; });
        CHECK(peer->received.rfind("HTTP/1.1 400 ", 0) == 0);
    }
    // A silent client is closed after the request timeout, within the 3 s allowed for misbehaving clients.
    auto silent = connect_peer(fixture.test_loop, fixture.server.port());
    const Timestamp started_at = wall_clock_now();
    fixture.test_loop.run_until([&] { return silent->is_closed; });
    CHECK(wall_clock_now() - started_at >= Duration(1'900'000));
    CHECK(wall_clock_now() - started_at < Duration(3'000'000));
    CHECK(silent->received.empty());
}

TEST_CASE("AdminServer: connections with incomplete requests delay no reply beyond a second") {
    AdminServerFixture fixture;
    fixture.source.ready_to_serve = true;
    std::vector<std::unique_ptr<StreamPeer>> incomplete_clients;
    for (std::size_t n = 0; n < 2 * admin::AdminServer::max_connections; ++n) {
        incomplete_clients.push_back(connect_peer(fixture.test_loop, fixture.server.port()));
        incomplete_clients.back()->send("GET /v1/ready");  // the request is never completed
    }
    for (int n = 0; n < 5; ++n) {
        const Timestamp started_at = wall_clock_now();
        CHECK(fixture.exchange(get("/v1/readyz")).rfind("HTTP/1.1 200 OK", 0) == 0);
        CHECK(wall_clock_now() - started_at < Duration(1'000'000));
    }
    CHECK(fixture.server.evicted_count() >= admin::AdminServer::max_connections);
}

TEST_CASE("AdminServer: a request unread at an eviction or a timeout is answered before the close") {
    AdminServerFixture fixture;
    fixture.source.ready_to_serve = true;
    {  // The oldest connection is evicted.
        std::vector<std::unique_ptr<RawClient>> silent;
        for (std::size_t n = 0; n < admin::AdminServer::max_connections; ++n)
            silent.push_back(std::make_unique<RawClient>(fixture.server.port()));
        for (int i = 0; i < 20; ++i)
            fixture.test_loop.loop.run_once(false);
        // The listening socket becomes readable before the oldest connection does.
        RawClient newcomer(fixture.server.port());
        silent.front()->send(get("/v1/readyz"));
        fixture.test_loop.run_until([&] { return silent.front()->is_over(); });
        CHECK(silent.front()->has_received("HTTP/1.1 200 OK"));
        CHECK_FALSE(silent.front()->was_reset);
        newcomer.send(get("/v1/readyz"));
        fixture.test_loop.run_until([&] { return newcomer.is_over(); });
        CHECK(newcomer.has_received("HTTP/1.1 200 OK"));
    }
    {  // The request timeout expires before the loop has read the second half of the request.
        RawClient late(fixture.server.port()), silent(fixture.server.port());
        late.send(get("/v1/readyz").substr(0, 9));
        for (int i = 0; i < 20; ++i)
            fixture.test_loop.loop.run_once(false);
        late.send(get("/v1/readyz").substr(9));
        fixture.test_loop.timers.run_due(wall_clock_now() + Duration(5'000'000));
        fixture.test_loop.run_until([&] { return late.is_over() && silent.is_over(); });
        CHECK(late.has_received("HTTP/1.1 200 OK"));
        CHECK_FALSE(late.was_reset);
        CHECK(silent.received.empty());
    }
}
