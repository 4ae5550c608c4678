/// Parses one SCGI request: a netstring of headers and a body (python.ca/scgi/protocol.txt), within fixed size limits.
///
/// Buffers the bytes of the request. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "frontend/request_fields.hpp"

namespace cressledge::frontend::scgi {

/// The request parser of one connection.
class RequestParser {
public:
    /// The state of the request.
    enum class Status { incomplete, complete, malformed, body_too_large };

    /// Parses further bytes; the request may be split anywhere. Must not be called after any status but incomplete.
    Status parse(std::string_view bytes);
    /// Whether a byte has been received.
    bool has_started() const { return !buffer_.empty(); }

    // The following are valid for a complete request only.
    /// REQUEST_METHOD.
    const std::string& method() const { return method_; }
    /// REQUEST_URI without its query, or PATH_INFO.
    const std::string& path() const { return path_; }
    /// QUERY_STRING; empty if there is none.
    const std::string& query() const { return query_; }
    /// The platform's fields among the HTTP headers.
    const RequestFields& fields() const { return fields_; }
    /// Returns the body and releases the buffered bytes of the request.
    std::string take_body();

private:
    /// The netstring's length prefix.
    struct LengthPrefix {
        Status status;
        /// Length of the headers in bytes, without prefix and comma.
        std::size_t header_length = 0;
        /// Offset of the headers in the buffer.
        std::size_t header_offset = 0;
    };

    LengthPrefix parse_length_prefix() const;
    Status parse_netstring();
    bool parse_headers(std::string_view block);
    bool set_header(std::string_view name, std::string_view value);
    void set_http_header(std::string_view name, std::string_view value);

    std::string buffer_, method_, path_, query_;
    RequestFields fields_;
    bool has_scgi_header_ = false;
    /// Offset of the body in the buffer. 0: the headers are incomplete.
    std::size_t body_offset_ = 0;
    std::size_t body_length_ = 0;
};

}  // namespace cressledge::frontend::scgi
