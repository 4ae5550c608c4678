#include "frontend/request_fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace cressledge::frontend {
namespace {

constexpr std::size_t max_token_length = 128;
constexpr std::size_t hex_id_length = 16;
/// Upper bounds given by the platform's protocol: `max_` is inclusive, `_limit` exclusive.
constexpr std::int64_t max_unix_ms = 100'000'000'000'000;
constexpr double expected_ms_limit = 1e9;
constexpr double max_wait_ms_limit = 1e10;
constexpr double reserved_kb_limit = 2000.0;

template <class T>
bool parse_number(const std::string& text, T& value) {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return !text.empty() && error == std::errc() && stop == end;
}

bool parse_in_range(const std::string& text, double min, double limit, double& value) {
    return parse_number(text, value) && std::isfinite(value) && value >= min && value < limit;
}

/// Whether `text` is a valid token of the caller: printable ASCII, which is compared but never interpreted.
bool is_opaque_token(const std::string& text) {
    return !text.empty() && text.size() <= max_token_length &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

bool parse_flag(const std::string& text, bool& value) {
    value = text == "1" || text == "true";
    return value || text == "0" || text == "false";
}

bool is_hex_id(const std::string& text) {
    return text.size() == hex_id_length &&
           text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

bool parse_unix_ms(const std::string& text, std::int64_t& value) {
    return parse_number(text, value) && value > 0 && value <= max_unix_ms;
}

bool parse_reserved_kb(const std::string& text, double& value) {
    return parse_in_range(text, 0.0, reserved_kb_limit, value) && value > 0.0;
}

}  // namespace

std::string FieldDefaults::next_request_id() {
    char text[hex_id_length + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_()));
    return text;
}

void RequestFields::set(std::string_view name, std::string_view value) {
    static constexpr std::string_view field_names[field_count] = {
        "trace-id",   "accepted-at-ms", "client-no", "expected-ms", "reserve-kb", "standing",
        "lookup-key", "replay-key",     "project",   "max-wait-ms", "is-retry"};
    for (std::size_t i = 0; i < field_count; ++i) {
        if (name != field_names[i])
            continue;
        has_duplicate_ = has_duplicate_ || present_[i];
        present_[i] = true;
        values_[i] = std::string(value);
    }
}

std::optional<InvalidField> RequestFields::parse_work_fields(request::IncomingRequest& incoming,
                                                             bool has_defaults, ParsedTimes& times) const {
    const auto uses_default = [&](Field field) { return has_defaults && !present_[field]; };
    if (!uses_default(trace_id) && !is_hex_id(values_[trace_id]))
        return InvalidField{"Trace-Id"};
    if (!uses_default(accepted_at) && !parse_unix_ms(values_[accepted_at], times.accepted_at_ms))
        return InvalidField{"Accepted-At-Ms"};
    if (present_[caller_id] && !parse_number(values_[caller_id], incoming.caller_id))
        return InvalidField{"Client-No"};
    if (present_[expected_work] &&
        !parse_in_range(values_[expected_work], 0.0, expected_ms_limit, times.expected_ms))
        return InvalidField{"Expected-Ms"};
    if (!uses_default(reserved_memory) && !parse_reserved_kb(values_[reserved_memory], incoming.reserved_kb))
        return InvalidField{"Reserve-Kb"};
    return std::nullopt;
}

std::optional<InvalidField> RequestFields::parse_handling_fields(request::IncomingRequest& incoming,
                                                                 ParsedTimes& times) const {
    if (present_[rank] && !parse_in_range(values_[rank], 0.0, 1.0, incoming.rank))
        return InvalidField{"Standing"};
    if (present_[lookup_key] && !is_hex_id(values_[lookup_key]))
        return InvalidField{"Lookup-Key"};
    if (present_[idempotency_key] && !is_opaque_token(values_[idempotency_key]))
        return InvalidField{"Replay-Key"};
    if (present_[max_wait] && !parse_in_range(values_[max_wait], 0.0, max_wait_ms_limit, times.max_wait_ms))
        return InvalidField{"Max-Wait-Ms"};
    if (present_[is_retry] && !parse_flag(values_[is_retry], incoming.is_retry))
        return InvalidField{"Is-Retry"};
    return std::nullopt;
}

std::optional<InvalidField> RequestFields::apply_to(request::IncomingRequest& incoming,
                                                    FieldDefaults* defaults,
                                                    request::RequestManager& request_manager) const {
    if (has_duplicate_)
        return InvalidField{"duplicate field"};
    ParsedTimes times;
    if (const auto invalid = parse_work_fields(incoming, defaults != nullptr, times))
        return invalid;
    if (const auto invalid = parse_handling_fields(incoming, times))
        return invalid;
    const auto uses_default = [&](Field field) { return defaults != nullptr && !present_[field]; };
    if (present_[tenant])
        incoming.tenant_index = request_manager.tenant_index_of(values_[tenant]);
    if (present_[max_wait])
        incoming.max_wait = base::Duration(std::llround(times.max_wait_ms * 1000.0));
    incoming.external_id = uses_default(trace_id) ? defaults->next_request_id() : values_[trace_id];
    incoming.accepted_at =
        uses_default(accepted_at) ? request_manager.now() : base::Timestamp(times.accepted_at_ms * 1000);
    if (uses_default(reserved_memory))
        incoming.reserved_kb = defaults->reserved_kb();
    // A request that may run only once within its window is identified by its idempotency key. The lookup key
    // identifies the object of a read, not the request.
    const bool is_idempotent_by_key =
        request_manager.settings().classes.at(incoming.class_index).idempotency ==
        policy::Idempotency::with_key;
    incoming.idempotency_key = values_[is_idempotent_by_key ? idempotency_key : lookup_key];
    incoming.expected_work_seconds = times.expected_ms / 1000.0;
    return std::nullopt;
}

}  // namespace cressledge::frontend
