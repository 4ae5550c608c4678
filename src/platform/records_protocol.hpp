// The wire protocol of the records service: encodes calls and parses replies. Stateless.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/timer_queue.hpp"
#include "platform/frame_reader.hpp"
#include "policy/admission_controller.hpp"

namespace cressledge::platform::records_protocol {

/// A reply with a longer body is malformed.
constexpr std::size_t max_body_bytes = 64U << 10U;

/// The reply to a call.
struct Reply {
    /// Name of the request whose call this replies to.
    std::string_view request_name;
    policy::Outcome outcome = policy::Outcome::error;
};

/// Whether a reply with these tokens has a body of stated length; see FrameReader.
bool has_body(const std::vector<std::string_view>& tokens);

/// Parses a reply. Returns nothing if it is malformed. The result refers to the data of `tokens`.
std::optional<Reply> parse_reply(const std::vector<std::string_view>& tokens);

/// OP: encodes a call. `remaining_time` is sent in whole milliseconds, rounded up, at least 1.
std::string encode_call(std::string_view request_name, base::Duration remaining_time, std::string_view body);

}  // namespace cressledge::platform::records_protocol
