// Stories of the control address: readiness and figures, for one call a connection, whatever other callers do.
#include "admission/descriptors.hpp"
#include "front/control/control.hpp"
#include "hall.hpp"

namespace {

using namespace story;

struct Told final : front::control::Source {
    bool up = false;
    std::uint64_t ok = 0;
    bool ready() override { return up; }
    void figures(std::vector<std::pair<std::string, std::uint64_t>>& out) override {
        out.emplace_back("node.responses.map-order.ok", ok);
        out.emplace_back("node.active", 2);
    }
};

admission::Plan plan_of(std::size_t control) {
    admission::Needs needs;
    needs.control = control;
    return admission::plan(200, 0, needs, 100);
}

struct Desk {
    World w;
    Told told;
    admission::Descriptors descriptors;
    front::control::Control control;
    explicit Desk(std::size_t budget = front::control::Control::most + 1)
        : descriptors(plan_of(budget)), control(w.loop, w.deadlines, descriptors, net::Listening{at(0)}, told) {}
    // The whole answer, once the control address has closed the connection.
    std::string ask(const std::string& call) {
        auto p = dial(w, control.port());
        p->send(call);
        w.until([&] { return p->ended; });
        return p->got;
    }
};

std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: node\r\n\r\n"; }

}  // namespace

TEST_CASE("readyz says yes once the process can serve, and metrics writes the figures as they are") {
    Desk d;
    CHECK(d.ask(get("/v1/readyz")).rfind("HTTP/1.1 503 ", 0) == 0);
    d.told.up = true;
    const std::string yes = d.ask(get("/v1/readyz"));
    CHECK(yes.rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
    CHECK(yes.find("Connection: close\r\n") != std::string::npos);
    d.told.ok = 812;
    const std::string figures = d.ask(get("/v1/metrics?all"));
    CHECK(figures.rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
    CHECK(figures.substr(figures.find("\r\n\r\n") + 4) == "node.responses.map-order.ok=812\nnode.active=2\n");
}

TEST_CASE("bad calls on the control address get a 4xx or a close, each in time") {
    Desk d;
    CHECK(d.ask(get("/v1/nothing")).rfind("HTTP/1.1 404 ", 0) == 0);
    CHECK(d.ask("POST /v1/readyz HTTP/1.1\r\nContent-Length: 0\r\n\r\n").rfind("HTTP/1.1 405 ", 0) == 0);
    CHECK(d.ask("GARBLE\x01\x02 \r\n\r\n").rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(d.ask("GET /v1/readyz HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n").rfind("HTTP/1.1 431 ", 0) == 0);
    {  // cut short: the caller sends half a call and its last byte
        auto p = dial(d.w, d.control.port());
        p->send("GET /v1/rea");
        p->stream->finish();
        d.w.until([&] { return p->ended; });
        CHECK(p->got.rfind("HTTP/1.1 400 ", 0) == 0);
    }
    // Silent: closed after the time for a whole call, within the 3 s that bad callers are given.
    auto silent = dial(d.w, d.control.port());
    const Time from = wall();
    d.w.until([&] { return silent->ended; });
    CHECK(wall() - from >= Span(1'900'000));
    CHECK(wall() - from < Span(3'000'000));
    CHECK(silent->got.empty());
}

TEST_CASE("callers that hold control connections without a whole call delay no answer beyond a second") {
    Desk d;
    d.told.up = true;
    std::vector<std::unique_ptr<Peer>> holding;
    for (std::size_t n = 0; n < 2 * front::control::Control::most; ++n) {
        holding.push_back(dial(d.w, d.control.port()));
        holding.back()->send("GET /v1/ready");  // and never the rest
    }
    for (int n = 0; n < 5; ++n) {
        const Time from = wall();
        CHECK(d.ask(get("/v1/readyz")).rfind("HTTP/1.1 200 OK", 0) == 0);
        CHECK(wall() - from < Span(1'000'000));
    }
    CHECK(d.control.crowded_out() >= front::control::Control::most);
}

TEST_CASE("a call that lies unread when its connection makes room, or its time is over, is answered before the close") {
    Desk d;
    d.told.up = true;
    {  // makes room
        std::vector<std::unique_ptr<Raw>> silent;
        for (std::size_t n = 0; n < front::control::Control::most; ++n) silent.push_back(std::make_unique<Raw>(d.control.port()));
        for (int i = 0; i < 20; ++i) d.w.loop.turn(false);
        Raw newcomer(d.control.port());  // the listening socket is ready first, then the oldest's call
        silent.front()->send(get("/v1/readyz"));
        d.w.until([&] { return silent.front()->over(); });
        CHECK(silent.front()->has("HTTP/1.1 200 OK"));
        CHECK_FALSE(silent.front()->reset);
        newcomer.send(get("/v1/readyz"));
        d.w.until([&] { return newcomer.over(); });
        CHECK(newcomer.has("HTTP/1.1 200 OK"));
    }
    {  // its time is over: the loop has not read the call's second half
        Raw late(d.control.port()), silent(d.control.port());
        late.send(get("/v1/readyz").substr(0, 9));
        for (int i = 0; i < 20; ++i) d.w.loop.turn(false);
        late.send(get("/v1/readyz").substr(9));
        d.w.deadlines.run(wall() + Span(5'000'000));
        d.w.until([&] { return late.over() && silent.over(); });
        CHECK(late.has("HTTP/1.1 200 OK"));
        CHECK_FALSE(late.reset);
        CHECK(silent.got.empty());
    }
}
