#include "learned_state/learned_state.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "learned_state/state_document.hpp"

namespace cressledge::learned_state {
namespace {

using nlohmann::json;

constexpr int significant_digits = 3;

/// Rounds so that an insignificant change of a value does not cause a write.
double round_to_significant_digits(double value) {
    if (value == 0.0 || !std::isfinite(value))
        return value;
    const double exponent = std::floor(std::log10(std::fabs(value)));
    const double unit = std::pow(10.0, exponent - (significant_digits - 1));
    return std::round(value / unit) * unit;
}

double round_to_percent(double ratio) {
    return std::round(ratio * 100.0) / 100.0;
}

double round_observation_count(double observations) {
    return round_to_significant_digits(std::min(observations, max_observations));
}

std::int64_t to_milliseconds(Timestamp time) {
    return time.count() / 1000;
}

std::string encode_header(const LearnedState& state, const Identity& identity) {
    return encode_document({{field::schema, schema_version},
                            {field::node, identity.node},
                            {field::settings_fingerprint, identity.settings_fingerprint},
                            {field::cores, identity.cores},
                            {field::saved_at, to_milliseconds(state.saved_at)}});
}

std::string encode_class(const policy::Estimates::ClassEstimate& estimate, Timestamp last_completion_at) {
    return encode_document({{field::price, round_to_significant_digits(estimate.price_seconds)},
                            {field::run_time, round_to_significant_digits(estimate.run_seconds)},
                            {field::completions, round_observation_count(estimate.completions)},
                            {field::observed_at, to_milliseconds(last_completion_at)}});
}

std::string encode_band(const policy::Estimates::BandEstimate& estimate, Timestamp observed_at) {
    return encode_document(
        {{field::priority_weight, estimate.priority_weight},
         {field::quanta_per_period, round_to_significant_digits(estimate.quanta_per_period)},
         {field::odds_of_rise, round_to_significant_digits(estimate.trend_odds[0])},
         {field::odds_of_no_change, round_to_significant_digits(estimate.trend_odds[1])},
         {field::odds_of_fall, round_to_significant_digits(estimate.trend_odds[2])},
         {field::observed_at, to_milliseconds(observed_at)}});
}

std::string encode_controller(const policy::Estimates& estimates, Timestamp observed_at) {
    return encode_document(
        {{field::observed_at, to_milliseconds(observed_at)},
         {field::capacity, round_to_significant_digits(estimates.capacity_quanta_per_second)},
         {field::concurrency_limit, round_to_significant_digits(estimates.concurrency_limit)},
         {field::call_time, round_to_significant_digits(estimates.call_seconds)},
         {field::call_count, round_observation_count(estimates.call_count)}});
}

std::string encode_upstream(const UpstreamStats& stats) {
    return encode_document({{field::mean_latency, round_to_significant_digits(stats.mean_latency_seconds)},
                            {field::failure_ratio, round_to_percent(stats.failure_ratio)},
                            {field::call_count, round_to_significant_digits(stats.call_count)},
                            {field::observed_at, to_milliseconds(stats.last_call_at)}});
}

Timestamp find_last_completion(const std::string& class_name, const LearnedState& state) {
    const auto found = state.last_completion_at.find(class_name);
    return found == state.last_completion_at.end() ? state.saved_at : found->second;
}

/// Adds the entries of all classes. Returns the latest completion of all classes, or 0 if there is none.
Timestamp add_class_entries(store::Entries& entries, const LearnedState& state,
                            const store::Entries& previous_entries) {
    Timestamp latest_completion{0};
    for (const auto& estimate : state.controller_state.classes) {
        const std::string key = make_key(entry_type::request_class, estimate.name);
        if (estimate.completions <= 0.0) {
            const auto previous = previous_entries.find(key);
            if (previous != previous_entries.end())
                entries[key] = previous->second;
            continue;
        }
        const Timestamp last_completion_at = find_last_completion(estimate.name, state);
        latest_completion = std::max(latest_completion, last_completion_at);
        entries[key] = encode_class(estimate, last_completion_at);
    }
    return latest_completion;
}

}  // namespace

Identity identity_of(const std::string& node, const policy::Settings& settings) {
    Identity identity{node, {}, settings.cores};
    std::string& fingerprint = identity.settings_fingerprint;
    for (const auto& request_class : settings.classes) {
        fingerprint += request_class.name;
        fingerprint += '/' + std::to_string(static_cast<int>(request_class.idempotency));
        fingerprint += '/' + std::to_string(request_class.latency_objective.count());
        fingerprint += '/' + std::to_string(request_class.answer_deadline.count());
        fingerprint += ' ';
    }
    fingerprint += std::to_string(static_cast<int>(settings.dependency));
    return identity;
}

store::Entries to_entries(const LearnedState& state, const Identity& identity,
                          const store::Entries& previous_entries) {
    store::Entries entries;
    entries[entry_type::header] = encode_header(state, identity);
    const Timestamp latest_completion = add_class_entries(entries, state, previous_entries);
    for (const auto& band : state.controller_state.bands)
        entries[make_key(entry_type::band, std::to_string(band.priority_weight))] =
            encode_band(band, latest_completion);
    entries[entry_type::controller] = encode_controller(state.controller_state, latest_completion);
    for (const auto& [name, stats] : state.upstreams)
        entries[make_key(entry_type::upstream, name)] = encode_upstream(stats);
    return entries;
}

store::Changes difference(const store::Entries& before, const store::Entries& after) {
    store::Changes changes;
    for (const auto& [key, value] : before)
        if (after.count(key) == 0)
            changes[key] = std::nullopt;
    for (const auto& [key, value] : after) {
        const auto previous = before.find(key);
        if (previous == before.end() || previous->second != value)
            changes[key] = value;
    }
    return changes;
}

std::string to_json(const store::Entries& entries) {
    constexpr int indent = 2;
    constexpr bool ascii_only = false;
    json documents = json::object();
    for (const auto& [key, value] : entries) {
        const auto document = decode_document(value);
        documents[key] = document ? *document : json("cannot be read");
    }
    return documents.dump(indent, ' ', ascii_only, json::error_handler_t::replace);
}

}  // namespace cressledge::learned_state
