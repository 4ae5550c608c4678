/// The decisions of the rollout state machine, step by step, with a simulated fleet.
#include "rollout/rollout_state_machine.hpp"

#include <stdexcept>
#include <string>

#include "rollout_fixture.hpp"

namespace {

using namespace cressledge::testing;
using rollout::CanaryVerdict, rollout::Phase, rollout::RolloutStateMachine;

}  // namespace

TEST_CASE(
    "rollout state machine: stages are updated in the order of the seed, and each state is saved before "
    "updates are sent") {
    FakeFleet fleet(10);
    CHECK((fleet.state_machine->updated_count_after(0) == 1 &&
           fleet.state_machine->updated_count_after(1) == 5 &&
           fleet.state_machine->updated_count_after(2) == 10));
    fleet.step_until(Phase::baking);
    CHECK(fleet.updated_count() == 1);
    REQUIRE(fleet.step_until(Phase::completed));
    CHECK(fleet.updated_count() == 10);
    CHECK(fleet.save_count >= 6);
    REQUIRE(fleet.state_machine->reports().size() == 3);
    for (const rollout::StageReport& report : fleet.state_machine->reports())
        CHECK((report.verdict == CanaryVerdict::pass &&
               report.ended_at - report.bake_started_at >= test_plan().bake_time));
    // One bake time before the first stage and one for each of the three stages.
    CHECK(fleet.now_s >= 40.0);
    rollout::RolloutPlan reordered_plan = test_plan();
    reordered_plan.order_seed = 2;
    FakeFleet other_seed(10, reordered_plan);
    CHECK(other_seed.state_machine->state().targets[0].id + other_seed.state_machine->state().targets[1].id !=
          fleet.state_machine->state().targets[0].id + fleet.state_machine->state().targets[1].id);
}

TEST_CASE(
    "rollout state machine: worse metrics, repeated crashes, a rejected update or a request roll the "
    "change "
    "back") {
    FakeFleet faulty(10);
    faulty.error_rates["new"] = 5.0;
    REQUIRE(faulty.step_until(Phase::rolled_back));
    CHECK((faulty.updated_count() == 0 && faulty.state_machine->reports().size() == 1));
    CHECK(faulty.state_machine->state().rollback_reason.rfind("errors of trail-sheet", 0) == 0);

    FakeFleet crashing(60);
    crashing.step_until(Phase::baking);
    const std::string first = crashing.state_machine->state().targets[0].id;
    for (int i = 0; i < 5; ++i)
        crashing.step();
    ++crashing.crash_counts[first];
    ++crashing.restart_counts[first];
    for (int i = 0; i < 6; ++i)
        crashing.step();
    // A single crash is only suspect.
    CHECK(crashing.state_machine->state().phase == Phase::baking);
    CHECK(crashing.log_lines.back().find("a changed process crashed") != std::string::npos);
    ++crashing.crash_counts[first];
    ++crashing.restart_counts[first];
    REQUIRE(crashing.step_until(Phase::rolled_back));
    CHECK(crashing.state_machine->state().rollback_reason ==
          "changed processes crash more often than unchanged ones");

    FakeFleet crashed_once(10);
    crashed_once.step_until(Phase::baking);
    ++crashed_once.crash_counts[crashed_once.state_machine->state().targets[0].id];
    ++crashed_once.crash_counts[crashed_once.state_machine->state().targets[7].id];
    CHECK(crashed_once.step_until(Phase::completed));

    FakeFleet rejecting(10);
    rejecting.rejecting.insert(rejecting.state_machine->state().targets[2].id);
    REQUIRE(rejecting.step_until(Phase::rolled_back));
    CHECK(rejecting.state_machine->state().stage_index == 1);
    CHECK(rejecting.state_machine->state().rollback_reason.find("failed to apply the change: e.yaml:3") !=
          std::string::npos);
    CHECK(rejecting.updated_count() == 0);

    FakeFleet on_request(10);
    on_request.step_until(Phase::baking);
    on_request.state_machine->request_rollback("the operator's word");
    CHECK(on_request.step_until(Phase::rolled_back));
    CHECK(on_request.updated_count() == 0);
}

TEST_CASE(
    "rollout state machine: a stage that cannot be analyzed is extended, and rolled back when it takes too "
    "long") {
    FakeFleet fleet(10);
    fleet.step_until(Phase::baking);
    const auto targets = fleet.state_machine->state().targets;
    fleet.unreachable.insert(targets[0].id);
    for (int i = 0; i < 25; ++i)
        fleet.step();
    CHECK(fleet.state_machine->state().phase == Phase::baking);
    CHECK(fleet.state_machine->reports()[0].wait_reasons.at(0) == "1 changed processes not observed");
    fleet.unreachable.clear();
    CHECK(fleet.step_until(Phase::completed));
    FakeFleet partly_unreachable(10);
    partly_unreachable.step_until(Phase::baking);
    for (int i = 4; i < 8; ++i)
        partly_unreachable.unreachable.insert(
            partly_unreachable.state_machine->state().targets[static_cast<std::size_t>(i)].id);
    REQUIRE(partly_unreachable.step_until(Phase::rolled_back));
    CHECK(partly_unreachable.state_machine->state().rollback_reason ==
          "inconclusive for too long: 4 unchanged processes not observed");
    // The rollback waits for a process that is unreachable.
    FakeFleet returning(10);
    returning.step_until(Phase::baking);
    const std::string first = returning.state_machine->state().targets[0].id;
    returning.state_machine->request_rollback("x");
    returning.unreachable.insert(first);
    CHECK_FALSE(returning.step_until(Phase::rolled_back, 50));
    returning.unreachable.clear();
    CHECK(returning.step_until(Phase::rolled_back));
    CHECK(returning.updated_count() == 0);
}

TEST_CASE("rollout state machine: continues from the stored state of any step, but not with another plan") {
    for (int steps = 1; steps < 60; steps += 3) {
        FakeFleet fleet(10);
        if (steps % 2 == 0)
            fleet.error_rates["new"] = 5.0;
        for (int i = 0; i < steps; ++i)
            fleet.step();
        const auto stored =
            rollout::from_json(nlohmann::json::parse(rollout::to_json(fleet.state_machine->state()).dump()));
        fleet.state_machine.emplace(test_plan(), stored);
        REQUIRE(fleet.step_until(steps % 2 == 0 ? Phase::rolled_back : Phase::completed));
        CHECK(fleet.updated_count() == (steps % 2 == 0 ? 0U : 10U));
    }
    FakeFleet fleet(4);
    CHECK_THROWS_AS(RolloutStateMachine(test_plan({{1.0, 0}}), fleet.state_machine->state()),
                    std::runtime_error);
    for (const char* malformed :
         {"{}", "[]", R"({"version":2})",
          R"({"version":1,"name":"r","digest":"","phase":"flying","stage":0,"why":"","members":[]})"})
        CHECK_THROWS_AS(rollout::from_json(nlohmann::json::parse(malformed)), std::runtime_error);
}
