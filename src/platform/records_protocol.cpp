#include "platform/records_protocol.hpp"

#include <algorithm>
#include <cstdint>

namespace cressledge::platform::records_protocol {
namespace {

constexpr std::int64_t microseconds_per_millisecond = 1000;

std::optional<policy::Outcome> parse_outcome(std::string_view token) {
    if (token == "DONE")
        return policy::Outcome::ok;
    // In both cases the call did not run.
    if (token == "WAIT" || token == "EMPTY")
        return policy::Outcome::rejected;
    if (token == "PAST")
        return policy::Outcome::timeout;
    if (token == "ERROR")
        return policy::Outcome::error;
    return std::nullopt;
}

}  // namespace

bool has_body(const std::vector<std::string_view>& tokens) {
    return tokens.size() == 3 && tokens[1] == "DONE";
}

std::optional<Reply> parse_reply(const std::vector<std::string_view>& tokens) {
    if (tokens.size() < 2)
        return std::nullopt;
    const std::optional<policy::Outcome> outcome = parse_outcome(tokens[1]);
    if (!outcome)
        return std::nullopt;
    const std::size_t expected_token_count = *outcome == policy::Outcome::ok ? 3 : 2;
    if (tokens.size() != expected_token_count)
        return std::nullopt;
    return Reply{tokens[0], *outcome};
}

std::string encode_call(std::string_view request_name, base::Duration remaining_time, std::string_view body) {
    const std::int64_t remaining_ms =
        (remaining_time.count() + microseconds_per_millisecond - 1) / microseconds_per_millisecond;
    std::string call = "OP ";
    call.append(request_name).append(" ").append(std::to_string(std::max<std::int64_t>(1, remaining_ms)));
    call.append(" ").append(std::to_string(body.size())).append("\r\n");
    return call.append(body).append("\r\n");
}

}  // namespace cressledge::platform::records_protocol
