/// Parses one HTTP/1.1 request at a time (RFC 9112) on http-parser, within fixed bounds.
///
/// Owns the parser and what it has read of the current request. Knows no connection and writes nothing: who uses it sends
/// the interim response and the rejection.
///
/// Invariant: a message whose end two readers could see at different places is malformed (request smuggling).
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "frontend/request_fields.hpp"

namespace cressledge::frontend::http {

/// The parser of one connection.
class RequestParser {
public:
    /// Where the current request stands.
    enum class Status { incomplete, complete, malformed, body_too_large };
    /// What one call of `parse` found.
    struct Result {
        Status status;
        /// Bytes taken; those behind them belong to the next request.
        std::size_t consumed;
    };

    /// `on_expect_continue` is called when a request asks for 100 Continue and its head is acceptable.
    explicit RequestParser(std::function<void()> on_expect_continue);
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;

    /// Reads on. After any status but incomplete, reset() has to be called before the next bytes.
    Result parse(std::string_view bytes);
    /// Forgets the current request, except whether its connection is kept alive.
    void reset();

    /// Whether a request has begun.
    bool has_started() const { return message_.stage != Stage::not_started; }
    /// Whether the last complete request lets its connection be kept.
    bool keep_alive() const { return keep_alive_; }

    // Of a complete request:
    bool is_get() const { return parser_.method == HTTP_GET; }
    /// Of a complete request: whether its method is POST.
    bool is_post() const { return parser_.method == HTTP_POST; }
    /// The target without its query.
    std::string path() const;
    /// The query without its question mark; empty where there is none.
    std::string query() const;
    /// Of a complete request: the fields of its head.
    const RequestFields& fields() const { return message_.fields; }
    /// Of a complete request: moves its body out; to be called once.
    std::string take_body() { return std::move(message_.body); }

private:
    enum class Stage { not_started, head, body, complete };
    /// What has been read of the current request.
    struct Message {
        Stage stage = Stage::not_started;
        std::string url, body;
        RequestFields fields;
        /// The header field that is being read.
        std::string field_name, field_value;
        bool is_in_field_value = false;
        std::size_t head_bytes = 0;
        /// All bytes, whatever they were.
        std::size_t wire_bytes = 0;
        /// Fields that say where the body ends.
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
