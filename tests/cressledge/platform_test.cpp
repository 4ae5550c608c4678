// Stories of one server on the platform: callers, engine, records service and directory are scripted peers.
#include <sys/socket.h>
#include <unistd.h>

#include "platform/node.hpp"
#include "hall.hpp"

namespace {

using namespace story;

struct Site {
    World w;
    Standing engine{w.loop}, records{w.loop}, lookup{w.loop};
    std::unique_ptr<platform::Node> node;
    int tries = 0;

    // A node's configuration with these peers.
    static config::Node configuration(const Standing& engine, const Standing& records, const Standing& lookup) {
        config::Node c;
        c.name = "n3";
        c.listen = "127.0.0.1:0";
        c.engine = engine.address();
        c.records = records.address();
        c.lookup = lookup.address();
        c.settings = settings();
        return c;
    }
    explicit Site(Span stop = Span(3'000'000), bool up = true, bool control = false, int inherited = -1) {
        curlewreel::Settings s = settings();
        config::Node c = configuration(engine, records, lookup);
        c.stop = stop;
        c.sockets = 21;  // twelve connections
        if (control) {  // and 33 descriptors more for the control address
            c.control = "127.0.0.1:0";
            c.sockets = 64;
        }
        c.gauges = {"cpu_busy", "runnable", "mem_used", "sockets"};
        c.inherited = inherited;
        s.classes[0].calls = s.classes[2].calls = true;
        s.below = curlewreel::Below::shared;
        s.calls_share = 5.0;
        c.settings = std::move(s);
        node = std::make_unique<platform::Node>(w.loop, w.deadlines, c);
        node->start();
        w.until([&] { return engine.has("ATTACH 0\r\n"); });
        if (up) hello();
    }
    void hello() {  // and the first gauges, which tell that nothing was missed
        engine.last().send("HELLO LOADED 5\r\n");
        w.until([&] { return engine.has("STAT s"); });
        engine.last().take("STAT ");
        w.until([&] { return engine.has("\r\n"); });
        engine.last().send("STATS " + word(engine.last().take("\r\n"), 0) + " 0.1 0 0.1 3\r\n");
    }
    static std::string word(const std::string& line, std::size_t n) {
        std::size_t at = 0;
        for (; n > 0; --n) at = line.find(' ', at) + 1;
        return line.substr(at, line.find_first_of(" \r", at) - at);
    }
    static std::string id(int n) {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", n);
        return text;
    }
    std::string request(const std::string& kind, const std::string& body, const std::string& more = "") {
        return "POST /v1/" + kind + " HTTP/1.1\r\nHost: app.svc\r\nTrace-Id: " + id(++tries) +
               "\r\nAccepted-At-Ms: " + std::to_string(wall().count() / 1000) +
               "\r\nClient-No: 4\r\nReserve-Kb: 24.5\r\nStanding: 0.6250\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::unique_ptr<Peer> caller() { return dial(w, node->port()); }
    std::string control(const std::string& path) {  // the whole answer of the control address
        auto p = dial(w, node->control_port());
        p->send("GET " + path + " HTTP/1.1\r\nHost: n3\r\n\r\n");
        w.until([&] { return p->ended; });
        return p->got;
    }
    std::string figure(const std::string& name) {
        const std::string all = control("/v1/metrics"), at = "\n" + name + '=';
        const std::size_t from = all.find(at);
        if (from == std::string::npos) return "absent";
        return all.substr(from + at.size(), all.find('\n', from + at.size()) - from - at.size());
    }
    // Asks, and sees the run come to the engine. The request's id.
    std::string ask(Peer& caller, const std::string& kind, const std::string& body) {
        caller.send(request(kind, body));
        const std::string name = id(tries);
        w.until([&] {
            return engine.has("RUN " + name + ' ' + kind + ' ' + std::to_string(body.size()) + "\r\n" + body +
                              "\r\n");
        });
        return name;
    }
    void get(Peer& p, const std::string& part) {
        w.until([&] { return p.has(part) || p.ended; });
        INFO(p.got);
        REQUIRE(p.has(part));
    }
};

TEST_CASE("a request runs, calls, and its result comes back byte for byte") {
    Site s;
    auto c = s.caller();
    const std::string body = bytes("\0\r\n\xff sheet"), result = bytes("\r\nDONE 9\0\xfe");
    const std::string name = s.ask(*c, "trail-sheet", body);
    const std::string call = bytes("que\r\nry"), reply = bytes("a\0\r\nb");
    s.engine.last().send("NEED 1 " + name + " 7\r\n" + call + "\r\n");
    s.w.until([&] { return s.records.has("OP " + name) && s.records.has(" 7\r\n" + call + "\r\n"); });
    s.records.last().send("ffffffffffffffff WAIT\r\n" + name + " DO");  // another's reply, and a split one
    s.records.last().send("NE 5\r\n" + reply + "\r\n");
    s.w.until([&] { return s.engine.has("FEED " + name + " 5\r\n" + reply + "\r\n"); });
    s.engine.last().send("DONE 2 " + name + " PASS 12.5 10\r\n" + result + "\r\n");
    s.get(*c, "Content-Length: 10\r\n\r\n" + result);
    CHECK(c->got.rfind("HTTP/1.1 200 ", 0) == 0);
}

TEST_CASE("split and coalesced requests are answered one after the other, on a connection that stays open") {
    Site s;
    auto c = s.caller();
    const std::string one = s.request("route-profile", "ab"), two = s.request("route-profile", "cd");
    c->send(one.substr(0, 9));
    s.w.loop.turn(false);
    c->send(one.substr(9) + two);
    s.w.until([&] { return s.engine.has("RUN " + Site::id(1)); });
    CHECK_FALSE(s.engine.has("RUN " + Site::id(2)));
    s.engine.last().send("DONE 1 " + Site::id(1) + " PASS 1 1\r\nx\r\n");
    s.w.until([&] { return s.engine.has("RUN " + Site::id(2)); });
    s.engine.last().send("DONE 2 " + Site::id(2) + " FAIL 1 0\r\n\r\n");
    s.get(*c, "HTTP/1.1 500");
    CHECK(c->has("HTTP/1.1 200"));
    c->take("HTTP/1.1 500");
    c->send("GET /healthz?probe=1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    s.get(*c, "HTTP/1.1 200 OK");
    s.w.until([&] { return c->ended; });
}

TEST_CASE("bad requests are refused for what they are, and stall nobody") {
    Site s;
    auto slow = s.caller();
    slow->send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");  // and never goes on
    const auto answer = [&](const std::string& bytes) {
        auto c = s.caller();
        c->send(bytes);
        s.get(*c, "\r\n\r\n");
        return c->got.substr(9, 3);
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
    s.w.until([&] { return s.engine.has("HALT " + name + "\r\n"); });
    s.engine.last().send("DONE 1 " + name + " KILLED 3 0\r\n\r\n");
    auto other = s.caller();
    s.ask(*other, "route-profile", "y");
}

TEST_CASE("a broken engine link is taken up again after the last notice, and what it lost is said again") {
    Site s;
    auto a = s.caller(), b = s.caller();
    const std::string one = s.ask(*a, "route-profile", "x"), two = s.ask(*b, "route-profile", "y");
    s.engine.last().send("NOTE 1 hello\r\nDONE 2 " + one + " PASS 1 3\r\none\r\n");
    s.get(*a, "one");
    s.engine.last().close();
    s.w.until([&] { return s.engine.peers.size() == 2 && s.engine.has("ATTACH 2\r\n"); });
    s.engine.last().send("HELLO LOADED 9\r\nDONE 2 " + one + " FAIL 1 0\r\n\r\n");  // told before
    s.w.until([&] { return s.engine.has("STAT s"); });
    CHECK_FALSE(s.engine.has("RUN "));  // not before all that was missed has been told
    s.engine.last().take("STAT ");
    s.w.until([&] { return s.engine.has("\r\n"); });
    s.engine.last().send("STATS " + Site::word(s.engine.last().take("\r\n"), 0) + " 0 0 0 0\r\n");
    s.w.until([&] { return s.engine.has("RUN " + two + " route-profile 1\r\ny\r\n"); });
    CHECK_FALSE(s.engine.has("RUN " + one));
    s.engine.last().send("DONE 3 " + two + " PASS 1 3\r\ntwo\r\n");
    s.get(*b, "two");
}

TEST_CASE("a reply that may have gone over before a break is sent again only if no notice shows it") {
    Site s;
    auto a = s.caller(), b = s.caller();
    const std::string one = s.ask(*a, "trail-sheet", "x"), two = s.ask(*b, "trail-sheet", "y");
    s.engine.last().send("NEED 1 " + one + " 1\r\np\r\nNEED 2 " + two + " 1\r\nq\r\n");
    s.w.until([&] { return s.records.peers.size() == 2 && s.records.has("q\r\n"); });
    s.records.peers[0]->send(one + " DONE 1\r\na\r\n");
    s.records.peers[1]->send(two + " DONE 1\r\nb\r\n");
    s.w.until([&] { return s.engine.has("FEED " + one) && s.engine.has("FEED " + two); });
    s.engine.last().close();
    s.w.until([&] { return s.engine.peers.size() == 2 && s.engine.has("ATTACH 2\r\n"); });
    s.hello();
    s.engine.last().send("NEED 3 " + one + " 1\r\nr\r\n");  // the first reply was taken
    s.w.until([&] { return s.engine.has("FEED " + two + " 1\r\nb\r\n"); });
    CHECK_FALSE(s.engine.has("FEED " + one));
}

TEST_CASE("a write is called again after a refused connection, and never after a broken one") {
    Site s;
    auto c = s.caller();
    const std::string name = s.ask(*c, "map-order", "pay");
    const int port = s.records.port();
    s.records.listener->close();
    logged();
    s.engine.last().send("NEED 1 " + name + " 1\r\nq\r\n");
    s.w.until([] { return logged().find("records: refused") != std::string::npos; });
    s.records.listen(s.w.loop, port);
    s.w.until([&] { return s.records.has("OP " + name); });
    s.records.last().close();
    s.get(*c, "HTTP/1.1 500");
    CHECK(s.records.peers.size() == 1);
}

TEST_CASE(
    "the notice to leave: the directory hears of it, all that was read is answered, and the loop ends") {
    Site s(Span(900'000));
    s.w.until([&] { return s.lookup.has("{\"mode\":\"open\"}"); });
    CHECK(s.lookup.last().got.rfind("PUT /dir/nodes/n3 HTTP/1.1\r\n", 0) == 0);
    s.lookup.last().send("HTTP/1.1 204 No Content\r\n\r\n");
    auto c = s.caller(), idle = s.caller();
    const std::string name = s.ask(*c, "map-order", "x");
    s.node->leave();
    s.w.until([&] { return s.lookup.has("{\"mode\":\"closed\"}"); });
    s.get(*c, "HTTP/1.1 50");  // the engine never answers
    s.w.until([&] { return c->ended && idle->ended; });
    auto late = std::make_unique<Peer>();
    late->stream = net::Stream::dial(s.w.loop.uv(), at(1), *late);
    s.w.until([&] { return late->refused; });
}

TEST_CASE(
    "an engine that comes up late: checks fail until then, and the directory hears from us all the same") {
    Site s(Span(3'000'000), false);
    const auto health = [&] {
        auto c = s.caller();
        c->send("GET /healthz HTTP/1.1\r\n\r\n");
        s.get(*c, "\r\n\r\n");
        return c->got.substr(9, 3);
    };
    CHECK(health() == "503");
    s.w.until([&] { return s.lookup.has("{\"mode\":\"open\"}"); });
    s.hello();
    CHECK(health() == "200");
}

TEST_CASE("a caller that leaves during a call: the call is given up once the engine ends the run") {
    Site s;
    auto c = s.caller();
    const std::string name = s.ask(*c, "map-order", "x");
    s.engine.last().send("NEED 1 " + name + " 1\r\nq\r\n");
    s.w.until([&] { return s.records.has("OP " + name); });
    c->close();
    s.engine.last().send("DONE 2 " + name + " KILLED 3 0\r\n\r\n");
    s.w.until([&] { return s.records.last().ended; });
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
        s.engine.last().send("NEED 1 " + one + " 1\r\np\r\nNEED 2 " + two + " 1\r\nq\r\n");
        s.w.until([&] {
            return s.records.peers.size() == 2 && s.records.peers[0]->has("p\r\n") && s.records.has("q\r\n");
        });
        s.records.peers[0]->send(reply[0] == '%' ? std::string(2000, '%') : one + reply);
        s.get(*a, "HTTP/1.1 500");
        s.w.until([&] { return s.records.peers[0]->ended; });
        s.records.peers[1]->send(two + " DONE 1\r\nr\r\n");
        s.w.until([&] { return s.engine.has("FEED " + two + " 1\r\nr\r\n"); });
        CHECK(s.records.peers.size() == 2);  // no second call for the write
    }
}

TEST_CASE("a connection to the records service that has rested is not trusted with another call") {
    Site s;
    auto c = s.caller(), d = s.caller();
    const std::string one = s.ask(*c, "trail-sheet", "x"), two = s.ask(*d, "map-order", "y");
    s.engine.last().send("NEED 1 " + one + " 1\r\np\r\n");
    s.w.until([&] { return s.records.has("p\r\n"); });
    s.records.last().send(one + " DONE 1\r\na\r\n");
    const Time from = wall();
    s.w.until([&] { return s.records.last().ended; });
    CHECK(wall() - from < Span(600'000));
    s.engine.last().send("NEED 2 " + two + " 1\r\nq\r\n");
    s.w.until([&] { return s.records.peers.size() == 2 && s.records.has("q\r\n"); });
}

TEST_CASE("a second copy of a reply never passes for the reply to the next call of its run") {
    Site s;
    auto c = s.caller(), d = s.caller();
    const std::string one = s.ask(*c, "trail-sheet", "x"), two = s.ask(*d, "trail-sheet", "y");
    s.engine.last().send("NEED 1 " + one + " 1\r\np\r\n");
    s.w.until([&] { return s.records.has("p\r\n"); });
    s.records.last().send("00000000000000aa DONE 1\r\nz\r\n" + one + " DONE 1\r\na\r\n");
    s.w.until([&] { return s.engine.has("FEED " + one + " 1\r\na\r\n"); });
    s.w.until([&] { return s.records.last().ended; });  // it brought more than belongs to it
    s.engine.last().send("NEED 2 " + two + " 1\r\nq\r\n");
    s.w.until([&] { return s.records.peers.size() == 2 && s.records.has("q\r\n"); });
    s.records.last().send(two + " DONE 1\r\nb\r\n");
    s.w.until([&] { return s.engine.has("FEED " + two + " 1\r\nb\r\n"); });
    s.engine.last().send("NEED 3 " + two + " 1\r\nr\r\n");  // its connection stands, and is not used for it
    s.w.until([&] { return s.records.peers.size() == 3 && s.records.has("r\r\n"); });
    s.records.peers[1]->send(two + " DONE 1\r\nb\r\n");
    s.records.last().send(two + " DONE 1\r\nc\r\n");
    s.w.until([&] { return s.engine.has("FEED " + two + " 1\r\nc\r\n"); });
}

TEST_CASE(
    "a new configuration moves all links at once; calls in flight end where they are; a bad one moves none") {
    Site s;
    Folder f;
    Standing engine(s.w.loop), records(s.w.loop), lookup(s.w.loop);
    const auto file = [&](const std::string& e, const std::string& listen) {
        return f.write("c.json", R"({"name":"n3","seed":"7","stop_ms":3000,"settings":{"classes":[{"name":"map-order","deadline":4000}],"domain":{
            "cores":4,"memory-kb":80000}},"listen":")" +
                                     listen + R"(","engine":")" + e + R"(","records":")" + records.address() +
                                     R"(","lookup":")" + lookup.address() + "\"}");
    };
    auto c = s.caller(), d = s.caller();
    const std::string one = s.ask(*c, "map-order", "x"), two = s.ask(*d, "map-order", "y");
    s.engine.last().send("NEED 1 " + one + " 1\r\np\r\n");
    s.w.until([&] { return s.records.has("p\r\n"); });
    for (const std::string& bad : {f.write("b.json", "{"), file("engine:1", "127.0.0.1:0"),
                                   file(engine.address(), "127.0.0.1:1"), f.path + "/none"}) {
        logged();
        s.node->reload(bad);
        CHECK(logged().find("configuration: the old one stays in force: ") != std::string::npos);
    }
    s.w.loop.turn(false);
    CHECK(engine.peers.empty());
    CHECK(lookup.peers.empty());
    const std::string good = file(engine.address(), "127.0.0.1:0");
    s.node->reload(good);
    s.node->reload(good);  // again, while the dials are open
    s.w.until([&] { return engine.has("ATTACH 1\r\n") && lookup.has("{\"mode\":\"open\"}"); });
    s.w.until([&] { return s.engine.last().ended; });
    engine.last().send("HELLO LOADED 9\r\nNEED 2 " + two + " 1\r\nq\r\n");
    s.w.until([&] { return records.has("OP " + two); });
    s.records.last().send(one + " DONE 1\r\na\r\n");
    s.w.until([&] { return s.records.last().ended && engine.has("STAT s"); });
    engine.last().take("STAT ");
    s.w.until([&] { return engine.has("\r\n"); });
    engine.last().send("STATS " + Site::word(engine.last().take("\r\n"), 0) + " 0 0 0 0\r\n");
    s.w.until([&] { return engine.has("FEED " + one + " 1\r\na\r\n"); });
    CHECK(engine.peers.size() == 1);
    CHECK(s.records.peers.size() == 1);
}

TEST_CASE("a directory that fails, hangs up or says nothing hears again within a second") {
    Site s;
    const std::string report = "{\"mode\":\"open\"}";
    const Time from = wall();
    s.w.until([&] { return s.lookup.has(report); });
    s.lookup.last().take(report);
    s.lookup.last().send("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
    s.w.until([&] { return s.lookup.has(report); });
    s.lookup.last().close();
    s.w.until([&] { return s.lookup.peers.size() == 2 && s.lookup.has(report); });  // and gets no answer
    s.w.until([&] { return s.lookup.peers.size() == 3 && s.lookup.has(report); });
    CHECK(wall() - from < Span(3'000'000));
}

TEST_CASE("a full table lets go who rested longest, and keeps those with a request in hand") {
    Site s;
    std::vector<std::unique_ptr<Peer>> all;
    for (int i = 0; i < 12; ++i) {
        all.push_back(s.caller());
        if (i == 0) {
            s.ask(*all[0], "trail-sheet", "in hand");
            continue;
        }
        all.back()->send("GET /healthz HTTP/1.1\r\n\r\n");
        s.get(*all.back(), "200 OK");
    }
    all[1]->take("200 OK");
    all[1]->send("GET /healthz HTTP/1.1\r\n\r\n");  // from here on number 2 has rested longest
    s.get(*all[1], "200 OK");
    auto late = s.caller();
    late->send("GET /healthz HTTP/1.1\r\n\r\n");
    s.get(*late, "200 OK");
    s.w.until([&] { return all[2]->ended; });
    for (const int open : {0, 1, 3, 11}) CHECK_FALSE(all[static_cast<std::size_t>(open)]->ended);
    // Silent ones by the dozen: they go before the callers that rest, once a usual caller would have asked.
    std::vector<std::unique_ptr<Peer>> silent;
    for (int i = 0; i < 9; ++i) silent.push_back(s.caller());
    bool waited = false;
    s.w.deadlines.at(wall() + Span(400'000), [&] { waited = true; });
    s.w.until([&] { return waited; });
    auto usual = s.caller();
    usual->send("GET /healthz HTTP/1.1\r\n\r\n");
    s.get(*usual, "200 OK");
    s.w.until([&] { return silent[0]->ended; });
    CHECK_FALSE(all[0]->ended);
}

TEST_CASE("who says nothing, or never ends a request, is answered or let go within three seconds") {
    Site s;
    auto silent = s.caller(), half = s.caller(), endless = s.caller(), lines = s.caller(), kept = s.caller();
    const Time from = wall();
    half->send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");
    endless->send("POST /v1/trail-sheet HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
                  std::string(40'000, 'x'));
    lines->send(std::string(40'000, '\n'));
    kept->send("GET /healthz HTTP/1.1\r\n\r\n");
    s.get(*endless, "HTTP/1.1 400");
    s.get(*lines, "HTTP/1.1 400");
    s.get(*half, "HTTP/1.1 408");
    s.w.until([&] { return silent->ended; });
    CHECK(silent->got.empty());
    CHECK(wall() - from < Span(3'000'000));
    CHECK_FALSE(kept->ended);
    auto large = s.caller();
    large->send("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    s.get(*large, "HTTP/1.1 413");
    const std::string part(200'000, 'x');
    while (!large->ended && wall() - from < Span(6'000'000)) {  // it goes on all the same
        if (large->stream != nullptr) large->stream->write(part);
        s.w.loop.turn(false);
    }
    CHECK(large->ended);
    CHECK(wall() - from < Span(6'000'000));
}

TEST_CASE("a body whose end is in doubt is refused with all that follows, and nothing in it runs") {
    Site s;
    const std::string inner = s.request("trail-sheet", "hidden");
    const std::string head =
        "POST /v1/trail-sheet HTTP/1.1\r\nTrace-Id: 00000000000000ee\r\nAccepted-At-Ms: " +
        std::to_string(wall().count() / 1000) + "\r\nReserve-Kb: 4\r\n";
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
        s.w.until([&] { return c->ended; });
        CHECK(c->got.rfind("HTTP/1.1 400", 0) == 0);
        CHECK(c->got.find("HTTP/1.1", 1) == std::string::npos);
    }
    for (const std::string field :
         {"Standing:", "Standing: 1", "Expected-Ms: nan", "Client-No: -1", "Lookup-Key: 7"}) {
        INFO(field);
        auto c = s.caller();
        c->send(s.request("trail-sheet", "x", field + "\r\n"));
        s.get(*c, "HTTP/1.1 400");
    }
    CHECK_FALSE(s.engine.has("RUN "));
}

TEST_CASE("the id of a request that is open is refused to another, and the first is served") {
    Site s;
    auto c = s.caller(), thief = s.caller();
    const std::string name = s.ask(*c, "trail-sheet", "mine");
    --s.tries;
    thief->send(s.request("trail-sheet", "other"));
    s.get(*thief, "HTTP/1.1 400");
    s.engine.last().send("DONE 1 " + name + " PASS 1 1\r\nx\r\n");
    s.get(*c, "HTTP/1.1 200");
    auto unknown = s.caller();  // an id that the engine does not know
    const std::string lost = s.ask(*unknown, "trail-sheet", "x");
    s.engine.last().send("NO RUN " + lost + "\r\n");
    s.get(*unknown, "HTTP/1.1 500");
}

}  // namespace

TEST_CASE("the control address counts a scripted load as the callers saw it, and says when it can serve") {
    Site s(Span(3'000'000), false, true);
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
    s.engine.last().send("DONE 1 " + one + " PASS 1 1\r\nx\r\n");
    s.get(*c, "HTTP/1.1 200");
    c->take("\r\n\r\nx");
    const std::string two = s.ask(*c, "trail-sheet", "b");
    s.engine.last().send("DONE 2 " + two + " FAIL 1 0\r\n\r\n");
    s.get(*c, "HTTP/1.1 500");
    c->take("HTTP/1.1 500");
    const std::string three = s.ask(*c, "route-profile", "c");
    s.engine.last().send("DONE 3 " + three + " PASS 1 1\r\ny\r\n");
    s.get(*c, "\r\n\r\ny");
    CHECK(s.figure("node.responses.trail-sheet.ok") == "1");
    CHECK(s.figure("node.responses.trail-sheet.errors") == "1");
    CHECK(s.figure("node.responses.trail-sheet.shed") == "1");
    CHECK(s.figure("node.responses.trail-sheet.tries") == "2");
    CHECK(s.figure("node.responses.route-profile.ok") == "1");
    CHECK(s.figure("node.responses.map-order.ok") == "0");
    CHECK(s.figure("node.active") == "0");
    CHECK(s.figure("node.config_applied") == "0");
    s.node->leave();
    CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 503 ", 0) == 0);
}

TEST_CASE("the control address answers within a second while every caller's connection is taken") {
    Site s(Span(3'000'000), true, true);
    std::vector<std::unique_ptr<Peer>> callers;
    for (int n = 0; n < 80; ++n) {  // more than the table holds, each with a request that the engine holds
        callers.push_back(s.caller());
        if (callers.back()->open) callers.back()->send(s.request("trail-sheet", "held"));
    }
    s.w.until([&] { return s.figure("node.active") != "0"; });
    for (int n = 0; n < 5; ++n) {
        const Time from = wall();
        CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 200 OK", 0) == 0);
        CHECK(wall() - from < Span(1'000'000));
    }
}

TEST_CASE("idle clients fill the descriptors while the directory is down: all other links are still made, and reports resume") {
    Site s(Span(3'000'000), true, true);
    s.w.until([&] { return s.lookup.has("PUT /dir/nodes/n3"); });
    const int directory = s.lookup.port();
    s.lookup.listener->close();
    s.lookup.peers.clear();  // the connection breaks, and nobody takes another
    std::vector<std::unique_ptr<Raw>> idle;
    for (int n = 0; n < 120; ++n) {  // twice what the process may hold; a third of them with half a line
        idle.push_back(std::make_unique<Raw>(s.node->port()));
        if (n % 3 == 0) idle.back()->try_send("POST /v1/trail-sheet HTTP/1.1\r\nTrace-");
    }
    for (int i = 0; i < 50; ++i) s.w.loop.turn(false);
    // The engine: its link breaks, and is made anew.
    const std::size_t links = s.engine.peers.size();
    s.engine.last().close();
    s.w.until([&] { return s.engine.peers.size() > links && s.engine.last().has("ATTACH "); });
    s.hello();
    // A caller, and the records service: the call has a connection of its own.
    auto caller = s.caller();
    const std::string name = s.ask(*caller, "trail-sheet", "x");
    s.engine.last().send("NEED 1 " + name + " 1\r\nq\r\n");
    s.w.until([&] { return s.records.has("OP " + name); });
    s.records.last().send(name + " DONE 1\r\nr\r\n");
    s.w.until([&] { return s.engine.has("FEED " + name + " 1\r\nr\r\n"); });
    s.engine.last().send("DONE 2 " + name + " PASS 1 3\r\nmap\r\n");
    s.get(*caller, "\r\n\r\nmap");
    // The control address; then the directory is back, and hears at once again.
    CHECK(s.control("/v1/readyz").rfind("HTTP/1.1 200 OK", 0) == 0);
    s.lookup.listen(s.w.loop, directory);
    s.w.until([&] { return s.lookup.has("PUT /dir/nodes/n3") && s.lookup.has("\"open\""); });
}

TEST_CASE("a retune takes new classes for new requests, open ones keep theirs, and a bad file changes nothing") {
    Site s(Span(3'000'000), true, true);
    Folder f;
    const auto file = [&](const std::string& name, const std::string& classes) {
        return f.write(name, R"({"name":"n3","seed":"7","stop_ms":3000,"listen":"127.0.0.1:0","engine":")" +
                                 s.engine.address() + R"(","records":")" + s.records.address() + R"(","lookup":")" +
                                 s.lookup.address() + R"(","settings":{"classes":[)" + classes +
                                 R"(],"domain":{"cores":4,"memory-kb":80000}}})");
    };
    auto c = s.caller(), d = s.caller();
    const std::string open = s.ask(*c, "map-order", "before");  // runs across the retune
    const std::string retuned = file("a.json", R"({"name":"map-order","effect":"single_shot","deadline":12000},
        {"name":"trail-sheet-ii","effect":"free","deadline":4000,"importance":3})");
    s.node->reload(retuned);
    CHECK(s.node->generations() == 2);
    CHECK(s.figure("node.config_applied") == "1");
    const std::string fresh = s.ask(*d, "trail-sheet-ii", "new");  // RUN names the new class
    s.engine.last().send("DONE 1 " + fresh + " PASS 1 1\r\nn\r\n");
    s.get(*d, "\r\n\r\nn");
    d->take("\r\n\r\nn");
    s.engine.last().send("DONE 2 " + open + " PASS 1 1\r\no\r\n");  // its old generation answers it
    s.get(*c, "\r\n\r\no");
    s.w.until([&] { return s.node->generations() == 1; });  // the old one goes once nothing is open there
    CHECK(s.figure("node.responses.trail-sheet-ii.ok") == "1");
    CHECK(s.figure("node.responses.map-order.ok") == "1");

    // Dropped: a class of the old file only is unknown now.
    d->send(s.request("route-profile", "gone"));
    s.get(*d, "HTTP/1.1 404");
    d->take("HTTP/1.1 404");

    for (const std::string& bad :
         {file("b.json", R"({"name":"x","deadline":0})"), file("c.json", R"({"name":"x","deadline":"soon"})"),
          file("d.json", R"({"name":"x"})"), f.write("e.json", ""), f.write("g.json", "{\"name\":\"n3\",\"se")}) {
        logged();
        s.node->reload(bad);
        CHECK(logged().find("configuration: the old one stays in force: ") != std::string::npos);
    }
    CHECK(s.figure("node.config_rejected") == "5");
    CHECK(s.figure("node.config_applied") == "1");
    CHECK(s.node->generations() == 1);
    auto e = s.caller();
    const std::string still = s.ask(*e, "trail-sheet-ii", "still");  // the last good one is in force
    s.engine.last().send("DONE 3 " + still + " PASS 1 1\r\ns\r\n");
    s.get(*e, "\r\n\r\ns");
}

TEST_CASE("a new version takes over the shared listening socket: nothing read is lost or answered twice") {
    const int platform = ::socket(AF_INET, SOCK_STREAM, 0);
    const net::Address any = at(0);
    REQUIRE(::bind(platform, reinterpret_cast<const sockaddr*>(&any.raw), sizeof(sockaddr_in)) == 0);
    REQUIRE(::listen(platform, 128) == 0);
    Site old(Span(3'000'000), true, true, ::dup(platform));
    const int port = old.node->port();
    const auto answers = [](const Peer& p) {
        std::size_t n = 0;
        for (std::size_t at = p.got.find("HTTP/1.1 "); at != std::string::npos; at = p.got.find("HTTP/1.1 ", at + 1)) ++n;
        return n;
    };
    std::vector<std::unique_ptr<Peer>> before;
    std::vector<std::string> names;
    for (int n = 0; n < 6; ++n) {
        before.push_back(old.caller());
        names.push_back(old.ask(*before.back(), "route-profile", "b" + std::to_string(n)));
    }

    // The new process on the same socket, with links of its own.
    Standing engine(old.w.loop), records(old.w.loop), lookup(old.w.loop);
    config::Node c = Site::configuration(engine, records, lookup);
    c.sockets = 64;
    c.control = "127.0.0.1:0";
    c.inherited = ::dup(platform);
    platform::Node next(old.w.loop, old.w.deadlines, c);
    next.start();
    old.w.until([&] { return engine.has("ATTACH 0\r\n"); });
    engine.last().send("HELLO LOADED 5\r\n");
    old.w.until([&] { return engine.has("STAT s"); });
    engine.last().take("STAT ");
    old.w.until([&] { return engine.has("\r\n"); });
    engine.last().send("STATS " + Site::word(engine.last().take("\r\n"), 0) + " 0.1 0 0.1 3\r\n");
    old.w.until([&] { return next.ready(); });

    // A caller whose connection is in the backlog, unaccepted, at the notice to leave.
    const int waiting = ::socket(AF_INET, SOCK_STREAM, 0);
    const net::Address there = at(port);
    REQUIRE(::connect(waiting, reinterpret_cast<const sockaddr*>(&there.raw), sizeof(sockaddr_in)) == 0);
    const std::string asked = old.request("route-profile", "queued");
    REQUIRE(::write(waiting, asked.data(), asked.size()) == static_cast<ssize_t>(asked.size()));
    old.node->leave();
    CHECK_FALSE(old.node->ready());
    const std::string queued = Site::id(old.tries);
    old.w.until([&] { return engine.has("RUN " + queued); });  // the new process took it up
    CHECK_FALSE(old.engine.has("RUN " + queued));

    // What the old one read, it answers, each once, and closes.
    for (std::size_t n = 0; n < names.size(); ++n)
        old.engine.last().send("DONE " + std::to_string(n + 1) + ' ' + names[n] + " PASS 1 1\r\nx\r\n");
    for (auto& p : before) {
        old.w.until([&] { return p->ended; });
        CHECK(answers(*p) == 1);
        CHECK(p->has("Connection: close\r\n"));
    }
    // New callers come to the new process only.
    std::vector<std::unique_ptr<Peer>> after;
    for (int n = 0; n < 6; ++n) {
        after.push_back(dial(old.w, port));
        after.back()->send(old.request("route-profile", "a" + std::to_string(n)));
        const std::string name = Site::id(old.tries);
        old.w.until([&] { return engine.has("RUN " + name); });
        engine.last().send("DONE " + std::to_string(n + 2) + ' ' + name + " PASS 1 1\r\ny\r\n");
        old.w.until([&] { return after.back()->has("\r\n\r\ny"); });
        CHECK(answers(*after.back()) == 1);
        CHECK_FALSE(old.engine.has("RUN " + name));
    }
    engine.last().send("DONE 8 " + queued + " PASS 1 1\r\nq\r\n");
    std::string got;
    char buffer[4096];
    const Time end = wall() + Span(5'000'000);
    while (got.find("\r\n\r\nq") == std::string::npos && wall() < end) {
        old.w.loop.turn(false);
        const ssize_t n = ::recv(waiting, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) got.append(buffer, static_cast<std::size_t>(n));
        if (n == 0) break;
    }
    CHECK(got.rfind("HTTP/1.1 200", 0) == 0);
    ::close(waiting);
    ::close(platform);
}
