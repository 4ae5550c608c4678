// The decisions of admission on a scripted clock: networks, sources, the gate, the descriptor budget. No sockets.
#include <map>
#include <random>
#include <set>

#include "admission/descriptors.hpp"
#include "admission/gate.hpp"
#include "support.hpp"

namespace {

using namespace story;
using namespace cressledge::admission;

Ip ip(const std::string& text) {
    std::string wrong;
    const auto n = parse_network(text, wrong);
    INFO(text << wrong);
    REQUIRE(n);
    return n->base;
}
constexpr Time t0{1'764'576'000'000'000};
constexpr Span ms(std::int64_t n) { return Span(n * 1000); }

struct Gates {  // a gate under audit, with the clock and the connections it was told of
    Settings s;
    std::unique_ptr<Gate> gate;
    Time now = t0;
    std::uint64_t tags = 0;
    std::map<std::uint64_t, SeatNo> seats;  // by tag

    Gates() { s.connections = 20, s.lobby = 4; }
    ~Gates() {
        if (gate) gate->audit();
    }
    void list(const std::string& network, const std::string& name, std::uint32_t connections,
              std::uint32_t requests, const Caps& caps = {}) {
        s.groups.push_back({name, caps, connections, requests});
        std::string wrong;
        REQUIRE(s.networks.add(*parse_network(network, wrong), s.groups.size(), wrong));
    }
    Gate& made() {
        if (!gate) gate = std::make_unique<Gate>(s, 7);
        return *gate;
    }
    Gate::Entry open(const Ip& from) {
        const auto e = made().open(now, from, 0, ++tags);
        if (e.makes_room) seats.erase(e.makes_room->tag);
        if (e.seat != 0) seats[tags] = e.seat;
        return e;
    }
    Gate::Entry open(const std::string& from) { return open(ip(from)); }
    SeatNo held(const std::string& from) {  // a connection with a request in hand
        const auto e = open(from);
        REQUIRE((e.seat != 0 && !e.refused));
        REQUIRE(made().request(now, e.seat).may);
        return e.seat;
    }
};

TEST_CASE("the longest prefix lists a caller, and IPv4 is one address however it is told") {
    Networks n;
    std::string wrong;
    const auto add = [&](const char* text, GroupNo g) {
        const auto parsed = parse_network(text, wrong);
        return parsed && n.add(*parsed, g, wrong);
    };
    REQUIRE(add("10.0.0.0/8", 1));
    REQUIRE(add("10.1.2.0/24", 2));  // an exception to group 1
    REQUIRE(add("2001:db8::/32", 1));
    REQUIRE(add("::/0", 3));
    CHECK(n.find(ip("10.9.9.9")).group == 1);
    CHECK(n.find(ip("10.1.2.3")).group == 2);
    CHECK(n.find(ip("::ffff:10.1.2.3")).group == 2);
    CHECK(n.find(ip("2001:db8::1")).group == 1);
    CHECK(n.find(ip("2002::1")).group == 3);
    CHECK(n.find(ip("192.0.2.1")).group == 0);  // no IPv6 network takes in IPv4
    const std::pair<const char*, const char*> bad[] = {
        {"10.0.0.0/8", "a duplicate: 10.0.0.0/8"},
        {"::ffff:10.0.0.0/104", "a duplicate: 10.0.0.0/8"},
        {"10.7.0.0/16", "overlaps one of its group: 10.7.0.0/16 and 10.0.0.0/8"},
        {"10.0.0.1/8", "bits set beyond its prefix: 10.0.0.1/8"},
        {"10.0.0.0/33", "not a network: 10.0.0.0/33"},
        {"tiles.example.org", "not a network: tiles.example.org"},
        {"", "not a network: "},
    };
    for (const auto& [text, why] : bad) {
        CHECK_FALSE(add(text, 1));
        CHECK(wrong == why);
    }
    CHECK(ip("::ffff:10.1.2.3").text() == "10.1.2.3");
    CHECK(Network{ip("10.1.2.0"), 120}.text() == "10.1.2.0/24");
}

TEST_CASE("a source is capped in connections, in new ones a second and in requests; the others are not") {
    Gates g;
    g.s.source = {3, 2, 4.0, 5.0};
    g.held("127.0.0.9");
    g.held("127.0.0.9");
    const auto third = g.open("127.0.0.9");
    const auto ruling = g.made().request(g.now, third.seat);
    CHECK_FALSE(ruling.may);
    CHECK(ruling.reason == Reason::in_hand);
    CHECK(ruling.hold_off > Span(0));
    CHECK(g.open("127.0.0.9").reason == Reason::open);
    CHECK(g.open("127.0.0.9").refused);
    CHECK(g.open("127.0.0.9").reason == Reason::rate);  // five at once, then four a second
    CHECK_FALSE(g.open("127.0.0.10").refused);
    g.now += ms(260);
    CHECK(g.open("127.0.0.9").reason == Reason::open);
    g.now -= ms(3'600'000);  // the clock is set back an hour: the bucket goes on filling from there
    CHECK(g.open("127.0.0.9").reason == Reason::rate);
    g.now += ms(260);
    CHECK(g.open("127.0.0.9").reason == Reason::open);
    const auto rows = g.made().top(5);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].source == "127.0.0.9");
    CHECK(rows[0].refused[static_cast<std::size_t>(Reason::open)] == 4);
    CHECK(rows[0].refused[static_cast<std::size_t>(Reason::rate)] == 2);
    CHECK(rows[0].total == 7);
}

