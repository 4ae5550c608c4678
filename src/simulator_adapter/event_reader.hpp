// Converts the simulator's JSON messages to events of the admission controller.
#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <unordered_map>

#include "simulator_adapter/json_fields.hpp"

namespace cressledge::simulator_adapter {

/// Index of each class or tenant in the settings, by its name.
using IndexByName = std::unordered_map<std::string, std::size_t>;

/// Returns the index of a name; `policy::unknown_index` if the name is unknown.
inline std::size_t find_index(const IndexByName& indexes, const std::string& name) {
    const auto it = indexes.find(name);
    return it == indexes.end() ? policy::unknown_index : it->second;
}

/// Reads the field `code`. An unknown or missing code is read as `policy::Outcome::error`.
inline policy::Outcome read_outcome(const rapidjson::Value& body) {
    static const std::unordered_map<std::string, policy::Outcome> outcomes{
        {"delivered", policy::Outcome::ok},      {"shed", policy::Outcome::rejected},
        {"expired", policy::Outcome::timeout},   {"dial_failed", policy::Outcome::connect_failed},
        {"dropped", policy::Outcome::reset},     {"revoked", policy::Outcome::cancelled},
        {"unused", policy::Outcome::not_started}};
    const auto it = outcomes.find(text_or_empty(body, "code"));
    return it == outcomes.end() ? policy::Outcome::error : it->second;
}

/// Reads a request. Throws MalformedBatch if it has no id. Any other missing field keeps its default.
inline policy::RequestArrived read_request(const rapidjson::Value& body, const IndexByName& classes,
                                           const IndexByName& tenants) {
    policy::RequestArrived request;
    request.id = required_id(body, "txn");
    request.class_index = find_index(classes, text_or_empty(body, "type"));
    request.tenant_index = find_index(tenants, text_or_empty(body, "account"));
    request.caller_id = static_cast<std::uint64_t>(number_or(body, "by", 0.0));
    request.repeated_id = static_cast<policy::RequestId>(number_or(body, "repeats", 0.0));
    request.has_key = find_field(body, "resource") != nullptr;
    request.is_retry = flag_or_false(body, "repeat");
    request.is_write = flag_or_false(body, "mutates");
    request.expected_work_seconds = number_or(body, "weight-hint", 0.0) / 1000.0;
    request.rank = number_or(body, "place", request.rank);
    request.reserved_kb = number_or(body, "held-kb", 0.0);
    request.age = duration_or_zero(body, "lay");
    const double deadline_ms = number_or(body, "client-deadline", 0.0);
    if (deadline_ms > 0.0)
        request.caller_deadline = from_milliseconds(deadline_ms);
    return request;
}

/// Reads a gauge; empty if it is missing or not a number.
inline std::optional<double> read_gauge(const rapidjson::Value& usage, const char* name) {
    const rapidjson::Value* value = find_field(usage, name);
    if (value == nullptr || !value->IsNumber())
        return std::nullopt;
    return value->GetDouble();
}

/// Reads the token and the gauges of a timer. Missing fields keep their defaults.
inline policy::TimerFired read_timer(const rapidjson::Value& body) {
    policy::TimerFired timer;
    const std::string label = text_or_empty(body, "label");
    std::from_chars(label.data(), label.data() + label.size(), timer.token);
    if (const rapidjson::Value* usage = find_field(body, "usage"); usage != nullptr) {
        timer.gauges.cpu_utilization = read_gauge(*usage, "cpu_busy");
        timer.gauges.runnable = read_gauge(*usage, "runnable");
        timer.gauges.memory_used = read_gauge(*usage, "mem_used");
        timer.gauges.connections = read_gauge(*usage, "sockets");
    }
    return timer;
}

/// Converts a message to an event; empty if the name is unknown. Throws MalformedBatch if a required field is missing.
inline std::optional<policy::Event> read_event(const std::string& name, const rapidjson::Value& body,
                                               const IndexByName& classes, const IndexByName& tenants) {
    if (name == "born")
        return policy::Started{};
    if (name == "inbound")
        return read_request(body, classes, tenants);
    if (name == "finished")
        return policy::RunFinished{required_id(body, "txn"), read_outcome(body)};
    if (name == "needs-dep")
        return policy::DependencyCallRequested{required_id(body, "txn")};
    if (name == "downstream")
        return policy::DependencyCallFinished{required_id(body, "txn"), read_outcome(body),
                                              duration_or_zero(body, "wait-time")};
    if (name == "expired")
        return policy::Cancelled{required_id(body, "txn")};
    if (name == "terminate-soon")
        return policy::DrainStarted{from_milliseconds(required_number(body, "client-deadline"))};
    if (name == "wake")
        return read_timer(body);
    return std::nullopt;
}

}  // namespace cressledge::simulator_adapter
