#include "config/settings.hpp"

#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <utility>

namespace cressledge::config {
namespace {

using nlohmann::json;
using policy::Duration;

const json& member(const json& object, const char* name) {
    static const json nothing;
    const auto it = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && it != object.end() ? *it : nothing;
}
double number_or(const json& object, const char* name, double default_value) {
    const json& value = member(object, name);
    return value.is_number() ? value.get<double>() : default_value;
}
double required(const json& object, const char* name) {
    const json& value = member(object, name);
    if (!value.is_number())
        throw ConfigError(std::string("missing number: ") + name);
    return value.get<double>();
}
bool flag_or_false(const json& object, const char* name) {
    const json& value = member(object, name);
    return value.is_boolean() && value.get<bool>();
}
std::string text_or_empty(const json& object, const char* name) {
    const json& value = member(object, name);
    return value.is_string() ? value.get<std::string>() : std::string();
}
Duration duration_or(const json& object, const char* name, Duration default_value) {
    const json& value = member(object, name);
    return value.is_number() ? Duration(std::llround(value.get<double>() * 1000.0)) : default_value;
}
template <class T>
T parse_choice(const std::string& text, std::initializer_list<std::pair<const char*, T>> choices,
               T default_value) {
    for (const auto& [name, value] : choices)
        if (text == name)
            return value;
    return default_value;
}

policy::RequestClass read_class(const json& source, const json& calls, const json& skip) {
    using policy::Idempotency;
    policy::RequestClass request_class;
    request_class.name = text_or_empty(source, "name");
    request_class.idempotency = parse_choice<Idempotency>(
        text_or_empty(source, "effect"), {{"free", Idempotency::always}, {"guarded", Idempotency::with_key}},
        Idempotency::never);
    request_class.priority_weight = number_or(source, "importance", request_class.priority_weight);
    request_class.late_priority_weight = number_or(source, "late-worth", 0.0);
    request_class.answer_deadline = duration_or(source, "deadline", request_class.answer_deadline);
    request_class.latency_objective = duration_or(source, "target", request_class.answer_deadline);
    request_class.idempotency_window = duration_or(source, "repeat-window", request_class.answer_deadline);
    request_class.calls_dependency = calls.is_boolean() && calls.get<bool>();
    if (skip.is_number())
        request_class.skipped_call_weight = skip.get<double>();
    return request_class;
}

}  // namespace

policy::Settings settings_from_json(std::string_view source) {
    using policy::LoadAdvertisement, policy::Dependency, policy::Preemption;
    const json document = json::parse(source, nullptr, false);
    if (!document.is_object())
        throw ConfigError("the settings are not a JSON object");
    const json& domain = member(document, "domain");
    const json& contract = member(document, "contract");
    const json& limits = member(document, "policy-limits");
    const json& goal = member(document, "goal");
    policy::Settings settings;
    settings.cores = static_cast<int>(required(domain, "cores"));
    settings.memory_kb = required(domain, "memory-kb");
    const json& classes = member(document, "classes");
    if (!classes.is_array())
        throw ConfigError("missing setting: classes");
    const json& calls = member(domain, "class-calls");
    const json& skips = member(domain, "class-skip-worth");
    const auto nth = [](const json& list, std::size_t i) {
        return list.is_array() && i < list.size() ? list[i] : json();
    };
    for (std::size_t i = 0; i < classes.size(); ++i)
        settings.classes.push_back(read_class(classes[i], nth(calls, i), nth(skips, i)));
    const json& tenants = member(document, "accounts");
    if (tenants.is_array())
        for (const json& t : tenants)
            settings.tenants.push_back({text_or_empty(t, "name"), number_or(t, "allowance-per-s", 0.0)});
    settings.running_memory_factor = number_or(domain, "blowup", settings.running_memory_factor);
    settings.idempotency_key_kb = number_or(domain, "kb-per-key", settings.idempotency_key_kb);
    settings.replica_count = static_cast<int>(number_or(document, "replicas-of-me", 1));
    settings.caller_count = static_cast<int>(number_or(domain, "clients-total", 1));
    settings.callers_mark_retries = flag_or_false(member(document, "clients"), "marks-retry");
    settings.over_quota_weight = number_or(document, "over-share-worth", 1.0);
    settings.dependency = parse_choice<Dependency>(
        text_or_empty(domain, "depends-on"),
        {{"one_for_all", Dependency::shared_service}, {"tier", Dependency::upstream_tier}}, Dependency::none);
    settings.dependency_call_quota = number_or(domain, "calls-out", 0.0);
    settings.dependency_call_window = duration_or(domain, "calls-over", settings.dependency_call_window);
    settings.idle_timeout = duration_or(domain, "idle", settings.idle_timeout);
    settings.abandoned_call_grace = duration_or(domain, "stays-for", settings.abandoned_call_grace);
    settings.preemption = parse_choice<Preemption>(
        text_or_empty(domain, "halt"), {{"discard", Preemption::discard}, {"freeze", Preemption::pause}},
        Preemption::none);
    settings.load_advertisement = parse_choice<LoadAdvertisement>(text_or_empty(domain, "advert"),
                                                                  {{"floor", LoadAdvertisement::level},
                                                                   {"allowance", LoadAdvertisement::credit},
                                                                   {"weight", LoadAdvertisement::weight}},
                                                                  LoadAdvertisement::none);
    settings.result_ttl = duration_or(domain, "fresh", settings.result_ttl);
    settings.cold_start = flag_or_false(domain, "just-started");
    settings.cold_start_speed = number_or(contract, "cold-share", settings.cold_start_speed);
    settings.warm_up_duration = duration_or(contract, "cold", settings.warm_up_duration);
    settings.drain_grace = duration_or(contract, "drain-grace", settings.drain_grace);
    settings.max_runnable_per_core = number_or(contract, "fall-multiple", settings.max_runnable_per_core);
    settings.runnable_window = duration_or(contract, "fall", settings.runnable_window);
    settings.answer_slack = duration_or(contract, "grace-to-answer", settings.answer_slack);
    if (flag_or_false(limits, "retry-after"))
        settings.max_retry_after = duration_or(limits, "max-retry-after", Duration(0));
    settings.worst_class_weight = number_or(goal, "worst-class", 0.0);
    settings.worst_tenant_weight = number_or(goal, "worst-tenant", 0.0);
    settings.worst_window_weight = number_or(goal, "worst-window", 0.0);
    return settings;
}

}  // namespace cressledge::config
