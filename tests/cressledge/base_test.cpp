// Tests of the basic containers: slot map and timer queue.
#include <memory>
#include <string>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("SlotMap: an id finds nothing once its value is erased, even when the slot is used again") {
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
    timers.schedule(Timestamp(20), [&] { order += 'b'; });
    auto cancelled = timers.schedule(Timestamp(15), [&] { order += 'x'; });
    timers.schedule(Timestamp(10), [&] {
        order += 'a';
        timers.schedule(Timestamp(0), [&] { order += 'c'; });
    });
    timers.cancel(cancelled);
    timers.run_due(Timestamp(30));
    CHECK(order == "ab");
    timers.run_due(Timestamp(30));
    CHECK(order == "abc");
}

}  // namespace
