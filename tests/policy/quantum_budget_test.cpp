// Quantum budgets, their bands, and the quotas of tenants.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(QuantumBudgetTest, RejectsOnArrivalWhatThePeriodCannotPay) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms);  // cpu gauge: no free core
    for (RequestId id = 1; id <= 40; ++id)
        host.request(id, 0);
    long rejected = 0;
    for (RequestId id = 1; id <= 40; ++id)
        rejected += host.count<Reject>(id);
    EXPECT_GT(rejected, 20);
    EXPECT_LT(rejected, 40);
    EXPECT_EQ(host.count<Reject>(1), 0);
    EXPECT_EQ(host.count<Reject>(40), 1);  // in the very batch in which it was read
}

TEST(QuantumBudgetTest, HigherBandHasQuantaWhereTheLowerHasNone) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 40; ++id)
        host.request(id, 0);
    host.request(50, 2);
    EXPECT_EQ(host.count<Reject>(50), 0);
}

TEST(QuantumBudgetTest, NewPeriodGrantsNewQuanta) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms);
    for (RequestId id = 1; id <= 20; ++id)
        host.request(id, 0);
    for (RequestId id = 1; id <= 20; ++id)
        if (host.count<StartRun>(id))
            host.send(RunFinished{id, Outcome::ok});
    host.advance_until(2500ms);
    host.request(60, 0);
    EXPECT_EQ(host.count<Reject>(60), 0);
}

// On ankara-later big-2 most requests within their tenant's quota were rejected beside a queue of one at most.
TEST(QuantumBudgetTest, TopBandIsNotRejectedBesideAnEmptyQueueWhereAPeriodIsWorthFewPrices) {
    Settings settings = test_settings();
    settings.classes[0].latency_objective = settings.classes[1].latency_objective =
        settings.classes[2].latency_objective = 1s;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    host.request(1, 2);
    host.request(2, 2);
    for (RequestId id = 3; id <= 61;
         id += 2) {  // two cores always busy: the next two come just before the last two end
        host.advance_until(host.now + 180ms);
        host.request(id, 2);
        host.request(id + 1, 2);
        EXPECT_EQ(host.count<Reject>(id) + host.count<Reject>(id + 1), 0) << id;
        host.send(RunFinished{id - 2, Outcome::ok});
        host.send(RunFinished{id - 1, Outcome::ok});
    }
}

TEST(QuantumBudgetTest, StaleFreeCoreGaugeAdmitsNoUnboundedBurst) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms, 0.1);  // the gauge shows idle cores
    long admitted = 0;
    for (RequestId id = 1; id <= 100; ++id)
        host.request(id, 0);
    for (RequestId id = 1; id <= 100; ++id)
        admitted += host.count<Reject>(id) == 0;
    EXPECT_LT(admitted, 20);
}

TEST(TenantQuotaTest, RequestsOverItAreInTheLowestBand) {
    Settings settings = test_settings();
    settings.tenants = {{"a", 8.0}, {"b", 8.0}};  // two a second here
    settings.over_quota_weight = 0.05;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    RequestArrived r;
    r.class_index = 0;
    r.reserved_kb = 20;
    r.id = 0;
    RequestId done = 1;
    for (int i = 0; i < 60; ++i) {  // tenant 0 at forty a second, tenant 1 at two: within its part
        host.advance_until(host.now + 50ms);
        r.tenant_index = 0;
        for (int k = 0; k < 2; ++k) {
            ++r.id;
            host.send(r);
        }
        for (; done < r.id; ++done)  // the oldest that runs is done
            if (host.count<StartRun>(done) != 0)
                break;
        host.send(RunFinished{done++, Outcome::ok});
        if (i % 10 != 5)
            continue;
        ++r.id;
        r.tenant_index = 1;
        host.send(r);
        EXPECT_EQ(host.count<Reject>(r.id), 0) << "the part of a tenant within its share is protected";
    }
    long rejected = 0;
    for (RequestId id = 1; id <= r.id; ++id)
        rejected += host.count<Reject>(id);
    EXPECT_GT(rejected, 20);
}

}  // namespace
