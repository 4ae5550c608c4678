#include "frontend/scgi/request_parser.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

namespace cressledge::frontend::scgi {
namespace {

constexpr std::size_t max_header_bytes = 8192;
constexpr std::size_t max_body_bytes = 2048;
/// The protocol requires this header first.
constexpr std::string_view required_first_header("CONTENT_LENGTH\0", 15);
constexpr std::string_view http_header_prefix = "HTTP_";

bool parse_length(std::string_view text, std::size_t& length) {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, length);
    return !text.empty() && error == std::errc() && stop == end;
}

}  // namespace

RequestParser::Status RequestParser::parse(std::string_view bytes) {
    buffer_.append(bytes);
    if (body_offset_ == 0) {
        const Status status = parse_netstring();
        if (status != Status::complete)
            return status;
    }
    return buffer_.size() < body_offset_ + body_length_ ? Status::incomplete : Status::complete;
}

std::string RequestParser::take_body() {
    std::string body = buffer_.substr(body_offset_, body_length_);
    std::string().swap(buffer_);
    return body;
}

// Checks the length digit by digit, so that a malformed one is rejected without waiting for more bytes.
RequestParser::LengthPrefix RequestParser::parse_length_prefix() const {
    std::size_t length = 0;
    std::size_t colon = 0;
    for (; colon < buffer_.size() && buffer_[colon] != ':'; ++colon) {
        const char c = buffer_[colon];
        if (c < '0' || c > '9' || (colon == 0 && c == '0'))
            return {Status::malformed};
        length = length * 10 + static_cast<std::size_t>(c - '0');
        if (length > max_header_bytes)
            return {Status::malformed};
    }
    if (colon == buffer_.size())
        return {Status::incomplete};
    if (colon == 0)
        return {Status::malformed};
    return {Status::complete, length, colon + 1};
}

RequestParser::Status RequestParser::parse_netstring() {
    const LengthPrefix prefix = parse_length_prefix();
    if (prefix.status != Status::complete)
        return prefix.status;
    const std::string_view received = std::string_view(buffer_).substr(prefix.header_offset);
    const std::size_t length = prefix.header_length;
    const std::size_t compared = std::min(received.size(), required_first_header.size());
    if (length < required_first_header.size() ||
        received.substr(0, compared) != required_first_header.substr(0, compared))
        return Status::malformed;
    if (received.size() < length + 1)
        return Status::incomplete;
    if (received[length] != ',' || !parse_headers(received.substr(0, length)))
        return Status::malformed;
    body_offset_ = prefix.header_offset + length + 1;
    return body_length_ > max_body_bytes ? Status::body_too_large : Status::complete;
}

bool RequestParser::parse_headers(std::string_view block) {
    if (block.empty() || block.back() != '\0')
        return false;
    std::set<std::string_view> names;
    while (!block.empty()) {
        const std::size_t name_end = block.find('\0');
        // The name is empty.
        if (name_end == 0)
            return false;
        const std::size_t value_end =
            name_end == std::string_view::npos ? name_end : block.find('\0', name_end + 1);
        // The value is missing.
        if (value_end == std::string_view::npos)
            return false;
        const std::string_view name = block.substr(0, name_end);
        const std::string_view value = block.substr(name_end + 1, value_end - name_end - 1);
        block.remove_prefix(value_end + 1);
        if (!names.insert(name).second || !set_header(name, value))
            return false;
    }
    return has_scgi_header_;
}

bool RequestParser::set_header(std::string_view name, std::string_view value) {
    if (name == "CONTENT_LENGTH")
        return parse_length(value, body_length_);
    if (name == "SCGI") {
        has_scgi_header_ = true;
        return value == "1";
    }
    if (name == "REQUEST_METHOD")
        method_ = value;
    else if (name == "REQUEST_URI")
        path_ = value.substr(0, value.find('?'));
    else if (name == "PATH_INFO" && path_.empty())
        path_ = value;
    else if (name == "QUERY_STRING")
        query_ = value;
    else if (name.starts_with(http_header_prefix))
        set_http_header(name.substr(http_header_prefix.size()), value);
    return true;
}

// CGI spells the names of header fields in upper case with underscores (RFC 3875, section 4.1.18).
void RequestParser::set_http_header(std::string_view name, std::string_view value) {
    std::string field(name);
    for (char& c : field)
        c = c == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    fields_.set(field, value);
}

}  // namespace cressledge::frontend::scgi
