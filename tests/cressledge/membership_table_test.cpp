/// The rules of one membership table, one by one.
#include "membership_fixture.hpp"

namespace {

using namespace cressledge::testing;
using membership::MemberState;
using membership::MemberUpdate;
using membership::Message;
using membership::MessageType;

}  // namespace

TEST_CASE(
    "failure detector: a silent member is probed through others, suspected, and dead only after its time") {
    TableFixture fixture(fast_settings());
    for (std::uint32_t n = 2; n < 7; ++n)
        fixture.receive(update("n" + std::to_string(n), n));
    CHECK(fixture.table.live_count() == 6);  // and the teller
    while (fixture.table.counters().indirect_probes == 0)
        fixture.advance(milliseconds(1));
    CHECK(fixture.table.counters().probes == 1);
    CHECK(fixture.table.counters().indirect_probes == 3);
    CHECK(fixture.table.counters().suspicions_raised == 0);
    fixture.advance(milliseconds(200));
    REQUIRE(fixture.table.counters().suspicions_raised == 1);
    const auto all = fixture.table.members();
    const auto suspect =
        std::find_if(all.begin(), all.end(), [](const auto& m) { return m.state == MemberState::suspect; });
    REQUIRE(suspect != all.end());
    // The shortest suspicion: 3 times the period; nobody confirms, so twice that.
    fixture.advance(milliseconds(1200));
    CHECK(fixture.state(suspect->id) == MemberState::suspect);
    fixture.advance(milliseconds(500));
    CHECK(fixture.state(suspect->id) == MemberState::dead);
}

TEST_CASE("suspicion: independent confirmations shorten it, and a repeated one does not") {
    const auto suspicion_ms = [](int accusers, int repetitions) {
        TableFixture fixture(fast_settings());
        for (std::uint32_t n = 2; n < 9; ++n)
            fixture.receive(update("n" + std::to_string(n), n));
        const Timestamp from = fixture.now;
        for (int j = 0; j < accusers; ++j)
            for (int t = 0; t < repetitions; ++t) {
                MemberUpdate u = update("n8", 8, MemberState::suspect);
                u.accuser_id = "n" + std::to_string(2 + j);
                fixture.receive(u);
            }
        while (fixture.state("n8") == MemberState::suspect)
            fixture.advance(milliseconds(5));
        return (fixture.now - from).count() / 1000;
    };
    CHECK(suspicion_ms(1, 1) >= 1490);
    CHECK(suspicion_ms(1, 5) == suspicion_ms(1, 1));
    CHECK(suspicion_ms(4, 1) <= 760);
    CHECK(suspicion_ms(2, 1) < suspicion_ms(1, 1));
}

TEST_CASE(
    "membership table: a claim about this process is refuted with a higher incarnation, to the accuser "
    "first") {
    TableFixture fixture;
    fixture.receive(update("n2", 2));
    fixture.receive(message(MessageType::ping, update("n2", 2), {update("me", 1, MemberState::suspect, 0)}));
    CHECK(fixture.table.incarnation() == 1);
    REQUIRE(!fixture.effects.messages.empty());
    CHECK(fixture.effects.messages.back().message.type == MessageType::ack);
    CHECK(fixture.effects.messages.back().message.sender.incarnation == 1);
    fixture.receive(update("me", 1, MemberState::dead, 5));
    CHECK(fixture.table.incarnation() == 6);
    fixture.receive(update("me", 1, MemberState::suspect, 3));  // older than what it has refuted
    CHECK(fixture.table.incarnation() == 6);
    CHECK(fixture.table.counters().own_refutations == 2);
}

TEST_CASE("membership table: updates are ordered by start time, then incarnation, then state") {
    TableFixture fixture;
    fixture.receive(update("n3", 3, MemberState::alive, 4));
    fixture.receive(update("n3", 3, MemberState::suspect, 3));
    CHECK(fixture.state("n3") == MemberState::alive);
    fixture.receive(update("n3", 3, MemberState::suspect, 4));
    CHECK(fixture.state("n3") == MemberState::suspect);
    fixture.receive(update("n3", 3, MemberState::alive, 4));
    CHECK(fixture.state("n3") == MemberState::suspect);
    fixture.receive(update("n3", 3, MemberState::alive, 5));
    CHECK(fixture.state("n3") == MemberState::alive);
    CHECK(fixture.table.counters().suspicions_refuted == 1);
    fixture.receive(update("n3", 3, MemberState::dead, 5));
    fixture.receive(update("n3", 3, MemberState::alive, 5));
    CHECK(fixture.state("n3") == MemberState::dead);
    fixture.receive(
        update("n3", 3, MemberState::alive, 0, 101));  // started again: a lower incarnation, a later start
    CHECK(fixture.state("n3") == MemberState::alive);
    fixture.receive(update("n3", 3, MemberState::dead, 9, 100));  // late news of the earlier process
    CHECK(fixture.state("n3") == MemberState::alive);
    fixture.receive(update("n3", 3, MemberState::left, 0, 101));
    CHECK(fixture.state("n3") == MemberState::left);
    fixture.receive(update("n3", 3, MemberState::dead, 0, 101));
    CHECK(fixture.state("n3") == MemberState::left);
    fixture.receive(update("n9", 9, MemberState::dead));
    CHECK_FALSE(fixture.table.state_of("n9").has_value());  // unknown and dead: not added
}

