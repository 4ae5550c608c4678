// Descriptor plans and leases, without opening any descriptor.
#include "connection_admission/file_descriptor_budget.hpp"

#include <utility>
#include <vector>

#include "connection_limiter_fixture.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::connection_admission;

TEST_CASE("file descriptor budget: each purpose gets its guaranteed number, regardless of the others") {
    DescriptorDemand demand;
    demand.listeners = 2;
    demand.upstream = 40;
    demand.min_upstream = 6;
    demand.reserved_connections = 3;
    const DescriptorPlan plan = plan_descriptors(40, 5, demand, 100);
    // All but the unmanaged descriptors, listeners, files, upstream calls and the overlap of one eviction.
    CHECK(plan.max_connections == 40 - 5 - 2 - 2 - 6 - 1);
    CHECK_THROWS_WITH(plan_descriptors(18, 5, demand, 100),
                      "18 file descriptors are too few: the minimum is 19");
    CHECK_THROWS_AS(plan_descriptors(18, 5, demand, 100), DescriptorShortage);
    FileDescriptorBudget budget(plan);
    std::vector<FileDescriptorBudget::Lease> frontend_leases;
    std::vector<FileDescriptorBudget::Lease> upstream_leases;
    for (int i = 0; i < 100; ++i)
        if (auto lease = budget.try_acquire(start_time, DescriptorPurpose::frontend))
            frontend_leases.push_back(std::move(lease));
    CHECK(frontend_leases.size() == plan.max_connections + 1);
    for (int i = 0; i < 6; ++i) {
        upstream_leases.push_back(budget.try_acquire(start_time, DescriptorPurpose::upstream));
        CHECK(upstream_leases.back());
    }
    CHECK_FALSE(budget.try_acquire(start_time, DescriptorPurpose::upstream));
    CHECK(budget.denied(DescriptorPurpose::upstream) == 1);
    bool was_notified = false;
    budget.on_released([&] { was_notified = true; });
    frontend_leases.pop_back();
    CHECK(was_notified);
    CHECK(budget.used() == 5 + plan.max_connections + 6);
}

TEST_CASE(
    "file descriptor budget: an upstream call evicts a connection, and EMFILE lowers the limit "
    "temporarily") {
    DescriptorDemand demand;
    demand.upstream = 10;
    demand.min_upstream = 1;
    FileDescriptorBudget budget(plan_descriptors(10, 0, demand, 6));
    std::vector<FileDescriptorBudget::Lease> frontend_leases;
    while (auto lease = budget.try_acquire(start_time, DescriptorPurpose::frontend))
        frontend_leases.push_back(std::move(lease));
    const std::size_t max_leases = frontend_leases.size();
    budget.on_exhausted([&] {
        if (frontend_leases.empty())
            return false;
        frontend_leases.pop_back();
        return true;
    });
    const auto first = budget.try_acquire(start_time, DescriptorPurpose::upstream);
    auto second = budget.try_acquire(start_time, DescriptorPurpose::upstream);
    CHECK((first && second));
    CHECK(frontend_leases.size() == max_leases - 1);
    second.release();
    // EMFILE below the limit evicts one connection, and the number in use becomes the limit temporarily.
    budget.on_system_exhausted(start_time);
    CHECK(frontend_leases.size() == max_leases - 2);
    frontend_leases.push_back(budget.try_acquire(start_time, DescriptorPurpose::frontend));
    CHECK(frontend_leases.back());
    CHECK_FALSE(budget.try_acquire(start_time + milliseconds(190), DescriptorPurpose::frontend));
    CHECK(budget.try_acquire(start_time + milliseconds(201), DescriptorPurpose::frontend));
}

}  // namespace
