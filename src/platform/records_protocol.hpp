// The records service's wire: calls as bytes, and replies out of lines. Nothing here keeps state.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/timer_queue.hpp"
#include "platform/line_reader.hpp"
#include "policy/admission_controller.hpp"

namespace cressledge::platform::records_protocol {

constexpr std::size_t max_body_bytes = 64U << 10U;

/// The reply to a call.
struct Reply {
    /// The request whose call it answers.
    std::string_view request_name;
    policy::Outcome outcome = policy::Outcome::error;
};

/// Whether a reply has a counted body; see LineReader.
bool has_body(const std::vector<std::string_view>& tokens);

/// Reads a reply. Nothing where it is malformed. Its views are those of `tokens`.
std::optional<Reply> parse_reply(const std::vector<std::string_view>& tokens);

/// `remaining_time` goes over in whole milliseconds, rounded up, and 1 at least.
std::string encode_call(std::string_view request_name, base::Duration remaining_time, std::string_view body);

}  // namespace cressledge::platform::records_protocol
