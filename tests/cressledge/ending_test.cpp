// The instants in which a connection ends, on real sockets and on both fronts. Each crossing is forced: the peer acts by
// plain system calls while the loop stands still, and only then does the program take its step.
#include "hall.hpp"

namespace {

using namespace story;

TEST_CASE("ending: a request that lies unread on a resting connection when it is to end is answered") {
    for (const Speaks wire : both) {
        Hall h(wire);
        auto r = h.resting();
        r->send(h.request());  // the loop does not turn
        h.front().leave();
        CHECK(h.running.size() == 1);
        h.serve_all();
        h.served(*r);
        if (wire == Speaks::http) CHECK(r->has("Connection: close\r\n"));
    }
}

TEST_CASE("ending: what comes after the shutdown is never run, and resets nothing") {
    for (const Speaks wire : both) {
        Hall h(wire);
        auto r = h.resting();
        const auto before = h.read();
        h.front().leave();
        r->send(h.request());  // it crosses the shutdown
        h.ended_clean(*r);
        CHECK(h.read() == before);
        CHECK(h.running.empty());
        CHECK(h.front().owes());  // until the other side has closed as well
        r->close();
        h.w.until([&] { return h.front().empty(); });
    }
}

TEST_CASE("ending: bytes behind a last answer neither destroy it nor run") {
    for (const Speaks wire : both) {
        Hall h(wire);
        auto r = h.resting();
        r->send(h.request());
        h.w.until([&] { return h.running.size() == 1; });
        h.front().leave();
        r->send(h.request() + h.request());  // unread when the answer goes out
        h.serve_all();
        r->try_send(h.request());
        h.served(*r);
        CHECK(h.read() == 1);
        r->close();
        h.w.until([&] { return h.front().empty(); });
    }
}

TEST_CASE("ending: who waits in the backlog when the listening socket is closed is answered") {
    for (const Speaks wire : both) {
        Hall h(wire);
        Raw asked(h.front().port()), silent(h.front().port());
        asked.send(h.request());
        h.front().leave();  // neither has been accepted yet
        h.serve_all();
        h.served(asked);
        h.ended_clean(silent);
        Raw late(h.front().port());
        CHECK((late.refused || late.over()));
    }
}

TEST_CASE("ending: a request that comes in the instant of an idle limit is answered, and another ends clean") {
    front::Front::Limits limits;
    limits.idle = Span(1'000'000);
    Hall h(Speaks::http, limits);
    auto crosses = h.resting(), rests = h.resting();
    crosses->send(h.request());
    h.w.deadlines.run(wall() + Span(1'500'000));  // both limits are over, and the loop has read nothing
    CHECK(h.running.size() == 1);
    h.ended_clean(*rests);
    CHECK(h.front().ended().idle == 1);
    h.serve_all();
    h.w.until([&] { return crosses->has("a whole map"); });
    CHECK_FALSE(crosses->over());  // and it may ask again
}

TEST_CASE("ending: the last bytes of a request that lie unread at its time's end are read before it is judged") {
    for (const Speaks wire : both) {
        Hall h(wire);
        const std::string all = h.request();
        auto r = h.resting(), half = h.resting();
        r->send(all.substr(0, 20));
        half->send(all.substr(0, 20));
        h.w.loop.turn(false);
        h.w.loop.turn(false);
        r->send(all.substr(20));
        h.w.deadlines.run(wall() + Span(5'000'000));
        CHECK(h.running.size() == 1);
        h.w.until([&] { return half->over(); });
        CHECK(half->has(wire == Speaks::http ? " 408 " : " 400 "));
        CHECK(h.front().ended().overdue == 1);
        CHECK_FALSE(half->reset);
        h.serve_all();
        h.w.until([&] { return r->has("a whole map"); });
    }
}

TEST_CASE("ending: a connection that makes room is refused what it had asked by then, or ends clean") {
    for (const Speaks wire : both) {
        Hall h(wire, {}, 2);
        auto asks = h.resting();
        asks->send(h.request());  // unread
        auto other = std::make_unique<Raw>(h.front().port());
        Raw third(h.front().port());
        other->send(h.request("trail-sheet"));
        third.send(h.request("trail-sheet"));
        // All three are let in or refused in one go, before anything is read from the first.
        h.w.until([&] {
            h.serve_all();
            return asks->has("\r\n\r\n") && other->has("\r\n\r\n") && third.has("\r\n\r\n");
        });
        for (Raw* r : {asks.get(), other.get(), &third}) {
            CHECK_FALSE(r->reset);
            CHECK((r->has(" 200 OK") || r->has(" 503 ")));
        }
    }
}

TEST_CASE("ending: an evicted connection's unread request never runs and is told so") {
    for (const Speaks wire : both) {
        Hall h(wire);
        auto r = h.resting(), idle = h.resting();
        r->send(h.request());
        for (int i = 0; i < 2; ++i) CHECK(h.porter.descriptors().used() > 0);
        const auto one = h.porter.gate().shed(h.server.now()), two = h.porter.gate().shed(h.server.now());
        REQUIRE((one && two));
        h.front().let_go(one->tag);
        h.front().let_go(two->tag);
        h.w.until([&] { return r->over() && idle->over(); });
        CHECK(r->has(" 503 "));
        CHECK_FALSE(r->reset);
        CHECK(idle->got.empty());
        CHECK_FALSE(idle->reset);
        CHECK(h.front().ended().evicted == 2);
        CHECK(h.running.empty());
    }
}

TEST_CASE("ending: who waits in the backlog for want of a descriptor when the process is to leave is answered in the end") {
    for (const Speaks wire : both) {
        Hall h(wire);
        auto asks = h.resting();
        asks->send(h.request());
        h.w.until([&] { return h.running.size() == 1; });
        std::vector<admission::Descriptors::Lease> taken;  // all that the front might have
        while (auto lease = h.descriptors.take(h.server.now(), admission::Purpose::front)) taken.push_back(std::move(lease));
        Raw waits(h.front().port());
        waits.send(h.request());
        h.front().leave();
        CHECK(h.read() == 1);
        CHECK(h.front().owes());
        h.serve_all();
        h.served(*asks);
        taken.clear();
        h.front().empty_backlog(false);
        CHECK(h.running.size() == 1);
        h.serve_all();
        h.served(waits);
        asks->close();
        waits.close();
        h.w.until([&] { return h.front().empty(); });
    }
}

TEST_CASE("ending: who finds neither a seat nor a place in the lobby is told so if his request came with him") {
    for (const Speaks wire : both) {
        Hall h(wire, {}, 2);
        std::vector<std::unique_ptr<Raw>> in_hand, lobby;
        for (int i = 0; i < 2; ++i) {
            in_hand.push_back(h.resting());
            in_hand.back()->send(h.request());
        }
        h.w.until([&] { return h.running.size() == 2; });
        lobby.push_back(std::make_unique<Raw>(h.front().port()));  // one source has one place in it
        h.w.until([&] { return h.porter.gate().in_lobby() == 1; }, true);
        Raw asks(h.front().port()), silent(h.front().port());
        asks.send(h.request());  // it lies there before he is accepted
        h.w.until([&] { return asks.over() && silent.over(); });
        INFO(asks.got);
        CHECK(asks.has(" 503 "));
        CHECK_FALSE(asks.reset);
        CHECK(silent.got.empty());
        CHECK_FALSE(silent.reset);
        CHECK(h.running.size() == 2);
        h.serve_all();
        for (const auto& r : in_hand) h.w.until([&] { return r->has("a whole map"); });
    }
}

TEST_CASE("ending: half a line and a connection that says nothing do not hold up the exit") {
    for (const Speaks wire : both) {
        front::Front::Limits limits;
        limits.whole = Span(60'000'000);  // longer than the way out: what ends the half line is the exit
        Hall h(wire, limits, 64, Span(20'000'000));
        const std::string all = h.request();
        auto half = h.resting(), silent = h.resting(), asks = h.resting();
        asks->send(all);
        h.w.until([&] { return h.running.size() == 1; });
        half->send(all.substr(0, 20));
        h.w.loop.turn(false);
        h.w.loop.turn(false);
        const Time from = wall();
        h.doors.leave();
        // The way out begins half a second before the stop; that is brought about, not waited for.
        h.w.deadlines.run(h.server.stop_at() - Span(500'000));
        bool stopped = false;
        h.serve_all();
        h.served(*asks);
        h.ended_clean(*silent);
        asks->close();
        silent->close();
        h.w.until([&] {
            if (half->over()) half->close();
            return stopped = h.front().empty();
        });
        CHECK(stopped);
        CHECK(h.front().ended().unwhole == 1);
        CHECK(half->got.empty());  // nothing is owed to half a line
        CHECK_FALSE(half->reset);
        CHECK(wall() - from < Span(5'000'000));
    }
}

TEST_CASE("ending: the rest of a half line that comes while others are waited for is answered") {
    for (const Speaks wire : both) {
        Hall h(wire);
        const std::string all = h.request();
        auto half = h.resting(), asks = h.resting();
        asks->send(all);
        half->send(all.substr(0, 20));
        h.w.until([&] { return h.running.size() == 1; });
        h.w.loop.turn(false);
        h.front().leave();
        half->send(all.substr(20));
        h.w.until([&] { return h.running.size() == 2; });
        h.serve_all();
        h.served(*asks);
        h.served(*half);
    }
}

TEST_CASE("ending: a last answer larger than the system takes at once reaches a peer that has shut its side") {
    Hall h(Speaks::http, {}, 64, Span(3'000'000), settings(), 8'192);
    auto r = h.resting(4'096);
    r->send(h.request());
    h.w.until([&] { return h.running.size() == 1; });
    h.front().leave();
    const std::string large(240'000, 'm');
    for (const core::RequestNo no : std::exchange(h.running, {})) h.server.ended(no, core::End::pass, large);
    r->half_close();  // behind its answer, of which most is still to be written
    for (int i = 0; i < 3; ++i) h.w.loop.turn(false);
    h.w.until([&] { return r->over(); });
    CHECK_FALSE(r->reset);
    CHECK(r->got.size() > large.size());
}

TEST_CASE("ending: what is malformed, cut short or floods behind its last answer is counted, and its end is bounded") {
    for (const Speaks wire : both) {
        Hall h(wire);
        auto odd = h.resting(), cut = h.resting(), floods = h.resting();
        odd->send("x:\r\n\r\n");
        cut->send(h.request().substr(0, 20));
        cut->half_close();
        floods->send(h.request());
        h.w.until([&] { return h.running.size() == 1 && odd->over(); });
        CHECK(odd->has(" 400 "));
        CHECK(h.front().ended().malformed == 1);
        h.w.until([&] { return cut->over(); });
        // An HTTP client that shuts its side in the middle has given up; over SCGI it is told.
        CHECK(cut->has(" 400 ") == (wire == Speaks::scgi));
        CHECK(h.front().ended().cut_short == 1);
        h.front().leave();
        h.serve_all();
        const std::string part(64'000, 'x');
        h.w.until([&] {
            floods->try_send(part);
            return h.front().ended().flooding == 1;
        }, false);
        CHECK(h.read() == 1);
    }
}

TEST_CASE("ending: a connection's states are left forwards only") {
    front::Lifecycle l;
    CHECK(l.takes_requests());
    CHECK(l.drain());
    CHECK((l.takes_requests() && l.says_close()));
    CHECK_FALSE(l.drain());
    CHECK(l.linger());
    CHECK_FALSE(l.takes_requests());
    CHECK_FALSE((l.drain() || l.linger()));
    CHECK(l.close());
    CHECK_FALSE((l.linger() || l.close() || l.lingers()));
    CHECK(l.closed());
}

}  // namespace
