/// A parser of HTTP/1.1 messages on one connection, for the fake upstreams (requests) and the load generator (responses).
/// It stops behind each message: the peers of these tools never pipeline.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace cressledge::tools {

/// Parses one message after another. Neither copied nor moved: http_parser keeps a pointer to it.
class HttpMessageParser {
public:
    enum class Result { incomplete, complete, malformed };

    /// Parses requests (HTTP_REQUEST), of which it keeps URL and body, or responses (HTTP_RESPONSE), of which it keeps
    /// neither.
    explicit HttpMessageParser(http_parser_type type);
    HttpMessageParser(const HttpMessageParser&) = delete;
    HttpMessageParser& operator=(const HttpMessageParser&) = delete;

    /// Parses `bytes` up to the end of a message. After `complete` the next call begins the next message; after
    /// `malformed`, which includes a URL or body that is too long, the connection is to be closed.
    Result parse(std::string_view bytes);
    /// Whether the last call of parse() left bytes behind the message it completed.
    bool has_trailing_bytes() const { return has_trailing_bytes_; }

    /// Of the last request.
    const std::string& url() const { return url_; }
    /// Of the last request.
    const std::string& body() const { return body_; }
    /// Of the last response.
    unsigned status() const { return parser_.status_code; }
    /// Whether the connection may be used again after the last complete message.
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
