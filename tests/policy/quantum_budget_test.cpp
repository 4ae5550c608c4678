// Quantum budgets, priority bands and tenant quotas.
#include <gtest/gtest.h>

#include "admission_controller_fixture.hpp"

namespace {

using namespace cressledge::policy;
using namespace cressledge::testing;
using namespace std::chrono_literals;

TEST(QuantumBudgetTest, RejectsArrivalsBeyondTheBudgetOfThePeriod) {
    RecordingHost host(test_settings());
    host.advance_until(1200ms);  // the CPU gauge shows no free core
    for (RequestId id = 1; id <= 40; ++id)
        host.request(id, 0);
    long rejected = 0;
    for (RequestId id = 1; id <= 40; ++id)
        rejected += host.count<Reject>(id);
    EXPECT_GT(rejected, 20);
    EXPECT_LT(rejected, 40);
    EXPECT_EQ(host.count<Reject>(1), 0);
    EXPECT_EQ(host.count<Reject>(40), 1);  // in the same batch in which it was read
}

TEST(QuantumBudgetTest, HigherBandHasQuantaWhenTheLowerHasNone) {
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

// Guards against rejection of most requests within their tenant's quota while at most one request is queued.
TEST(QuantumBudgetTest, TopBandIsNotRejectedWithAnEmptyQueueIfAPeriodCoversFewPrices) {
    Settings settings = test_settings();
    settings.classes[0].latency_objective = settings.classes[1].latency_objective =
        settings.classes[2].latency_objective = 1s;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    host.request(1, 2);
    host.request(2, 2);
    // Both cores are always busy: the next two requests arrive just before the last two end.
    for (RequestId id = 3; id <= 61; id += 2) {
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

TEST(TenantQuotaTest, RequestsOverTheQuotaAreInTheLowestBand) {
    Settings settings = test_settings();
    settings.tenants = {{"a", 8.0}, {"b", 8.0}};  // two per second on this server
    settings.over_quota_weight = 0.05;
    RecordingHost host(settings);
    host.advance_until(1200ms);
    RequestArrived arrival;
    arrival.class_index = 0;
    arrival.reserved_kb = 20;
    arrival.id = 0;
    RequestId done = 1;
    for (int i = 0; i < 60; ++i) {  // tenant 0 sends 40 per second, tenant 1 two, which is within its quota
        host.advance_until(host.now + 50ms);
        arrival.tenant_index = 0;
        for (int k = 0; k < 2; ++k) {
            ++arrival.id;
            host.send(arrival);
        }
        for (; done < arrival.id; ++done)  // finish the oldest running request
            if (host.count<StartRun>(done) != 0)
                break;
        host.send(RunFinished{done++, Outcome::ok});
        if (i % 10 != 5)
            continue;
        ++arrival.id;
        arrival.tenant_index = 1;
        host.send(arrival);
        EXPECT_EQ(host.count<Reject>(arrival.id), 0) << "a request within its tenant's quota was rejected";
    }
    long rejected = 0;
    for (RequestId id = 1; id <= arrival.id; ++id)
        rejected += host.count<Reject>(id);
    EXPECT_GT(rejected, 20);
}

}  // namespace
