// Tests of the retry budget, backoff, attempt deadlines, hedging and the circuit breaker.
#include "retry/retry_policy.hpp"

#include <algorithm>

#include "milliseconds.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::retry;

TEST_CASE(
    "retry: extra attempts stay within the budget over three tiers; backoff, deadlines, hedging and "
    "breaker") {
    double load = 1.0;
    for (int tier = 0; tier < 3; ++tier) {
        RetryBudget budget(0.1);
        double calls = 0.0;
        const double first_attempts = load * 10'000;
        for (int i = 0; i < static_cast<int>(first_attempts); ++i) {  // every attempt fails
            budget.on_first_attempt();
            for (calls += 1.0; budget.try_acquire();)
                calls += 1.0;
        }
        CHECK(calls / first_attempts <= 1.1 + 0.001);
        load = calls / 10'000;
    }
    CHECK(load < 1.34);
    RetrySettings settings;
    Random random(3, 3);
    for (std::uint32_t attempts = 1; attempts < 9; ++attempts) {
        Timestamp earliest = Timestamp::max();
        Timestamp latest{0};
        for (int i = 0; i < 500; ++i) {
            const Timestamp t = next_retry_time(Timestamp(0), attempts, Duration(0), settings, random);
            earliest = std::min(earliest, t);
            latest = std::max(latest, t);
        }
        const Duration bound = std::min(ms(25 * (1 << (attempts - 1))), ms(1'000));
        CHECK(latest <= bound);
        CHECK(latest > bound * 9 / 10);
        CHECK(earliest < bound / 10);
    }
    CHECK(next_retry_time(Timestamp(0), 1, ms(3'000), settings, random) == ms(3'000));
    CHECK(attempt_deadline(Timestamp(0), ms(1'000), 1, settings) == ms(500));
    CHECK(attempt_deadline(Timestamp(0), ms(1'000), 3, settings) == ms(1'000));
    HedgePolicy hedge(settings);
    CHECK(hedge.delay() == Duration::max());
    for (int i = 1; i <= 1'000; ++i)
        hedge.record(ms(i % 100 + 1));
    CHECK(hedge.delay() > ms(85));
    CHECK(hedge.delay() < ms(101));
    CircuitBreaker breaker;
    for (int i = 0; i < 200; ++i)
        breaker.record(false);
    CHECK(breaker.is_open());
    for (int i = 0; i < 50; ++i)
        breaker.record(true);
    CHECK_FALSE(breaker.is_open());
}

}  // namespace
