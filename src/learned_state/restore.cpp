#include "learned_state/restore.hpp"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "learned_state/state_document.hpp"

namespace cressledge::learned_state {
namespace {

using nlohmann::json;

/// Entries of schema version 1 have no `observed_at` and no `run_time`.
constexpr double first_version_with_entry_times = 2.0;

constexpr Range version_range{1.0, 1e6};
constexpr Range cores_range{1.0, 1e6};
constexpr Range time_range{0.0, 1e15};
/// The maximum of all durations. Prices and run times must be positive, as 0 means that there is no estimate.
constexpr double max_seconds = 3600.0;
constexpr Range positive_seconds_range{1e-6, max_seconds};
constexpr Range seconds_range{0.0, max_seconds};
constexpr Range observations_range{0.0, max_observations};
constexpr Range priority_weight_range{0.0, 1e9};
constexpr Range quanta_range{0.0, 1e6};
constexpr Range odds_range{0.0, 100.0};
constexpr Range capacity_range{0.01, 1e6};
constexpr Range concurrency_limit_range{0.0, 1e6};
constexpr Range ratio_range{0.0, 1.0};
constexpr std::size_t max_upstreams = 4096;
/// An entry's time may be this much later than that of the state, as both are rounded.
constexpr double entry_time_slack_ms = 1000.0;
/// A number of observations at which the confidence depends on age alone.
constexpr double saturating_evidence = 1e9;
constexpr std::int64_t microseconds_per_hour = 3'600'000'000;

Timestamp from_milliseconds(double milliseconds) {
    return Timestamp(static_cast<std::int64_t>(milliseconds) * 1000);
}

/// The header document, which identifies the process that saved the state.
struct Header {
    double schema_version = 0.0;
    double cores = 0.0;
    double saved_at_ms = 0.0;
    std::string node;
    std::string settings_fingerprint;
};

std::optional<Header> read_header(const store::Entries& entries) {
    const auto found = entries.find(entry_type::header);
    if (found == entries.end())
        return std::nullopt;
    const auto document = decode_document(found->second);
    if (!document)
        return std::nullopt;
    Header header;
    const bool is_valid = read_number(*document, field::schema, version_range, header.schema_version) &&
                          read_number(*document, field::cores, cores_range, header.cores) &&
                          read_number(*document, field::saved_at, time_range, header.saved_at_ms);
    if (!is_valid)
        return std::nullopt;
    header.node = read_text(*document, field::node);
    header.settings_fingerprint = read_text(*document, field::settings_fingerprint);
    return header;
}

/// Returns an error unless the header's schema version is supported and its identity is that of this process.
std::optional<RestoreRejection> check_identity(const Header& header, const Identity& identity) {
    if (header.schema_version > schema_version)
        return RestoreRejection{RejectionCause::newer_schema, static_cast<int>(header.schema_version), {}};
    if (header.node != identity.node)
        return RestoreRejection{RejectionCause::other_node, 0, header.node};
    if (header.settings_fingerprint != identity.settings_fingerprint)
        return RestoreRejection{RejectionCause::other_settings, 0, {}};
    const int cores = static_cast<int>(header.cores);
    if (cores != identity.cores)
        return RestoreRejection{RejectionCause::other_core_count, cores, {}};
    return std::nullopt;
}

/// Returns an error if state of this age must not be used.
std::optional<RestoreRejection> check_age(Duration age, const ConfidencePolicy& confidence_policy) {
    if (age < -max_clock_skew)
        return RestoreRejection{RejectionCause::from_the_future, 0, {}};
    if (age > confidence_policy.max_age)
        return RestoreRejection{RejectionCause::too_old, age.count() / microseconds_per_hour, {}};
    return std::nullopt;
}

/// Decodes the documents of a store one by one into a LearnedState.
class StateDecoder {
public:
    StateDecoder(const Header& header, Timestamp now, const ConfidencePolicy& confidence_policy,
                 LearnedState& state)
        : header_(header), now_(now), confidence_policy_(confidence_policy), state_(state) {}

    /// Returns false if the document is malformed or a field is out of range; its estimates are then unchanged or
    /// have zero confidence.
    bool decode(const DocumentKey& key, const std::string& bytes) {
        const auto document = decode_document(bytes);
        if (!document)
            return false;
        double observed_at_ms = header_.saved_at_ms;
        const Range observed_at_range{0.0, header_.saved_at_ms + entry_time_slack_ms};
        if (has_entry_times() &&
            !read_number(*document, field::observed_at, observed_at_range, observed_at_ms))
            return false;
        const Timestamp observed_at = from_milliseconds(observed_at_ms);
        if (key.type == entry_type::request_class)
            return decode_class(key.name, *document, observed_at);
        if (key.type == entry_type::band)
            return decode_band(*document, observed_at);
        if (key.type == entry_type::controller)
            return decode_controller(*document, observed_at);
        if (key.type == entry_type::upstream)
            return decode_upstream(key.name, *document, observed_at);
        return false;
    }

private:
    bool has_entry_times() const { return header_.schema_version >= first_version_with_entry_times; }

