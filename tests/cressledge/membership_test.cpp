// The view of the fleet: its messages, its rules one by one, and whole fleets of it in the emulator.
#include <nlohmann/json.hpp>

#include "emulator/fleet.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using emulator::Fleet;
using membership::MessageType, membership::Message, membership::MemberState, membership::MemberUpdate,
    membership::MembershipTable;

Duration ms(std::int64_t n) {
    return Duration(n * 1000);
}

membership::Endpoint place(std::uint32_t n) {
    return {0x7F000000U + n, 7946};
}
MemberUpdate update(const std::string& id, std::uint32_t n, MemberState state = MemberState::alive,
                    std::uint32_t incarnation = 0, std::uint64_t birth = 100) {
    return {id, place(n), birth, incarnation, state, state == MemberState::suspect ? "judge" : ""};
}
Message message(MessageType kind, const MemberUpdate& sender, std::vector<MemberUpdate> updates = {}) {
    Message m;
    m.type = kind;
    m.sequence = 7;
    m.sender = sender;
    m.updates = std::move(updates);
    if (kind == MessageType::ping)
        m.target_id = "me";
    return m;
}

struct Alone {  // one view, and what it does
    membership::MemberIndexTable names;
    membership::MembershipSettings rules;
    Timestamp now{1'000'000'000};
    MembershipTable view;
    MembershipTable::Effects out;
    explicit Alone(membership::MembershipSettings r = {})
        : rules(r), view(names, false, rules, {"me", place(1), 100}, {}, 5, now) {}
    void hear(const Message& m, std::uint32_t from = 2) { view.on_message(now, m, place(from), out); }
    void hear(const MemberUpdate& u) { hear(message(MessageType::gossip, update("teller", 2), {u})); }
    void pass(Duration span) {
        for (const Timestamp end = now + span; now < end;) {
            now = std::min(end, std::max(now + Duration(1), view.next_deadline()));
            view.tick(now, out);
        }
    }
    MemberState state(const std::string& id) const { return *view.state_of(id); }
    bool sent(MessageType kind, const std::string& about, MemberState as) const {
        return std::any_of(
            out.messages.begin(), out.messages.end(), [&](const MembershipTable::OutgoingMessage& s) {
                return s.message.type == kind &&
                       std::any_of(s.message.updates.begin(), s.message.updates.end(),
                                   [&](const MemberUpdate& u) { return u.id == about && u.state == as; });
            });
    }
};

membership::MembershipSettings quick() {
    membership::MembershipSettings r;
    r.probe_interval = ms(250);
    return r;
}

const membership::Message& taken(const std::variant<Message, membership::DropReason>& v) {
    return std::get<Message>(v);
}

}  // namespace

TEST_CASE("a fleet message survives its wire form, and a datagram never outgrows its bound") {
    Message m = message(MessageType::ping, update("n1", 3),
                        {update("n2", 4, MemberState::suspect, 9), update("n3", 5, MemberState::dead)});
    const std::string bytes = membership::encode(m, "maps");
    CHECK(taken(membership::decode(bytes, "maps", membership::max_datagram_bytes)) == m);
    for (int i = 0; i < 500; ++i)
        m.updates.push_back(update(std::string(std::size_t(1 + i % 64), 'x'), 9, MemberState::suspect,
                                   membership::max_incarnation, membership::max_start_time_us));
    const std::string full = membership::encode(m, std::string(64, 'f'));
    CHECK(full.size() <= membership::max_datagram_bytes);
    CHECK(full.size() > membership::max_datagram_bytes - 200);
    CHECK(std::holds_alternative<Message>(
        membership::decode(full, std::string(64, 'f'), membership::max_datagram_bytes)));
}

