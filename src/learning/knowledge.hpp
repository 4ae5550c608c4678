// What is kept of what a server has learned, what of it is refused, and how far the rest is trusted. No I/O: entries of a
// store come in and go out, and time is an argument.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "control.hpp"
#include "core/deadlines.hpp"
#include "store/format.hpp"

namespace cressledge::learning {

using core::Span;
using core::Time;

constexpr int schema = 2;  // 1 had no run time of a class; it is migrated

struct Identity {  // whose knowledge it is
    std::string node;  // this process's name among others of its site
    std::string site;  // the classes by name, effect and targets, and what the server calls
    int cores = 0;
};
Identity identity_of(const std::string& node, const curlewreel::Settings& settings);

struct Server {  // of the inventory, as calls found it
    double seconds = 0.0;  // of a good call, smoothed
    double failed = 0.0;  // share of calls, smoothed
    double calls = 0.0;  // behind these figures
    Time at{0};  // of the last of them
    void learn(Time now, bool good, double took);
};
using Servers = std::map<std::string, Server>;  // by name

struct Knowledge {
    Time saved{0};
    curlewreel::Learned learned;
    std::map<std::string, Time> at;  // by class: its last completion
    Servers servers;
};

// A class without a completion keeps the entry it had `before`, with its age.
store::Entries to_entries(const Knowledge& knowledge, const Identity& whose, const store::Entries& before);
// What to write so that a store with `before` holds `after`.
store::Changes difference(const store::Entries& before, const store::Entries& after);

struct Trust {
    Span half_life{std::int64_t{24} * 3'600'000'000};
    Span most_age{std::int64_t{14} * 24 * 3'600'000'000};
    // 2^(-age / half_life) * n / (n + 10); 0 beyond most_age, and for what comes from the future.
    double of(Span age, double evidence) const;
};

struct Judgement {
    bool taken = false;
    std::string reason;  // not taken: why
    std::vector<std::string> passed_over;  // taken: parts that were not, and why
    Knowledge knowledge;  // the trust in each figure is set
    double age_trust = 0.0;  // of age alone
    int from_schema = schema;
};
Judgement judge(const store::Entries& entries, const Identity& whose, Time now, const Trust& trust);

// All that is kept, as JSON text, for an operator to read. Never throws; what cannot be read says so.
std::string to_json(const store::Entries& entries);

}  // namespace cressledge::learning
