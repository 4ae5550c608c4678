/// Parses one HTTP/1.1 request at a time (RFC 9112) with http-parser, within fixed size limits.
///
/// Does no I/O: the caller of parse() sends interim responses and rejections.
///
/// Invariant: a message whose end two parsers could place differently is malformed, which prevents request smuggling.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "frontend/request_fields.hpp"

namespace cressledge::frontend::http {

/// The request parser of one connection.
class RequestParser {
public:
    /// The state of the current request.
    enum class Status { incomplete, complete, malformed, body_too_large };
    /// The result of one call of parse().
    struct Result {
        Status status;
        /// Number of bytes consumed. The bytes after them belong to the next request.
        std::size_t consumed;
    };

    /// `on_expect_continue` is called when a request expects 100 Continue and its head is valid.
    explicit RequestParser(std::function<void()> on_expect_continue);
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// Parses further bytes. After any status but incomplete, reset() must be called before the next call.
    Result parse(std::string_view bytes);
    /// Discards the current request. keep_alive() keeps its value.
    void reset();

    /// Whether a request has started.
    bool has_started() const { return message_.stage != Stage::not_started; }
    /// Whether the last complete request allows its connection to stay open.
    bool keep_alive() const { return keep_alive_; }

    // The following are valid for a complete request only.
    /// Whether the method is GET.
    bool is_get() const { return parser_.method == HTTP_GET; }
    /// Whether the method is POST.
    bool is_post() const { return parser_.method == HTTP_POST; }
    /// The request target without the query.
    std::string path() const;
    /// The query without the question mark; empty if there is none.
    std::string query() const;
    /// The platform's fields in the head.
    const RequestFields& fields() const { return message_.fields; }
    /// Moves the body out. To be called once.
    std::string take_body() { return std::move(message_.body); }

private:
    enum class Stage { not_started, head, body, complete };
    /// The state and contents of the current request.
    struct Message {
        Stage stage = Stage::not_started;
        std::string url, body;
        RequestFields fields;
        /// The header field that is being parsed.
        std::string field_name, field_value;
        bool is_in_field_value = false;
        std::size_t head_bytes = 0;
        /// All bytes consumed, including empty lines, chunk framing and trailers.
        std::size_t wire_bytes = 0;
        /// Number of header fields that determine the end of the body.
        int content_length_count = 0;
        int transfer_encoding_count = 0;
        bool has_ambiguous_framing = false;
        bool expects_continue = false;
        bool is_head_too_large = false;
        bool is_body_too_large = false;
    };
    struct Callbacks;

    int append_head(std::string& target, const char* data, std::size_t size);
    int append_body(const char* data, std::size_t size);
    int read_field_name(const char* data, std::size_t size);
    int read_field_value(const char* data, std::size_t size);
    void finish_field();
    int finish_head();
    void finish_message();

    http_parser parser_{};
    Message message_;
    bool keep_alive_ = true;
    const std::function<void()> on_expect_continue_;
};

}  // namespace cressledge::frontend::http
