// What is kept of what was learned: trust by age, what is refused, and that a wrong figure is unlearned as soon as a
// first guess is.
#include "learned_state/learned_state.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::learned_state;

constexpr Timestamp t0{1'764'576'000'000'000};
constexpr Duration hours(double n) {
    return Duration(static_cast<std::int64_t>(n * 3.6e9));
}

LearnedState known() {
    LearnedState k;
    k.saved_at = t0;
    k.controller_state.classes = {{"trail-sheet", 0.4, 0.6, 90.0, 0.0},
                                  {"route-profile", 0.2, 0.3, 10.0, 0.0}};
    k.controller_state.bands = {{1.0, 0.5, {2.0, 1.0, 1.0}, 0.0}};
    k.controller_state.capacity_quanta_per_second = 3.5;
    k.controller_state.concurrency_limit = 6.0;
    k.upstreams["tiles-07"] = {0.25, 0.02, 40.0, t0};
    return k;
}
const Identity me = identity_of("n3", test_settings());
cressledge::store::Entries kept() {
    return to_entries(known(), me, {});
}
void set(cressledge::store::Entries& all, const char* key, const char* field, const nlohmann::json& value) {
    auto j = nlohmann::json::from_cbor(all.at(key));
    j[field] = value;
    const auto bytes = nlohmann::json::to_cbor(j);
    all[key] = {bytes.begin(), bytes.end()};
}

TEST_CASE(
    "trust follows the documented curve: halved by age, little for few completions, none when too old") {
    const ConfidencePolicy trust;
    for (const double age : {0.0, 12.0, 24.0, 72.0, 240.0, 336.0})
        for (const double n : {1.0, 10.0, 1000.0})
            CHECK(trust.confidence(hours(age), n) == Approx(std::exp2(-age / 24.0) * n / (n + 10.0)));
    CHECK(trust.confidence(hours(337), 1e9) == 0.0);
    CHECK(trust.confidence(hours(-1), 1e9) == 0.0);
    const auto j = restore(kept(), me, t0 + hours(24), trust);
    REQUIRE(j.restored);
    CHECK(j.skipped_entries.empty());
    REQUIRE(j.state.controller_state.classes.size() == 2);
    for (const auto& c : j.state.controller_state.classes)
        CHECK(c.confidence == Approx(c.name == "trail-sheet" ? 0.5 * 0.9 : 0.5 * 0.5));
    CHECK(j.state.upstreams.at("tiles-07").call_count == Approx(20.0 * 0.5 * 0.8));
    // Two weeks and an hour old, and three weeks: nothing.
    for (const double age : {337.0, 504.0})
        CHECK_FALSE(restore(kept(), me, t0 + hours(age), trust).restored);
    // At ten days a figure moves the guess by a thousandth of the way.
    CHECK(restore(kept(), me, t0 + hours(240), trust).state.controller_state.classes[0].confidence < 0.001);
}

TEST_CASE("knowledge of another, of the future, or absurd is refused, and says why") {
    const ConfidencePolicy trust;
    const auto reason = [&](cressledge::store::Entries e, const Identity& whose = me, Timestamp now = t0) {
        const auto j = restore(e, whose, now, trust);
        return j.restored ? "taken" : j.rejection_reason;
    };
    CHECK(reason({}) == "nothing has been kept");
    CHECK(reason(kept(), identity_of("n4", test_settings())) == "another node's: n3");
    auto other = test_settings();
    other.classes[0].latency_objective = Duration(1);
    CHECK(reason(kept(), identity_of("n3", other)) == "another site's: its classes or targets differ");
    other = test_settings();
    other.cores = 8;
    CHECK(reason(kept(), identity_of("n3", other)) == "learned with 4 cores");
    CHECK(reason(kept(), me, t0 - hours(1)) == "from the future");
    CHECK(reason(kept(), me, t0 - hours(0.05)) == "taken");  // clocks differ by a little
    CHECK(reason(kept(), me, t0 + hours(400)) == "too old: 400 hours");
    auto e = kept();
    set(e, "about", "schema", 3);
    CHECK(reason(e) == "a newer version's: schema 3");
    e = kept();
    e["about"] = "\xff not CBOR";
    CHECK(reason(e) == "its head cannot be read");
    const std::pair<const char*, nlohmann::json> bad[] = {
        {"quanta", std::nan("")}, {"quanta", -1.0}, {"quanta", 1e9}, {"quanta", 0.0}, {"run", "x"},
        {"count", 1e300},         {"at_ms", 1e15}};
    for (const auto& [field, value] : bad) {
        e = kept();
        set(e, "class/trail-sheet", field, value);
        const auto j = restore(e, me, t0, trust);
        CHECK(j.restored);
        CHECK(j.skipped_entries == std::vector<std::string>{"class/trail-sheet: not what it should be"});
        CHECK(j.state.controller_state.classes.size() == 1);
    }
    e = kept();
    e["class/route-profile"] = "?";
    e["spy/x"] = e["about"];
    CHECK(restore(e, me, t0, trust).skipped_entries.size() == 2);
    CHECK(to_json(e).find("cannot be read") != std::string::npos);
}

TEST_CASE("an older schema is migrated, and what has not been seen again keeps its age") {
    auto e = kept();
    set(e, "about", "schema", 1);
    for (const char* c : {"class/trail-sheet", "class/route-profile"}) {
        auto j = nlohmann::json::from_cbor(e.at(c));
        j.erase("run");
        j.erase("at_ms");
        const auto bytes = nlohmann::json::to_cbor(j);
        e[c] = {bytes.begin(), bytes.end()};
    }
    const auto old = restore(e, me, t0, ConfidencePolicy{});
    REQUIRE(old.restored);
    CHECK(old.stored_schema_version == 1);
    CHECK(old.state.controller_state.classes.at(0).run_seconds ==
          old.state.controller_state.classes.at(0).price_seconds);
    LearnedState later = known();
    later.saved_at = t0 + hours(48);
    later.last_completion_at["trail-sheet"] = later.saved_at;
    later.controller_state.classes[1].completions = 0.0;  // a class with no request since the start
    const auto j = restore(to_entries(later, me, kept()), me, later.saved_at, ConfidencePolicy{});
    REQUIRE(j.state.controller_state.classes.size() == 2);
    for (const auto& c : j.state.controller_state.classes)
        CHECK(c.confidence == Approx(c.name == "trail-sheet" ? 0.9 : 0.25 * 0.5));
    CHECK(difference(kept(), kept()).empty());
}

// ---- the seam in the module ----

struct Trial {  // a controller with one class that costs `cost` seconds, fed one request after another
    std::unique_ptr<cressledge::policy::AdmissionController> c =
        cressledge::policy::make_admission_controller(test_settings(), 1);
    std::vector<cressledge::policy::Action> actions;
    Timestamp now{0};
    std::multimap<Timestamp, std::uint32_t> timers;  // as asked for
    double price() const { return c->estimates().classes[0].price_seconds; }
    void tell(const cressledge::policy::Event& event) {
        actions.clear();
        c->handle(now, event, actions);
        for (const auto& a : actions)
            if (const auto* w = std::get_if<cressledge::policy::ScheduleTimer>(&a))
                timers.emplace(now + w->delay, w->token);
    }
    void begin() { tell(cressledge::policy::Started{}); }
    void pass(Duration span, double busy_cores) {
        const Timestamp end = now + span;
        while (!timers.empty() && timers.begin()->first <= end) {
            const auto [at, token] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, at);
            cressledge::policy::Gauges g;
            g.cpu_utilization = busy_cores / 4.0, g.runnable = busy_cores;
            tell(cressledge::policy::TimerFired{token, g});
        }
        now = end;
    }
    void complete(cressledge::policy::RequestId id, double cost) {
        cressledge::policy::RequestArrived r;
        r.id = id;
        r.class_index = 0;
        r.reserved_kb = 1.0;
        tell(r);
        pass(Duration(static_cast<std::int64_t>(cost * 1e6)), 1.0);
        tell(cressledge::policy::RunFinished{id, cressledge::policy::Outcome::ok});
    }
};
cressledge::policy::Estimates told(double quanta, double trust) {
    cressledge::policy::Estimates l;
    l.classes = {{"trail-sheet", quanta, quanta, 1e6, trust}};
    return l;
}

