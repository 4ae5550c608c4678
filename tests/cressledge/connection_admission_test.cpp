// The decisions of admission on a scripted clock: networks, sources, the gate, the descriptor budget. No sockets.
#include <map>
#include <random>
#include <set>

#include "connection_admission/connection_limiter.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::connection_admission;

IpAddress ip(const std::string& text) {
    std::string wrong;
    const auto n = parse_network(text, wrong);
    INFO(text << wrong);
    REQUIRE(n);
    return n->base_address;
}
constexpr Timestamp t0{1'764'576'000'000'000};
constexpr Duration ms(std::int64_t n) {
    return Duration(n * 1000);
}

struct LimiterFixture {  // a gate under audit, with the clock and the connections it was told of
    Settings settings;
    std::unique_ptr<ConnectionLimiter> instance;
    Timestamp now = t0;
    std::uint64_t last_connection_id = 0;
    std::map<std::uint64_t, ConnectionSlotId> slots;  // by tag

    LimiterFixture() { settings.max_connections = 20, settings.rejection_slots = 4; }
    ~LimiterFixture() {
        if (instance)
            instance->check_invariants();
    }
    void add_group(const std::string& network, const std::string& name, std::uint32_t connections,
                   std::uint32_t requests, const SourceLimits& caps = {}) {
        settings.groups.push_back({name, caps, connections, requests});
        std::string wrong;
        REQUIRE(settings.networks.add(*parse_network(network, wrong), settings.groups.size(), wrong));
    }
    ConnectionLimiter& limiter() {
        if (!instance)
            instance = std::make_unique<ConnectionLimiter>(settings, 7);
        return *instance;
    }
    ConnectionLimiter::ConnectionDecision open(const IpAddress& from) {
        const auto e = limiter().admit_connection(now, from, 0, ++last_connection_id);
        if (e.evicted)
            slots.erase(e.evicted->connection_id);
        if (e.slot_id != 0)
            slots[last_connection_id] = e.slot_id;
        return e;
    }
    ConnectionLimiter::ConnectionDecision open(const std::string& from) { return open(ip(from)); }
    ConnectionSlotId open_with_request(const std::string& from) {  // a connection with a request in hand
        const auto e = open(from);
        REQUIRE((e.slot_id != 0 && !e.rejected));
        REQUIRE(limiter().admit_request(now, e.slot_id).admitted);
        return e.slot_id;
    }
};

TEST_CASE("the longest prefix lists a caller, and IPv4 is one address however it is told") {
    NetworkGroupTable n;
    std::string wrong;
    const auto add = [&](const char* text, GroupIndex g) {
        const auto parsed = parse_network(text, wrong);
        return parsed && n.add(*parsed, g, wrong);
    };
    REQUIRE(add("10.0.0.0/8", 1));
    REQUIRE(add("10.1.2.0/24", 2));  // an exception to group 1
    REQUIRE(add("2001:db8::/32", 1));
    REQUIRE(add("::/0", 3));
    CHECK(n.longest_match(ip("10.9.9.9")).group_index == 1);
    CHECK(n.longest_match(ip("10.1.2.3")).group_index == 2);
    CHECK(n.longest_match(ip("::ffff:10.1.2.3")).group_index == 2);
    CHECK(n.longest_match(ip("2001:db8::1")).group_index == 1);
    CHECK(n.longest_match(ip("2002::1")).group_index == 3);
    CHECK(n.longest_match(ip("192.0.2.1")).group_index == 0);  // no IPv6 network takes in IPv4
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
    CHECK(ip("::ffff:10.1.2.3").to_string() == "10.1.2.3");
    CHECK(Network{ip("10.1.2.0"), 120}.to_string() == "10.1.2.0/24");
}

TEST_CASE("a source is capped in connections, in new ones a second and in requests; the others are not") {
    LimiterFixture g;
    g.settings.unlisted_source_limits = {3, 2, 4.0, 5.0};
    g.open_with_request("127.0.0.9");
    g.open_with_request("127.0.0.9");
    const auto third = g.open("127.0.0.9");
    const auto ruling = g.limiter().admit_request(g.now, third.slot_id);
    CHECK_FALSE(ruling.admitted);
    CHECK(ruling.reason == RejectionReason::source_requests);
    CHECK(ruling.retry_after > Duration(0));
    CHECK(g.open("127.0.0.9").reason == RejectionReason::source_connections);
    CHECK(g.open("127.0.0.9").rejected);
    CHECK(g.open("127.0.0.9").reason ==
          RejectionReason::connection_rate);  // five at once, then four a second
    CHECK_FALSE(g.open("127.0.0.10").rejected);
    g.now += ms(260);
    CHECK(g.open("127.0.0.9").reason == RejectionReason::source_connections);
    g.now -= ms(3'600'000);  // the clock is set back an hour: the bucket goes on filling from there
    CHECK(g.open("127.0.0.9").reason == RejectionReason::connection_rate);
    g.now += ms(260);
    CHECK(g.open("127.0.0.9").reason == RejectionReason::source_connections);
    const auto rows = g.limiter().top_rejected_sources(5);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].source == "127.0.0.9");
    CHECK(rows[0].rejections[static_cast<std::size_t>(RejectionReason::source_connections)] == 4);
    CHECK(rows[0].rejections[static_cast<std::size_t>(RejectionReason::connection_rate)] == 2);
    CHECK(rows[0].total_rejections == 7);
}

