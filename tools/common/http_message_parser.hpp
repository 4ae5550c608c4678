/// A parser of HTTP/1.1 messages on one connection, for the fake upstreams (requests) and the load generator
/// (responses). It stops after each message; pipelining is not supported.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cressledge::tools {

/// Parses one message after another. Not copyable or movable, because http_parser stores a pointer to it.
class HttpMessageParser {
public:
    enum class Result { incomplete, complete, malformed };

    /// `type`: requests (HTTP_REQUEST), whose URL and body are stored, or responses (HTTP_RESPONSE), of which neither
    /// is.
    explicit HttpMessageParser(http_parser_type type);
    HttpMessageParser(const HttpMessageParser&) = delete;
    HttpMessageParser& operator=(const HttpMessageParser&) = delete;

    /// Parses `bytes` up to the end of a message. After `complete` the next call starts a new message. After
    /// `malformed`, which includes a URL over 512 bytes or a body over 64 KiB, the connection must be closed.
    Result parse(std::string_view bytes);
    /// Whether the last call of parse() did not consume all bytes.
    bool has_trailing_bytes() const { return has_trailing_bytes_; }

    /// URL of the last request.
    const std::string& url() const { return url_; }
    /// Body of the last request.
    const std::string& body() const { return body_; }
    /// Status code of the last response.
    unsigned status() const { return parser_.status_code; }
    /// Whether the connection can be reused after the last complete message.
    bool keeps_alive() const { return keeps_alive_; }

private:
    static HttpMessageParser& self(http_parser* parser) {
        return *static_cast<HttpMessageParser*>(parser->data);
    }
    static http_parser_settings callbacks(http_parser_type type);

    http_parser parser_{};
    http_parser_settings callbacks_;
    std::string url_, body_;
    bool is_complete_ = false, keeps_alive_ = false, has_trailing_bytes_ = false;
};

}  // namespace cressledge::tools
