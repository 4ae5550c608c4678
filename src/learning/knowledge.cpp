#include "learning/knowledge.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>

namespace cressledge::learning {
namespace {

using nlohmann::json;

constexpr Span ahead{300'000'000};  // a clock may differ by so much
constexpr double evidence_half = 10.0;
constexpr double server_gain = 0.05;
constexpr double most_seconds = 3600.0, least_seconds = 1e-6, most_servers = 4096.0;

// Three digits: what changes by less is not worth a write.
double brief(double x) {
    if (x == 0.0 || !std::isfinite(x)) return x;
    const double unit = std::pow(10.0, std::floor(std::log10(std::fabs(x))) - 2.0);
    return std::round(x / unit) * unit;
}

std::string pack(const json& j) {
    const auto bytes = json::to_cbor(j);
    return {bytes.begin(), bytes.end()};
}
std::optional<json> unpack(const store::Entries& all, const std::string& key) {
    const auto it = all.find(key);
    if (it == all.end()) return std::nullopt;
    json j = json::from_cbor(it->second, true, false);
    if (!j.is_object()) return std::nullopt;
    return j;
}
// A number of the document within bounds; guards against NaN, text, and what no server ever was.
bool number(const json& j, const char* name, double least, double most, double& to) {
    const auto it = j.find(name);
    if (it == j.end() || !it->is_number()) return false;
    const auto n = it->get<double>();
    if (!std::isfinite(n) || n < least || n > most) return false;
    to = n;
    return true;
}
std::string text(const json& j, const char* name) {
    const auto it = j.find(name);
    return it != j.end() && it->is_string() ? it->get<std::string>() : std::string();
}

}  // namespace

Identity identity_of(const std::string& node, const curlewreel::Settings& s) {
    Identity i{node, {}, s.cores};
    for (const auto& c : s.classes)
        i.site += c.name + '/' + std::to_string(static_cast<int>(c.effect)) + '/' +
                  std::to_string(c.target.count()) + '/' + std::to_string(c.deadline.count()) + ' ';
    i.site += std::to_string(static_cast<int>(s.below));
    return i;
}

void Server::learn(Time now, bool good, double took) {
    at = now;
    calls = std::min(calls + 1.0, 1e6);
    const double gain = std::max(server_gain, 1.0 / calls);
    failed += gain * ((good ? 0.0 : 1.0) - failed);
    if (good) seconds += (seconds <= 0.0 ? 1.0 : gain) * (took - seconds);
}

double Trust::of(Span age, double evidence) const {
    if (age < -ahead || age > most_age) return 0.0;
    const double halves = std::max(0.0, static_cast<double>(age.count())) / static_cast<double>(half_life.count());
    return std::exp2(-halves) * std::max(0.0, evidence) / (std::max(0.0, evidence) + evidence_half);
}

store::Entries to_entries(const Knowledge& k, const Identity& whose, const store::Entries& before) {
    const auto ms = [](Time t) { return t.count() / 1000; };
    Time newest{0};
    store::Entries all;
    all["about"] = pack({{"schema", schema},
                         {"node", whose.node},
                         {"site", whose.site},
                         {"cores", whose.cores},
                         {"saved_ms", k.saved.count() / 1000}});
    for (const auto& c : k.learned.classes) {
        const std::string key = "class/" + c.name;
        if (const auto old = before.find(key); c.count <= 0.0 && old != before.end()) all[key] = old->second;
        if (c.count <= 0.0) continue;
        const auto at = k.at.find(c.name);
        const Time last = at == k.at.end() ? k.saved : at->second;
        newest = std::max(newest, last);
        all[key] = pack({{"quanta", brief(c.quanta)},
                         {"run", brief(c.run)},
                         {"count", brief(std::min(c.count, 1e6))},
                         {"at_ms", ms(last)}});
    }
    for (const auto& b : k.learned.bands)
        all["band/" + std::to_string(b.worth)] = pack({{"worth", b.worth},
                                                       {"rate", brief(b.rate)},
                                                       {"rise", brief(b.odds[0])},
                                                       {"same", brief(b.odds[1])},
                                                       {"fall", brief(b.odds[2])},
                                                       {"at_ms", ms(newest)}});
    all["controller"] = pack({{"at_ms", ms(newest)},
                              {"capacity", brief(k.learned.capacity)},
                              {"limit", brief(k.learned.limit)},
                              {"call", brief(k.learned.call)},
                              {"calls", brief(std::min(k.learned.calls, 1e6))}});
    for (const auto& [name, s] : k.servers)
        all["server/" + name] = pack({{"seconds", brief(s.seconds)},
                                      {"failed", std::round(s.failed * 100.0) / 100.0},
                                      {"calls", brief(s.calls)},
                                      {"at_ms", ms(s.at)}});
    return all;
}

store::Changes difference(const store::Entries& before, const store::Entries& after) {
    store::Changes changes;
    for (const auto& [key, value] : before)
        if (after.count(key) == 0) changes[key] = std::nullopt;
    for (const auto& [key, value] : after) {
        const auto it = before.find(key);
        if (it == before.end() || it->second != value) changes[key] = value;
    }
    return changes;
}

Judgement judge(const store::Entries& entries, const Identity& whose, Time now, const Trust& trust) {
    Judgement j;
    const auto refused = [&j](std::string why) {
        j.taken = false;
        j.reason = std::move(why);
        return j;
    };
    if (entries.empty()) return refused("nothing has been kept");
    const auto about = unpack(entries, "about");
    double version = 0.0, cores = 0.0, saved = 0.0;
    if (!about || !number(*about, "schema", 1.0, 1e6, version) || !number(*about, "cores", 1.0, 1e6, cores) ||
        !number(*about, "saved_ms", 0.0, 1e15, saved))
        return refused("its head cannot be read");
    if (version > schema) return refused("a newer version's: schema " + std::to_string(static_cast<int>(version)));
    if (text(*about, "node") != whose.node) return refused("another node's: " + text(*about, "node"));
    if (text(*about, "site") != whose.site) return refused("another site's: its classes or targets differ");
    if (static_cast<int>(cores) != whose.cores)
        return refused("learned with " + std::to_string(static_cast<int>(cores)) + " cores");
    j.from_schema = static_cast<int>(version);
    Knowledge& k = j.knowledge;
    k.saved = Time(static_cast<std::int64_t>(saved) * 1000);
    const Span age = now - k.saved;
    if (age < -ahead) return refused("from the future");
    if (age > trust.most_age)
        return refused("too old: " + std::to_string(age.count() / 3'600'000'000) + " hours");
    j.age_trust = trust.of(age, 1e9);
    for (const auto& [key, value] : entries) {
        const std::string what = key.substr(0, key.find('/'));
        if (what == "about") continue;
        const auto doc = unpack(entries, key);
        bool good = doc.has_value();
        const std::string name = key.substr(std::min(key.size(), what.size() + 1));
        double at = saved;  // schema 1 had one time for all
        good = good && (version < 2.0 || number(*doc, "at_ms", 0.0, saved + 1000.0, at));
        const Time last(static_cast<std::int64_t>(at) * 1000);
        const Span old = now - last;  // of this entry
        if (good && what == "class") {
            curlewreel::Learned::Class c;
            c.name = name;
            good = number(*doc, "quanta", least_seconds, most_seconds, c.quanta) &&
                   number(*doc, "count", 0.0, 1e6, c.count);
            // Schema 1 knew no run time: the price is the least that a run takes.
            if (good && version < 2.0)
                c.run = c.quanta;
            else
                good = good && number(*doc, "run", least_seconds, most_seconds, c.run);
            c.trust = trust.of(old, c.count);
            if (good) k.at[name] = last;
            if (good) k.learned.classes.push_back(c);
        } else if (good && what == "band") {
            curlewreel::Learned::Band b;
            good = number(*doc, "worth", 0.0, 1e9, b.worth) && number(*doc, "rate", 0.0, 1e6, b.rate) &&
                   number(*doc, "rise", 0.0, 100.0, b.odds[0]) && number(*doc, "same", 0.0, 100.0, b.odds[1]) &&
                   number(*doc, "fall", 0.0, 100.0, b.odds[2]);
            b.trust = trust.of(old, b.odds[0] + b.odds[1] + b.odds[2]);
            if (good) k.learned.bands.push_back(b);
        } else if (good && what == "controller") {
            good = number(*doc, "capacity", 0.01, 1e6, k.learned.capacity) &&
                   number(*doc, "limit", 0.0, 1e6, k.learned.limit) &&
                   number(*doc, "call", 0.0, most_seconds, k.learned.call) &&
                   number(*doc, "calls", 0.0, 1e6, k.learned.calls);
            double evidence = 0.0;
            for (const auto& c : k.learned.classes) evidence += c.count;  // classes come first, in their order
            k.learned.trust = good ? trust.of(old, evidence) : 0.0;
            k.learned.call_trust = good ? trust.of(old, k.learned.calls) : 0.0;
        } else if (good && what == "server") {
            Server s;
            good = number(*doc, "seconds", 0.0, most_seconds, s.seconds) && number(*doc, "failed", 0.0, 1.0, s.failed) &&
                   number(*doc, "calls", 0.0, 1e6, s.calls) && static_cast<double>(k.servers.size()) < most_servers;
            // As little as trust leaves of the evidence: new calls outweigh it as soon.
            s.calls = std::min(s.calls, 1.0 / server_gain) * trust.of(old, s.calls);
            s.at = last;
            if (good && s.calls > 0.0) k.servers[name] = s;
        } else {
            good = false;
        }
        if (!good) j.passed_over.push_back(key + ": not what it should be");
    }
    j.taken = true;
    return j;
}

std::string to_json(const store::Entries& entries) {
    json all = json::object();
    for (const auto& [key, value] : entries) {
        const auto doc = unpack(entries, key);
        all[key] = doc ? *doc : json("cannot be read");
    }
    return all.dump(2, ' ', false, json::error_handler_t::replace);
}

}  // namespace cressledge::learning