TEST_CASE("neighbours count as one source by their prefix, and a listed caller never with others") {
    LimiterFixture g;
    g.settings.v4_prefix_length = 24;
    g.settings.unlisted_source_limits.max_connections = 2;
    g.add_group("127.0.5.7", "front-ends", 1, 1);
    CHECK_FALSE(g.open("127.0.5.1").rejected);
    CHECK_FALSE(g.open("127.0.5.2").rejected);
    CHECK(g.open("127.0.5.3").reason == RejectionReason::source_connections);
    CHECK_FALSE(g.open("127.0.6.3").rejected);
    CHECK_FALSE(g.open("127.0.5.7").rejected);
    CHECK(g.limiter().group_usage(1).open_connections == 1);
}

TEST_CASE("the fuller the table, the less of it one source may take") {
    LimiterFixture g;
    g.settings.free_connection_share = 1.0;
    for (int i = 0; i < 10; ++i)
        g.open_with_request("127.0.0.9");  // half of the table, with a request on each
    CHECK(g.open("127.0.0.9").reason == RejectionReason::source_share);
    for (int i = 0; i < 5; ++i)
        g.open_with_request("127.0.0.10");
    CHECK(g.open("127.0.0.10").reason == RejectionReason::source_share);
    for (int i = 0; i < 5; ++i)
        CHECK_FALSE(g.open("127.0.1." + std::to_string(i)).rejected);
    // A source over its share gives up its own silent connection, nobody else's.
    LimiterFixture own;
    own.settings.free_connection_share = 1.0;
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(own.open("127.0.0.9").rejected);
    own.now += ms(300);
    const auto e = own.open("127.0.0.9");
    CHECK_FALSE(e.rejected);
    REQUIRE(e.evicted);
    CHECK(e.evicted->connection_id == 1);
}

TEST_CASE(
    "a full table lets go the longest silent of who holds most, then who rests, never a request in hand") {
    LimiterFixture g;
    const ConnectionSlotId busy = g.open_with_request("127.0.0.1");
    const auto rests = g.open("127.0.0.2");
    REQUIRE(g.limiter().admit_request(g.now, rests.slot_id).admitted);
    g.limiter().on_response_sent(g.now, rests.slot_id, true);
    g.open("127.0.0.3");  // silent for as long as the flood, and alone
    for (int i = 0; i < 17; ++i)
        g.open("127.0.0.9");
    g.now += ms(10);
    auto e = g.open("127.0.0.4");  // young, all of them: the one who holds far more gives way
    REQUIRE(e.evicted);
    CHECK(e.evicted->connection_id == 4);
    g.now += ms(300);
    for (int i = 0; i < 15; ++i)
        REQUIRE(g.open("127.0.1." + std::to_string(i)).evicted);
    CHECK(g.slots.count(3) == 1);
    CHECK(g.slots.count(2) == 1);
    for (int i = 0; i < 40; ++i) {
        g.now += ms(300);
        REQUIRE(g.open("127.0.2." + std::to_string(i)).evicted);
    }
    CHECK(g.limiter().address_of(busy) == ip("127.0.0.1"));
    CHECK(g.limiter().shared_in_flight_requests() == 1);
}

