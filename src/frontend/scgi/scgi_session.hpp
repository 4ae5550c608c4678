// The SCGI front: a netstring of headers, a body, one request a connection. Parses, hands over, formats.
#pragma once

#include <string>

#include "frontend/frontend.hpp"
#include "frontend/request_fields.hpp"

namespace cressledge::frontend::scgi {

class ScgiSession final : public Session {
public:
    ScgiSession(Frontend& frontend, FieldDefaults& defaults) : Session(frontend), defaults_(defaults) {}

protected:
    std::size_t parse(std::string_view bytes) override;
    bool has_partial_request() const override { return !message_complete_ && !buffer_.empty(); }
    bool expects_request() const override {
        return !message_complete_;
    }  // who opens such a connection has one request to send
    std::string format_response(const request::Response& answer, bool close) override;
    std::string format_health_response(bool is_healthy, bool close) override;
    std::string format_timeout_response() override;
    std::string format_truncated_response() override;
    bool keep_alive() const override { return false; }

private:
    enum class ParseResult { incomplete, complete, malformed, body_too_large };
    ParseResult parse_message();
    bool parse_headers(std::string_view block);
    void reject(const char* status, const char* reason);
    void dispatch();

    FieldDefaults& defaults_;
    std::string buffer_, method_, path_, query_;
    RequestFields fields_;
    std::size_t body_offset_ = 0, body_length_ = 0;  // body_at_ 0: the headers are not read yet
    bool message_complete_ = false;
};

}  // namespace cressledge::frontend::scgi
