// Which commands of runs are sent again on a new link, without I/O.
#include "platform/run_commands.hpp"

#include <catch2/catch.hpp>

#include "platform/command_barrier.hpp"

namespace {

using namespace cressledge;
using base::Duration, base::Timestamp;
using platform::CommandBarrier, platform::RunCommands;
using CommandType = platform::RunCommands::CommandType;

constexpr Timestamp start{1'764'576'000'000'000};
constexpr Timestamp never_sent{0};

Timestamp at_ms(int milliseconds) {
    return start + Duration(1000) * milliseconds;
}

/// Commands of run 1, "a", whose call reply was sent at 0 ms.
RunCommands commands_with_call_reply(Timestamp sent_at = at_ms(0)) {
    RunCommands commands;
    commands.add_run(1, "a");
    commands.record(1, "FEED a 1\r\nx\r\n", CommandType::call_reply, sent_at);
    return commands;
}

TEST_CASE("RunCommands: a repeatable command lost with its link is sent at once, an older one after a wait") {
    RunCommands commands;
    commands.add_run(1, "a");
    commands.add_run(2, "b");
    commands.record(1, "RUN a", CommandType::repeatable, at_ms(0));
    commands.record(2, "RUN b", CommandType::repeatable, at_ms(900));
    commands.on_link_lost(at_ms(1000));
    CHECK(commands.take_lost_commands(at_ms(1020)).bytes == "RUN b");
    CHECK(commands.take_unconfirmed_commands(at_ms(1120)).bytes == "RUN a");
    CHECK(commands.take_unconfirmed_commands(at_ms(1220)).bytes.empty());
}

TEST_CASE("RunCommands: a notice confirms the last command of its run") {
    RunCommands commands = commands_with_call_reply();
    commands.add_run(2, "b");
    commands.record(2, "RUN b", CommandType::repeatable, at_ms(0));
    commands.confirm(1);
    commands.confirm(2);
    commands.on_link_lost(at_ms(10));
    CHECK(commands.take_lost_commands(at_ms(30)).bytes.empty());
    CHECK(commands.uncertain_call_reply_count() == 0);
}

// Guards against a reply that is sent twice: the engine takes the second for the reply to the run's next call.
TEST_CASE("RunCommands: a call reply that was executed well before the break is never sent again") {
    RunCommands commands = commands_with_call_reply();
    commands.confirm_call_replies(commands.last_sequence());
    CHECK_FALSE(commands.needs_barrier());
    commands.on_link_lost(at_ms(300));
    CHECK(commands.take_lost_commands(at_ms(320)).bytes.empty());
    CHECK(commands.uncertain_call_reply_count() == 0);
    CHECK(commands.take_unconfirmed_commands(at_ms(420)).bytes.empty());
    CHECK(commands.take_due_call_replies(at_ms(5000)).bytes.empty());
}

// The engine may lose any command of the last 50 ms, also one before a query that it answered.
TEST_CASE(
    "RunCommands: a call reply executed just before the break is sent again only if its run stays silent") {
    RunCommands commands = commands_with_call_reply();
    commands.confirm_call_replies(commands.last_sequence());
    commands.on_link_lost(at_ms(10));
    CHECK(commands.take_lost_commands(at_ms(20)).bytes.empty());
    CHECK(commands.take_due_call_replies(at_ms(1000)).bytes.empty());
    CHECK(commands.next_call_reply_due() == at_ms(1020));
    SECTION("a notice confirms it") {
        commands.confirm(1);
        CHECK(commands.take_due_call_replies(at_ms(1020)).bytes.empty());
    }
    SECTION("a further break does not change when it is due") {
        commands.on_link_lost(at_ms(900));
        CHECK(commands.take_lost_commands(at_ms(920)).bytes.empty());
        CHECK(commands.next_call_reply_due() == at_ms(1020));
    }
    SECTION("it is due") {
        CHECK(commands.take_due_call_replies(at_ms(1020)).bytes == "FEED a 1\r\nx\r\n");
        CHECK(commands.needs_barrier());
    }
}

TEST_CASE("RunCommands: a barrier proves nothing about a call reply sent behind it") {
    RunCommands commands = commands_with_call_reply();
    const std::uint64_t sequence = commands.last_sequence();
    commands.add_run(2, "b");
    commands.record(2, "FEED b", CommandType::call_reply, at_ms(1));
    commands.confirm_call_replies(sequence);
    CHECK(commands.needs_barrier());
    commands.on_link_lost(at_ms(2));
    commands.take_lost_commands(at_ms(20));
    CHECK(commands.take_due_call_replies(at_ms(30)).bytes == "FEED b");
}

// The reverse: without proof the reply may be lost, and its run would wait for it until its deadline.
TEST_CASE("RunCommands: a call reply without proof is sent again once on the next link, whatever its age") {
    for (const int age_ms : {0, 40, 300, 5000}) {
        RunCommands commands = commands_with_call_reply();
        commands.on_link_lost(at_ms(age_ms));
        CHECK(commands.take_lost_commands(at_ms(age_ms + 20)).bytes.empty());
        CHECK(commands.take_unconfirmed_commands(at_ms(age_ms + 120)).bytes.empty());
        CHECK(commands.uncertain_call_reply_count() == 1);
        CHECK(commands.take_due_call_replies(at_ms(age_ms + 121)).bytes == "FEED a 1\r\nx\r\n");
        CHECK(commands.take_due_call_replies(at_ms(age_ms + 122)).bytes.empty());
        // A barrier that began before it was sent again proves nothing about it.
        commands.confirm_call_replies(1);
        CHECK(commands.needs_barrier());
        commands.confirm_call_replies(commands.last_sequence());
        CHECK_FALSE(commands.needs_barrier());
    }
}

TEST_CASE("RunCommands: a call reply stays uncertain over further breaks") {
    RunCommands commands = commands_with_call_reply();
    for (int break_ms = 10; break_ms < 50; break_ms += 10) {
        commands.on_link_lost(at_ms(break_ms));
        CHECK(commands.take_lost_commands(at_ms(break_ms + 5)).bytes.empty());
        commands.confirm_call_replies(commands.last_sequence());
        CHECK(commands.uncertain_call_reply_count() == 1);
    }
    commands.confirm(1);
    CHECK(commands.uncertain_call_reply_count() == 0);
}

TEST_CASE("RunCommands: a call reply made without a link is sent at once on the next one") {
    RunCommands commands = commands_with_call_reply(never_sent);
    CHECK_FALSE(commands.needs_barrier());
    CHECK(commands.take_lost_commands(at_ms(20)).bytes == "FEED a 1\r\nx\r\n");
    CHECK(commands.needs_barrier());
}

TEST_CASE("RunCommands: a suspended run gets its suspension again but no call reply") {
    RunCommands commands = commands_with_call_reply();
    commands.request_suspension(1);
    commands.on_link_lost(at_ms(10));
    CHECK(commands.take_lost_commands(at_ms(20)).bytes == "HALT a\r\n");
    CHECK(commands.uncertain_call_reply_count() == 0);

    RunCommands suspended_later = commands_with_call_reply();
    suspended_later.on_link_lost(at_ms(10));
    suspended_later.take_lost_commands(at_ms(20));
    suspended_later.request_suspension(1);
    CHECK(suspended_later.take_due_call_replies(at_ms(21)).bytes.empty());
}

TEST_CASE("RunCommands: a name that a later request uses is not removed with the earlier one") {
    RunCommands commands = commands_with_call_reply();
    commands.add_run(2, "a");
    commands.remove_run(1);
    CHECK(commands.find_request("a") == 2);
    commands.remove_run(2);
    CHECK(commands.find_request("a") == 0);
    CHECK(commands.find_name(2) == nullptr);
}

TEST_CASE("CommandBarrier: only the reply to its own query ends it, with the time that it took") {
    CommandBarrier barrier;
    const std::string first_tag = barrier.begin(7, at_ms(0));
    CHECK_FALSE(barrier.end("1", at_ms(1)).has_value());
    const auto result = barrier.end(first_tag, at_ms(3));
    REQUIRE(result.has_value());
    CHECK(result->sequence == 7);
    CHECK(result->round_trip == Duration(3000));
    CHECK_FALSE(barrier.end(first_tag, at_ms(4)).has_value());
    const std::string lost_tag = barrier.begin(8, at_ms(5));
    barrier.cancel();
    const std::string next_tag = barrier.begin(9, at_ms(6));
    CHECK(next_tag != lost_tag);
    CHECK_FALSE(barrier.end(lost_tag, at_ms(7)).has_value());
    CHECK(barrier.is_pending());
}

}  // namespace
