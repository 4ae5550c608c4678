// Tests how fast an admission controller replaces wrong restored estimates.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "policy/admission_controller.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
namespace policy = cressledge::policy;

/// An admission controller that gets one request of its first class after another.
struct ControllerFixture {
    std::unique_ptr<policy::AdmissionController> controller =
        policy::make_admission_controller(test_settings(), 1);
    std::vector<policy::Action> actions;
    Timestamp now{0};
    /// Tokens of the requested timers, by due time.
    std::multimap<Timestamp, std::uint32_t> timers;

    double price() const { return controller->estimates().classes[0].price_seconds; }

    void handle(const policy::Event& event) {
        actions.clear();
        controller->handle(now, event, actions);
        for (const auto& action : actions)
            if (const auto* timer = std::get_if<policy::ScheduleTimer>(&action))
                timers.emplace(now + timer->delay, timer->token);
    }

    void start() { handle(policy::Started{}); }

    void advance(Duration duration, double busy_cores) {
        const Timestamp end = now + duration;
        while (!timers.empty() && timers.begin()->first <= end) {
            const auto [due, token] = *timers.begin();
            timers.erase(timers.begin());
            now = std::max(now, due);
            policy::Gauges gauges;
            gauges.cpu_utilization = busy_cores / 4.0;
            gauges.runnable = busy_cores;
            handle(policy::TimerFired{token, gauges});
        }
        now = end;
    }

    /// Runs a request that uses one core for `cost` seconds.
    void complete_request(policy::RequestId id, double cost) {
        policy::RequestArrived request;
        request.id = id;
        request.class_index = 0;
        request.reserved_kb = 1.0;
        handle(request);
        advance(Duration(static_cast<std::int64_t>(cost * 1e6)), 1.0);
        handle(policy::RunFinished{id, policy::Outcome::ok});
    }
};

policy::Estimates estimates_with_price(double price_seconds, double confidence) {
    policy::Estimates estimates;
    estimates.classes = {{"trail-sheet", price_seconds, price_seconds, 1e6, confidence}};
    return estimates;
}

TEST_CASE("admission controller: a wrong restored price is unlearned no slower than a cold start learns") {
    const double work = 0.2;
    ControllerFixture cold;
    ControllerFixture settled;
    const double initial_price = cold.price();
    settled.start();
    for (policy::RequestId id = 1; id <= 200; ++id)
        settled.complete_request(id, work);
    // The price that the controller measures.
    const double cost = settled.price();
    ControllerFixture exact;
    exact.controller->restore(estimates_with_price(cost, 1.0));
    CHECK(exact.price() == Approx(cost));
    ControllerFixture half_confident;
    half_confident.controller->restore(estimates_with_price(cost, 0.5));
    CHECK(half_confident.price() == Approx(std::sqrt(cost * initial_price)));
    const double cold_error = std::fabs(initial_price - cost);
    for (const double wrong : {cost * 4.0, cost / 4.0}) {
        ControllerFixture restored;
        restored.controller->restore(estimates_with_price(wrong, 1.0));
        restored.start();
        ControllerFixture cold_start;
        cold_start.start();
        for (policy::RequestId id = 1; id <= 20; ++id) {
            restored.complete_request(id, work);
            cold_start.complete_request(id, work);
            // The remaining fraction of the initial error, compared with that of a cold start.
            const double remaining_error = std::fabs(restored.price() - cost) / std::fabs(wrong - cost);
            const double cold_remaining_error = std::fabs(cold_start.price() - cost) / cold_error;
            CHECK(remaining_error <= cold_remaining_error + 0.02);
        }
        CHECK(restored.price() == Approx(cost).epsilon(0.2));
    }
}

TEST_CASE("admission controller: a restored capacity that is never measured returns to the cold start's") {
    ControllerFixture fixture;
    auto estimates = estimates_with_price(0.3, 1.0);
    estimates.capacity_quanta_per_second = 1.0;
    estimates.concurrency_limit = 1000.0;
    estimates.capacity_confidence = 1.0;
    estimates.bands = {{1.0, 50.0, {0.0, 0.0, 9.0}, 1.0}};
    fixture.controller->restore(estimates);
    // The lower bound of the capacity is 0.3 of four cores.
    CHECK(fixture.controller->estimates().capacity_quanta_per_second == Approx(1.2));
    CHECK(fixture.controller->estimates().concurrency_limit == 8.0);
    fixture.start();
    fixture.advance(Duration(20'000'000), 0.0);
    CHECK(fixture.controller->estimates().capacity_quanta_per_second > 3.9);
    CHECK(fixture.controller->estimates().concurrency_limit <= 4.5);
    CHECK(fixture.controller->estimates().bands[0].quanta_per_period == 0.0);
    // A restore after the start has no effect.
    fixture.controller->restore(estimates);
    CHECK(fixture.controller->estimates().capacity_quanta_per_second > 3.9);
}

}  // namespace