TEST_CASE("neighbours count as one source by their prefix, and a listed caller never with others") {
    Gates g;
    g.s.v4_bits = 24;
    g.s.source.open = 2;
    g.list("127.0.5.7", "front-ends", 1, 1);
    CHECK_FALSE(g.open("127.0.5.1").refused);
    CHECK_FALSE(g.open("127.0.5.2").refused);
    CHECK(g.open("127.0.5.3").reason == Reason::open);
    CHECK_FALSE(g.open("127.0.6.3").refused);
    CHECK_FALSE(g.open("127.0.5.7").refused);
    CHECK(g.made().use(1).open == 1);
}

TEST_CASE("the fuller the table, the less of it one source may take") {
    Gates g;
    g.s.share = 1.0;
    for (int i = 0; i < 10; ++i) g.held("127.0.0.9");  // half of the table, with a request on each
    CHECK(g.open("127.0.0.9").reason == Reason::share);
    for (int i = 0; i < 5; ++i) g.held("127.0.0.10");
    CHECK(g.open("127.0.0.10").reason == Reason::share);
    for (int i = 0; i < 5; ++i) CHECK_FALSE(g.open("127.0.1." + std::to_string(i)).refused);
    // A source over its share gives up its own silent connection, nobody else's.
    Gates own;
    own.s.share = 1.0;
    for (int i = 0; i < 10; ++i) CHECK_FALSE(own.open("127.0.0.9").refused);
    own.now += ms(300);
    const auto e = own.open("127.0.0.9");
    CHECK_FALSE(e.refused);
    REQUIRE(e.makes_room);
    CHECK(e.makes_room->tag == 1);
}

TEST_CASE("a full table lets go the longest silent of who holds most, then who rests, never a request in hand") {
    Gates g;
    const SeatNo busy = g.held("127.0.0.1");
    const auto rests = g.open("127.0.0.2");
    REQUIRE(g.made().request(g.now, rests.seat).may);
    g.made().answered(g.now, rests.seat, true);
    g.open("127.0.0.3");  // silent for as long as the flood, and alone
    for (int i = 0; i < 17; ++i) g.open("127.0.0.9");
    g.now += ms(10);
    auto e = g.open("127.0.0.4");  // young, all of them: the one who holds far more gives way
    REQUIRE(e.makes_room);
    CHECK(e.makes_room->tag == 4);
    g.now += ms(300);
    for (int i = 0; i < 15; ++i) REQUIRE(g.open("127.0.1." + std::to_string(i)).makes_room);
    CHECK(g.seats.count(3) == 1);
    CHECK(g.seats.count(2) == 1);
    for (int i = 0; i < 40; ++i) {
        g.now += ms(300);
        REQUIRE(g.open("127.0.2." + std::to_string(i)).makes_room);
    }
    CHECK(g.made().ip(busy) == ip("127.0.0.1"));
    CHECK(g.made().shared_in_hand() == 1);
}

TEST_CASE("a last answer is left to be read, and counts as in hand until its connection is closed") {
    Gates g;
    g.s.connections = 1;
    g.s.lobby = 0;
    const SeatNo seat = g.held("127.0.0.1");
    g.made().answered(g.now, seat, false);
    CHECK(g.made().shared_in_hand() == 1);
    CHECK(g.open("127.0.0.2").reason == Reason::full);
    g.now += ms(260);
    CHECK(g.open("127.0.0.2").makes_room);
    CHECK(g.made().shared_in_hand() == 0);
    g.made().close(seat);  // comes late, and meets another's seat: nothing
    CHECK(g.made().open() == 1);
}

