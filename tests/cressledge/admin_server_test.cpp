// Stories of the control address: readiness and figures, for one call a connection, whatever other callers do.
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

connection_admission::DescriptorPlan plan_of(std::size_t control) {
    connection_admission::DescriptorDemand needs;
    needs.admin = control;
    return connection_admission::plan_descriptors(200, 0, needs, 100);
}

struct Desk {
    TestLoop w;
    FakeAdminSource told;
    connection_admission::FileDescriptorBudget descriptors;
    admin::AdminServer control;
    explicit Desk(std::size_t budget = admin::AdminServer::max_connections + 1)
        : descriptors(plan_of(budget)),
          control(w.loop, w.timers, descriptors, net::ListenEndpoint{loopback_address(0)}, told) {}
    // The whole answer, once the control address has closed the connection.
    std::string ask(const std::string& call) {
        auto p = connect_peer(w, control.port());
        p->send(call);
        w.run_until([&] { return p->is_closed; });
        return p->received;
    }
};

std::string get(const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: node\r\n\r\n";
}

}  // namespace

TEST_CASE("readyz says yes once the process can serve, and metrics writes the figures as they are") {
    Desk d;
    CHECK(d.ask(get("/v1/readyz")).rfind("HTTP/1.1 503 ", 0) == 0);
    d.told.ready_to_serve = true;
    const std::string yes = d.ask(get("/v1/readyz"));
    CHECK(yes.rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
    CHECK(yes.find("Connection: close\r\n") != std::string::npos);
    d.told.served_count = 812;
    const std::string figures = d.ask(get("/v1/metrics?all"));
    CHECK(figures.rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
    CHECK(figures.substr(figures.find("\r\n\r\n") + 4) == "node.responses.map-order.ok=812\nnode.active=2\n");
}

TEST_CASE("bad calls on the control address get a 4xx or a close, each in time") {
    Desk d;
    CHECK(d.ask(get("/v1/nothing")).rfind("HTTP/1.1 404 ", 0) == 0);
    CHECK(d.ask("POST /v1/readyz HTTP/1.1\r\nContent-Length: 0\r\n\r\n").rfind("HTTP/1.1 405 ", 0) == 0);
    CHECK(d.ask("GARBLE\x01\x02 \r\n\r\n").rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(d.ask("GET /v1/readyz HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n")
              .rfind("HTTP/1.1 431 ", 0) == 0);
    {  // cut short: the caller sends half a call and its last byte
        auto p = connect_peer(d.w, d.control.port());
        p->send("GET /v1/rea");
        p->stream->shut_down_writes();
        d.w.run_until([&] { return p->is_closed; });
        CHECK(p->received.rfind("HTTP/1.1 400 ", 0) == 0);
    }
    // Silent: closed after the time for a whole call, within the 3 s that bad callers are given.
    auto silent = connect_peer(d.w, d.control.port());
    const Timestamp from = wall_clock_now();
    d.w.run_until([&] { return silent->is_closed; });
    CHECK(wall_clock_now() - from >= Duration(1'900'000));
    CHECK(wall_clock_now() - from < Duration(3'000'000));
    CHECK(silent->received.empty());
}

TEST_CASE("callers that hold control connections without a whole call delay no answer beyond a second") {
    Desk d;
    d.told.ready_to_serve = true;
    std::vector<std::unique_ptr<StreamPeer>> holding;
    for (std::size_t n = 0; n < 2 * admin::AdminServer::max_connections; ++n) {
        holding.push_back(connect_peer(d.w, d.control.port()));
        holding.back()->send("GET /v1/ready");  // and never the rest
    }
    for (int n = 0; n < 5; ++n) {
        const Timestamp from = wall_clock_now();
        CHECK(d.ask(get("/v1/readyz")).rfind("HTTP/1.1 200 OK", 0) == 0);
        CHECK(wall_clock_now() - from < Duration(1'000'000));
    }
    CHECK(d.control.evicted_count() >= admin::AdminServer::max_connections);
}

TEST_CASE(
    "a call that lies unread when its connection makes room, or its time is over, is answered before the "
    "close") {
    Desk d;
    d.told.ready_to_serve = true;
    {  // makes room
        std::vector<std::unique_ptr<RawClient>> silent;
        for (std::size_t n = 0; n < admin::AdminServer::max_connections; ++n)
            silent.push_back(std::make_unique<RawClient>(d.control.port()));
        for (int i = 0; i < 20; ++i)
            d.w.loop.run_once(false);
        RawClient newcomer(d.control.port());  // the listening socket is ready first, then the oldest's call
        silent.front()->send(get("/v1/readyz"));
        d.w.run_until([&] { return silent.front()->is_over(); });
        CHECK(silent.front()->has_received("HTTP/1.1 200 OK"));
        CHECK_FALSE(silent.front()->was_reset);
        newcomer.send(get("/v1/readyz"));
        d.w.run_until([&] { return newcomer.is_over(); });
        CHECK(newcomer.has_received("HTTP/1.1 200 OK"));
    }
    {  // its time is over: the loop has not read the call's second half
        RawClient late(d.control.port()), silent(d.control.port());
        late.send(get("/v1/readyz").substr(0, 9));
        for (int i = 0; i < 20; ++i)
            d.w.loop.run_once(false);
        late.send(get("/v1/readyz").substr(9));
        d.w.timers.run_due(wall_clock_now() + Duration(5'000'000));
        d.w.run_until([&] { return late.is_over() && silent.is_over(); });
        CHECK(late.has_received("HTTP/1.1 200 OK"));
        CHECK_FALSE(late.was_reset);
        CHECK(silent.received.empty());
    }
}
