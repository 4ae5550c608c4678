#include "gossip/frame.hpp"

namespace cressledge::gossip {

std::string encode_frame(const std::string& body) {
    std::string bytes;
    for (std::size_t i = 0; i < frame_header_bytes; ++i) {
        const std::size_t shift = 8 * (frame_header_bytes - 1 - i);
        bytes.push_back(static_cast<char>(body.size() >> shift & 0xFFU));
    }
    return bytes + body;
}

std::size_t decode_frame_length(std::string_view bytes) {
    std::size_t length = 0;
    for (std::size_t i = 0; i < frame_header_bytes; ++i)
        length = length << 8U | static_cast<unsigned char>(bytes[i]);
    return length;
}

}  // namespace cressledge::gossip
