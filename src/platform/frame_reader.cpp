#include "platform/frame_reader.hpp"

#include <algorithm>
#include <optional>

namespace cressledge::platform {
namespace {

constexpr std::size_t max_line_bytes = 1024;
constexpr std::string_view line_end = "\r\n";

void split_tokens(std::string_view line, std::vector<std::string_view>& tokens) {
    tokens.clear();
    for (std::size_t begin = 0; begin <= line.size();) {
        const std::size_t end = std::min(line.find(' ', begin), line.size());
        if (end > begin)
            tokens.push_back(line.substr(begin, end - begin));
        begin = end + 1;
    }
}

std::optional<std::size_t> parse_length(std::string_view digits, std::size_t max_length) {
    std::size_t length = 0;
    for (const char digit : digits) {
        if (digit < '0' || digit > '9' || length > max_length)
            return std::nullopt;
        length = length * 10 + static_cast<std::size_t>(digit - '0');
    }
    if (length > max_length)
        return std::nullopt;
    return length;
}

}  // namespace

void FrameReader::clear() {
    buffer_.clear();
    consumed_bytes_ = 0;
}

// Compacts the buffer only once at least half of it has been consumed, so that the total cost is linear.
void FrameReader::discard_consumed() {
    if (consumed_bytes_ == 0 || consumed_bytes_ < buffer_.size() / 2)
        return;
    buffer_.erase(0, consumed_bytes_);
    consumed_bytes_ = 0;
}

FrameReader::Status FrameReader::read_frame(Frame& frame) {
    discard_consumed();
    const std::string_view unread = std::string_view(buffer_).substr(consumed_bytes_);
    const std::size_t end = unread.find(line_end);
    if (end == std::string_view::npos)
        return unread.size() > max_line_bytes ? Status::malformed : Status::incomplete;
    if (end > max_line_bytes)
        return Status::malformed;
    split_tokens(unread.substr(0, end), frame.tokens);
    frame.body = {};
    std::size_t frame_bytes = end + line_end.size();
    if (!frame.tokens.empty() && has_body_(frame.tokens)) {
        const std::optional<std::size_t> length = parse_length(frame.tokens.back(), max_body_bytes_);
        if (!length)
            return Status::malformed;
        if (unread.size() < frame_bytes + *length + line_end.size())
            return Status::incomplete;
        frame.body = unread.substr(frame_bytes, *length);
        if (unread.substr(frame_bytes + *length, line_end.size()) != line_end)
            return Status::malformed;
        frame_bytes += *length + line_end.size();
    }
    consumed_bytes_ += frame_bytes;
    return Status::complete;
}

}  // namespace cressledge::platform