TEST_CASE("disseminator: the recipient of a message is told first what is claimed of it") {
    TableFixture fixture;
    fixture.receive(update("n3", 3, MemberState::alive));
    fixture.receive(update("n3", 3, MemberState::suspect));
    fixture.effects = {};
    fixture.receive(message(MessageType::ping, update("n3", 3)), 3);
    REQUIRE(fixture.effects.messages.size() == 1);
    REQUIRE(!fixture.effects.messages[0].message.updates.empty());
    CHECK(fixture.effects.messages[0].message.updates[0] ==
          MemberUpdate{"n3", endpoint(3), 100, 0, MemberState::suspect, "me"});
}

TEST_CASE(
    "membership table: the later of two processes with one id holds it; the earlier regains it when that one "
    "ends") {
    TableFixture fixture;
    fixture.receive(update("me", 9, MemberState::alive, 0, 500));
    CHECK(fixture.table.is_displaced());
    CHECK(fixture.table.local_member().start_time_us == 100);
    fixture.receive(update("me", 9, MemberState::dead, 0, 500));
    CHECK_FALSE(fixture.table.is_displaced());
    CHECK(fixture.table.local_member().start_time_us == 501);
    fixture.receive(
        update("me", 1, MemberState::alive, 3, 900));  // an earlier process here, whose clock was ahead
    CHECK_FALSE(fixture.table.is_displaced());
    CHECK(fixture.table.local_member().start_time_us == 901);
    // Others follow the later start, and tell the earlier process when it calls.
    fixture.receive(update("n3", 3, MemberState::alive, 0, 100));
    fixture.receive(update("n3", 33, MemberState::alive, 0, 200));
    CHECK(fixture.table.counters().id_conflicts == 1);
    fixture.effects = {};
    fixture.receive(message(MessageType::ping, update("n3", 3, MemberState::alive, 0, 100)), 3);
    REQUIRE(fixture.effects.messages.size() == 1);
    REQUIRE(!fixture.effects.messages[0].message.updates.empty());
    CHECK(fixture.effects.messages[0].message.updates[0].endpoint == endpoint(33));
}

TEST_CASE("failure detector: a process that was stalled suspects nobody for what it missed") {
    TableFixture fixture(fast_settings());
    for (std::uint32_t n = 2; n < 9; ++n)
        fixture.receive(update("n" + std::to_string(n), n));
    fixture.advance(milliseconds(300));
    fixture.receive(update("n8", 8, MemberState::suspect));
    fixture.now += milliseconds(20'000);
    fixture.table.tick(fixture.now, fixture.effects);
    CHECK(fixture.table.counters().stalls == 1);
    CHECK(fixture.table.counters().suspicions_raised == 0);
    CHECK(fixture.state("n8") == MemberState::suspect);  // its time is counted from here
}

TEST_CASE("failure detector: a probe for another process at this endpoint is not answered") {
    TableFixture fixture;
    Message m = message(MessageType::ping, update("n2", 2));
    m.target_id = "my-predecessor";
    fixture.receive(m);
    CHECK(fixture.effects.messages.empty());
    CHECK(fixture.table.counters().misdirected_probes == 1);
}

TEST_CASE(
    "membership table: members beyond the bound are counted and rejected, and forgotten ones free their "
    "place") {
    membership::MembershipSettings settings = fast_settings();
    settings.max_members = 10;
    settings.departed_retention = milliseconds(2'000);
    TableFixture fixture(settings);
    for (std::uint32_t n = 2; n < 40; ++n)
        fixture.receive(update("n" + std::to_string(n), n));
    CHECK(fixture.table.live_count() == 10);
    CHECK(fixture.table.counters().rejected_at_capacity > 0);
    for (std::uint32_t n = 2; n < 40; ++n)
        fixture.receive(update("n" + std::to_string(n), n, MemberState::left));
    fixture.advance(milliseconds(4'000));
    CHECK(fixture.table.counters().forgotten >= 9);
    const std::size_t names = fixture.member_indices.size();
    for (std::uint32_t n = 50; n < 58; ++n)
        fixture.receive(update("n" + std::to_string(n), n));
    CHECK(fixture.table.state_of("n57") == MemberState::alive);
    CHECK(fixture.member_indices.size() == names);  // their indices are used again
}
