// Message framing shared by the protocols of the engine and the records service: a line of tokens ending in CR LF, for
// some messages followed by a body of stated length and CR LF.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::platform {

/// One message as tokens and body. The views are valid until the next call on the FrameReader that returned them.
struct Frame {
    std::vector<std::string_view> tokens;
    std::string_view body;
};

/// Splits a byte stream, received in pieces of any size, into frames. Buffers at most one line and one body in addition
/// to the bytes appended at a time.
class FrameReader {
public:
    /// Result of reading a frame: more bytes are needed, a frame was read, or the stream is invalid.
    enum class Status { incomplete, complete, malformed };

    /// Returns whether a frame with these tokens (at least one) has a body. Its last token is then the body's length in
    /// bytes.
    using BodyRule = bool (*)(const std::vector<std::string_view>& tokens);

    /// Frames with a body longer than `max_body_bytes` are malformed. `has_body` decides which frames have a body.
    FrameReader(std::size_t max_body_bytes, BodyRule has_body)
        : max_body_bytes_(max_body_bytes), has_body_(has_body) {}

    /// Appends bytes read from the connection.
    void append(std::string_view bytes) { buffer_.append(bytes); }
    /// Discards all buffered bytes, for use with a new connection.
    void clear();

    /// Whether no byte of a frame is buffered that was not read yet.
    bool is_empty() const { return consumed_bytes_ == buffer_.size(); }

    /// Reads the next frame. After `malformed` the stream cannot be read any further.
    Status read_frame(Frame& frame);

private:
    void discard_consumed();

    const std::size_t max_body_bytes_;
    const BodyRule has_body_;
    std::string buffer_;
    std::size_t consumed_bytes_ = 0;
};

}  // namespace cressledge::platform