TEST_CASE("a wrong price is unlearned no slower than a cold start learns, and a right one is there at once") {
    const double work = 0.2;
    Trial cold, settled;
    const double guess = cold.price();
    settled.begin();
    for (cressledge::policy::RequestId id = 1; id <= 200; ++id)
        settled.complete(id, work);
    const double cost = settled.price();  // as the module measures it
    Trial right;
    right.c->restore(told(cost, 1.0));
    CHECK(right.price() == Approx(cost));
    Trial half;
    half.c->restore(told(cost, 0.5));
    CHECK(half.price() == Approx(std::sqrt(cost * guess)));
    const double cold_error = std::fabs(guess - cost);
    for (const double wrong : {cost * 4.0, cost / 4.0}) {
        Trial t;
        t.c->restore(told(wrong, 1.0));
        t.begin();
        Trial beside;
        beside.begin();
        for (cressledge::policy::RequestId id = 1; id <= 20; ++id) {
            t.complete(id, work);
            beside.complete(id, work);
            // What is left of the first error, against what is left of a cold start's.
            const double left = std::fabs(t.price() - cost) / std::fabs(wrong - cost);
            const double cold_left = std::fabs(beside.price() - cost) / cold_error;
            CHECK(left <= cold_left + 0.02);
        }
        CHECK(t.price() == Approx(cost).epsilon(0.2));
    }
}