TEST_CASE("a lent reserve comes back at once, and no request in hand is cut off for it") {
    Gates g;
    g.list("127.1.0.0/16", "front-ends", 5, 5);
    for (int i = 0; i < 15; ++i) g.held("127.0.0." + std::to_string(i));
    for (int i = 0; i < 5; ++i) {  // on lent room, without a request in hand
        const auto e = g.open("127.0.3." + std::to_string(i));
        REQUIRE_FALSE(e.refused);
        const auto r = g.made().request(g.now, e.seat);
        CHECK_FALSE(r.may);
        CHECK(r.reason == Reason::requests);
    }
    for (int i = 0; i < 5; ++i) {
        const auto e = g.open("127.1.0.1");
        REQUIRE(e.makes_room);
        CHECK(e.makes_room->tag > 15);
        CHECK(g.made().request(g.now, e.seat).may);
    }
    CHECK(g.open("127.0.4.1").reason == Reason::full);  // the reserve is in use and not lent any more
    CHECK(g.open("127.1.0.1").reason == Reason::full);  // and beyond it a listed caller is like the others
    CHECK(g.made().use(1).in_hand == 5);
}

TEST_CASE("a listed caller that runs away meets its own caps, and leaves its group's others their reserve") {
    Gates g;
    g.list("127.1.0.0/16", "front-ends", 8, 8, {4, 3, 0.0, 1.0});
    for (int i = 0; i < 4; ++i) CHECK_FALSE(g.open("127.1.0.1").refused);
    CHECK(g.open("127.1.0.1").reason == Reason::open);
    for (int i = 0; i < 30; ++i) g.open("127.0.0." + std::to_string(i));
    for (int i = 0; i < 4; ++i) CHECK_FALSE(g.open("127.1.0.2").refused);
    CHECK(g.made().use(1).open == 8);
}

TEST_CASE("the lobby reads a few of the refused, and not of one source alone") {
    Gates g;
    g.s.source.open = 1;
    g.open("127.0.0.9");
    const auto first = g.open("127.0.0.9");
    CHECK((first.refused && first.seat != 0));
    const auto r = g.made().request(g.now, first.seat);
    CHECK_FALSE(r.may);
    CHECK(r.reason == Reason::open);
    CHECK(g.open("127.0.0.9").seat == 0);
    g.open("127.0.0.8");
    CHECK(g.open("127.0.0.8").seat != 0);
    CHECK(g.made().in_lobby() == 2);
    CHECK(g.made().refused()[static_cast<std::size_t>(Reason::open)] == 3);  // once each
    g.made().close(first.seat);
    CHECK(g.open("127.0.0.9").seat != 0);
}

