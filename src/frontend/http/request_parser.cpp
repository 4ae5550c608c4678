#include "frontend/http/request_parser.hpp"

#include <cctype>
#include <utility>

namespace cressledge::frontend::http {
namespace {

constexpr std::size_t max_body_bytes = 2048;
constexpr std::size_t max_head_bytes = 8192;
/// Limit on all bytes of a request, including empty lines before it, chunk extensions and trailers.
constexpr std::size_t max_wire_bytes = 32U << 10U;

/// Return values of http-parser's callbacks.
constexpr int continue_parsing = 0;
constexpr int stop_parsing = 1;
constexpr int reject_head = -1;

char to_lower(char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

void trim_right(std::string& text) {
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.pop_back();
}

bool equals_ignore_case(std::string_view text, std::string_view lower_case) {
    if (text.size() != lower_case.size())
        return false;
    for (std::size_t i = 0; i < text.size(); ++i)
        if (to_lower(text[i]) != lower_case[i])
            return false;
    return true;
}

}  // namespace

/// The callbacks of http-parser. Each forwards to the RequestParser that `data` points to.
struct RequestParser::Callbacks {
    static RequestParser& owner(http_parser* parser) { return *static_cast<RequestParser*>(parser->data); }

    // http-parser calls this at the first character of the method: an empty line does not start a request.
    static int on_message_begin(http_parser* parser) {
        owner(parser).message_.stage = Stage::head;
        return continue_parsing;
    }
    static int on_url(http_parser* parser, const char* data, std::size_t size) {
        RequestParser& self = owner(parser);
        return self.append_head(self.message_.url, data, size);
    }
    static int on_header_field(http_parser* parser, const char* data, std::size_t size) {
        return owner(parser).read_field_name(data, size);
    }
    static int on_header_value(http_parser* parser, const char* data, std::size_t size) {
        return owner(parser).read_field_value(data, size);
    }
    static int on_headers_complete(http_parser* parser) { return owner(parser).finish_head(); }
    static int on_body(http_parser* parser, const char* data, std::size_t size) {
        return owner(parser).append_body(data, size);
    }
    static int on_message_complete(http_parser* parser) {
        owner(parser).finish_message();
        return continue_parsing;
    }

    static http_parser_settings make_settings() {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_begin = on_message_begin;
        settings.on_url = on_url;
        settings.on_header_field = on_header_field;
        settings.on_header_value = on_header_value;
        settings.on_headers_complete = on_headers_complete;
        settings.on_body = on_body;
        settings.on_message_complete = on_message_complete;
        return settings;
    }
};

RequestParser::RequestParser(std::function<void()> on_expect_continue)
    : on_expect_continue_(std::move(on_expect_continue)) {
    reset();
}

void RequestParser::reset() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    message_ = {};
}

RequestParser::Result RequestParser::parse(std::string_view bytes) {
    static const http_parser_settings callbacks = Callbacks::make_settings();
    const std::size_t consumed = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
    if (message_.stage == Stage::complete) {
        // The bytes after an upgrade would belong to another protocol.
        return {parser_.upgrade != 0 ? Status::malformed : Status::complete, consumed};
    }
    // Bounds a message that never ends.
    message_.wire_bytes += consumed;
    const bool is_too_long = message_.is_head_too_large || message_.wire_bytes > max_wire_bytes;
    if (message_.is_body_too_large)
        return {Status::body_too_large, bytes.size()};
    if (is_too_long || parser_.upgrade != 0 || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
        return {Status::malformed, bytes.size()};
    return {Status::incomplete, bytes.size()};
}

std::string RequestParser::path() const {
    return message_.url.substr(0, message_.url.find('?'));
}

std::string RequestParser::query() const {
    const std::size_t mark = message_.url.find('?');
    return mark == std::string::npos ? std::string() : message_.url.substr(mark + 1);
}

int RequestParser::append_head(std::string& target, const char* data, std::size_t size) {
    message_.head_bytes += size;
    if (message_.head_bytes > max_head_bytes) {
        message_.is_head_too_large = true;
        return stop_parsing;
    }
    target.append(data, size);
    return continue_parsing;
}

int RequestParser::append_body(const char* data, std::size_t size) {
    if (message_.body.size() + size > max_body_bytes) {
        message_.is_body_too_large = true;
        return stop_parsing;
    }
    message_.body.append(data, size);
    return continue_parsing;
}

int RequestParser::read_field_name(const char* data, std::size_t size) {
    // Trailer fields are ignored.
    if (message_.stage != Stage::head)
        return continue_parsing;
    if (message_.is_in_field_value)
        finish_field();
    return append_head(message_.field_name, data, size);
}

int RequestParser::read_field_value(const char* data, std::size_t size) {
    if (message_.stage != Stage::head)
        return continue_parsing;
    message_.is_in_field_value = true;
    return append_head(message_.field_value, data, size);
}

void RequestParser::finish_field() {
    std::string& name = message_.field_name;
    std::string& value = message_.field_value;
    for (char& c : name)
        c = to_lower(c);
    trim_right(value);
    // http-parser accepts a space before the colon. Other parsers may read such a line as a different field.
    if (name.find_first_of(" \t") != std::string::npos)
        message_.has_ambiguous_framing = true;
    if (name == "content-length")
        ++message_.content_length_count;
    if (name == "transfer-encoding") {
        ++message_.transfer_encoding_count;
        if (!equals_ignore_case(value, "chunked"))
            message_.has_ambiguous_framing = true;
    }
    if (name == "expect" && equals_ignore_case(value, "100-continue"))
        message_.expects_continue = true;
    message_.fields.set(name, value);
    name.clear();
    value.clear();
    message_.is_in_field_value = false;
}

int RequestParser::finish_head() {
    if (message_.is_in_field_value)
        finish_field();
    message_.stage = Stage::body;
    // Prevents request smuggling: a second request hidden in a body whose end two parsers place differently (RFC 9112,
    // section 6.3).
    const bool is_http_1_0 = parser_.http_major == 1 && parser_.http_minor == 0;
    if (message_.content_length_count + message_.transfer_encoding_count > 1 ||
        (message_.transfer_encoding_count > 0 && is_http_1_0))
        message_.has_ambiguous_framing = true;
    if (message_.has_ambiguous_framing)
        return reject_head;
    // Rejects a body that is too large before it is read.
    const bool is_length_known = (parser_.flags & F_CONTENTLENGTH) != 0;
    if (is_length_known && parser_.content_length > max_body_bytes) {
        message_.is_body_too_large = true;
        return reject_head;
    }
    if (message_.expects_continue)
        on_expect_continue_();
    return continue_parsing;
}

void RequestParser::finish_message() {
    message_.stage = Stage::complete;
    keep_alive_ = http_should_keep_alive(&parser_) != 0;
    // The next request is parsed after this one has its response.
    http_parser_pause(&parser_, 1);
}

}  // namespace cressledge::frontend::http