TEST_CASE("a last answer is left to be read, and counts as in hand until its connection is closed") {
    LimiterFixture g;
    g.settings.max_connections = 1;
    g.settings.rejection_slots = 0;
    const ConnectionSlotId seat = g.open_with_request("127.0.0.1");
    g.limiter().on_response_sent(g.now, seat, false);
    CHECK(g.limiter().shared_in_flight_requests() == 1);
    CHECK(g.open("127.0.0.2").reason == RejectionReason::total_connections);
    g.now += ms(260);
    CHECK(g.open("127.0.0.2").evicted);
    CHECK(g.limiter().shared_in_flight_requests() == 0);
    g.limiter().release_connection(seat);  // comes late, and meets another's seat: nothing
    CHECK(g.limiter().open_connections() == 1);
}

TEST_CASE("a lent reserve comes back at once, and no request in hand is cut off for it") {
    LimiterFixture g;
    g.add_group("127.1.0.0/16", "front-ends", 5, 5);
    for (int i = 0; i < 15; ++i)
        g.open_with_request("127.0.0." + std::to_string(i));
    for (int i = 0; i < 5; ++i) {  // on lent room, without a request in hand
        const auto e = g.open("127.0.3." + std::to_string(i));
        REQUIRE_FALSE(e.rejected);
        const auto r = g.limiter().admit_request(g.now, e.slot_id);
        CHECK_FALSE(r.admitted);
        CHECK(r.reason == RejectionReason::total_requests);
    }
    for (int i = 0; i < 5; ++i) {
        const auto e = g.open("127.1.0.1");
        REQUIRE(e.evicted);
        CHECK(e.evicted->connection_id > 15);
        CHECK(g.limiter().admit_request(g.now, e.slot_id).admitted);
    }
    CHECK(g.open("127.0.4.1").reason ==
          RejectionReason::total_connections);  // the reserve is in use and not lent any more
    CHECK(g.open("127.1.0.1").reason ==
          RejectionReason::total_connections);  // and beyond it a listed caller is like the others
    CHECK(g.limiter().group_usage(1).in_flight_requests == 5);
}

TEST_CASE("a listed caller that runs away meets its own caps, and leaves its group's others their reserve") {
    LimiterFixture g;
    g.add_group("127.1.0.0/16", "front-ends", 8, 8, {4, 3, 0.0, 1.0});
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(g.open("127.1.0.1").rejected);
    CHECK(g.open("127.1.0.1").reason == RejectionReason::source_connections);
    for (int i = 0; i < 30; ++i)
        g.open("127.0.0." + std::to_string(i));
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(g.open("127.1.0.2").rejected);
    CHECK(g.limiter().group_usage(1).open_connections == 8);
}

TEST_CASE("the lobby reads a few of the refused, and not of one source alone") {
    LimiterFixture g;
    g.settings.unlisted_source_limits.max_connections = 1;
    g.open("127.0.0.9");
    const auto first = g.open("127.0.0.9");
    CHECK((first.rejected && first.slot_id != 0));
    const auto r = g.limiter().admit_request(g.now, first.slot_id);
    CHECK_FALSE(r.admitted);
    CHECK(r.reason == RejectionReason::source_connections);
    CHECK(g.open("127.0.0.9").slot_id == 0);
    g.open("127.0.0.8");
    CHECK(g.open("127.0.0.8").slot_id != 0);
    CHECK(g.limiter().rejection_slots_in_use() == 2);
    CHECK(g.limiter().rejections()[static_cast<std::size_t>(RejectionReason::source_connections)] ==
          3);  // once each
    g.limiter().release_connection(first.slot_id);
    CHECK(g.open("127.0.0.9").slot_id != 0);
}