TEST_CASE("rotating addresses evict neither the listed nor who has something open, and refill no bucket") {
    Gates g;
    g.s.sources = 64;
    g.s.connections = 16;
    g.s.source = {2, 0, 1.0, 2.0};
    g.list("127.1.0.0/16", "front-ends", 2, 2, {1, 0, 0.0, 1.0});
    REQUIRE_FALSE(g.open("127.1.0.1").refused);
    REQUIRE_FALSE(g.open("127.0.0.1").refused);
    const std::size_t bytes = g.made().bytes();
    std::uint64_t taken = 0;
    for (std::uint32_t i = 0; i < 20'000; ++i) taken += g.open(Ip::v4(0x0a000000U + i)).refused ? 0 : 1;
    CHECK(g.made().bytes() == bytes);
    CHECK(taken < 64 * 3);  // not two for each of 20,000 addresses
    CHECK(g.open("127.1.0.1").reason == Reason::open);  // still known to hold its one
    Tally sum = g.made().refused_by_evicted();
    for (const auto& row : g.made().top(1'000))
        for (std::size_t r = 0; r < reasons; ++r) sum[r] += row.refused[r];
    CHECK(sum == g.made().refused());  // none is lost from the totals
}

TEST_CASE("a reload that shrinks the caps cuts nobody off, and regroups who is open") {
    Gates g;
    for (int i = 0; i < 12; ++i) g.held("127.0.0." + std::to_string(i));
    for (int i = 0; i < 6; ++i) g.open("127.1.0.1");
    g.s.connections = 8;
    g.s.source.open = 1;
    g.list("127.1.0.0/16", "front-ends", 3, 3);
    g.made().reload(g.now, g.s);
    g.made().audit();
    CHECK(g.made().open() == 18);
    CHECK(g.made().use(1).open == 6);
    CHECK(g.open("127.0.9.9").reason == Reason::full);
    for (int i = 1; i <= 12; ++i) g.made().close(g.seats[static_cast<std::uint64_t>(i)]);
    CHECK(g.made().open() == 6);
    CHECK_FALSE(g.open("127.0.9.9").refused);
    CHECK(g.open("127.0.9.9").reason == Reason::open);
    g.s.groups.clear();
    g.s.networks = {};
    g.made().reload(g.now, g.s);
    CHECK(g.made().open() == 7);
}

// The invariants of gate.hpp, against random events.
TEST_CASE("whatever comes, a listed caller inside its reserve gets in and its request is taken") {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
        Gates g;
        g.s.connections = 8 + below(40);
        g.s.requests = below(2) == 0 ? 0 : 6 + below(40);
        g.s.share = below(2) * 0.5;
        g.s.source = {below(2) * 6, below(2) * 3, below(2) * 20.0, 1.0 + below(10)};
        g.list("127.1.0.0/16", "a", 1 + below(3), 1 + below(2));
        g.list("127.2.0.0/16", "b", 1 + below(3), 1 + below(2));
        std::set<std::uint64_t> in_hand;  // tags
        for (int step = 0; step < 400; ++step) {
            g.now += Span(below(40'000));
            const auto at = [&] {
                auto it = g.seats.begin();
                std::advance(it, below(static_cast<std::uint32_t>(g.seats.size())));
                return it;
            };
            const std::uint32_t what = g.seats.empty() ? 0 : below(10);
            if (what < 5) {
                const std::uint32_t group = below(4) == 0 ? 1 + below(2) : 0;
                const Gate::GroupUse use = g.made().use(group);
                const bool entitled = group != 0 && use.open < g.s.groups[group - 1].connections;
                const auto e = g.open(Ip::v4(0x7f000000U | group << 16U | below(12)));
                INFO("seed " << seed << " step " << step);
                if (e.makes_room) REQUIRE(in_hand.count(e.makes_room->tag) == 0);
                if (entitled) REQUIRE_FALSE(e.refused);
                if (entitled && use.in_hand < g.s.groups[group - 1].requests) {
                    REQUIRE(g.made().request(g.now, e.seat).may);
                    in_hand.insert(g.tags);
                }
            } else if (what < 8) {
                const auto it = at();
                if (in_hand.count(it->first) == 0 && g.made().request(g.now, it->second).may)
                    in_hand.insert(it->first);
            } else if (what == 8) {
                const auto it = at();
                if (in_hand.erase(it->first) != 0) {
                    const bool stays = below(2) == 0;
                    g.made().answered(g.now, it->second, stays);
                    if (!stays && below(2) == 0) g.made().close(it->second);
                    if (!stays) g.seats.erase(it);  // no request comes on it any more
                }
            } else {
                const auto it = at();
                g.made().close(it->second);
                in_hand.erase(it->first);
                g.seats.erase(it);
            }
            REQUIRE(g.made().open() <= g.s.connections);
            if (step % 50 == 0) g.made().audit();
        }
    }
}

// ---- descriptors ----

TEST_CASE("each purpose gets up to its guarantee, whoever else takes what there is") {
    Needs needs;
    needs.listeners = 2;
    needs.upstream = 40;
    needs.upstream_least = 6;
    needs.reserve = 3;
    const Plan p = plan(40, 5, needs, 100);
    CHECK(p.connections == 40 - 5 - 2 - 2 - 6 - 1);  // all but what is held, listeners, files, calls, and one
    CHECK_THROWS_WITH(plan(18, 5, needs, 100), "18 descriptors are too few: at least 19");
    Descriptors d(p);
    std::vector<Descriptors::Lease> fronts, calls;
    for (int i = 0; i < 100; ++i)
        if (auto l = d.take(t0, Purpose::front)) fronts.push_back(std::move(l));
    CHECK(fronts.size() == p.connections + 1);
    for (int i = 0; i < 6; ++i) {
        calls.push_back(d.take(t0, Purpose::upstream));
        CHECK(calls.back());
    }
    CHECK_FALSE(d.take(t0, Purpose::upstream));
    CHECK(d.denied(Purpose::upstream) == 1);
    bool fed = false;
    d.on_free([&] { fed = true; });
    fronts.pop_back();
    CHECK(fed);
    CHECK(d.used() == 5 + p.connections + 6);
}

TEST_CASE("a call outranks a connection that has nothing in hand, and what the system refuses is believed") {
    Needs needs;
    needs.upstream = 10;
    needs.upstream_least = 1;
    Descriptors d(plan(10, 0, needs, 6));
    std::vector<Descriptors::Lease> fronts;
    while (auto l = d.take(t0, Purpose::front)) fronts.push_back(std::move(l));
    const std::size_t most = fronts.size();
    d.on_short([&] {
        if (fronts.empty()) return false;
        fronts.pop_back();
        return true;
    });
    auto first = d.take(t0, Purpose::upstream), second = d.take(t0, Purpose::upstream);
    CHECK((first && second));
    CHECK(fronts.size() == most - 1);
    second.release();
    d.refused_by_system(t0);  // EMFILE below the limit: one makes room, and what was in use is the limit for a while
    CHECK(fronts.size() == most - 2);
    fronts.push_back(d.take(t0, Purpose::front));
    CHECK(fronts.back());
    CHECK_FALSE(d.take(t0 + ms(190), Purpose::front));
    CHECK(d.take(t0 + ms(201), Purpose::front));
}

}  // namespace
