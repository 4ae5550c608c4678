#include "platform/records_protocol.hpp"

#include <algorithm>
#include <cstdint>

namespace cressledge::platform::records_protocol {
namespace {

constexpr std::int64_t microseconds_per_millisecond = 1000;

std::optional<policy::Outcome> parse_outcome(std::string_view word) {
    if (word == "DONE")
        return policy::Outcome::ok;
    // Either way the call never ran.
    if (word == "WAIT" || word == "EMPTY")
        return policy::Outcome::rejected;
    if (word == "PAST")
        return policy::Outcome::timeout;
    if (word == "ERROR")
        return policy::Outcome::error;
    return std::nullopt;
}

}  // namespace

bool has_body(const std::vector<std::string_view>& words) {
    return words.size() == 3 && words[1] == "DONE";
}

std::optional<Reply> parse_reply(const std::vector<std::string_view>& words) {
    if (words.size() < 2)
        return std::nullopt;
    const std::optional<policy::Outcome> outcome = parse_outcome(words[1]);
    if (!outcome)
        return std::nullopt;
    const std::size_t expected_words = *outcome == policy::Outcome::ok ? 3 : 2;
    if (words.size() != expected_words)
        return std::nullopt;
    return Reply{words[0], *outcome};
}

std::string encode_call(std::string_view request_name, base::Duration time_left, std::string_view body) {
    const std::int64_t time_left_ms =
        (time_left.count() + microseconds_per_millisecond - 1) / microseconds_per_millisecond;
    std::string call = "OP ";
    call.append(request_name).append(" ").append(std::to_string(std::max<std::int64_t>(1, time_left_ms)));
    call.append(" ").append(std::to_string(body.size())).append("\r\n");
    return call.append(body).append("\r\n");
}

}  // namespace cressledge::platform::records_protocol
