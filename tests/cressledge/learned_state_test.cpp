// Tests which saved state is restored, with which confidence, and which is rejected.
#include "learned_state/learned_state.hpp"

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "learned_state/restore.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::learned_state;
using cressledge::store::Entries;
using nlohmann::json;

constexpr Timestamp saved_at{1'764'576'000'000'000};

constexpr Duration hours(double count) {
    return Duration(static_cast<std::int64_t>(count * 3.6e9));
}

LearnedState sample_state() {
    LearnedState state;
    state.saved_at = saved_at;
    auto& estimates = state.controller_state;
    estimates.classes = {{"trail-sheet", 0.4, 0.6, 90.0, 0.0}, {"route-profile", 0.2, 0.3, 10.0, 0.0}};
    estimates.bands = {{1.0, 0.5, {2.0, 1.0, 1.0}, 0.0}};
    estimates.capacity_quanta_per_second = 3.5;
    estimates.concurrency_limit = 6.0;
    state.upstreams["tiles-07"] = {0.25, 0.02, 40.0, saved_at};
    return state;
}

const Identity own_identity = identity_of("n3", test_settings());

Entries sample_entries() {
    return to_entries(sample_state(), own_identity, {});
}

json document_of(const Entries& entries, const char* key) {
    return json::from_cbor(entries.at(key));
}

void set_document(Entries& entries, const char* key, const json& document) {
    const auto bytes = json::to_cbor(document);
    entries[key] = {bytes.begin(), bytes.end()};
}

void set_field(Entries& entries, const char* key, const char* field, const json& value) {
    json document = document_of(entries, key);
    document[field] = value;
    set_document(entries, key, document);
}

TEST_CASE(
    "confidence policy: halves with age, grows with the observations, and is zero beyond the maximum age") {
    const ConfidencePolicy policy;
    for (const double age : {0.0, 12.0, 24.0, 72.0, 240.0, 336.0})
        for (const double evidence : {1.0, 10.0, 1000.0})
            CHECK(policy.confidence(hours(age), evidence) ==
                  Approx(std::exp2(-age / 24.0) * evidence / (evidence + 10.0)));
    CHECK(policy.confidence(hours(337), 1e9) == 0.0);
    CHECK(policy.confidence(hours(-1), 1e9) == 0.0);
    const auto result = restore(sample_entries(), own_identity, saved_at + hours(24), policy);
    REQUIRE(result.restored);
    CHECK(result.skipped_entries.empty());
    REQUIRE(result.state.controller_state.classes.size() == 2);
    for (const auto& estimate : result.state.controller_state.classes)
        CHECK(estimate.confidence == Approx(estimate.name == "trail-sheet" ? 0.5 * 0.9 : 0.5 * 0.5));
    CHECK(result.state.upstreams.at("tiles-07").call_count == Approx(20.0 * 0.5 * 0.8));
    // Nothing is restored after two weeks and an hour, or after three weeks.
    for (const double age : {337.0, 504.0})
        CHECK_FALSE(restore(sample_entries(), own_identity, saved_at + hours(age), policy).restored);
    // After ten days the confidence in an estimate is below 0.001.
    const auto old_result = restore(sample_entries(), own_identity, saved_at + hours(240), policy);
    CHECK(old_result.state.controller_state.classes[0].confidence < 0.001);
}

TEST_CASE(
    "restore: rejects state that is of another process, in the future, too old or malformed, with the "
    "reason") {
    const ConfidencePolicy policy;
    const auto reason = [&](const Entries& entries, const Identity& identity = own_identity,
                            Timestamp now = saved_at) {
        const auto result = restore(entries, identity, now, policy);
        return result.restored ? std::string("restored") : to_string(result.rejection);
    };
    CHECK(reason({}) == "no saved state");
    CHECK(reason(sample_entries(), identity_of("n4", test_settings())) == "saved by another node: n3");
    CHECK(restore(sample_entries(), identity_of("n4", test_settings()), saved_at, policy).rejection.cause ==
          RejectionCause::other_node);
    auto other_settings = test_settings();
    other_settings.classes[0].latency_objective = Duration(1);
    CHECK(reason(sample_entries(), identity_of("n3", other_settings)) ==
          "saved with other request classes or latency objectives");
    other_settings = test_settings();
    other_settings.cores = 8;
    CHECK(reason(sample_entries(), identity_of("n3", other_settings)) ==
          "saved with another number of cores: 4");
    CHECK(reason(sample_entries(), own_identity, saved_at - hours(1)) == "saved in the future");
    // Within the tolerated clock skew.
    CHECK(reason(sample_entries(), own_identity, saved_at - hours(0.05)) == "restored");
    CHECK(reason(sample_entries(), own_identity, saved_at + hours(400)) == "too old: 400 hours");
    auto entries = sample_entries();
    set_field(entries, "about", "schema", 3);
    CHECK(reason(entries) == "schema version newer than supported: 3");
    entries = sample_entries();
    entries["about"] = "\xff not CBOR";
    CHECK(reason(entries) == "header entry cannot be decoded");
    struct InvalidField {
        const char* name;
        json value;
    };
    const InvalidField invalid_fields[] = {{"quanta", std::nan("")}, {"quanta", -1.0}, {"quanta", 1e9},
                                           {"quanta", 0.0},          {"run", "x"},     {"count", 1e300},
                                           {"at_ms", 1e15}};
    for (const auto& [name, value] : invalid_fields) {
        entries = sample_entries();
        set_field(entries, "class/trail-sheet", name, value);
        const auto result = restore(entries, own_identity, saved_at, policy);
        CHECK(result.restored);
        CHECK(result.skipped_entries == std::vector<SkippedEntry>{{"class/trail-sheet"}});
        CHECK(to_string(result.skipped_entries.at(0)) == "class/trail-sheet: malformed or out of range");
        CHECK(result.state.controller_state.classes.size() == 1);
    }
    entries = sample_entries();
    entries["class/route-profile"] = "?";
    entries["spy/x"] = entries["about"];
    CHECK(restore(entries, own_identity, saved_at, policy).skipped_entries.size() == 2);
    CHECK(to_json(entries).find("cannot be read") != std::string::npos);
}

TEST_CASE("restore: migrates schema version 1, and a class without new completions keeps its age") {
    auto entries = sample_entries();
    set_field(entries, "about", "schema", 1);
    for (const char* key : {"class/trail-sheet", "class/route-profile"}) {
        json document = document_of(entries, key);
        document.erase("run");
        document.erase("at_ms");
        set_document(entries, key, document);
    }
    const auto migrated = restore(entries, own_identity, saved_at, ConfidencePolicy{});
    REQUIRE(migrated.restored);
    CHECK(migrated.stored_schema_version == 1);
    const auto& first_class = migrated.state.controller_state.classes.at(0);
    CHECK(first_class.run_seconds == first_class.price_seconds);
    LearnedState later = sample_state();
    later.saved_at = saved_at + hours(48);
    later.last_completion_at["trail-sheet"] = later.saved_at;
    // No request of this class has completed since the start.
    later.controller_state.classes[1].completions = 0.0;
    const Entries later_entries = to_entries(later, own_identity, sample_entries());
    const auto result = restore(later_entries, own_identity, later.saved_at, ConfidencePolicy{});
    REQUIRE(result.state.controller_state.classes.size() == 2);
    for (const auto& estimate : result.state.controller_state.classes)
        CHECK(estimate.confidence == Approx(estimate.name == "trail-sheet" ? 0.9 : 0.25 * 0.5));
    CHECK(difference(sample_entries(), sample_entries()).empty());
}

}  // namespace