TEST_CASE(
    "a restored capacity that is never measured goes back to the cold start's, and limits stay within "
    "bounds") {
    Trial t;
    auto l = told(0.3, 1.0);
    l.capacity_quanta_per_second = 1.0;
    l.concurrency_limit = 1000.0;
    l.capacity_confidence = 1.0;
    l.bands = {{1.0, 50.0, {0.0, 0.0, 9.0}, 1.0}};
    t.c->restore(l);
    CHECK(t.c->estimates().capacity_quanta_per_second ==
          Approx(1.2));  // not below the floor: three tenths of four cores
    CHECK(t.c->estimates().concurrency_limit == 8.0);
    t.begin();
    t.pass(Duration(20'000'000), 0.0);
    CHECK(t.c->estimates().capacity_quanta_per_second > 3.9);
    CHECK(t.c->estimates().concurrency_limit <= 4.5);
    CHECK(t.c->estimates().bands[0].quanta_per_period == 0.0);
    t.c->restore(l);  // too late: nothing
    CHECK(t.c->estimates().capacity_quanta_per_second > 3.9);
}

// ---- the program ----

TEST_CASE(
    "a gateway keeps what it has learned and starts again with it; a folder that cannot be had ends "
    "nothing") {
    TemporaryDirectory folder;
    TestLoop w;
    ListeningPeer server(w.loop);
    config::OperatorConfig o;
    o.scgi_address = o.http_address = "127.0.0.1:0";
    o.inventory_path = folder.write_file(
        "servers.csv", "name,address,protocol,group\nup," + server.address() + ",http,maps\n");
    o.policy_settings = test_settings();
    o.learned_state.directory = folder.path + "/state";
    o.learned_state.node_name = "n3";
    double price = 0.0;
    {
        upstream::UpstreamGateway g(w.loop, w.timers, w.loop, o, 7);
        CHECK(take_log().find("learning: a cold start: nothing has been kept") != std::string::npos);
        for (int i = 0; i < 3; ++i) {
            auto c = connect_peer(w, g.http_port());
            c->send("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
            w.run_until([&] { return server.has_received("\r\n\r\nx") && !server.latest_peer().is_closed; });
            server.latest_peer().send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
            w.run_until([&] { return c->has_received("ok"); });
        }
        price = g.request_manager().learned().classes[0].price_seconds;
        upstream::UpstreamGateway second(w.loop, w.timers, w.loop, o,
                                         7);  // the folder is taken: it serves all the same
        CHECK(take_log().find("another process keeps its own there") != std::string::npos);
        g.save_learned_state();
        g.log_report();
        CHECK(take_log().find("learning: generation 1, 1 saves, 0 failed") != std::string::npos);
    }
    upstream::UpstreamGateway again(w.loop, w.timers, w.loop, o, 7);
    CHECK(take_log().find("learning: 1 classes and 1 servers of generation 1") != std::string::npos);
    const double guess = 0.17 * 2.9, now = again.request_manager().learned().classes[0].price_seconds;
    CHECK(now < guess);
    CHECK(now > price);  // three completions are trusted by three thirteenths
    for (const char* n : {"lock", "snap-0000000000000001", "log-0000000000000001"})
        std::remove((o.learned_state.directory + '/' + n).c_str());
    ::rmdir(o.learned_state.directory.c_str());
}

}  // namespace
