// Stories of the loop's one timer and what it counts of its wakes.
#include "support.hpp"

using namespace story;

TEST_CASE("the loop counts its timer wakes, none before a deadline is due, and work put off to the next turn") {
    World w;
    bool later = false, next_turn = false;
    w.deadlines.at(wall() + Span(20'000), [&] { later = true; });
    w.until([&] { return later; });
    CHECK(w.loop.wakes().early == 0);
    const std::uint64_t woken = w.loop.wakes().timer, at_once = w.loop.wakes().at_once;
    CHECK(woken >= 1);
    w.deadlines.at(Time(0), [&] { next_turn = true; });
    w.until([&] { return next_turn; });
    CHECK(w.loop.wakes().at_once == at_once + 1);
    CHECK(w.loop.wakes().timer == woken + 1);
}
