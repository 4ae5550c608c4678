// The platform's protocol for callers: HTTP/1.1 on http-parser. Parses, hands over, formats.
#pragma once

#include <http_parser.h>

#include <string>

#include "frontend/frontend.hpp"
#include "frontend/request_fields.hpp"

namespace cressledge::frontend::http {

class HttpSession final : public Session {
public:
    explicit HttpSession(Frontend& frontend, FieldDefaults* defaults = nullptr);

protected:
    std::size_t parse(std::string_view bytes) override;
    bool has_partial_request() const override { return message_started_; }
    std::string format_response(const request::Response& answer, bool close) override;
    std::string format_health_response(bool is_healthy, bool close) override;
    std::string format_timeout_response() override;
    bool keep_alive() const override { return keep_alive_; }

private:
    struct ParserCallbacks;
    void reset_parser();
    void finish_header_field();
    void handle_request();
    void reject(int status, const char* reason, bool close = true);

    http_parser parser_{};
    std::string url_, field_name_, field_value_, body_;
    RequestFields fields_;
    FieldDefaults* const defaults_;
    std::size_t head_bytes_ = 0, wire_bytes_ = 0;
    int content_length_count_ = 0, transfer_encoding_count_ = 0;  // fields that say where the body ends
    bool headers_complete_ = false, ambiguous_framing_ = false, message_started_ = false,
         in_field_value_ = false, expects_continue_ = false, head_too_large_ = false, body_too_large_ = false;
    bool message_complete_ = false, keep_alive_ = true;
};

}  // namespace cressledge::frontend::http
