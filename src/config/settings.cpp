#include "config/settings.hpp"

#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>

namespace cressledge::config {
namespace {

using nlohmann::json;
using policy::Duration;

/// Returns the member `name`; null if `object` is not an object or has no such member.
const json& member(const json& object, const char* name) {
    static const json null_value;
    if (!object.is_object())
        return null_value;
    const auto it = object.find(name);
    return it != object.end() ? *it : null_value;
}

/// Returns the element `index`; null if `list` is not an array or is too short.
json element(const json& list, std::size_t index) {
    return list.is_array() && index < list.size() ? list[index] : json();
}

double number_or(const json& object, const char* name, double default_value) {
    const json& value = member(object, name);
    return value.is_number() ? value.get<double>() : default_value;
}

double required_number(const json& object, const char* name) {
    const json& value = member(object, name);
    if (!value.is_number())
        throw ConfigError({}, std::string(name) + ": missing or not a number",
                          value.is_null() ? "" : value.dump());
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

/// Reads a duration in milliseconds.
Duration duration_or(const json& object, const char* name, Duration default_value) {
    const json& value = member(object, name);
    return value.is_number() ? Duration(std::llround(value.get<double>() * 1000.0)) : default_value;
}

template <class T>
struct Choice {
    const char* text;
    T value;
};

template <class T>
T choice_or(const json& object, const char* name, std::initializer_list<Choice<T>> choices, T default_value) {
    const std::string text = text_or_empty(object, name);
    for (const Choice<T>& choice : choices)
        if (text == choice.text)
            return choice.value;
    return default_value;
}

policy::RequestClass read_class(const json& source, const json& calls, const json& skip_weight) {
    using policy::Idempotency;
    policy::RequestClass request_class;
    request_class.name = text_or_empty(source, "name");
    request_class.idempotency = choice_or<Idempotency>(
        source, "effect", {{"free", Idempotency::always}, {"guarded", Idempotency::with_key}},
        Idempotency::never);
    request_class.priority_weight = number_or(source, "importance", request_class.priority_weight);
    request_class.late_priority_weight = number_or(source, "late-worth", 0.0);
    request_class.answer_deadline = duration_or(source, "deadline", request_class.answer_deadline);
    request_class.latency_objective = duration_or(source, "target", request_class.answer_deadline);
    request_class.idempotency_window = duration_or(source, "repeat-window", request_class.answer_deadline);
    request_class.calls_dependency = calls.is_boolean() && calls.get<bool>();
    if (skip_weight.is_number())
        request_class.skipped_call_weight = skip_weight.get<double>();
    return request_class;
}

void read_classes(const json& document, const json& domain, policy::Settings& settings) {
    const json& classes = member(document, "classes");
    if (!classes.is_array())
        throw ConfigError("classes: missing or not a list");
    const json& calls = member(domain, "class-calls");
    const json& skip_weights = member(domain, "class-skip-worth");
    for (std::size_t i = 0; i < classes.size(); ++i)
        settings.classes.push_back(read_class(classes[i], element(calls, i), element(skip_weights, i)));
}

void read_callers(const json& document, const json& domain, policy::Settings& settings) {
    const json& tenants = member(document, "accounts");
    if (tenants.is_array())
        for (const json& tenant : tenants)
            settings.tenants.push_back(
                {text_or_empty(tenant, "name"), number_or(tenant, "allowance-per-s", 0.0)});
    settings.replica_count = static_cast<int>(number_or(document, "replicas-of-me", 1));
    settings.caller_count = static_cast<int>(number_or(domain, "clients-total", 1));
    settings.callers_mark_retries = flag_or_false(member(document, "clients"), "marks-retry");
    settings.over_quota_weight = number_or(document, "over-share-worth", 1.0);
}

void read_domain(const json& domain, policy::Settings& settings) {
    using policy::Dependency, policy::LoadAdvertisement, policy::Preemption;
    settings.running_memory_factor = number_or(domain, "blowup", settings.running_memory_factor);
    settings.idempotency_key_kb = number_or(domain, "kb-per-key", settings.idempotency_key_kb);
    settings.dependency = choice_or<Dependency>(
        domain, "depends-on",
        {{"one_for_all", Dependency::shared_service}, {"tier", Dependency::upstream_tier}}, Dependency::none);
    settings.dependency_call_quota = number_or(domain, "calls-out", 0.0);
    settings.dependency_call_window = duration_or(domain, "calls-over", settings.dependency_call_window);
    settings.idle_timeout = duration_or(domain, "idle", settings.idle_timeout);
    settings.abandoned_call_grace = duration_or(domain, "stays-for", settings.abandoned_call_grace);
    settings.preemption = choice_or<Preemption>(
        domain, "halt", {{"discard", Preemption::discard}, {"freeze", Preemption::pause}}, Preemption::none);
    settings.load_advertisement = choice_or<LoadAdvertisement>(domain, "advert",
                                                               {{"floor", LoadAdvertisement::level},
                                                                {"allowance", LoadAdvertisement::credit},
                                                                {"weight", LoadAdvertisement::weight}},
                                                               LoadAdvertisement::none);
    settings.result_ttl = duration_or(domain, "fresh", settings.result_ttl);
    settings.cold_start = flag_or_false(domain, "just-started");
}

void read_contract(const json& contract, policy::Settings& settings) {
    settings.cold_start_speed = number_or(contract, "cold-share", settings.cold_start_speed);
    settings.warm_up_duration = duration_or(contract, "cold", settings.warm_up_duration);
    settings.drain_grace = duration_or(contract, "drain-grace", settings.drain_grace);
    settings.max_runnable_per_core = number_or(contract, "fall-multiple", settings.max_runnable_per_core);
    settings.runnable_window = duration_or(contract, "fall", settings.runnable_window);
    settings.answer_slack = duration_or(contract, "grace-to-answer", settings.answer_slack);
}

void read_goal(const json& goal, policy::Settings& settings) {
    settings.worst_class_weight = number_or(goal, "worst-class", 0.0);
    settings.worst_tenant_weight = number_or(goal, "worst-tenant", 0.0);
    settings.worst_window_weight = number_or(goal, "worst-window", 0.0);
}

}  // namespace

policy::Settings settings_from_json(std::string_view source) {
    const json document = json::parse(source, nullptr, false);
    if (!document.is_object())
        throw ConfigError("settings: not a JSON object");
    const json& domain = member(document, "domain");
    policy::Settings settings;
    settings.cores = static_cast<int>(required_number(domain, "cores"));
    settings.memory_kb = required_number(domain, "memory-kb");
    read_classes(document, domain, settings);
    read_callers(document, domain, settings);
    read_domain(domain, settings);
    read_contract(member(document, "contract"), settings);
    const json& limits = member(document, "policy-limits");
    if (flag_or_false(limits, "retry-after"))
        settings.max_retry_after = duration_or(limits, "max-retry-after", Duration(0));
    read_goal(member(document, "goal"), settings);
    return settings;
}

}  // namespace cressledge::config
