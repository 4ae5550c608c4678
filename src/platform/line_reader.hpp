// The framing that engine and records service share: a line of tokens ending in CR LF, in some messages followed by a
// body of counted length and CR LF.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::platform {

/// One message. Its views are valid until the next call of the reader that gave it.
struct Line {
    std::vector<std::string_view> tokens;
    std::string_view body;
};

/// Takes messages out of a byte stream, however it was split. Buffers no more than one line and one body beyond what is
/// appended at a time.
class LineReader {
public:
    /// Where the message under way stands.
    enum class Status { incomplete, complete, malformed };

    /// Whether a message with these tokens (never none) has a body. Its last token is then the body's length.
    using BodyRule = bool (*)(const std::vector<std::string_view>& tokens);

    /// `max_body_bytes`: a longer body is malformed; `has_body` tells which messages have one.
    LineReader(std::size_t max_body_bytes, BodyRule has_body)
        : max_body_bytes_(max_body_bytes), has_body_(has_body) {}

    /// Adds bytes read from the link.
    void append(std::string_view bytes) { buffer_.append(bytes); }
    /// Drops what is buffered, as when a link is opened again.
    void clear();

    /// Takes the next message. After `malformed` the stream cannot be read any further.
    Status read_line(Line& line);

private:
    void discard_consumed();

    const std::size_t max_body_bytes_;
    const BodyRule has_body_;
    std::string buffer_;
    std::size_t consumed_bytes_ = 0;
};

}  // namespace cressledge::platform
