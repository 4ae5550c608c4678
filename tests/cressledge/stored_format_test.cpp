// Tests of the formats on disk: mutated files, and files written by an earlier version of the program
// (tests/fixtures/README.md).
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "in_memory_file_system.hpp"
#include "learned_state/learned_state.hpp"
#include "learned_state/restore.hpp"
#include "store/store.hpp"
#include "store_fixture.hpp"
#include "support.hpp"

// The entry point for libFuzzer: decodes the input as a snapshot and as a log. The test below drives it with a
// seeded mutator, so that CI is deterministic.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    cressledge::store::Snapshot snapshot;
    cressledge::store::decode_snapshot(bytes, snapshot);
    snapshot = {};
    cressledge::store::replay_log(bytes, snapshot);
    return 0;
}

namespace {

using namespace cressledge::testing;
using namespace cressledge::store;
namespace learned_state = cressledge::learned_state;

const std::string snapshot_name = "snap-0000000000000001";
const std::string log_name = "log-0000000000000001";

// __FILE__ may be relative to the build directory, which contains the program.
std::filesystem::path fixtures() {
    const auto build_directory = std::filesystem::path(CRESSLEDGE_PROGRAM).parent_path();
    const auto this_file = build_directory / __FILE__;
    return this_file.parent_path().parent_path() / "fixtures";
}

std::string read_fixture(const std::string& directory, const std::string& name) {
    std::ifstream file(fixtures() / directory / name, std::ios::binary);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Copies the files of a fixture into an in-memory file system.
void load_fixture(const std::string& directory, InMemoryFileSystem& files) {
    for (const std::string& name : {snapshot_name, log_name}) {
        files.create(name);
        files.file(name) = read_fixture(directory, name);
    }
}

const std::string value_with_zero_byte = binary_literal("one\0two");

TEST_CASE("store format: 20,000 mutated files are decoded without a crash") {
    Snapshot snapshot;
    snapshot.generation = 3;
    snapshot.entries = state_after(7);
    const std::string snapshot_bytes = encode_snapshot(snapshot).value();
    LogPosition position;
    const std::string log_header = encode_log_header(3, snapshot.checksum, position);
    const std::string first_record = encode_log_record(changes_between({}, state_after(8)), position).value();
    const std::string second_record = encode_log_record({{"k1", std::nullopt}}, position).value();
    const std::vector<std::string> corpus{snapshot_bytes, log_header,
                                          log_header + first_record + second_record};
    std::mt19937 random(5);
    for (int i = 0; i < 20'000; ++i) {
        std::string mutated = corpus[random() % corpus.size()];
        for (std::uint32_t n = 1 + random() % 4; n > 0 && !mutated.empty(); --n) {
            const std::size_t at = random() % mutated.size();
            switch (random() % 5) {
                case 0:
                    mutated[at] = static_cast<char>(random());
                    break;
                case 1:
                    mutated.erase(at, random() % 16);
                    break;
                case 2:
                    mutated.insert(at, mutated.substr(random() % mutated.size(), random() % 32));
                    break;
                case 3:
                    mutated.replace(at, 4, "\xff\xff\xff\x7f", 4);
                    break;
                default:
                    mutated += corpus[random() % corpus.size()].substr(0, random() % 64);
            }
        }
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(mutated.data()), mutated.size());
    }
    Snapshot newer;
    newer.entries = state_after(1);
    std::string bytes = encode_snapshot(newer).value();
    // Changes the format version, so that the header checksum doesn't match.
    bytes[8] = 2;
    const std::optional<FormatError> error = decode_snapshot(bytes, newer);
    CHECK(error.has_value());
    CHECK(to_string(error.value()) == std::string("corrupt header"));
}

TEST_CASE("store: files of format version 1 written by an earlier version are read completely") {
    InMemoryFileSystem files;
    load_fixture("store_v1", files);
    Store store(files);
    REQUIRE(store.open_read_only() == 0);
    CHECK(store.skipped_files().empty());
    CHECK(store.generation() == 1);
    CHECK(store.replayed_records() == 2);
    CHECK(store.entries() == Entries{{"alpha", "three"}, {"gamma", ""}, {"delta", "four"}});
}

TEST_CASE("store: the same commits give the same bytes as in an earlier version") {
    InMemoryFileSystem files;
    Store store(files);
    REQUIRE(store.open() == 0);
    REQUIRE(store.commit({{"alpha", value_with_zero_byte}, {"beta", std::string(300, 'b')}, {"gamma", ""}}) ==
            0);
    REQUIRE(store.commit({{"alpha", "three"}, {"beta", std::nullopt}}) == 0);
    REQUIRE(store.commit({{"delta", "four"}}) == 0);
    CHECK(files.file(snapshot_name) == read_fixture("store_v1", snapshot_name));
    CHECK(files.file(log_name) == read_fixture("store_v1", log_name));
}

// The state in the fixture learned_state_v2.
constexpr learned_state::Timestamp first_save{1'764'576'000'000'000};
constexpr learned_state::Timestamp second_save = first_save + learned_state::Duration(60'000'000);

learned_state::LearnedState first_state() {
    learned_state::LearnedState state;
    state.saved_at = first_save;
    auto& estimates = state.controller_state;
    estimates.classes = {{"trail-sheet", 0.4, 0.6, 90.0, 0.0}, {"route-profile", 0.2, 0.3, 10.0, 0.0}};
    estimates.bands = {{1.0, 0.5, {2.0, 1.0, 1.0}, 0.0}};
    estimates.capacity_quanta_per_second = 3.5;
    estimates.concurrency_limit = 6.0;
    state.upstreams["tiles-07"] = {0.25, 0.02, 40.0, first_save};
    return state;
}

learned_state::LearnedState second_state() {
    learned_state::LearnedState state = first_state();
    state.saved_at = second_save;
    state.last_completion_at["trail-sheet"] = second_save;
    auto& estimates = state.controller_state;
    estimates.classes[0] = {"trail-sheet", 0.45, 0.65, 120.0, 0.0};
    // No request of this class has completed since the start, so its entry is unchanged.
    estimates.classes[1].completions = 0.0;
    estimates.call_seconds = 0.125;
    estimates.call_count = 7.0;
    state.upstreams["tiles-08"] = {0.5, 0.25, 3.0, second_save};
    return state;
}

TEST_CASE("learned state: a store written by an earlier version is restored with the same estimates") {
    InMemoryFileSystem files;
    load_fixture("learned_state_v2", files);
    Store store(files);
    REQUIRE(store.open_read_only() == 0);
    CHECK(store.skipped_files().empty());
    const learned_state::ConfidencePolicy policy;
    const auto result = learned_state::restore(
        store.entries(), learned_state::identity_of("n3", test_settings()), second_save, policy);
    REQUIRE(result.restored);
    CHECK(result.skipped_entries.empty());
    CHECK(result.stored_schema_version == 2);
    CHECK(result.state.saved_at == second_save);
    const auto& estimates = result.state.controller_state;
    REQUIRE(estimates.classes.size() == 2);
    const auto& route_profile = estimates.classes[0];
    CHECK(route_profile.name == "route-profile");
    CHECK(route_profile.price_seconds == Approx(0.2));
    CHECK(route_profile.completions == Approx(10.0));
    CHECK(result.state.last_completion_at.at("route-profile") == first_save);
    const auto& trail_sheet = estimates.classes[1];
    CHECK(trail_sheet.name == "trail-sheet");
    CHECK(trail_sheet.price_seconds == Approx(0.45));
    CHECK(trail_sheet.run_seconds == Approx(0.65));
    CHECK(trail_sheet.completions == Approx(120.0));
    CHECK(trail_sheet.confidence == Approx(120.0 / 130.0));
    CHECK(result.state.last_completion_at.at("trail-sheet") == second_save);
    REQUIRE(estimates.bands.size() == 1);
    CHECK(estimates.bands[0].priority_weight == Approx(1.0));
    CHECK(estimates.bands[0].quanta_per_period == Approx(0.5));
    CHECK(estimates.bands[0].trend_odds == std::array<double, 3>{2.0, 1.0, 1.0});
    CHECK(estimates.capacity_quanta_per_second == Approx(3.5));
    CHECK(estimates.concurrency_limit == Approx(6.0));
    CHECK(estimates.call_seconds == Approx(0.125));
    CHECK(estimates.call_count == Approx(7.0));
    REQUIRE(result.state.upstreams.size() == 2);
    CHECK(result.state.upstreams.at("tiles-07").mean_latency_seconds == Approx(0.25));
    CHECK(result.state.upstreams.at("tiles-08").failure_ratio == Approx(0.25));
}

TEST_CASE("learned state: the same states give the same bytes as in an earlier version") {
    const auto identity = learned_state::identity_of("n3", test_settings());
    const Entries first = learned_state::to_entries(first_state(), identity, {});
    const Entries second = learned_state::to_entries(second_state(), identity, first);
    InMemoryFileSystem files;
    Store store(files);
    REQUIRE(store.open() == 0);
    REQUIRE(store.commit(learned_state::difference({}, first)) == 0);
    REQUIRE(store.commit(learned_state::difference(first, second)) == 0);
    CHECK(files.file(snapshot_name) == read_fixture("learned_state_v2", snapshot_name));
    CHECK(files.file(log_name) == read_fixture("learned_state_v2", log_name));
}

}  // namespace
