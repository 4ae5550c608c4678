#include "frontend/request_fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace cressledge::frontend {
namespace {

template <class T>
bool parse_number(const std::string& text, T& value) {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    return !text.empty() && error == std::errc() && stop == end;
}
bool parse_in_range(const std::string& text, double min, double limit, double& value) {
    return parse_number(text, value) && std::isfinite(value) && value >= min && value < limit;
}
// Any word that a caller may have made up; it is compared, never read.
bool is_opaque_token(const std::string& text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}
bool parse_flag(const std::string& text, bool& value) {
    value = text == "1" || text == "true";
    return value || text == "0" || text == "false";
}
bool is_hex16(const std::string& text) {
    return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

}  // namespace

std::string FieldDefaults::next_request_id() {
    char text[17];
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

bool RequestFields::apply_to(request::IncomingRequest& arrival, FieldDefaults* defaults,
                             request::RequestManager& server, const char*& invalid_field) const {
    const auto bad = [&](const char* name) {
        invalid_field = name;
        return false;
    };
    const auto uses_default = [&](Field f) { return defaults != nullptr && !present_[f]; };
    if (has_duplicate_)
        return bad("a field that came twice");
    if (!uses_default(trace_id) && !is_hex16(values_[trace_id]))
        return bad("Trace-Id");
    std::int64_t ms = 0;
    if (!uses_default(accepted_at) &&
        (!parse_number(values_[accepted_at], ms) || ms <= 0 || ms > 100'000'000'000'000))
        return bad("Accepted-At-Ms");
    if (present_[client_number] && !parse_number(values_[client_number], arrival.caller_id))
        return bad("Client-No");
    double hint_ms = 0.0;
    if (present_[expected_duration] && !parse_in_range(values_[expected_duration], 0.0, 1e9, hint_ms))
        return bad("Expected-Ms");
    if (!uses_default(reserved_memory) &&
        (!parse_in_range(values_[reserved_memory], 0.0, 2000.0, arrival.reserved_kb) ||
         arrival.reserved_kb <= 0.0))
        return bad("Reserve-Kb");
    if (present_[standing] && !parse_in_range(values_[standing], 0.0, 1.0, arrival.rank))
        return bad("Standing");
    if (present_[lookup_key] && !is_hex16(values_[lookup_key]))
        return bad("Lookup-Key");
    if (present_[idempotency_key] && !is_opaque_token(values_[idempotency_key]))
        return bad("Replay-Key");
    double wait_ms = 0.0;
    if (present_[max_wait] && !parse_in_range(values_[max_wait], 0.0, 1e10, wait_ms))
        return bad("Max-Wait-Ms");
    if (present_[is_retry] && !parse_flag(values_[is_retry], arrival.is_retry))
        return bad("Is-Retry");
    if (present_[tenant])
        arrival.tenant_index = server.tenant_index_of(values_[tenant]);
    if (present_[max_wait])
        arrival.max_wait = base::Duration(std::llround(wait_ms * 1000.0));
    arrival.external_id = uses_default(trace_id) ? defaults->next_request_id() : values_[trace_id];
    arrival.accepted_at = uses_default(accepted_at) ? server.now() : base::Timestamp(ms * 1000);
    if (uses_default(reserved_memory))
        arrival.reserved_kb = defaults->reserved_kb();
    // What may run once in its window is known by its idempotency key; what a read is about says nothing of that.
    const bool is_idempotent_by_key =
        server.settings().classes.at(arrival.class_index).idempotency == policy::Idempotency::with_key;
    arrival.idempotency_key = values_[is_idempotent_by_key ? idempotency_key : lookup_key];
    arrival.expected_work_seconds = hint_ms / 1000.0;
    return true;
}

}  // namespace cressledge::frontend