TEST_CASE(
    "a later version's additions are passed over; other versions, fleets and sizes are dropped by cause") {
    using nlohmann::json;
    const Message m = message(MessageType::gossip, update("n1", 3), {update("n2", 4)});
    const std::string bytes = membership::encode(m, "maps");
    json j = json::from_msgpack(bytes);
    const auto as = [](const json& value) {
        std::string b;
        json::to_msgpack(value, b);
        return membership::decode(b, "maps", membership::max_datagram_bytes);
    };
    json later = j;
    later.push_back("new");
    later[4].push_back(1);
    later[7][0].push_back(json::array({1, 2}));
    CHECK(taken(as(later)) == m);
    json other = j;
    other[0] = 2;
    CHECK(std::get<membership::DropReason>(as(other)) == membership::DropReason::unknown_version);
    CHECK(std::get<membership::DropReason>(membership::decode(bytes, "charts", 1400)) ==
          membership::DropReason::other_fleet);
    CHECK(std::get<membership::DropReason>(membership::decode(std::string(1401, 'a'), "maps", 1400)) ==
          membership::DropReason::oversized);
    for (const json& bad : {json(7), json::array(), json::object({{"a", 1}}), json::array({1, "maps"})})
        CHECK(std::get<membership::DropReason>(as(bad)) == membership::DropReason::malformed);
    for (std::size_t field = 2; field < 8; ++field) {
        json wrong = j;
        wrong[field] = -1;
        CHECK(std::get<membership::DropReason>(as(wrong)) == membership::DropReason::malformed);
    }
    // Nesting without an end, and a length that nothing stands behind.
    CHECK(std::get<membership::DropReason>(membership::decode(
              std::string(1'000'000, '\x91'), "maps", 4U << 20U)) == membership::DropReason::malformed);
    CHECK(std::get<membership::DropReason>(
              membership::decode(testing::binary_literal("\xDD\xFF\xFF\xFF\xFF\x01"), "maps", 1400)) ==
          membership::DropReason::malformed);
}

TEST_CASE("mutated and random datagrams are dropped or read whole, and a view takes them without harm") {
    const Message m = message(MessageType::ping, update("n1", 3),
                              {update("n2", 4, MemberState::suspect, 9), update("n3", 5, MemberState::dead)});
    const std::string good = membership::encode(m, "maps");
    pcg32 random(11);
    Alone a;
    std::size_t read = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string b = good;
        if (i % 4 == 0)
            b.assign(random(200), '\0');
        const std::uint32_t changes = 1 + random(4);
        for (std::uint32_t k = 0; k < changes && !b.empty(); ++k)
            b[random(static_cast<std::uint32_t>(b.size()))] = static_cast<char>(random(256));
        if (random(3) == 0 && !b.empty())
            b.resize(random(static_cast<std::uint32_t>(b.size())));
        const auto d = membership::decode(b, "maps", membership::max_datagram_bytes);
        if (const Message* got = std::get_if<Message>(&d)) {
            ++read;
            a.hear(*got);
        }
        if (i % 100 == 0)
            a.pass(ms(1));
        a.out = {};
    }
    CHECK(read > 100);
    CHECK(a.view.live_count() <= a.rules.max_members);
}

TEST_CASE("a member that is silent is asked through others, suspected, and dead only after its time") {
    Alone a(quick());
    for (std::uint32_t n = 2; n < 7; ++n)
        a.hear(update("n" + std::to_string(n), n));
    CHECK(a.view.live_count() == 6);  // and the teller
    while (a.view.counters().indirect_probes == 0)
        a.pass(ms(1));
    CHECK(a.view.counters().probes == 1);
    CHECK(a.view.counters().indirect_probes == 3);
    CHECK(a.view.counters().suspicions_raised == 0);
    a.pass(ms(200));
    REQUIRE(a.view.counters().suspicions_raised == 1);
    const auto all = a.view.members();
    const auto suspect =
        std::find_if(all.begin(), all.end(), [](const auto& m) { return m.state == MemberState::suspect; });
    REQUIRE(suspect != all.end());
    // The shortest suspicion: 3 times the period; nobody confirms, so twice that.
    a.pass(ms(1200));
    CHECK(a.state(suspect->id) == MemberState::suspect);
    a.pass(ms(500));
    CHECK(a.state(suspect->id) == MemberState::dead);
}

