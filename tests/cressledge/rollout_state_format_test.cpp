/// Compatibility of the stored rollout state: states written by the version before the split into modules (commit
/// b4f6762, tests/fixtures/rollout_state/) are read, and written again with the same bytes.
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "rollout/rollout_plan.hpp"
#include "rollout/rollout_state_machine.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using rollout::Phase, rollout::RolloutState;

/// A fixture file and its expected content.
struct StoredState {
    const char* file;
    Phase phase;
    std::size_t stage_index;
    std::size_t updated_count;
};

const std::vector<StoredState> stored_states{
    {"rollout_state_watching.json", Phase::observing, 0, 0},
    {"rollout_state_changing.json", Phase::updating, 1, 2},
    {"rollout_state_baking.json", Phase::baking, 1, 2},
    {"rollout_state_done.json", Phase::completed, 2, 5},
    {"rollout_state_reverting.json", Phase::rolling_back, 1, 2},
    {"rollout_state_reverted.json", Phase::rolled_back, 1, 2},
};

/// `__FILE__` may be relative to the build directory, because the compiler cache rewrites it.
std::filesystem::path fixture_directory() {
    const std::filesystem::path build_directory = std::filesystem::path(CRESSLEDGE_PROGRAM).parent_path();
    const std::filesystem::path this_file = build_directory / __FILE__;
    return this_file.parent_path().parent_path() / "fixtures" / "rollout_state";
}

std::string read_fixture(const char* file) {
    std::ifstream in(fixture_directory() / file, std::ios::binary);
    REQUIRE(in.good());
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

RolloutState read_state(const char* file) {
    return rollout::from_json(nlohmann::json::parse(read_fixture(file)));
}

/// Returns the plan that the fixtures belong to.
rollout::RolloutPlan fixture_plan() {
    rollout::RolloutPlan plan;
    plan.name = "probe-first-for-all";
    plan.target_spec = {"/opt/new/cressledge", "routing: {policy: probe-first}\n"};
    plan.stages = {{0.0, 1}, {0.25, 0}, {1.0, 0}};
    plan.order_seed = 7;
    return plan;
}

/// Returns the fleet of the fixtures before the rollout.
std::vector<rollout::ProcessAssignment> fixture_fleet() {
    std::vector<rollout::ProcessAssignment> fleet;
    for (int i = 1; i <= 5; ++i)
        fleet.push_back({"plateau-" + std::to_string(i), {"/opt/old/cressledge", ""}});
    fleet[3].spec.overlay = "limits: {x: \"\xc3\xa9\"}\n";
    return fleet;
}

}  // namespace

TEST_CASE("rollout state: each phase stored by the earlier version is read") {
    for (const StoredState& expected : stored_states) {
        INFO(expected.file);
        const RolloutState state = read_state(expected.file);
        CHECK(state.name == "probe-first-for-all");
        CHECK(state.phase == expected.phase);
        CHECK(state.stage_index == expected.stage_index);
        CHECK(state.rollback_reason.empty() ==
              (state.phase != Phase::rolling_back && state.phase != Phase::rolled_back));
        REQUIRE(state.targets.size() == 5);
        for (std::size_t i = 0; i < state.targets.size(); ++i) {
            CHECK(state.targets[i].is_updated == (i < expected.updated_count));
            CHECK(state.targets[i].original_spec.program == "/opt/old/cressledge");
            CHECK(state.targets[i].updated_spec == fixture_plan().target_spec);
        }
        CHECK(state.targets[0].original_spec.overlay == "limits: {x: \"\xc3\xa9\"}\n");
    }
}

TEST_CASE("rollout state: a state read from the earlier version is written with the same bytes") {
    for (const StoredState& stored : stored_states)
        CHECK(rollout::to_json(read_state(stored.file)).dump() == read_fixture(stored.file));
}

TEST_CASE("rollout state: a plan has the digest and the order that the earlier version stored") {
    const RolloutState stored = read_state("rollout_state_watching.json");
    const rollout::RolloutStateMachine state_machine(fixture_plan(), fixture_fleet());
    CHECK(rollout::to_json(state_machine.state()).dump() == read_fixture("rollout_state_watching.json"));
    CHECK(rollout::compute_plan_digest(fixture_plan()) == stored.plan_digest);
    CHECK_NOTHROW(rollout::RolloutStateMachine(fixture_plan(), stored));
}
