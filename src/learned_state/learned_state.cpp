#include "learned_state/learned_state.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>

namespace cressledge::learned_state {
namespace {

using nlohmann::json;

constexpr Duration max_clock_skew{300'000'000};  // a clock may differ by so much
constexpr double half_confidence_evidence = 10.0;
constexpr double upstream_smoothing_gain = 0.05;
constexpr double max_seconds = 3600.0, min_seconds = 1e-6, max_upstreams = 4096.0;

// Three digits: what changes by less is not worth a write.
double round_to_three_digits(double x) {
    if (x == 0.0 || !std::isfinite(x))
        return x;
    const double unit = std::pow(10.0, std::floor(std::log10(std::fabs(x))) - 2.0);
    return std::round(x / unit) * unit;
}

std::string encode_document(const json& j) {
    const auto bytes = json::to_cbor(j);
    return {bytes.begin(), bytes.end()};
}
std::optional<json> decode_document(const store::Entries& all, const std::string& key) {
    const auto it = all.find(key);
    if (it == all.end())
        return std::nullopt;
    json j = json::from_cbor(it->second, true, false);
    if (!j.is_object())
        return std::nullopt;
    return j;
}
// A number of the document within bounds; guards against NaN, text, and what no server ever was.
bool read_number(const json& j, const char* name, double least, double most, double& to) {
    const auto it = j.find(name);
    if (it == j.end() || !it->is_number())
        return false;
    const auto n = it->get<double>();
    if (!std::isfinite(n) || n < least || n > most)
        return false;
    to = n;
    return true;
}
std::string read_text(const json& j, const char* name) {
    const auto it = j.find(name);
    return it != j.end() && it->is_string() ? it->get<std::string>() : std::string();
}

}  // namespace

Identity identity_of(const std::string& node, const policy::Settings& s) {
    Identity i{node, {}, s.cores};
    for (const auto& c : s.classes)
        i.settings_fingerprint += c.name + '/' + std::to_string(static_cast<int>(c.idempotency)) + '/' +
                                  std::to_string(c.latency_objective.count()) + '/' +
                                  std::to_string(c.answer_deadline.count()) + ' ';
    i.settings_fingerprint += std::to_string(static_cast<int>(s.dependency));
    return i;
}

void UpstreamStats::record_call(Timestamp now, bool succeeded, double latency_seconds) {
    last_call_at = now;
    call_count = std::min(call_count + 1.0, 1e6);
    const double gain = std::max(upstream_smoothing_gain, 1.0 / call_count);
    failure_ratio += gain * ((succeeded ? 0.0 : 1.0) - failure_ratio);
    if (succeeded)
        mean_latency_seconds +=
            (mean_latency_seconds <= 0.0 ? 1.0 : gain) * (latency_seconds - mean_latency_seconds);
}

double ConfidencePolicy::confidence(Duration age, double evidence) const {
    if (age < -max_clock_skew || age > max_age)
        return 0.0;
    const double half_lives =
        std::max(0.0, static_cast<double>(age.count())) / static_cast<double>(half_life.count());
    return std::exp2(-half_lives) * std::max(0.0, evidence) /
           (std::max(0.0, evidence) + half_confidence_evidence);
}

store::Entries to_entries(const LearnedState& state, const Identity& identity,
                          const store::Entries& previous_entries) {
    const auto ms = [](Timestamp t) { return t.count() / 1000; };
    Timestamp newest{0};
    store::Entries all;
    all["about"] = encode_document({{"schema", schema_version},
                                    {"node", identity.node},
                                    {"site", identity.settings_fingerprint},
                                    {"cores", identity.cores},
                                    {"saved_ms", state.saved_at.count() / 1000}});
    for (const auto& c : state.controller_state.classes) {
        const std::string key = "class/" + c.name;
        if (const auto old = previous_entries.find(key);
            c.completions <= 0.0 && old != previous_entries.end())
            all[key] = old->second;
        if (c.completions <= 0.0)
            continue;
        const auto at = state.last_completion_at.find(c.name);
        const Timestamp last = at == state.last_completion_at.end() ? state.saved_at : at->second;
        newest = std::max(newest, last);
        all[key] = encode_document({{"quanta", round_to_three_digits(c.price_seconds)},
                                    {"run", round_to_three_digits(c.run_seconds)},
                                    {"count", round_to_three_digits(std::min(c.completions, 1e6))},
                                    {"at_ms", ms(last)}});
    }
    for (const auto& b : state.controller_state.bands)
        all["band/" + std::to_string(b.priority_weight)] =
            encode_document({{"worth", b.priority_weight},
                             {"rate", round_to_three_digits(b.quanta_per_period)},
                             {"rise", round_to_three_digits(b.trend_odds[0])},
                             {"same", round_to_three_digits(b.trend_odds[1])},
                             {"fall", round_to_three_digits(b.trend_odds[2])},
                             {"at_ms", ms(newest)}});
    all["controller"] = encode_document(
        {{"at_ms", ms(newest)},
         {"capacity", round_to_three_digits(state.controller_state.capacity_quanta_per_second)},
         {"limit", round_to_three_digits(state.controller_state.concurrency_limit)},
         {"call", round_to_three_digits(state.controller_state.call_seconds)},
         {"calls", round_to_three_digits(std::min(state.controller_state.call_count, 1e6))}});
    for (const auto& [name, s] : state.upstreams)
        all["server/" + name] = encode_document({{"seconds", round_to_three_digits(s.mean_latency_seconds)},
                                                 {"failed", std::round(s.failure_ratio * 100.0) / 100.0},
                                                 {"calls", round_to_three_digits(s.call_count)},
                                                 {"at_ms", ms(s.last_call_at)}});
    return all;
}

store::Changes difference(const store::Entries& before, const store::Entries& after) {
    store::Changes changes;
    for (const auto& [key, value] : before)
        if (after.count(key) == 0)
            changes[key] = std::nullopt;
    for (const auto& [key, value] : after) {
        const auto it = before.find(key);
        if (it == before.end() || it->second != value)
            changes[key] = value;
    }
    return changes;
}

RestoreResult restore(const store::Entries& entries, const Identity& identity, Timestamp now,
                      const ConfidencePolicy& confidence_policy) {
    RestoreResult result;
    const auto reject = [&result](std::string why) {
        result.restored = false;
        result.rejection_reason = std::move(why);
        return result;
    };
    if (entries.empty())
        return reject("nothing has been kept");
    const auto about = decode_document(entries, "about");
    double version = 0.0, cores = 0.0, saved = 0.0;
    if (!about || !read_number(*about, "schema", 1.0, 1e6, version) ||
        !read_number(*about, "cores", 1.0, 1e6, cores) || !read_number(*about, "saved_ms", 0.0, 1e15, saved))
        return reject("its head cannot be read");
    if (version > schema_version)
        return reject("a newer version's: schema " + std::to_string(static_cast<int>(version)));
    if (read_text(*about, "node") != identity.node)
        return reject("another node's: " + read_text(*about, "node"));
    if (read_text(*about, "site") != identity.settings_fingerprint)
        return reject("another site's: its classes or targets differ");
    if (static_cast<int>(cores) != identity.cores)
        return reject("learned with " + std::to_string(static_cast<int>(cores)) + " cores");
    result.stored_schema_version = static_cast<int>(version);
    LearnedState& state = result.state;
    state.saved_at = Timestamp(static_cast<std::int64_t>(saved) * 1000);
    const Duration age = now - state.saved_at;
    if (age < -max_clock_skew)
        return reject("from the future");
    if (age > confidence_policy.max_age)
        return reject("too old: " + std::to_string(age.count() / 3'600'000'000) + " hours");
    result.age_confidence = confidence_policy.confidence(age, 1e9);
    for (const auto& [key, value] : entries) {
        const std::string what = key.substr(0, key.find('/'));
        if (what == "about")
            continue;
        const auto doc = decode_document(entries, key);
        bool good = doc.has_value();
        const std::string name = key.substr(std::min(key.size(), what.size() + 1));
        double at = saved;  // schema 1 had one time for all
        good = good && (version < 2.0 || read_number(*doc, "at_ms", 0.0, saved + 1000.0, at));
        const Timestamp last(static_cast<std::int64_t>(at) * 1000);
        const Duration old = now - last;  // of this entry
        if (good && what == "class") {
            policy::Estimates::ClassEstimate c;
            c.name = name;
            good = read_number(*doc, "quanta", min_seconds, max_seconds, c.price_seconds) &&
                   read_number(*doc, "count", 0.0, 1e6, c.completions);
            // Schema 1 knew no run time: the price is the least that a run takes.
            if (good && version < 2.0)
                c.run_seconds = c.price_seconds;
            else
                good = good && read_number(*doc, "run", min_seconds, max_seconds, c.run_seconds);
            c.confidence = confidence_policy.confidence(old, c.completions);
            if (good)
                state.last_completion_at[name] = last;
            if (good)
                state.controller_state.classes.push_back(c);
        } else if (good && what == "band") {
            policy::Estimates::BandEstimate b;
            good = read_number(*doc, "worth", 0.0, 1e9, b.priority_weight) &&
                   read_number(*doc, "rate", 0.0, 1e6, b.quanta_per_period) &&
                   read_number(*doc, "rise", 0.0, 100.0, b.trend_odds[0]) &&
                   read_number(*doc, "same", 0.0, 100.0, b.trend_odds[1]) &&
                   read_number(*doc, "fall", 0.0, 100.0, b.trend_odds[2]);
            b.confidence =
                confidence_policy.confidence(old, b.trend_odds[0] + b.trend_odds[1] + b.trend_odds[2]);
            if (good)
                state.controller_state.bands.push_back(b);
        } else if (good && what == "controller") {
            good =
                read_number(*doc, "capacity", 0.01, 1e6, state.controller_state.capacity_quanta_per_second) &&
                read_number(*doc, "limit", 0.0, 1e6, state.controller_state.concurrency_limit) &&
                read_number(*doc, "call", 0.0, max_seconds, state.controller_state.call_seconds) &&
                read_number(*doc, "calls", 0.0, 1e6, state.controller_state.call_count);
            double evidence = 0.0;
            for (const auto& c : state.controller_state.classes)
                evidence += c.completions;  // classes come first, in their order
            state.controller_state.capacity_confidence =
                good ? confidence_policy.confidence(old, evidence) : 0.0;
            state.controller_state.call_confidence =
                good ? confidence_policy.confidence(old, state.controller_state.call_count) : 0.0;
        } else if (good && what == "server") {
            UpstreamStats s;
            good = read_number(*doc, "seconds", 0.0, max_seconds, s.mean_latency_seconds) &&
                   read_number(*doc, "failed", 0.0, 1.0, s.failure_ratio) &&
                   read_number(*doc, "calls", 0.0, 1e6, s.call_count) &&
                   static_cast<double>(state.upstreams.size()) < max_upstreams;
            // As little as trust leaves of the evidence: new calls outweigh it as soon.
            s.call_count = std::min(s.call_count, 1.0 / upstream_smoothing_gain) *
                           confidence_policy.confidence(old, s.call_count);
            s.last_call_at = last;
            if (good && s.call_count > 0.0)
                state.upstreams[name] = s;
        } else {
            good = false;
        }
        if (!good)
            result.skipped_entries.push_back(key + ": not what it should be");
    }
    result.restored = true;
    return result;
}

std::string to_json(const store::Entries& entries) {
    json all = json::object();
    for (const auto& [key, value] : entries) {
        const auto doc = decode_document(entries, key);
        all[key] = doc ? *doc : json("cannot be read");
    }
    return all.dump(2, ' ', false, json::error_handler_t::replace);
}

}  // namespace cressledge::learned_state
