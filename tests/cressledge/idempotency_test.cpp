// Repeats of what may run once within its window, on both fronts: known by their idempotency key, within a window that
// the settings give, up to its last instant.
#include "frontend_fixture.hpp"

namespace {

using namespace cressledge::testing;
using cressledge::policy::Idempotency;

cressledge::policy::Settings keyed(Duration window = Duration(900'000)) {
    cressledge::policy::Settings s = test_settings();
    s.classes[2].idempotency =
        Idempotency::with_key;  // a name and figures of the tests' own: only the settings say what it is
    s.classes[2].idempotency_window = window;
    s.tenants = {{"north", 1.0}, {"south", 1.0}};
    return s;
}
constexpr Duration stop(3'000'000);

struct Desk : FrontendFixture {
    explicit Desk(Protocol wire, const cressledge::policy::Settings& s = keyed())
        : FrontendFixture(wire, {}, 64, stop, s) {}
    std::unique_ptr<RawClient> ask(const std::string& key, const std::string& body,
                                   Timestamp accepted = wall_clock_now()) {
        auto r = open_idle_connection();
        r->send(request("map-order", body,
                        {{"Replay-Key", key}, {"Accepted-At-Ms", std::to_string(accepted.count() / 1000)}}));
        return r;
    }
    void gets(RawClient& r, const std::string& part) {
        test_loop.run_until([&] { return r.has_received("\r\n\r\n"); });
        INFO(r.received);
        CHECK(r.has_received(part));
    }
};

}  // namespace

TEST_CASE("keyed: a second try under the same key never runs, and both get the one result") {
    for (const Protocol wire : all_protocols) {
        Desk d(wire);
        auto first = d.ask("c2b3952039f261d01566c845da2b2120", "seat 4"),
             second = d.ask("c2b3952039f261d01566c845da2b2120", "seat 4");
        auto other = d.ask("ec1d03b2abc0f9b9864398b590adca78", "seat 4");
        d.test_loop.run_until([&] { return d.requests_read() == 3; });
        CHECK(d.running_ids.size() == 2);
        d.finish_all();
        for (RawClient* r : {first.get(), second.get(), other.get()})
            d.gets(*r, "a whole map");
        auto third =
            d.ask("c2b3952039f261d01566c845da2b2120", "seat 4");  // the run is over, the window is not
        d.gets(*third, "a whole map");
        CHECK(d.running_ids.empty());
        CHECK(d.server.counts().runs_started == 2);
    }
}

TEST_CASE("keyed: a key that stands for another payload is refused as malformed, counted, and never runs") {
    for (const Protocol wire : all_protocols) {
        Desk d(wire);
        auto first = d.ask("k1", "seat 4");
        d.test_loop.run_until([&] { return d.running_ids.size() == 1; });
        auto while_open = d.ask("k1", "seat 5");
        d.gets(*while_open, " 400 ");
        d.finish_all();
        d.gets(*first, "a whole map");
        auto afterwards = d.ask("k1", "seat 5");
        d.gets(*afterwards, " 400 ");
        CHECK(d.server.counts().runs_started == 1);
        CHECK(d.server.counts().failed == 2);
        CHECK(d.server.counts_by_class().at("map-order").failed == 2);
    }
}

TEST_CASE("keyed: a try that came at the window's last instant is a repeat however late it is read") {
    for (const Protocol wire : all_protocols) {
        Desk d(wire);
        // All are read after the window: it is when they came that counts. Whole milliseconds, as the wire has them.
        const Timestamp from = Timestamp(wall_clock_now().count() / 1000 * 1000) - Duration(1'000'000);
        auto first = d.ask("k1", "seat 4", from);
        d.test_loop.run_until([&] { return d.running_ids.size() == 1; });
        d.finish_all();
        d.gets(*first, "a whole map");
        auto in_time = d.open_idle_connection(), late = d.open_idle_connection();
        const auto at_ms = [&](Duration after) { return std::to_string((from + after).count() / 1000); };
        in_time->send(d.request("map-order", "seat 4",
                                {{"Replay-Key", "k1"}, {"Accepted-At-Ms", at_ms(Duration(900'000))}}));
        d.test_loop.timers.run_due(wall_clock_now());
        d.gets(*in_time, "a whole map");
        CHECK(d.running_ids.empty());
        late->send(d.request("map-order", "seat 4",
                             {{"Replay-Key", "k1"}, {"Accepted-At-Ms", at_ms(Duration(901'000))}}));
        d.test_loop.run_until([&] { return d.running_ids.size() == 1; });
        d.finish_all();
        d.gets(*late, "a whole map");
        CHECK(d.server.counts().runs_started == 2);
    }
}

TEST_CASE("keyed: a repeat after a reload shares the run of the settings before") {
    for (const Protocol wire : all_protocols) {
        Desk d(wire);
        auto first = d.ask("k1", "seat 4");
        d.test_loop.run_until([&] { return d.running_ids.size() == 1; });
        cressledge::policy::Settings s = keyed();
        s.classes[0].priority_weight = 9.0;
        d.server.reconfigure(s, std::make_unique<RunAllController>(s));
        auto second = d.ask("k1", "seat 4");
        d.test_loop.run_until([&] { return d.requests_read() == 2; });
        CHECK(d.running_ids.size() == 1);
        d.finish_all();
        d.gets(*first, "a whole map");
        d.gets(*second, "a whole map");
    }
}

TEST_CASE("keyed: an effect is what the settings say, and a key says nothing of another's") {
    for (const Protocol wire : all_protocols) {
        Desk d(wire, [] {
            cressledge::policy::Settings s = keyed();
            s.classes[2].idempotency = Idempotency::never;
            s.classes[0].idempotency = Idempotency::with_key;
            s.classes[0].idempotency_window = Duration(900'000);
            return s;
        }());
        auto first = d.ask("k1", "seat 4"), second = d.ask("k1", "seat 4");
        d.test_loop.run_until([&] { return d.requests_read() == 2; });
        CHECK(d.running_ids.size() == 2);  // an unsafe one is repeated by nobody who thinks that it ran
        auto sheet = d.open_idle_connection(), again = d.open_idle_connection();
        for (RawClient* r : {sheet.get(), again.get()})
            r->send(d.request("trail-sheet", "x", {{"Replay-Key", "k1"}}));
        d.test_loop.run_until([&] { return d.requests_read() == 4; });
        CHECK(d.running_ids.size() == 3);
        d.finish_all();
        d.gets(*again, "a whole map");
    }
}

TEST_CASE(
    "keyed: tenant, wait and the mark of a further try reach the Controller, and malformed ones are "
    "refused") {
    for (const Protocol wire : all_protocols) {
        Desk d(wire);
        const Timestamp from = Timestamp(wall_clock_now().count() / 1000 * 1000);
        const std::string at_ms = std::to_string(from.count() / 1000);
        auto r = d.open_idle_connection();
        r->send(d.request(
            "trail-sheet", "x",
            {{"Accepted-At-Ms", at_ms}, {"Project", "south"}, {"Max-Wait-Ms", "700"}, {"Is-Retry", "1"}}));
        d.test_loop.run_until([&] { return d.running_ids.size() == 1; });
        REQUIRE(d.controller->last_request);
        CHECK(d.controller->last_request->tenant_index == 1);
        CHECK(d.controller->last_request->is_retry);
        REQUIRE(d.controller->last_request->caller_deadline);
        CHECK(*d.controller->last_request->caller_deadline == from + Duration(700'000));
        d.finish_all();
        using Field = std::pair<std::string, std::string>;
        std::vector<std::unique_ptr<RawClient>> all;  // none is closed while another is counted
        for (const Field& bad :
             {Field{"Max-Wait-Ms", "soon"}, Field{"Max-Wait-Ms", "-1"}, Field{"Is-Retry", "perhaps"},
              Field{"Replay-Key", "a key"}, Field{"Replay-Key", std::string(129, 'k')}}) {
            all.push_back(d.open_idle_connection());
            all.back()->send(d.request("map-order", "x", {bad}));
            d.gets(*all.back(), " 400 ");
        }
        CHECK(d.running_ids.empty());
    }
}
