/// Frame format of a full exchange: a length of four bytes, most significant byte first, followed by a membership
/// message of that length.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cressledge::gossip {

/// Size of the length field.
constexpr std::size_t frame_header_bytes = 4;

/// Returns `body` preceded by its frame header.
std::string encode_frame(const std::string& body);

/// Returns the length of the body in bytes. `bytes` must start with a complete frame header.
std::size_t decode_frame_length(std::string_view bytes);

}  // namespace cressledge::gossip
