// Quantum budgets, their bands, and the quotas of tenants.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(QuantumBudgetTest, RejectsOnArrivalWhatThePeriodCannotPay) {
    RecordingHost h(test_settings());
    h.advance_until(1200ms);  // cpu gauge: no free core
    for (RequestId id = 1; id <= 40; ++id)
        h.request(id, 0);
    long rejected = 0;
    for (RequestId id = 1; id <= 40; ++id)
        rejected += h.count<Reject>(id);
    EXPECT_GT(rejected, 20);
    EXPECT_LT(rejected, 40);
    EXPECT_EQ(h.count<Reject>(1), 0);
    EXPECT_EQ(h.count<Reject>(40), 1);  // in the very batch in which it was read
}

TEST(QuantumBudgetTest, HigherBandHasQuantaWhereTheLowerHasNone) {
    RecordingHost h(test_settings());
    h.advance_until(1200ms);
    for (RequestId id = 1; id <= 40; ++id)
        h.request(id, 0);
    h.request(50, 2);
    EXPECT_EQ(h.count<Reject>(50), 0);
}

TEST(QuantumBudgetTest, NewPeriodGrantsNewQuanta) {
    RecordingHost h(test_settings());
    h.advance_until(1200ms);
    for (RequestId id = 1; id <= 20; ++id)
        h.request(id, 0);
    for (RequestId id = 1; id <= 20; ++id)
        if (h.count<Take>(id))
            h.send(RunFinished{id, Outcome::ok});
    h.advance_until(2500ms);
    h.request(60, 0);
    EXPECT_EQ(h.count<Reject>(60), 0);
}

// On ankara-later big-2 most requests within their tenant's quota were rejected beside a queue of one at most.
TEST(QuantumBudgetTest, TopBandIsNotRejectedBesideAnEmptyQueueWhereAPeriodIsWorthFewPrices) {
    Settings s = test_settings();
    s.classes[0].latency_objective = s.classes[1].latency_objective = s.classes[2].latency_objective = 1s;
    RecordingHost h(s);
    h.advance_until(1200ms);
    h.request(1, 2);
    h.request(2, 2);
    for (RequestId id = 3; id <= 61;
         id += 2) {  // two cores always busy: the next two come just before the last two end
        h.advance_until(h.now + 180ms);
        h.request(id, 2);
        h.request(id + 1, 2);
        EXPECT_EQ(h.count<Reject>(id) + h.count<Reject>(id + 1), 0) << id;
        h.send(RunFinished{id - 2, Outcome::ok});
        h.send(RunFinished{id - 1, Outcome::ok});
    }
}

TEST(QuantumBudgetTest, StaleFreeCoreGaugeAdmitsNoUnboundedBurst) {
    RecordingHost h(test_settings());
    h.advance_until(1200ms, 0.1);  // the gauge shows idle cores
    long taken = 0;
    for (RequestId id = 1; id <= 100; ++id)
        h.request(id, 0);
    for (RequestId id = 1; id <= 100; ++id)
        taken += h.count<Reject>(id) == 0;
    EXPECT_LT(taken, 20);
}

TEST(TenantQuotaTest, RequestsOverItAreInTheLowestBand) {
    Settings s = test_settings();
    s.tenants = {{"a", 8.0}, {"b", 8.0}};  // two a second here
    s.over_quota_weight = 0.05;
    RecordingHost h(s);
    h.advance_until(1200ms);
    RequestArrived r;
    r.class_index = 0;
    r.reserved_kb = 20;
    r.id = 0;
    RequestId done = 1;
    for (int i = 0; i < 60; ++i) {  // tenant 0 at forty a second, tenant 1 at two: within its part
        h.advance_until(h.now + 50ms);
        r.tenant_index = 0;
        for (int k = 0; k < 2; ++k) {
            ++r.id;
            h.send(r);
        }
        for (; done < r.id; ++done)  // the oldest that runs is done
            if (h.count<Take>(done) != 0)
                break;
        h.send(RunFinished{done++, Outcome::ok});
        if (i % 10 != 5)
            continue;
        ++r.id;
        r.tenant_index = 1;
        h.send(r);
        EXPECT_EQ(h.count<Reject>(r.id), 0) << "the part of a tenant within its share is protected";
    }
    long rejected = 0;
    for (RequestId id = 1; id <= r.id; ++id)
        rejected += h.count<Reject>(id);
    EXPECT_GT(rejected, 20);
}

}  // namespace
