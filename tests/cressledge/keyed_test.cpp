// Repeats of what may run once within its window, on both fronts: known by their idempotency key, within a window that
// the settings give, up to its last instant.
#include "hall.hpp"

namespace {

using namespace story;
using curlewreel::Effect;

curlewreel::Settings keyed(Span window = Span(900'000)) {
    curlewreel::Settings s = settings();
    s.classes[2].effect = Effect::keyed;  // a name and figures of the tests' own: only the settings say what it is
    s.classes[2].window = window;
    s.tenants = {{"north", 1.0}, {"south", 1.0}};
    return s;
}
constexpr Span stop(3'000'000);

struct Desk : Hall {
    explicit Desk(Speaks wire, const curlewreel::Settings& s = keyed()) : Hall(wire, {}, 64, stop, s) {}
    std::unique_ptr<Raw> ask(const std::string& key, const std::string& body, Time accepted = wall()) {
        auto r = resting();
        r->send(request("map-order", body, {{"Replay-Key", key}, {"Accepted-At-Ms", std::to_string(accepted.count() / 1000)}}));
        return r;
    }
    void gets(Raw& r, const std::string& part) {
        w.until([&] { return r.has("\r\n\r\n"); });
        INFO(r.got);
        CHECK(r.has(part));
    }
};

}  // namespace

TEST_CASE("keyed: a second try under the same key never runs, and both get the one result") {
    for (const Speaks wire : both) {
        Desk d(wire);
        auto first = d.ask("c2b3952039f261d01566c845da2b2120", "seat 4"), second = d.ask("c2b3952039f261d01566c845da2b2120", "seat 4");
        auto other = d.ask("ec1d03b2abc0f9b9864398b590adca78", "seat 4");
        d.w.until([&] { return d.read() == 3; });
        CHECK(d.running.size() == 2);
        d.serve_all();
        for (Raw* r : {first.get(), second.get(), other.get()}) d.gets(*r, "a whole map");
        auto third = d.ask("c2b3952039f261d01566c845da2b2120", "seat 4");  // the run is over, the window is not
        d.gets(*third, "a whole map");
        CHECK(d.running.empty());
        CHECK(d.server.counts().runs == 2);
    }
}

TEST_CASE("keyed: a key that stands for another payload is refused as malformed, counted, and never runs") {
    for (const Speaks wire : both) {
        Desk d(wire);
        auto first = d.ask("k1", "seat 4");
        d.w.until([&] { return d.running.size() == 1; });
        auto while_open = d.ask("k1", "seat 5");
        d.gets(*while_open, " 400 ");
        d.serve_all();
        d.gets(*first, "a whole map");
        auto afterwards = d.ask("k1", "seat 5");
        d.gets(*afterwards, " 400 ");
        CHECK(d.server.counts().runs == 1);
        CHECK(d.server.counts().failed == 2);
        CHECK(d.server.by_class().at("map-order").errors == 2);
    }
}

TEST_CASE("keyed: a try that came at the window's last instant is a repeat however late it is read") {
    for (const Speaks wire : both) {
        Desk d(wire);
        // All are read after the window: it is when they came that counts. Whole milliseconds, as the wire has them.
        const Time from = Time(wall().count() / 1000 * 1000) - Span(1'000'000);
        auto first = d.ask("k1", "seat 4", from);
        d.w.until([&] { return d.running.size() == 1; });
        d.serve_all();
        d.gets(*first, "a whole map");
        auto in_time = d.resting(), late = d.resting();
        const auto at_ms = [&](Span after) { return std::to_string((from + after).count() / 1000); };
        in_time->send(d.request("map-order", "seat 4", {{"Replay-Key", "k1"}, {"Accepted-At-Ms", at_ms(Span(900'000))}}));
        d.w.deadlines.run(wall());
        d.gets(*in_time, "a whole map");
        CHECK(d.running.empty());
        late->send(d.request("map-order", "seat 4", {{"Replay-Key", "k1"}, {"Accepted-At-Ms", at_ms(Span(901'000))}}));
        d.w.until([&] { return d.running.size() == 1; });
        d.serve_all();
        d.gets(*late, "a whole map");
        CHECK(d.server.counts().runs == 2);
    }
}

TEST_CASE("keyed: a repeat after a reload shares the run of the settings before") {
    for (const Speaks wire : both) {
        Desk d(wire);
        auto first = d.ask("k1", "seat 4");
        d.w.until([&] { return d.running.size() == 1; });
        curlewreel::Settings s = keyed();
        s.classes[0].worth = 9.0;
        d.server.retune(s, std::make_unique<Runs>(s));
        auto second = d.ask("k1", "seat 4");
        d.w.until([&] { return d.read() == 2; });
        CHECK(d.running.size() == 1);
        d.serve_all();
        d.gets(*first, "a whole map");
        d.gets(*second, "a whole map");
    }
}

TEST_CASE("keyed: an effect is what the settings say, and a key says nothing of another's") {
    for (const Speaks wire : both) {
        Desk d(wire, [] {
            curlewreel::Settings s = keyed();
            s.classes[2].effect = Effect::unsafe;
            s.classes[0].effect = Effect::keyed;
            s.classes[0].window = Span(900'000);
            return s;
        }());
        auto first = d.ask("k1", "seat 4"), second = d.ask("k1", "seat 4");
        d.w.until([&] { return d.read() == 2; });
        CHECK(d.running.size() == 2);  // an unsafe one is repeated by nobody who thinks that it ran
        auto sheet = d.resting(), again = d.resting();
        for (Raw* r : {sheet.get(), again.get()}) r->send(d.request("trail-sheet", "x", {{"Replay-Key", "k1"}}));
        d.w.until([&] { return d.read() == 4; });
        CHECK(d.running.size() == 3);
        d.serve_all();
        d.gets(*again, "a whole map");
    }
}

TEST_CASE("keyed: tenant, wait and the mark of a further try reach the Controller, and malformed ones are refused") {
    for (const Speaks wire : both) {
        Desk d(wire);
        const Time from = Time(wall().count() / 1000 * 1000);
        const std::string at_ms = std::to_string(from.count() / 1000);
        auto r = d.resting();
        r->send(d.request("trail-sheet", "x", {{"Accepted-At-Ms", at_ms}, {"Project", "south"}, {"Max-Wait-Ms", "700"}, {"Is-Retry", "1"}}));
        d.w.until([&] { return d.running.size() == 1; });
        REQUIRE(d.runs->last);
        CHECK(d.runs->last->tenant == 1);
        CHECK(d.runs->last->retry);
        REQUIRE(d.runs->last->due);
        CHECK(*d.runs->last->due == from + Span(700'000));
        d.serve_all();
        using Field = std::pair<std::string, std::string>;
        std::vector<std::unique_ptr<Raw>> all;  // none is closed while another is counted
        for (const Field& bad : {Field{"Max-Wait-Ms", "soon"}, Field{"Max-Wait-Ms", "-1"}, Field{"Is-Retry", "perhaps"},
                                 Field{"Replay-Key", "a key"}, Field{"Replay-Key", std::string(129, 'k')}}) {
            all.push_back(d.resting());
            all.back()->send(d.request("map-order", "x", {bad}));
            d.gets(*all.back(), " 400 ");
        }
        CHECK(d.running.empty());
    }
}