    double confidence(Timestamp observed_at, double evidence) const {
        return confidence_policy_.confidence(now_ - observed_at, evidence);
    }

    bool decode_class(const std::string& name, const json& document, Timestamp observed_at) {
        policy::Estimates::ClassEstimate estimate;
        estimate.name = name;
        if (!read_number(document, field::price, positive_seconds_range, estimate.price_seconds) ||
            !read_number(document, field::completions, observations_range, estimate.completions))
            return false;
        // The default if there is no run time: a run takes at least its price.
        estimate.run_seconds = estimate.price_seconds;
        if (has_entry_times() &&
            !read_number(document, field::run_time, positive_seconds_range, estimate.run_seconds))
            return false;
        estimate.confidence = confidence(observed_at, estimate.completions);
        state_.last_completion_at[name] = observed_at;
        state_.controller_state.classes.push_back(estimate);
        return true;
    }

    bool decode_band(const json& document, Timestamp observed_at) {
        policy::Estimates::BandEstimate estimate;
        auto& odds = estimate.trend_odds;
        if (!read_number(document, field::priority_weight, priority_weight_range, estimate.priority_weight) ||
            !read_number(document, field::quanta_per_period, quanta_range, estimate.quanta_per_period) ||
            !read_number(document, field::odds_of_rise, odds_range, odds[0]) ||
            !read_number(document, field::odds_of_no_change, odds_range, odds[1]) ||
            !read_number(document, field::odds_of_fall, odds_range, odds[2]))
            return false;
        estimate.confidence = confidence(observed_at, odds[0] + odds[1] + odds[2]);
        state_.controller_state.bands.push_back(estimate);
        return true;
    }

    bool decode_controller(const json& document, Timestamp observed_at) {
        policy::Estimates& estimates = state_.controller_state;
        if (!read_number(document, field::capacity, capacity_range, estimates.capacity_quanta_per_second) ||
            !read_number(document, field::concurrency_limit, concurrency_limit_range,
                         estimates.concurrency_limit) ||
            !read_number(document, field::call_time, seconds_range, estimates.call_seconds) ||
            !read_number(document, field::call_count, observations_range, estimates.call_count))
            return false;
        // Entries are decoded in key order, so all classes have been decoded.
        double completions = 0.0;
        for (const auto& estimate : estimates.classes)
            completions += estimate.completions;
        estimates.capacity_confidence = confidence(observed_at, completions);
        estimates.call_confidence = confidence(observed_at, estimates.call_count);
        return true;
    }

    bool decode_upstream(const std::string& name, const json& document, Timestamp observed_at) {
        UpstreamStats stats;
        if (!read_number(document, field::mean_latency, seconds_range, stats.mean_latency_seconds) ||
            !read_number(document, field::failure_ratio, ratio_range, stats.failure_ratio) ||
            !read_number(document, field::call_count, observations_range, stats.call_count) ||
            state_.upstreams.size() >= max_upstreams)
            return false;
        // Scales the call count by the confidence, so that new calls outweigh the restored ones sooner.
        const double effective_calls = std::min(stats.call_count, 1.0 / upstream_smoothing_gain);
        stats.call_count = effective_calls * confidence(observed_at, stats.call_count);
        stats.last_call_at = observed_at;
        if (stats.call_count > 0.0)
            state_.upstreams[name] = stats;
        return true;
    }

    const Header& header_;
    const Timestamp now_;
    const ConfidencePolicy& confidence_policy_;
    LearnedState& state_;
};

RestoreResult reject(RestoreResult result, RestoreRejection rejection) {
    result.restored = false;
    result.rejection = std::move(rejection);
    return result;
}

}  // namespace

RestoreResult restore(const store::Entries& entries, const Identity& identity, Timestamp now,
                      const ConfidencePolicy& confidence_policy) {
    RestoreResult result;
    if (entries.empty())
        return reject(result, {RejectionCause::nothing_saved, 0, {}});
    const auto header = read_header(entries);
    if (!header)
        return reject(result, {RejectionCause::unreadable_header, 0, {}});
    if (auto rejection = check_identity(*header, identity))
        return reject(result, std::move(*rejection));
    result.stored_schema_version = static_cast<int>(header->schema_version);
    result.state.saved_at = from_milliseconds(header->saved_at_ms);
    const Duration age = now - result.state.saved_at;
    if (auto rejection = check_age(age, confidence_policy))
        return reject(result, std::move(*rejection));
    result.age_confidence = confidence_policy.confidence(age, saturating_evidence);
    StateDecoder decoder(*header, now, confidence_policy, result.state);
    for (const auto& [key, bytes] : entries) {
        const DocumentKey document_key = parse_key(key);
        if (document_key.type != entry_type::header && !decoder.decode(document_key, bytes))
            result.skipped_entries.push_back(SkippedEntry{key});
    }
    result.restored = true;
    return result;
}

}  // namespace cressledge::learned_state