TEST_CASE("rotating addresses evict neither the listed nor who has something open, and refill no bucket") {
    LimiterFixture g;
    g.settings.tracked_sources = 64;
    g.settings.max_connections = 16;
    g.settings.unlisted_source_limits = {2, 0, 1.0, 2.0};
    g.add_group("127.1.0.0/16", "front-ends", 2, 2, {1, 0, 0.0, 1.0});
    REQUIRE_FALSE(g.open("127.1.0.1").rejected);
    REQUIRE_FALSE(g.open("127.0.0.1").rejected);
    const std::size_t bytes = g.limiter().memory_bytes();
    std::uint64_t taken = 0;
    for (std::uint32_t i = 0; i < 20'000; ++i)
        taken += g.open(IpAddress::from_v4(0x0a000000U + i)).rejected ? 0 : 1;
    CHECK(g.limiter().memory_bytes() == bytes);
    CHECK(taken < 64 * 3);  // not two for each of 20,000 addresses
    CHECK(g.open("127.1.0.1").reason == RejectionReason::source_connections);  // still known to hold its one
    RejectionCounts sum = g.limiter().rejections_of_evicted_sources();
    for (const auto& row : g.limiter().top_rejected_sources(1'000))
        for (std::size_t r = 0; r < rejection_reason_count; ++r)
            sum[r] += row.rejections[r];
    CHECK(sum == g.limiter().rejections());  // none is lost from the totals
}

TEST_CASE("a reload that shrinks the caps cuts nobody off, and regroups who is open") {
    LimiterFixture g;
    for (int i = 0; i < 12; ++i)
        g.open_with_request("127.0.0." + std::to_string(i));
    for (int i = 0; i < 6; ++i)
        g.open("127.1.0.1");
    g.settings.max_connections = 8;
    g.settings.unlisted_source_limits.max_connections = 1;
    g.add_group("127.1.0.0/16", "front-ends", 3, 3);
    g.limiter().reconfigure(g.now, g.settings);
    g.limiter().check_invariants();
    CHECK(g.limiter().open_connections() == 18);
    CHECK(g.limiter().group_usage(1).open_connections == 6);
    CHECK(g.open("127.0.9.9").reason == RejectionReason::total_connections);
    for (int i = 1; i <= 12; ++i)
        g.limiter().release_connection(g.slots[static_cast<std::uint64_t>(i)]);
    CHECK(g.limiter().open_connections() == 6);
    CHECK_FALSE(g.open("127.0.9.9").rejected);
    CHECK(g.open("127.0.9.9").reason == RejectionReason::source_connections);
    g.settings.groups.clear();
    g.settings.networks = {};
    g.limiter().reconfigure(g.now, g.settings);
    CHECK(g.limiter().open_connections() == 7);
}

// The invariants of gate.hpp, against random events.
TEST_CASE("whatever comes, a listed caller inside its reserve gets in and its request is taken") {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
        LimiterFixture g;
        g.settings.max_connections = 8 + below(40);
        g.settings.max_in_flight_requests = below(2) == 0 ? 0 : 6 + below(40);
        g.settings.free_connection_share = below(2) * 0.5;
        g.settings.unlisted_source_limits = {below(2) * 6, below(2) * 3, below(2) * 20.0, 1.0 + below(10)};
        g.add_group("127.1.0.0/16", "a", 1 + below(3), 1 + below(2));
        g.add_group("127.2.0.0/16", "b", 1 + below(3), 1 + below(2));
        std::set<std::uint64_t> in_hand;  // tags
        for (int step = 0; step < 400; ++step) {
            g.now += Duration(below(40'000));
            const auto at = [&] {
                auto it = g.slots.begin();
                std::advance(it, below(static_cast<std::uint32_t>(g.slots.size())));
                return it;
            };
            const std::uint32_t what = g.slots.empty() ? 0 : below(10);
            if (what < 5) {
                const std::uint32_t group = below(4) == 0 ? 1 + below(2) : 0;
                const ConnectionLimiter::GroupUsage use = g.limiter().group_usage(group);
                const bool entitled =
                    group != 0 && use.open_connections < g.settings.groups[group - 1].reserved_connections;
                const auto e = g.open(IpAddress::from_v4(0x7f000000U | group << 16U | below(12)));
                INFO("seed " << seed << " step " << step);
                if (e.evicted)
                    REQUIRE(in_hand.count(e.evicted->connection_id) == 0);
                if (entitled)
                    REQUIRE_FALSE(e.rejected);
                if (entitled && use.in_flight_requests < g.settings.groups[group - 1].reserved_requests) {
                    REQUIRE(g.limiter().admit_request(g.now, e.slot_id).admitted);
                    in_hand.insert(g.last_connection_id);
                }
            } else if (what < 8) {
                const auto it = at();
                if (in_hand.count(it->first) == 0 && g.limiter().admit_request(g.now, it->second).admitted)
                    in_hand.insert(it->first);
            } else if (what == 8) {
                const auto it = at();
                if (in_hand.erase(it->first) != 0) {
                    const bool stays = below(2) == 0;
                    g.limiter().on_response_sent(g.now, it->second, stays);
                    if (!stays && below(2) == 0)
                        g.limiter().release_connection(it->second);
                    if (!stays)
                        g.slots.erase(it);  // no request comes on it any more
                }
            } else {
                const auto it = at();
                g.limiter().release_connection(it->second);
                in_hand.erase(it->first);
                g.slots.erase(it);
            }
            REQUIRE(g.limiter().open_connections() <= g.settings.max_connections);
            if (step % 50 == 0)
                g.limiter().check_invariants();
        }
    }
}

// ---- descriptors ----

TEST_CASE("each purpose gets up to its guarantee, whoever else takes what there is") {
    DescriptorDemand needs;
    needs.listeners = 2;
    needs.upstream = 40;
    needs.min_upstream = 6;
    needs.reserved_connections = 3;
    const DescriptorPlan p = plan_descriptors(40, 5, needs, 100);
    CHECK(p.max_connections ==
          40 - 5 - 2 - 2 - 6 - 1);  // all but what is held, listeners, files, calls, and one
    CHECK_THROWS_WITH(plan_descriptors(18, 5, needs, 100), "18 descriptors are too few: at least 19");
    FileDescriptorBudget d(p);
    std::vector<FileDescriptorBudget::Lease> fronts, calls;
    for (int i = 0; i < 100; ++i)
        if (auto l = d.try_acquire(t0, DescriptorPurpose::frontend))
            fronts.push_back(std::move(l));
    CHECK(fronts.size() == p.max_connections + 1);
    for (int i = 0; i < 6; ++i) {
        calls.push_back(d.try_acquire(t0, DescriptorPurpose::upstream));
        CHECK(calls.back());
    }
    CHECK_FALSE(d.try_acquire(t0, DescriptorPurpose::upstream));
    CHECK(d.denied(DescriptorPurpose::upstream) == 1);
    bool fed = false;
    d.on_released([&] { fed = true; });
    fronts.pop_back();
    CHECK(fed);
    CHECK(d.used() == 5 + p.max_connections + 6);
}

TEST_CASE("a call outranks a connection that has nothing in hand, and what the system refuses is believed") {
    DescriptorDemand needs;
    needs.upstream = 10;
    needs.min_upstream = 1;
    FileDescriptorBudget d(plan_descriptors(10, 0, needs, 6));
    std::vector<FileDescriptorBudget::Lease> fronts;
    while (auto l = d.try_acquire(t0, DescriptorPurpose::frontend))
        fronts.push_back(std::move(l));
    const std::size_t most = fronts.size();
    d.on_exhausted([&] {
        if (fronts.empty())
            return false;
        fronts.pop_back();
        return true;
    });
    auto first = d.try_acquire(t0, DescriptorPurpose::upstream),
         second = d.try_acquire(t0, DescriptorPurpose::upstream);
    CHECK((first && second));
    CHECK(fronts.size() == most - 1);
    second.release();
    d.on_system_exhausted(
        t0);  // EMFILE below the limit: one makes room, and what was in use is the limit for a while
    CHECK(fronts.size() == most - 2);
    fronts.push_back(d.try_acquire(t0, DescriptorPurpose::frontend));
    CHECK(fronts.back());
    CHECK_FALSE(d.try_acquire(t0 + ms(190), DescriptorPurpose::frontend));
    CHECK(d.try_acquire(t0 + ms(201), DescriptorPurpose::frontend));
}

}  // namespace