TEST_CASE("independent confirmations shorten a suspicion, and a repeated one does not") {
    const auto lasts = [](int judges, int times) {
        Alone a(quick());
        for (std::uint32_t n = 2; n < 9; ++n)
            a.hear(update("n" + std::to_string(n), n));
        const Timestamp from = a.now;
        for (int j = 0; j < judges; ++j)
            for (int t = 0; t < times; ++t) {
                MemberUpdate u = update("n8", 8, MemberState::suspect);
                u.accuser_id = "n" + std::to_string(2 + j);
                a.hear(u);
            }
        while (a.state("n8") == MemberState::suspect)
            a.pass(ms(5));
        return (a.now - from).count() / 1000;
    };
    CHECK(lasts(1, 1) >= 1490);
    CHECK(lasts(1, 5) == lasts(1, 1));
    CHECK(lasts(4, 1) <= 760);
    CHECK(lasts(2, 1) < lasts(1, 1));
}

TEST_CASE("what is said of this process is refuted with a higher incarnation, told to who said it") {
    Alone a;
    a.hear(update("n2", 2));
    a.hear(message(MessageType::ping, update("n2", 2), {update("me", 1, MemberState::suspect, 0)}));
    CHECK(a.view.incarnation() == 1);
    REQUIRE(!a.out.messages.empty());
    CHECK(a.out.messages.back().message.type == MessageType::ack);
    CHECK(a.out.messages.back().message.sender.incarnation == 1);
    a.hear(update("me", 1, MemberState::dead, 5));
    CHECK(a.view.incarnation() == 6);
    a.hear(update("me", 1, MemberState::suspect, 3));  // older than what it has refuted
    CHECK(a.view.incarnation() == 6);
    CHECK(a.view.counters().own_refutations == 2);
}

TEST_CASE("news are ordered by birth, then incarnation, then what they say") {
    Alone a;
    a.hear(update("n3", 3, MemberState::alive, 4));
    a.hear(update("n3", 3, MemberState::suspect, 3));
    CHECK(a.state("n3") == MemberState::alive);
    a.hear(update("n3", 3, MemberState::suspect, 4));
    CHECK(a.state("n3") == MemberState::suspect);
    a.hear(update("n3", 3, MemberState::alive, 4));
    CHECK(a.state("n3") == MemberState::suspect);
    a.hear(update("n3", 3, MemberState::alive, 5));
    CHECK(a.state("n3") == MemberState::alive);
    CHECK(a.view.counters().suspicions_refuted == 1);
    a.hear(update("n3", 3, MemberState::dead, 5));
    a.hear(update("n3", 3, MemberState::alive, 5));
    CHECK(a.state("n3") == MemberState::dead);
    a.hear(
        update("n3", 3, MemberState::alive, 0, 101));  // started again: a lower incarnation of a later birth
    CHECK(a.state("n3") == MemberState::alive);
    a.hear(update("n3", 3, MemberState::dead, 9, 100));  // late news of its former life
    CHECK(a.state("n3") == MemberState::alive);
    a.hear(update("n3", 3, MemberState::left, 0, 101));
    CHECK(a.state("n3") == MemberState::left);
    a.hear(update("n3", 3, MemberState::dead, 0, 101));
    CHECK(a.state("n3") == MemberState::left);
    a.hear(update("n9", 9, MemberState::dead));
    CHECK_FALSE(a.view.state_of("n9").has_value());  // the dead are not taken in
}

