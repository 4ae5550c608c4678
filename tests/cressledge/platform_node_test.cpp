// Stories of one server on the platform: callers, engine, records service and directory are scripted peers.
#include <sys/socket.h>
#include <unistd.h>

#include "frontend_fixture.hpp"
#include "platform/platform_node.hpp"

namespace {

using namespace cressledge::testing;

struct Site {
    TestLoop w;
    ListeningPeer engine{w.loop}, records{w.loop}, lookup{w.loop};
    std::unique_ptr<platform::PlatformNode> node;
    int tries = 0;

    // A node's configuration with these peers.
    static config::NodeConfig configuration(const ListeningPeer& engine, const ListeningPeer& records,
                                            const ListeningPeer& lookup) {
        config::NodeConfig c;
        c.name = "n3";
        c.listen_address = "127.0.0.1:0";
        c.engine_address = engine.address();
        c.records_address = records.address();
        c.directory_address = lookup.address();
        c.policy_settings = test_settings();
        return c;
    }
    explicit Site(Duration stop = Duration(3'000'000), bool up = true, bool control = false,
                  int inherited = -1) {
        cressledge::policy::Settings s = test_settings();
        config::NodeConfig c = configuration(engine, records, lookup);
        c.stop_delay = stop;
        c.max_descriptors = 21;  // twelve connections
        if (control) {  // and 33 descriptors more for the control address
            c.admin_address = "127.0.0.1:0";
            c.max_descriptors = 64;
        }
        c.gauge_names = {"cpu_busy", "runnable", "mem_used", "sockets"};
        c.inherited_listener_fd = inherited;
        s.classes[0].calls_dependency = s.classes[2].calls_dependency = true;
        s.dependency = cressledge::policy::Dependency::shared_service;
        s.dependency_call_quota = 5.0;
        c.policy_settings = std::move(s);
        node = std::make_unique<platform::PlatformNode>(w.loop, w.timers, c);
        node->start();
        w.run_until([&] { return engine.has_received("ATTACH 0\r\n"); });
        if (up)
            hello();
    }
    void hello() {  // and the first gauges, which tell that nothing was missed
        engine.latest_peer().send("HELLO LOADED 5\r\n");
        w.run_until([&] { return engine.has_received("STAT s"); });
        engine.latest_peer().take_through("STAT ");
        w.run_until([&] { return engine.has_received("\r\n"); });
        engine.latest_peer().send("STATS " + word(engine.latest_peer().take_through("\r\n"), 0) +
                                  " 0.1 0 0.1 3\r\n");
    }
    static std::string word(const std::string& line, std::size_t n) {
        std::size_t at = 0;
        for (; n > 0; --n)
            at = line.find(' ', at) + 1;
        return line.substr(at, line.find_first_of(" \r", at) - at);
    }
    static std::string id(int n) {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", n);
        return text;
    }
    std::string request(const std::string& kind, const std::string& body, const std::string& more = "") {
        return "POST /v1/" + kind + " HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: " + id(++tries) +
               "\r\nAccepted-At-Ms: " + std::to_string(wall_clock_now().count() / 1000) +
               "\r\nClient-No: 4\r\nReserve-Kb: 24.5\r\nStanding: 0.6250\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::unique_ptr<StreamPeer> caller() { return connect_peer(w, node->http_port()); }
    std::string control(const std::string& path) {  // the whole answer of the control address
        auto p = connect_peer(w, node->admin_port());
        p->send("GET " + path + " HTTP/1.1\r\nHost: n3\r\n\r\n");
        w.run_until([&] { return p->is_closed; });
        return p->received;
    }
    std::string figure(const std::string& name) {
        const std::string all = control("/v1/metrics"), at = "\n" + name + '=';
        const std::size_t from = all.find(at);
        if (from == std::string::npos)
            return "absent";
        return all.substr(from + at.size(), all.find('\n', from + at.size()) - from - at.size());
    }
    // Asks, and sees the run come to the engine. The request's id.
    std::string ask(StreamPeer& caller, const std::string& kind, const std::string& body) {
        caller.send(request(kind, body));
        const std::string name = id(tries);
        w.run_until([&] {
            return engine.has_received("RUN " + name + ' ' + kind + ' ' + std::to_string(body.size()) +
                                       "\r\n" + body + "\r\n");
        });
        return name;
    }
    void get(StreamPeer& p, const std::string& part) {
        w.run_until([&] { return p.has_received(part) || p.is_closed; });
        INFO(p.received);
        REQUIRE(p.has_received(part));
    }
};

TEST_CASE("a request runs, calls, and its result comes back byte for byte") {
    Site s;
    auto c = s.caller();
    const std::string body = binary_literal("\0\r\n\xff sheet"), result = binary_literal("\r\nDONE 9\0\xfe");
    const std::string name = s.ask(*c, "trail-sheet", body);
    const std::string call = binary_literal("que\r\nry"), reply = binary_literal("a\0\r\nb");
    s.engine.latest_peer().send("NEED 1 " + name + " 7\r\n" + call + "\r\n");
    s.w.run_until([&] {
        return s.records.has_received("OP " + name) && s.records.has_received(" 7\r\n" + call + "\r\n");
    });
    s.records.latest_peer().send("ffffffffffffffff WAIT\r\n" + name +
                                 " DO");  // another's reply, and a split one
    s.records.latest_peer().send("NE 5\r\n" + reply + "\r\n");
    s.w.run_until([&] { return s.engine.has_received("FEED " + name + " 5\r\n" + reply + "\r\n"); });
    s.engine.latest_peer().send("DONE 2 " + name + " PASS 12.5 10\r\n" + result + "\r\n");
    s.get(*c, "Content-Length: 10\r\n\r\n" + result);
    CHECK(c->received.rfind("HTTP/1.1 200 ", 0) == 0);
}

TEST_CASE("split and coalesced requests are answered one after the other, on a connection that stays open") {
    Site s;
    auto c = s.caller();
    const std::string one = s.request("route-profile", "ab"), two = s.request("route-profile", "cd");
    c->send(one.substr(0, 9));
    s.w.loop.run_once(false);
    c->send(one.substr(9) + two);
    s.w.run_until([&] { return s.engine.has_received("RUN " + Site::id(1)); });
    CHECK_FALSE(s.engine.has_received("RUN " + Site::id(2)));
    s.engine.latest_peer().send("DONE 1 " + Site::id(1) + " PASS 1 1\r\nx\r\n");
    s.w.run_until([&] { return s.engine.has_received("RUN " + Site::id(2)); });
    s.engine.latest_peer().send("DONE 2 " + Site::id(2) + " FAIL 1 0\r\n\r\n");
    s.get(*c, "HTTP/1.1 500");
    CHECK(c->has_received("HTTP/1.1 200"));
    c->take_through("HTTP/1.1 500");
    c->send("GET /healthz?probe=1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    s.get(*c, "HTTP/1.1 200 OK");
    s.w.run_until([&] { return c->is_closed; });
}

TEST_CASE("bad requests are refused for what they are, and stall nobody") {
    Site s;
    auto slow = s.caller();
    slow->send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");  // and never goes on
    const auto answer = [&](const std::string& bytes) {
        auto c = s.caller();
        c->send(bytes);
        s.get(*c, "\r\n\r\n");
        return c->received.substr(9, 3);
    };
    CHECK(answer("NONSENSE\r\n\r\n") == "400");
    CHECK(answer(s.request("no-such-class", "x")) == "404");
    CHECK(answer(s.request("trail-sheet", "x", "Standing: 7\r\n")) == "400");
    CHECK(answer("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 0\r\n\r\n") == "400");
    CHECK(answer(s.request("trail-sheet", std::string(2049, 'x')).substr(0, 260)) == "413");
    CHECK(answer("POST /v1/trail-sheet HTTP/1.1\r\nX: " + std::string(9000, 'x')) == "400");
    CHECK(answer("GET /v1/trail-sheet HTTP/1.1\r\n\r\n") == "405");
    CHECK(answer("\r\nGET /healthz HTTP/1.1\r\n\r\n") == "200");
    auto c = s.caller();
    s.ask(*c, "trail-sheet", "still here");
}

TEST_CASE("a caller that leaves is no error: its run is halted") {
    Site s;
    auto c = s.caller();
    const std::string name = s.ask(*c, "route-profile", "x");
    c->close();
    s.w.run_until([&] { return s.engine.has_received("HALT " + name + "\r\n"); });
    s.engine.latest_peer().send("DONE 1 " + name + " KILLED 3 0\r\n\r\n");
    auto other = s.caller();
    s.ask(*other, "route-profile", "y");
}

TEST_CASE("a broken engine link is taken up again after the last notice, and what it lost is said again") {
    Site s;
    auto a = s.caller(), b = s.caller();
    const std::string one = s.ask(*a, "route-profile", "x"), two = s.ask(*b, "route-profile", "y");
    s.engine.latest_peer().send("NOTE 1 hello\r\nDONE 2 " + one + " PASS 1 3\r\none\r\n");
    s.get(*a, "one");
    s.engine.latest_peer().close();
    s.w.run_until([&] { return s.engine.peers.size() == 2 && s.engine.has_received("ATTACH 2\r\n"); });
    s.engine.latest_peer().send("HELLO LOADED 9\r\nDONE 2 " + one + " FAIL 1 0\r\n\r\n");  // told before
    s.w.run_until([&] { return s.engine.has_received("STAT s"); });
    CHECK_FALSE(s.engine.has_received("RUN "));  // not before all that was missed has been told
    s.engine.latest_peer().take_through("STAT ");
    s.w.run_until([&] { return s.engine.has_received("\r\n"); });
    s.engine.latest_peer().send("STATS " + Site::word(s.engine.latest_peer().take_through("\r\n"), 0) +
                                " 0 0 0 0\r\n");
    s.w.run_until([&] { return s.engine.has_received("RUN " + two + " route-profile 1\r\ny\r\n"); });
    CHECK_FALSE(s.engine.has_received("RUN " + one));
    s.engine.latest_peer().send("DONE 3 " + two + " PASS 1 3\r\ntwo\r\n");
    s.get(*b, "two");
}

TEST_CASE("a reply that may have gone over before a break is sent again only if no notice shows it") {
    Site s;
    auto a = s.caller(), b = s.caller();
    const std::string one = s.ask(*a, "trail-sheet", "x"), two = s.ask(*b, "trail-sheet", "y");
    s.engine.latest_peer().send("NEED 1 " + one + " 1\r\np\r\nNEED 2 " + two + " 1\r\nq\r\n");
    s.w.run_until([&] { return s.records.peers.size() == 2 && s.records.has_received("q\r\n"); });
    s.records.peers[0]->send(one + " DONE 1\r\na\r\n");
    s.records.peers[1]->send(two + " DONE 1\r\nb\r\n");
    s.w.run_until(
        [&] { return s.engine.has_received("FEED " + one) && s.engine.has_received("FEED " + two); });
    s.engine.latest_peer().close();
    s.w.run_until([&] { return s.engine.peers.size() == 2 && s.engine.has_received("ATTACH 2\r\n"); });
    s.hello();
    s.engine.latest_peer().send("NEED 3 " + one + " 1\r\nr\r\n");  // the first reply was taken
    s.w.run_until([&] { return s.engine.has_received("FEED " + two + " 1\r\nb\r\n"); });
    CHECK_FALSE(s.engine.has_received("FEED " + one));
}

TEST_CASE("a write is called again after a refused connection, and never after a broken one") {
    Site s;
    auto c = s.caller();
    const std::string name = s.ask(*c, "map-order", "pay");
    const int port = s.records.port();
    s.records.listener->close();
    take_log();
    s.engine.latest_peer().send("NEED 1 " + name + " 1\r\nq\r\n");
    s.w.run_until([] { return take_log().find("records: refused") != std::string::npos; });
    s.records.listen(s.w.loop, port);
    s.w.run_until([&] { return s.records.has_received("OP " + name); });
    s.records.latest_peer().close();
    s.get(*c, "HTTP/1.1 500");
    CHECK(s.records.peers.size() == 1);
}

TEST_CASE(
    "the notice to leave: the directory hears of it, all that was read is answered, and the loop ends") {
    Site s(Duration(900'000));
    s.w.run_until([&] { return s.lookup.has_received("{\"mode\":\"open\"}"); });
    CHECK(s.lookup.latest_peer().received.rfind("PUT /dir/nodes/n3 HTTP/1.1\r\n", 0) == 0);
    s.lookup.latest_peer().send("HTTP/1.1 204 No Content\r\n\r\n");
    auto c = s.caller(), idle = s.caller();
    const std::string name = s.ask(*c, "map-order", "x");
    s.node->begin_graceful_shutdown();
    s.w.run_until([&] { return s.lookup.has_received("{\"mode\":\"closed\"}"); });
    s.get(*c, "HTTP/1.1 50");  // the engine never answers
    s.w.run_until([&] { return c->is_closed && idle->is_closed; });
    auto late = std::make_unique<StreamPeer>();
    late->stream = net::Stream::connect(s.w.loop.uv(), loopback_address(1), *late);
    s.w.run_until([&] { return late->connect_refused; });
}

TEST_CASE(
    "an engine that comes up late: checks fail until then, and the directory hears from us all the same") {
    Site s(Duration(3'000'000), false);
    const auto health = [&] {
        auto c = s.caller();
        c->send("GET /healthz HTTP/1.1\r\n\r\n");
        s.get(*c, "\r\n\r\n");
        return c->received.substr(9, 3);
    };
    CHECK(health() == "503");
    s.w.run_until([&] { return s.lookup.has_received("{\"mode\":\"open\"}"); });
    s.hello();
    CHECK(health() == "200");
}

TEST_CASE("a caller that leaves during a call: the call is given up once the engine ends the run") {
    Site s;
    auto c = s.caller();
    const std::string name = s.ask(*c, "map-order", "x");
    s.engine.latest_peer().send("NEED 1 " + name + " 1\r\nq\r\n");
    s.w.run_until([&] { return s.records.has_received("OP " + name); });
    c->close();
    s.engine.latest_peer().send("DONE 2 " + name + " KILLED 3 0\r\n\r\n");
    s.w.run_until([&] { return s.records.latest_peer().is_closed; });
}

TEST_CASE("a spoilt reply fails its own call only, and nothing more is read from its connection") {
    const std::string spoilt[] = {"% DONE",     " DONE 3000000000\r\nxx", " DONE 2\r\nabcd\r\n",
                                  " WHAT\r\n",  " DONE -1\r\n",           " DONE\r\n",
                                  " WAIT 3\r\n"};
    for (const std::string& reply : spoilt) {
        INFO(reply);
        Site s;
        auto a = s.caller(), b = s.caller();
        const std::string one = s.ask(*a, "map-order", "x"), two = s.ask(*b, "map-order", "y");
        s.engine.latest_peer().send("NEED 1 " + one + " 1\r\np\r\nNEED 2 " + two + " 1\r\nq\r\n");
        s.w.run_until([&] {
            return s.records.peers.size() == 2 && s.records.peers[0]->has_received("p\r\n") &&
                   s.records.has_received("q\r\n");
        });
        s.records.peers[0]->send(reply[0] == '%' ? std::string(2000, '%') : one + reply);
        s.get(*a, "HTTP/1.1 500");
        s.w.run_until([&] { return s.records.peers[0]->is_closed; });
        s.records.peers[1]->send(two + " DONE 1\r\nr\r\n");
        s.w.run_until([&] { return s.engine.has_received("FEED " + two + " 1\r\nr\r\n"); });
        CHECK(s.records.peers.size() == 2);  // no second call for the write
    }
}

TEST_CASE("a connection to the records service that has rested is not trusted with another call") {
    Site s;
    auto c = s.caller(), d = s.caller();
    const std::string one = s.ask(*c, "trail-sheet", "x"), two = s.ask(*d, "map-order", "y");
    s.engine.latest_peer().send("NEED 1 " + one + " 1\r\np\r\n");
    s.w.run_until([&] { return s.records.has_received("p\r\n"); });
    s.records.latest_peer().send(one + " DONE 1\r\na\r\n");
    const Timestamp from = wall_clock_now();
    s.w.run_until([&] { return s.records.latest_peer().is_closed; });
    CHECK(wall_clock_now() - from < Duration(600'000));
    s.engine.latest_peer().send("NEED 2 " + two + " 1\r\nq\r\n");
    s.w.run_until([&] { return s.records.peers.size() == 2 && s.records.has_received("q\r\n"); });
}

TEST_CASE("a second copy of a reply never passes for the reply to the next call of its run") {
    Site s;
    auto c = s.caller(), d = s.caller();
    const std::string one = s.ask(*c, "trail-sheet", "x"), two = s.ask(*d, "trail-sheet", "y");
    s.engine.latest_peer().send("NEED 1 " + one + " 1\r\np\r\n");
    s.w.run_until([&] { return s.records.has_received("p\r\n"); });
    s.records.latest_peer().send("00000000000000aa DONE 1\r\nz\r\n" + one + " DONE 1\r\na\r\n");
    s.w.run_until([&] { return s.engine.has_received("FEED " + one + " 1\r\na\r\n"); });
    s.w.run_until([&] { return s.records.latest_peer().is_closed; });  // it brought more than belongs to it
    s.engine.latest_peer().send("NEED 2 " + two + " 1\r\nq\r\n");
    s.w.run_until([&] { return s.records.peers.size() == 2 && s.records.has_received("q\r\n"); });
    s.records.latest_peer().send(two + " DONE 1\r\nb\r\n");
    s.w.run_until([&] { return s.engine.has_received("FEED " + two + " 1\r\nb\r\n"); });
    s.engine.latest_peer().send("NEED 3 " + two +
                                " 1\r\nr\r\n");  // its connection stands, and is not used for it
    s.w.run_until([&] { return s.records.peers.size() == 3 && s.records.has_received("r\r\n"); });
    s.records.peers[1]->send(two + " DONE 1\r\nb\r\n");
    s.records.latest_peer().send(two + " DONE 1\r\nc\r\n");
    s.w.run_until([&] { return s.engine.has_received("FEED " + two + " 1\r\nc\r\n"); });
}

TEST_CASE(
    "a new configuration moves all links at once; calls in flight end where they are; a bad one moves none") {
    Site s;
    TemporaryDirectory f;
    ListeningPeer engine(s.w.loop), records(s.w.loop), lookup(s.w.loop);
    const auto file = [&](const std::string& e, const std::string& listen) {
        return f.write_file(
            "c.json",
            R"({"name":"n3","seed":"7","stop_ms":3000,"settings":{"classes":[{"name":"map-order","deadline":4000}],"domain":{
            "cores":4,"memory-kb":80000}},"listen":")" +
                listen + R"(","engine":")" + e + R"(","records":")" + records.address() + R"(","lookup":")" +
                lookup.address() + "\"}");
    };
    auto c = s.caller(), d = s.caller();
    const std::string one = s.ask(*c, "map-order", "x"), two = s.ask(*d, "map-order", "y");
    s.engine.latest_peer().send("NEED 1 " + one + " 1\r\np\r\n");
    s.w.run_until([&] { return s.records.has_received("p\r\n"); });
    for (const std::string& bad : {f.write_file("b.json", "{"), file("engine:1", "127.0.0.1:0"),
                                   file(engine.address(), "127.0.0.1:1"), f.path + "/none"}) {
        take_log();
        s.node->reload(bad);
        CHECK(take_log().find("configuration: the old one stays in force: ") != std::string::npos);
    }
    s.w.loop.run_once(false);
    CHECK(engine.peers.empty());
    CHECK(lookup.peers.empty());
    const std::string good = file(engine.address(), "127.0.0.1:0");
    s.node->reload(good);
    s.node->reload(good);  // again, while the dials are open
    s.w.run_until(
        [&] { return engine.has_received("ATTACH 1\r\n") && lookup.has_received("{\"mode\":\"open\"}"); });
    s.w.run_until([&] { return s.engine.latest_peer().is_closed; });
    engine.latest_peer().send("HELLO LOADED 9\r\nNEED 2 " + two + " 1\r\nq\r\n");
    s.w.run_until([&] { return records.has_received("OP " + two); });
    s.records.latest_peer().send(one + " DONE 1\r\na\r\n");
    s.w.run_until([&] { return s.records.latest_peer().is_closed && engine.has_received("STAT s"); });
    engine.latest_peer().take_through("STAT ");
    s.w.run_until([&] { return engine.has_received("\r\n"); });
    engine.latest_peer().send("STATS " + Site::word(engine.latest_peer().take_through("\r\n"), 0) +
                              " 0 0 0 0\r\n");
    s.w.run_until([&] { return engine.has_received("FEED " + one + " 1\r\na\r\n"); });
    CHECK(engine.peers.size() == 1);
    CHECK(s.records.peers.size() == 1);
}

TEST_CASE("a directory that fails, hangs up or says nothing hears again within a second") {
    Site s;
    const std::string report = "{\"mode\":\"open\"}";
    const Timestamp from = wall_clock_now();
    s.w.run_until([&] { return s.lookup.has_received(report); });
    s.lookup.latest_peer().take_through(report);
    s.lookup.latest_peer().send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
    s.w.run_until([&] { return s.lookup.has_received(report); });
    s.lookup.latest_peer().close();
    s.w.run_until(
        [&] { return s.lookup.peers.size() == 2 && s.lookup.has_received(report); });  // and gets no answer
    s.w.run_until([&] { return s.lookup.peers.size() == 3 && s.lookup.has_received(report); });
    CHECK(wall_clock_now() - from < Duration(3'000'000));
}

TEST_CASE("a full table lets go who rested longest, and keeps those with a request in hand") {
    Site s;
    std::vector<std::unique_ptr<StreamPeer>> all;
    for (int i = 0; i < 12; ++i) {
        all.push_back(s.caller());
        if (i == 0) {
            s.ask(*all[0], "trail-sheet", "in hand");
            continue;
        }
        all.back()->send("GET /healthz HTTP/1.1\r\n\r\n");
        s.get(*all.back(), "200 OK");
    }
    all[1]->take_through("200 OK");
    all[1]->send("GET /healthz HTTP/1.1\r\n\r\n");  // from here on number 2 has rested longest
    s.get(*all[1], "200 OK");
    auto late = s.caller();
    late->send("GET /healthz HTTP/1.1\r\n\r\n");
    s.get(*late, "200 OK");
    s.w.run_until([&] { return all[2]->is_closed; });
    for (const int open : {0, 1, 3, 11})
        CHECK_FALSE(all[static_cast<std::size_t>(open)]->is_closed);
    // Silent ones by the dozen: they go before the callers that rest, once a usual caller would have asked.
    std::vector<std::unique_ptr<StreamPeer>> silent;
    for (int i = 0; i < 9; ++i)
        silent.push_back(s.caller());
    bool waited = false;
    s.w.timers.schedule(wall_clock_now() + Duration(400'000), [&] { waited = true; });
    s.w.run_until([&] { return waited; });
    auto usual = s.caller();
    usual->send("GET /healthz HTTP/1.1\r\n\r\n");
    s.get(*usual, "200 OK");
    s.w.run_until([&] { return silent[0]->is_closed; });
    CHECK_FALSE(all[0]->is_closed);
}

TEST_CASE("who says nothing, or never ends a request, is answered or let go within three seconds") {
    Site s;
    auto silent = s.caller(), half = s.caller(), endless = s.caller(), lines = s.caller(), kept = s.caller();
    const Timestamp from = wall_clock_now();
    half->send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");
    endless->send("POST /v1/trail-sheet HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
                  std::string(40'000, 'x'));
    lines->send(std::string(40'000, '\n'));
    kept->send("GET /healthz HTTP/1.1\r\n\r\n");
    s.get(*endless, "HTTP/1.1 400");
    s.get(*lines, "HTTP/1.1 400");
    s.get(*half, "HTTP/1.1 408");
    s.w.run_until([&] { return silent->is_closed; });
    CHECK(silent->received.empty());
    CHECK(wall_clock_now() - from < Duration(3'000'000));
    CHECK_FALSE(kept->is_closed);
    auto large = s.caller();
    large->send("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    s.get(*large, "HTTP/1.1 413");
    const std::string part(200'000, 'x');
    while (!large->is_closed && wall_clock_now() - from < Duration(6'000'000)) {  // it goes on all the same
        if (large->stream != nullptr)
            large->stream->write(part);
        s.w.loop.run_once(false);
    }
    CHECK(large->is_closed);
    CHECK(wall_clock_now() - from < Duration(6'000'000));
}

TEST_CASE("a body whose end is in doubt is refused with all that follows, and nothing in it runs") {
    Site s;
    const std::string inner = s.request("trail-sheet", "hidden");
    const std::string head =
        "POST /v1/trail-sheet HTTP/1.1\r\nTrace-Id: 00000000000000ee\r\nAccepted-At-Ms: " +
        std::to_string(wall_clock_now().count() / 1000) + "\r\nReserve-Kb: 4\r\n";
    const std::string ends[] = {
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
        "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5, 5\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Connection: Upgrade\r\nUpgrade: maps\r\n",
    };
    for (const std::string& end : ends) {
        INFO(end);
        auto c = s.caller();
        c->send(head + end + "\r\n0\r\n\r\n" + inner);
        s.w.run_until([&] { return c->is_closed; });
        CHECK(c->received.rfind("HTTP/1.1 400", 0) == 0);
        CHECK(c->received.find("HTTP/1.1", 1) == std::string::npos);
    }
    for (const std::string field :
         {"Standing:", "Standing: 1", "Expected-Ms: nan", "Client-No: -1", "Lookup-Key: 7"}) {
        INFO(field);
        auto c = s.caller();
        c->send(s.request("trail-sheet", "x", field + "\r\n"));
        s.get(*c, "HTTP/1.1 400");
    }
    CHECK_FALSE(s.engine.has_received("RUN "));
}

TEST_CASE("the id of a request that is open is refused to another, and the first is served") {
    Site s;
    auto c = s.caller(), thief = s.caller();
    const std::string name = s.ask(*c, "trail-sheet", "mine");
    --s.tries;
    thief->send(s.request("trail-sheet", "other"));
    s.get(*thief, "HTTP/1.1 400");
    s.engine.latest_peer().send("DONE 1 " + name + " PASS 1 1\r\nx\r\n");
    s.get(*c, "HTTP/1.1 200");
    auto unknown = s.caller();  // an id that the engine does not know
    const std::string lost = s.ask(*unknown, "trail-sheet", "x");
    s.engine.latest_peer().send("NO RUN " + lost + "\r\n");
    s.get(*unknown, "HTTP/1.1 500");
}

}  // namespace

TEST_CASE("the control address counts a scripted load as the callers saw it, and says when it can serve") {
    Site s(Duration(3'000'000), false, true);
    CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 503 ", 0) == 0);  // no hello from the engine yet
    auto early = s.caller();
    early->send(s.request("trail-sheet", "too soon"));
    s.get(*early, "HTTP/1.1 503");
    s.hello();
    CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 200 OK", 0) == 0);
    auto c = s.caller();
    const std::string one = s.ask(*c, "trail-sheet", "a");
    CHECK(s.figure("node.active") == "1");
    CHECK(s.figure("node.responses.trail-sheet.tries") == "1");
    s.engine.latest_peer().send("DONE 1 " + one + " PASS 1 1\r\nx\r\n");
    s.get(*c, "HTTP/1.1 200");
    c->take_through("\r\n\r\nx");
    const std::string two = s.ask(*c, "trail-sheet", "b");
    s.engine.latest_peer().send("DONE 2 " + two + " FAIL 1 0\r\n\r\n");
    s.get(*c, "HTTP/1.1 500");
    c->take_through("HTTP/1.1 500");
    const std::string three = s.ask(*c, "route-profile", "c");
    s.engine.latest_peer().send("DONE 3 " + three + " PASS 1 1\r\ny\r\n");
    s.get(*c, "\r\n\r\ny");
    CHECK(s.figure("node.responses.trail-sheet.ok") == "1");
    CHECK(s.figure("node.responses.trail-sheet.errors") == "1");
    CHECK(s.figure("node.responses.trail-sheet.shed") == "1");
    CHECK(s.figure("node.responses.trail-sheet.tries") == "2");
    CHECK(s.figure("node.responses.route-profile.ok") == "1");
    CHECK(s.figure("node.responses.map-order.ok") == "0");
    CHECK(s.figure("node.active") == "0");
    CHECK(s.figure("node.config_applied") == "0");
    s.node->begin_graceful_shutdown();
    CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 503 ", 0) == 0);
}

TEST_CASE("the control address answers within a second while every caller's connection is taken") {
    Site s(Duration(3'000'000), true, true);
    std::vector<std::unique_ptr<StreamPeer>> callers;
    for (int n = 0; n < 80; ++n) {  // more than the table holds, each with a request that the engine holds
        callers.push_back(s.caller());
        if (callers.back()->is_open)
            callers.back()->send(s.request("trail-sheet", "held"));
    }
    s.w.run_until([&] { return s.figure("node.active") != "0"; });
    for (int n = 0; n < 5; ++n) {
        const Timestamp from = wall_clock_now();
        CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 200 OK", 0) == 0);
        CHECK(wall_clock_now() - from < Duration(1'000'000));
    }
}

TEST_CASE(
    "idle clients fill the descriptors while the directory is down: all other links are still made, and "
    "reports resume") {
    Site s(Duration(3'000'000), true, true);
    s.w.run_until([&] { return s.lookup.has_received("PUT /dir/nodes/n3"); });
    const int directory = s.lookup.port();
    s.lookup.listener->close();
    s.lookup.peers.clear();  // the connection breaks, and nobody takes another
    std::vector<std::unique_ptr<RawClient>> idle;
    for (int n = 0; n < 120; ++n) {  // twice what the process may hold; a third of them with half a line
        idle.push_back(std::make_unique<RawClient>(s.node->http_port()));
        if (n % 3 == 0)
            idle.back()->try_send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");
    }
    for (int i = 0; i < 50; ++i)
        s.w.loop.run_once(false);
    // The engine: its link breaks, and is made anew.
    const std::size_t links = s.engine.peers.size();
    s.engine.latest_peer().close();
    s.w.run_until(
        [&] { return s.engine.peers.size() > links && s.engine.latest_peer().has_received("ATTACH "); });
    s.hello();
    // A caller, and the records service: the call has a connection of its own.
    auto caller = s.caller();
    const std::string name = s.ask(*caller, "trail-sheet", "x");
    s.engine.latest_peer().send("NEED 1 " + name + " 1\r\nq\r\n");
    s.w.run_until([&] { return s.records.has_received("OP " + name); });
    s.records.latest_peer().send(name + " DONE 1\r\nr\r\n");
    s.w.run_until([&] { return s.engine.has_received("FEED " + name + " 1\r\nr\r\n"); });
    s.engine.latest_peer().send("DONE 2 " + name + " PASS 1 3\r\nmap\r\n");
    s.get(*caller, "\r\n\r\nmap");
    // The control address; then the directory is back, and hears at once again.
    CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 200 OK", 0) == 0);
    s.lookup.listen(s.w.loop, directory);
    s.w.run_until(
        [&] { return s.lookup.has_received("PUT /dir/nodes/n3") && s.lookup.has_received("\"open\""); });
}

TEST_CASE(
    "a retune takes new classes for new requests, open ones keep theirs, and a bad file changes nothing") {
    Site s(Duration(3'000'000), true, true);
    TemporaryDirectory f;
    const auto file = [&](const std::string& name, const std::string& classes) {
        return f.write_file(
            name, R"({"name":"n3","seed":"7","stop_ms":3000,"listen":"127.0.0.1:0","engine":")" +
                      s.engine.address() + R"(","records":")" + s.records.address() + R"(","lookup":")" +
                      s.lookup.address() + R"(","settings":{"classes":[)" + classes +
                      R"(],"domain":{"cores":4,"memory-kb":80000}}})");
    };
    auto c = s.caller(), d = s.caller();
    const std::string open = s.ask(*c, "map-order", "before");  // runs across the retune
    const std::string retuned =
        file("a.json", R"({"name":"map-order","effect":"single_shot","deadline":12000},
        {"name":"trail-sheet-ii","effect":"free","deadline":4000,"importance":3})");
    s.node->reload(retuned);
    CHECK(s.node->generation_count() == 2);
    CHECK(s.figure("node.config_applied") == "1");
    const std::string fresh = s.ask(*d, "trail-sheet-ii", "new");  // RUN names the new class
    s.engine.latest_peer().send("DONE 1 " + fresh + " PASS 1 1\r\nn\r\n");
    s.get(*d, "\r\n\r\nn");
    d->take_through("\r\n\r\nn");
    s.engine.latest_peer().send("DONE 2 " + open + " PASS 1 1\r\no\r\n");  // its old generation answers it
    s.get(*c, "\r\n\r\no");
    s.w.run_until(
        [&] { return s.node->generation_count() == 1; });  // the old one goes once nothing is open there
    CHECK(s.figure("node.responses.trail-sheet-ii.ok") == "1");
    CHECK(s.figure("node.responses.map-order.ok") == "1");

    // Dropped: a class of the old file only is unknown now.
    d->send(s.request("route-profile", "gone"));
    s.get(*d, "HTTP/1.1 404");
    d->take_through("HTTP/1.1 404");

    for (const std::string& bad :
         {file("b.json", R"({"name":"x","deadline":0})"), file("c.json", R"({"name":"x","deadline":"soon"})"),
          file("d.json", R"({"name":"x"})"), f.write_file("e.json", ""),
          f.write_file("g.json", "{\"name\":\"n3\",\"se")}) {
        take_log();
        s.node->reload(bad);
        CHECK(take_log().find("configuration: the old one stays in force: ") != std::string::npos);
    }
    CHECK(s.figure("node.config_rejected") == "5");
    CHECK(s.figure("node.config_applied") == "1");
    CHECK(s.node->generation_count() == 1);
    auto e = s.caller();
    const std::string still = s.ask(*e, "trail-sheet-ii", "still");  // the last good one is in force
    s.engine.latest_peer().send("DONE 3 " + still + " PASS 1 1\r\ns\r\n");
    s.get(*e, "\r\n\r\ns");
}

TEST_CASE("a new version takes over the shared listening socket: nothing read is lost or answered twice") {
    const int platform = ::socket(AF_INET, SOCK_STREAM, 0);
    const net::Address any = loopback_address(0);
    REQUIRE(::bind(platform, reinterpret_cast<const sockaddr*>(&any.raw), sizeof(sockaddr_in)) == 0);
    REQUIRE(::listen(platform, 128) == 0);
    Site old(Duration(3'000'000), true, true, ::dup(platform));
    const int port = old.node->http_port();
    const auto answers = [](const StreamPeer& p) {
        std::size_t n = 0;
        for (std::size_t at = p.received.find("HTTP/1.1 "); at != std::string::npos;
             at = p.received.find("HTTP/1.1 ", at + 1))
            ++n;
        return n;
    };
    std::vector<std::unique_ptr<StreamPeer>> before;
    std::vector<std::string> names;
    for (int n = 0; n < 6; ++n) {
        before.push_back(old.caller());
        names.push_back(old.ask(*before.back(), "route-profile", "b" + std::to_string(n)));
    }

    // The new process on the same socket, with links of its own.
    ListeningPeer engine(old.w.loop), records(old.w.loop), lookup(old.w.loop);
    config::NodeConfig c = Site::configuration(engine, records, lookup);
    c.max_descriptors = 64;
    c.admin_address = "127.0.0.1:0";
    c.inherited_listener_fd = ::dup(platform);
    platform::PlatformNode next(old.w.loop, old.w.timers, c);
    next.start();
    old.w.run_until([&] { return engine.has_received("ATTACH 0\r\n"); });
    engine.latest_peer().send("HELLO LOADED 5\r\n");
    old.w.run_until([&] { return engine.has_received("STAT s"); });
    engine.latest_peer().take_through("STAT ");
    old.w.run_until([&] { return engine.has_received("\r\n"); });
    engine.latest_peer().send("STATS " + Site::word(engine.latest_peer().take_through("\r\n"), 0) +
                              " 0.1 0 0.1 3\r\n");
    old.w.run_until([&] { return next.is_ready(); });

    // A caller whose connection is in the backlog, unaccepted, at the notice to leave.
    const int waiting = ::socket(AF_INET, SOCK_STREAM, 0);
    const net::Address there = loopback_address(port);
    REQUIRE(::connect(waiting, reinterpret_cast<const sockaddr*>(&there.raw), sizeof(sockaddr_in)) == 0);
    const std::string asked = old.request("route-profile", "queued");
    REQUIRE(::write(waiting, asked.data(), asked.size()) == static_cast<ssize_t>(asked.size()));
    old.node->begin_graceful_shutdown();
    CHECK_FALSE(old.node->is_ready());
    const std::string queued = Site::id(old.tries);
    old.w.run_until([&] { return engine.has_received("RUN " + queued); });  // the new process took it up
    CHECK_FALSE(old.engine.has_received("RUN " + queued));

    // What the old one read, it answers, each once, and closes.
    for (std::size_t n = 0; n < names.size(); ++n)
        old.engine.latest_peer().send("DONE " + std::to_string(n + 1) + ' ' + names[n] +
                                      " PASS 1 1\r\nx\r\n");
    for (auto& p : before) {
        old.w.run_until([&] { return p->is_closed; });
        CHECK(answers(*p) == 1);
        CHECK(p->has_received("Connection: close\r\n"));
    }
    // New callers come to the new process only.
    std::vector<std::unique_ptr<StreamPeer>> after;
    for (int n = 0; n < 6; ++n) {
        after.push_back(connect_peer(old.w, port));
        after.back()->send(old.request("route-profile", "a" + std::to_string(n)));
        const std::string name = Site::id(old.tries);
        old.w.run_until([&] { return engine.has_received("RUN " + name); });
        engine.latest_peer().send("DONE " + std::to_string(n + 2) + ' ' + name + " PASS 1 1\r\ny\r\n");
        old.w.run_until([&] { return after.back()->has_received("\r\n\r\ny"); });
        CHECK(answers(*after.back()) == 1);
        CHECK_FALSE(old.engine.has_received("RUN " + name));
    }
    engine.latest_peer().send("DONE 8 " + queued + " PASS 1 1\r\nq\r\n");
    std::string got;
    char buffer[4096];
    const Timestamp end = wall_clock_now() + Duration(5'000'000);
    while (got.find("\r\n\r\nq") == std::string::npos && wall_clock_now() < end) {
        old.w.loop.run_once(false);
        const ssize_t n = ::recv(waiting, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0)
            got.append(buffer, static_cast<std::size_t>(n));
        if (n == 0)
            break;
    }
    CHECK(got.rfind("HTTP/1.1 200", 0) == 0);
    ::close(waiting);
    ::close(platform);
}
