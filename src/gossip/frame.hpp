/// The frame that a full exchange has on a connection: four bytes of length, the most significant first, and a
/// membership message.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cressledge::gossip {

constexpr std::size_t frame_header_bytes = 4;

/// The body with its header.
std::string encode_frame(const std::string& body);

/// Length of the body in bytes. `bytes` begins with a whole header at least.
std::size_t decode_frame_length(std::string_view bytes);

}  // namespace cressledge::gossip
