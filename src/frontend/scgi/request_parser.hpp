/// Parses one SCGI request: a netstring of headers and a body (python.ca/scgi/protocol.txt), within fixed bounds.
///
/// Owns the bytes of the request. Knows no connection and writes nothing.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "frontend/request_fields.hpp"

namespace cressledge::frontend::scgi {

/// The parser of one connection.
class RequestParser {
public:
    /// Where the request stands.
    enum class Status { incomplete, complete, malformed, body_too_large };

    /// Reads on, however the request is split. Not to be called after any status but incomplete.
    Status parse(std::string_view bytes);
    /// Whether a byte has come.
    bool has_started() const { return !buffer_.empty(); }

    // Of a complete request:
    const std::string& method() const { return method_; }
    /// REQUEST_URI without its query, or PATH_INFO.
    const std::string& path() const { return path_; }
    /// QUERY_STRING; empty where there is none.
    const std::string& query() const { return query_; }
    /// The fields of the request, as the frontend reads them.
    const RequestFields& fields() const { return fields_; }
    /// The body; the request's bytes are released.
    std::string take_body();

private:
    /// The netstring's length prefix.
    struct LengthPrefix {
        Status status;
        /// Of the headers, without prefix and comma.
        std::size_t header_length = 0;
        /// Where the headers begin in the buffer.
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
    /// 0: the headers have not been read yet.
    std::size_t body_offset_ = 0;
    std::size_t body_length_ = 0;
};

}  // namespace cressledge::frontend::scgi