TEST_CASE("whom a message concerns hears first what is said of it") {
    Alone a;
    a.hear(update("n3", 3, MemberState::alive));
    a.hear(update("n3", 3, MemberState::suspect));
    a.out = {};
    a.hear(message(MessageType::ping, update("n3", 3)), 3);
    REQUIRE(a.out.messages.size() == 1);
    REQUIRE(!a.out.messages[0].message.updates.empty());
    CHECK(a.out.messages[0].message.updates[0] ==
          MemberUpdate{"n3", place(3), 100, 0, MemberState::suspect, "me"});
}

TEST_CASE(
    "of two processes that claim one id the later holds it; the other says so and takes it back when it is "
    "gone") {
    Alone a;
    a.hear(update("me", 9, MemberState::alive, 0, 500));
    CHECK(a.view.is_displaced());
    CHECK(a.view.local_member().start_time_us == 100);
    a.hear(update("me", 9, MemberState::dead, 0, 500));
    CHECK_FALSE(a.view.is_displaced());
    CHECK(a.view.local_member().start_time_us == 501);
    a.hear(update("me", 1, MemberState::alive, 3, 900));  // its own former life, by a clock that was ahead
    CHECK_FALSE(a.view.is_displaced());
    CHECK(a.view.local_member().start_time_us == 901);
    // Others follow the later birth, and tell the earlier process when it calls.
    a.hear(update("n3", 3, MemberState::alive, 0, 100));
    a.hear(update("n3", 33, MemberState::alive, 0, 200));
    CHECK(a.view.counters().id_conflicts == 1);
    a.out = {};
    a.hear(message(MessageType::ping, update("n3", 3, MemberState::alive, 0, 100)), 3);
    REQUIRE(a.out.messages.size() == 1);
    REQUIRE(!a.out.messages[0].message.updates.empty());
    CHECK(a.out.messages[0].message.updates[0].endpoint == place(33));
}

