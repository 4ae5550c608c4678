// The slot map and the timer queue.
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("SlotMap: an id finds nothing once its value is erased, even if the slot is reused") {
    base::SlotMap<int> slots;
    const auto first_id = slots.add(std::make_unique<int>(1));
    slots.erase(first_id);
    const auto second_id = slots.add(std::make_unique<int>(2));
    CHECK(slots.find(first_id) == nullptr);
    CHECK(*slots.find(second_id) == 2);
    slots.erase(first_id);
    CHECK(slots.size() == 1);
}

TEST_CASE(
    "TimerQueue: callbacks run in order of due time, and none scheduled meanwhile runs in the same call") {
    base::TimerQueue timers;
    std::string order;
    timers.schedule_detached(Timestamp(20), [&] { order += 'b'; });
    auto cancelled = timers.schedule(Timestamp(15), [&] { order += 'x'; });
    timers.schedule_detached(Timestamp(10), [&] {
        order += 'a';
        timers.schedule_detached(Timestamp(0), [&] { order += 'c'; });
    });
    cancelled.cancel();
    timers.run_due(Timestamp(30));
    CHECK(order == "ab");
    timers.run_due(Timestamp(30));
    CHECK(order == "abc");
}

TEST_CASE("TimerQueue: callbacks due at the same time run in the order of scheduling") {
    base::TimerQueue timers;
    std::string order;
    const auto first = timers.schedule(Timestamp(10), [&] { order += 'a'; });
    timers.schedule_detached(Timestamp(10), [&] { order += 'b'; });
    auto moved = timers.schedule(Timestamp(10), [&] { order += 'x'; });
    const auto third = timers.schedule(Timestamp(10), [&] { order += 'c'; });
    // The assigned callback is scheduled last.
    moved = timers.schedule(Timestamp(10), [&] { order += 'd'; });
    timers.run_due(Timestamp(10));
    CHECK(order == "abcd");
}

TEST_CASE("TimerHandle: cancels its callback once, on cancel() or destruction") {
    base::TimerQueue timers;
    int runs = 0;
    {
        const auto scoped = timers.schedule(Timestamp(10), [&] { ++runs; });
        CHECK(scoped.is_scheduled());
    }
    auto cancelled = timers.schedule(Timestamp(10), [&] { ++runs; });
    cancelled.cancel();
    CHECK_FALSE(cancelled.is_scheduled());
    cancelled.cancel();
    CHECK_FALSE(timers.next_due());
    timers.run_due(Timestamp(10));
    CHECK(runs == 0);

    base::TimerHandle empty;
    CHECK_FALSE(empty.is_scheduled());
    empty.cancel();
}

TEST_CASE("TimerHandle: a move transfers the callback, and assignment cancels the previous one") {
    base::TimerQueue timers;
    std::string order;
    auto first = timers.schedule(Timestamp(10), [&] { order += 'a'; });
    auto second = timers.schedule(Timestamp(20), [&] { order += 'b'; });
    base::TimerHandle moved(std::move(first));
    first.cancel();
    CHECK_FALSE(first.is_scheduled());
    CHECK(moved.is_scheduled());

    second = std::move(moved);
    moved.cancel();
    CHECK_FALSE(moved.is_scheduled());
    CHECK(second.is_scheduled());
    // A handle that was moved from can be used again.
    first = timers.schedule(Timestamp(30), [&] { order += 'c'; });
    base::TimerHandle& alias = second;
    second = std::move(alias);
    timers.run_due(Timestamp(30));
    CHECK(order == "ac");
}

TEST_CASE("TimerHandle: a callback that has run is neither scheduled nor cancelled") {
    base::TimerQueue timers;
    std::string order;
    auto fired = timers.schedule(Timestamp(10), [&] { order += 'a'; });
    timers.run_due(Timestamp(10));
    CHECK_FALSE(fired.is_scheduled());
    const auto later = timers.schedule(Timestamp(10), [&] { order += 'b'; });
    fired.cancel();
    CHECK(later.is_scheduled());
    timers.run_due(Timestamp(10));
    CHECK(order == "ab");
}

TEST_CASE("TimerHandle: its own callback may destroy or reassign it") {
    base::TimerQueue timers;
    std::string order;
    struct Owner {
        base::TimerHandle timer;
    };
    auto owner = std::make_unique<Owner>();
    owner->timer = timers.schedule(Timestamp(10), [&, name = std::string("destroyed ")] {
        CHECK_FALSE(owner->timer.is_scheduled());
        owner.reset();
        order += name;
    });
    base::TimerHandle periodic;
    std::function<void()> repeat = [&] {
        order += "again ";
        periodic = timers.schedule(Timestamp(20), repeat);
    };
    periodic = timers.schedule(Timestamp(10), repeat);
    timers.run_due(Timestamp(10));
    CHECK(order == "destroyed again ");
    CHECK(periodic.is_scheduled());
    timers.run_due(Timestamp(20));
    CHECK(order == "destroyed again again ");
}

TEST_CASE("TimerHandle: a callback may own the handle of another, also when the queue is destroyed") {
    base::TimerQueue timers;
    const auto schedule_chain = [&timers] {
        auto inner = std::make_shared<base::TimerHandle>(timers.schedule(Timestamp(10), [] {}));
        return timers.schedule(Timestamp(20), [inner] {});
    };
    auto cancelled = schedule_chain();
    cancelled.cancel();
    CHECK_FALSE(timers.next_due());
    timers.schedule_detached(
        Timestamp(5),
        [inner = std::make_shared<base::TimerHandle>(timers.schedule(Timestamp(10), [] {}))] {});
    CHECK(timers.next_due() == Timestamp(5));
}

}  // namespace
