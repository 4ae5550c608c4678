// What is kept of what a server has learned, what of it is refused, and how far the rest is trusted. No I/O: entries of a
// store come in and go out, and time is an argument.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "policy/admission_controller.hpp"
#include "store/format.hpp"

namespace cressledge::learned_state {

using base::Duration;
using base::Timestamp;

constexpr int schema_version = 2;  // 1 had no run time of a class; it is migrated

struct Identity {  // whose knowledge it is
    std::string node;  // this process's name among others of its site
    std::string settings_fingerprint;  // the classes by name, effect and targets, and what the server calls
    int cores = 0;
};
Identity identity_of(const std::string& node, const policy::Settings& settings);

struct UpstreamStats {  // of the inventory, as calls found it
    double mean_latency_seconds = 0.0;  // of a good call, smoothed
    double failure_ratio = 0.0;  // share of calls, smoothed
    double call_count = 0.0;  // behind these figures
    Timestamp last_call_at{0};  // of the last of them
    void record_call(Timestamp now, bool succeeded, double latency_seconds);
};
using UpstreamStatsByName = std::map<std::string, UpstreamStats>;  // by name

struct LearnedState {
    Timestamp saved_at{0};
    policy::Estimates controller_state;
    std::map<std::string, Timestamp> last_completion_at;  // by class: its last completion
    UpstreamStatsByName upstreams;
};

// A class without a completion keeps the entry it had `before`, with its age.
store::Entries to_entries(const LearnedState& knowledge, const Identity& identity,
                          const store::Entries& previous_entries);
// What to write so that a store with `before` holds `after`.
store::Changes difference(const store::Entries& before, const store::Entries& after);

struct ConfidencePolicy {
    Duration half_life{std::int64_t{24} * 3'600'000'000};
    Duration max_age{std::int64_t{14} * 24 * 3'600'000'000};
    // 2^(-age / half_life) * n / (n + 10); 0 beyond most_age, and for what comes from the future.
    double confidence(Duration age, double evidence) const;
};

struct RestoreResult {
    bool restored = false;
    std::string rejection_reason;  // not taken: why
    std::vector<std::string> skipped_entries;  // taken: parts that were not, and why
    LearnedState state;  // the trust in each figure is set
    double age_confidence = 0.0;  // of age alone
    int stored_schema_version = schema_version;
};
RestoreResult restore(const store::Entries& entries, const Identity& identity, Timestamp now,
                      const ConfidencePolicy& confidence_policy);

// All that is kept, as JSON text, for an operator to read. Never throws; what cannot be read says so.
std::string to_json(const store::Entries& entries);

}  // namespace cressledge::learned_state
