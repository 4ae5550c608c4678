/// Unit tests of a single membership table: failure detector, suspicion, merging and dissemination.
#include "membership_fixture.hpp"

namespace {

using namespace cressledge::testing;
using membership::MemberState;
using membership::MemberUpdate;
using membership::Message;
using membership::MessageType;

}  // namespace

TEST_CASE(
    "failure detector: an unresponsive member is probed indirectly, suspected, and declared dead after a "
    "timeout") {
    TableFixture fixture(fast_settings());
    for (std::uint32_t n = 2; n < 7; ++n)
        fixture.receive(update("n" + std::to_string(n), n));
    CHECK(fixture.table.live_count() == 6);  // the five members and `sender`
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
    // The minimum timeout is 3 probe periods of 250 ms. Without confirmations the timeout is twice that.
    fixture.advance(milliseconds(1200));
    CHECK(fixture.state(suspect->id) == MemberState::suspect);
    fixture.advance(milliseconds(500));
    CHECK(fixture.state(suspect->id) == MemberState::dead);
}

TEST_CASE("suspicion: independent confirmations shorten the timeout, and repeated ones do not") {
    const auto suspicion_ms = [](int accusers, int repetitions) {
        TableFixture fixture(fast_settings());
        for (std::uint32_t n = 2; n < 9; ++n)
            fixture.receive(update("n" + std::to_string(n), n));
        const Timestamp started_at = fixture.now;
        for (int accuser = 0; accuser < accusers; ++accuser)
            for (int repetition = 0; repetition < repetitions; ++repetition) {
                MemberUpdate suspicion = update("n8", 8, MemberState::suspect);
                suspicion.accuser_id = "n" + std::to_string(2 + accuser);
                fixture.receive(suspicion);
            }
        while (fixture.state("n8") == MemberState::suspect)
            fixture.advance(milliseconds(5));
        return (fixture.now - started_at).count() / 1000;
    };
    CHECK(suspicion_ms(1, 1) >= 1490);
    CHECK(suspicion_ms(1, 5) == suspicion_ms(1, 1));
    CHECK(suspicion_ms(4, 1) <= 760);
    CHECK(suspicion_ms(2, 1) < suspicion_ms(1, 1));
}

TEST_CASE(
    "membership table: a claim about this process is refuted with a higher incarnation, first in the reply "
    "to "
    "the accuser") {
    TableFixture fixture;
    fixture.receive(update("n2", 2));
    fixture.receive(message(MessageType::ping, update("n2", 2), {update("me", 1, MemberState::suspect, 0)}));
    CHECK(fixture.table.incarnation() == 1);
    REQUIRE(!fixture.effects.messages.empty());
    CHECK(fixture.effects.messages.back().message.type == MessageType::ack);
    CHECK(fixture.effects.messages.back().message.sender.incarnation == 1);
    fixture.receive(update("me", 1, MemberState::dead, 5));
    CHECK(fixture.table.incarnation() == 6);
    fixture.receive(update("me", 1, MemberState::suspect, 3));  // lower than the incarnation already refuted
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
        update("n3", 3, MemberState::alive, 0, 101));  // restarted: lower incarnation, later start time
    CHECK(fixture.state("n3") == MemberState::alive);
    fixture.receive(update("n3", 3, MemberState::dead, 9, 100));  // outdated claim about the earlier process
    CHECK(fixture.state("n3") == MemberState::alive);
    fixture.receive(update("n3", 3, MemberState::left, 0, 101));
    CHECK(fixture.state("n3") == MemberState::left);
    fixture.receive(update("n3", 3, MemberState::dead, 0, 101));
    CHECK(fixture.state("n3") == MemberState::left);
    fixture.receive(update("n9", 9, MemberState::dead));
    CHECK_FALSE(fixture.table.state_of("n9").has_value());  // unknown and dead: not added
}

TEST_CASE("disseminator: a claim about the recipient is the first update of a message") {
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
    "membership table: the later of two processes with the same id holds it; the earlier regains it when the "
    "later ends") {
    TableFixture fixture;
    fixture.receive(update("me", 9, MemberState::alive, 0, 500));
    CHECK(fixture.table.is_displaced());
    CHECK(fixture.table.local_member().start_time_us == 100);
    fixture.receive(update("me", 9, MemberState::dead, 0, 500));
    CHECK_FALSE(fixture.table.is_displaced());
    CHECK(fixture.table.local_member().start_time_us == 501);
    fixture.receive(update("me", 1, MemberState::alive, 3,
                           900));  // an earlier process at this endpoint whose clock was ahead
    CHECK_FALSE(fixture.table.is_displaced());
    CHECK(fixture.table.local_member().start_time_us == 901);
    // Of two other processes with the same id the later one is kept; the earlier one is notified when it sends a ping.
    fixture.receive(update("n3", 3, MemberState::alive, 0, 100));
    fixture.receive(update("n3", 33, MemberState::alive, 0, 200));
    CHECK(fixture.table.counters().id_conflicts == 1);
    fixture.effects = {};
    fixture.receive(message(MessageType::ping, update("n3", 3, MemberState::alive, 0, 100)), 3);
    REQUIRE(fixture.effects.messages.size() == 1);
    REQUIRE(!fixture.effects.messages[0].message.updates.empty());
    CHECK(fixture.effects.messages[0].message.updates[0].endpoint == endpoint(33));
}

TEST_CASE("failure detector: a stalled process suspects no member for messages missed during the stall") {
    TableFixture fixture(fast_settings());
    for (std::uint32_t n = 2; n < 9; ++n)
        fixture.receive(update("n" + std::to_string(n), n));
    fixture.advance(milliseconds(300));
    fixture.receive(update("n8", 8, MemberState::suspect));
    fixture.now += milliseconds(20'000);
    fixture.table.tick(fixture.now, fixture.effects);
    CHECK(fixture.table.counters().stalls == 1);
    CHECK(fixture.table.counters().suspicions_raised == 0);
    CHECK(fixture.state("n8") == MemberState::suspect);  // the suspicion was postponed by the stall
}

TEST_CASE("failure detector: a probe whose target is another process at this endpoint is not answered") {
    TableFixture fixture;
    Message ping = message(MessageType::ping, update("n2", 2));
    ping.target_id = "previous-id";
    fixture.receive(ping);
    CHECK(fixture.effects.messages.empty());
    CHECK(fixture.table.counters().misdirected_probes == 1);
}

TEST_CASE(
    "membership table: members beyond the limit are counted and rejected, and removed members free their "
    "index") {
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
    const std::size_t index_count = fixture.member_indices.size();
    for (std::uint32_t n = 50; n < 58; ++n)
        fixture.receive(update("n" + std::to_string(n), n));
    CHECK(fixture.table.state_of("n57") == MemberState::alive);
    CHECK(fixture.member_indices.size() == index_count);  // released indices are reused
}