TEST_CASE("a process that stood still accuses nobody for what it missed") {
    Alone a(quick());
    for (std::uint32_t n = 2; n < 9; ++n)
        a.hear(update("n" + std::to_string(n), n));
    a.pass(ms(300));
    a.hear(update("n8", 8, MemberState::suspect));
    a.now += ms(20'000);
    a.view.tick(a.now, a.out);
    CHECK(a.view.counters().stalls == 1);
    CHECK(a.view.counters().suspicions_raised == 0);
    CHECK(a.state("n8") == MemberState::suspect);  // its time went on from here
}

TEST_CASE("a probe for another process at this address gets no answer") {
    Alone a;
    Message m = message(MessageType::ping, update("n2", 2));
    m.target_id = "my-predecessor";
    a.hear(m);
    CHECK(a.out.messages.empty());
    CHECK(a.view.counters().misdirected_probes == 1);
}

TEST_CASE("members beyond the bound are counted and not taken in, and the forgotten make room") {
    membership::MembershipSettings r = quick();
    r.max_members = 10;
    r.departed_retention = ms(2'000);
    Alone a(r);
    for (std::uint32_t n = 2; n < 40; ++n)
        a.hear(update("n" + std::to_string(n), n));
    CHECK(a.view.live_count() == 10);
    CHECK(a.view.counters().rejected_at_capacity > 0);
    for (std::uint32_t n = 2; n < 40; ++n)
        a.hear(update("n" + std::to_string(n), n, MemberState::left));
    a.pass(ms(4'000));
    CHECK(a.view.counters().forgotten >= 9);
    const std::size_t names = a.names.size();
    for (std::uint32_t n = 50; n < 58; ++n)
        a.hear(update("n" + std::to_string(n), n));
    CHECK(a.view.state_of("n57") == MemberState::alive);
    CHECK(a.names.size() == names);  // their numbers are used again
}

TEST_CASE("an emulated fleet that starts at once agrees, though its only seed came last") {
    Fleet f(60, quick(), {}, 3);
    for (int i = 1; i < 60; ++i)
        f.start({59});
    f.run(f.now() + ms(1'000));
    f.start({});
    CHECK(f.run(f.now() + ms(8'000), ms(50), [&] { return f.agreed(); }));
}

TEST_CASE("a crash is known to all, a leave at once, and nobody alive is taken for dead") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet f(50, quick(), {0.01, Duration(200), Duration(2'000)}, seed);
        f.start_agreed(50);
        f.run(f.now() + ms(1'000));
        f.crash(7);
        REQUIRE(f.run(f.now() + ms(6'000), ms(50), [&] { return f.agreed(); }));
        f.leave(8);
        REQUIRE(f.run(f.now() + ms(2'000), ms(50), [&] { return f.agreed(); }));
        CHECK(f.view(9).state_of("n8") == MemberState::left);
        CHECK(f.view(9).state_of("n7") == MemberState::dead);
        f.restart(7, {0});
        REQUIRE(f.run(f.now() + ms(6'000), ms(50), [&] { return f.agreed(); }));
        CHECK(f.false_deaths() == 0);
    }
}

TEST_CASE("two halves of a partition find each other again when it heals") {
    Fleet f(40, quick(), {}, 5);
    f.start_agreed(40);
    f.cut([](std::size_t a, std::size_t b) { return (a < 20) != (b < 20); });
    f.run(f.now() + ms(30'000));
    CHECK(f.view(0).live_count() == 19);
    CHECK(f.view(30).live_count() == 19);
    f.cut({});
    CHECK(f.run(f.now() + ms(10'000), ms(50), [&] { return f.agreed(); }));
    CHECK(f.false_deaths() == 0);
}

TEST_CASE("a link that is dead in one direction, and one member that cannot send") {
    Fleet f(30, quick(), {}, 6);
    f.start_agreed(30);
    f.cut([](std::size_t from, std::size_t to) { return from == 3 && to == 4; });  // 4 does not hear 3
    f.run(f.now() + ms(20'000));
    CHECK(f.agreed());
    CHECK(f.false_deaths() == 0);
    f.cut([](std::size_t from, std::size_t) { return from == 3; });
    CHECK(f.run(f.now() + ms(8'000), ms(50), [&] {
        for (std::size_t i = 0; i < 30; ++i)
            if (i != 3 && f.view(i).state_of("n3") != MemberState::dead)
                return false;
        return true;
    }));
    f.cut({});
    CHECK(f.run(f.now() + ms(10'000), ms(50), [&] { return f.agreed(); }));
}

TEST_CASE("a member that stood still for three seconds comes back, and accuses nobody") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet f(30, quick(), {}, seed);
        f.start_agreed(30);
        f.run(f.now() + ms(2'000));
        f.pause(3, f.now() + ms(3'000));
        f.run(f.now() + ms(3'100));
        CHECK(f.view(3).counters().suspicions_raised == 0);
        REQUIRE(f.run(f.now() + ms(5'000), ms(50), [&] { return f.agreed(); }));
    }
}

TEST_CASE("ten in a hundred datagrams lost: members are suspected, and refute; none dies") {
    Fleet f(60, quick(), {0.1, Duration(200), Duration(2'000)}, 8);
    f.start_agreed(60);
    f.run(f.now() + ms(120'000));
    CHECK(f.false_deaths() == 0);
    std::uint64_t suspicions = 0, refutations = 0;
    for (std::size_t i = 0; i < 60; ++i) {
        suspicions += f.view(i).counters().suspicions_raised;
        refutations += f.view(i).counters().own_refutations;
    }
    CHECK(suspicions > 0);
    CHECK(refutations > 0);
}

TEST_CASE("six in ten members replaced within seven seconds") {
    Fleet f(80, quick(), {}, 9);
    f.start_agreed(50);
    for (std::size_t i = 0; i < 30; ++i) {
        f.run(f.now() + ms(230));
        if (i % 2 == 0)
            f.crash(i);
        else
            f.leave(i);
        f.start({40 + i % 10});
    }
    CHECK(f.run(f.now() + ms(8'000), ms(50), [&] { return f.agreed(); }));
}
