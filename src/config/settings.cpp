#include "config/settings.hpp"

#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <utility>

namespace cressledge::config {
namespace {

using curlewreel::Span;
using nlohmann::json;

const json& part(const json& o, const char* name) {
    static const json nothing;
    const auto it = o.is_object() ? o.find(name) : o.end();
    return o.is_object() && it != o.end() ? *it : nothing;
}
double number(const json& o, const char* name, double otherwise) {
    const json& v = part(o, name);
    return v.is_number() ? v.get<double>() : otherwise;
}
double needed(const json& o, const char* name) {
    const json& v = part(o, name);
    if (!v.is_number()) throw Invalid(std::string("missing number: ") + name);
    return v.get<double>();
}
bool flag(const json& o, const char* name) {
    const json& v = part(o, name);
    return v.is_boolean() && v.get<bool>();
}
std::string text(const json& o, const char* name) {
    const json& v = part(o, name);
    return v.is_string() ? v.get<std::string>() : std::string();
}
Span span(const json& o, const char* name, Span otherwise) {
    const json& v = part(o, name);
    return v.is_number() ? Span(std::llround(v.get<double>() * 1000.0)) : otherwise;
}
template <class T>
T choice(const std::string& word, std::initializer_list<std::pair<const char*, T>> words, T otherwise) {
    for (const auto& [name, value] : words)
        if (word == name) return value;
    return otherwise;
}

curlewreel::Class class_from(const json& c, const json& calls, const json& skip) {
    using curlewreel::Effect;
    curlewreel::Class k;
    k.name = text(c, "name");
    k.effect = choice<Effect>(text(c, "effect"), {{"free", Effect::safe}, {"guarded", Effect::keyed}},
                              Effect::unsafe);
    k.worth = number(c, "importance", k.worth);
    k.late_worth = number(c, "late-worth", 0.0);
    k.deadline = span(c, "deadline", k.deadline);
    k.target = span(c, "target", k.deadline);
    k.window = span(c, "repeat-window", k.deadline);
    k.calls = calls.is_boolean() && calls.get<bool>();
    if (skip.is_number()) k.skip_worth = skip.get<double>();
    return k;
}

}  // namespace

curlewreel::Settings settings_from_json(std::string_view source) {
    using curlewreel::Advert, curlewreel::Below, curlewreel::Stop;
    const json info = json::parse(source, nullptr, false);
    if (!info.is_object()) throw Invalid("the settings are not a JSON object");
    const json& domain = part(info, "domain");
    const json& contract = part(info, "contract");
    const json& limits = part(info, "policy-limits");
    const json& goal = part(info, "goal");
    curlewreel::Settings s;
    s.cores = static_cast<int>(needed(domain, "cores"));
    s.memory_kb = needed(domain, "memory-kb");
    const json& classes = part(info, "classes");
    if (!classes.is_array()) throw Invalid("missing setting: classes");
    const json& calls = part(domain, "class-calls");
    const json& skips = part(domain, "class-skip-worth");
    const auto nth = [](const json& list, std::size_t i) {
        return list.is_array() && i < list.size() ? list[i] : json();
    };
    for (std::size_t i = 0; i < classes.size(); ++i)
        s.classes.push_back(class_from(classes[i], nth(calls, i), nth(skips, i)));
    const json& tenants = part(info, "accounts");
    if (tenants.is_array())
        for (const json& t : tenants)
            s.tenants.push_back({text(t, "name"), number(t, "allowance-per-s", 0.0)});
    s.run_factor = number(domain, "blowup", s.run_factor);
    s.key_kb = number(domain, "kb-per-key", s.key_kb);
    s.replicas = static_cast<int>(number(info, "replicas-of-me", 1));
    s.callers = static_cast<int>(number(domain, "clients-total", 1));
    s.marks_retry = flag(part(info, "clients"), "marks-retry");
    s.over_share_worth = number(info, "over-share-worth", 1.0);
    s.below = choice<Below>(text(domain, "depends-on"),
                            {{"one_for_all", Below::shared}, {"tier", Below::tier}}, Below::none);
    s.calls_share = number(domain, "calls-out", 0.0);
    s.calls_over = span(domain, "calls-over", s.calls_over);
    s.idle = span(domain, "idle", s.idle);
    s.linger = span(domain, "stays-for", s.linger);
    s.stop =
        choice<Stop>(text(domain, "halt"), {{"discard", Stop::discard}, {"freeze", Stop::pause}}, Stop::none);
    s.advert = choice<Advert>(
        text(domain, "advert"),
        {{"floor", Advert::level}, {"allowance", Advert::credit}, {"weight", Advert::weight}}, Advert::none);
    s.fresh = span(domain, "fresh", s.fresh);
    s.cold = flag(domain, "just-started");
    s.cold_from = number(contract, "cold-share", s.cold_from);
    s.cold_for = span(contract, "cold", s.cold_for);
    s.drain_grace = span(contract, "drain-grace", s.drain_grace);
    s.crowd = number(contract, "fall-multiple", s.crowd);
    s.crowd_over = span(contract, "fall", s.crowd_over);
    s.answer_slack = span(contract, "grace-to-answer", s.answer_slack);
    if (flag(limits, "retry-after")) s.max_retry_after = span(limits, "max-retry-after", Span(0));
    s.worst_class = number(goal, "worst-class", 0.0);
    s.worst_tenant = number(goal, "worst-tenant", 0.0);
    s.worst_window = number(goal, "worst-window", 0.0);
    return s;
}

}  // namespace cressledge::config
