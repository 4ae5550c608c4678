/// The platform's protocol for callers: HTTP/1.1 with the platform's header fields.
///
/// Maps paths to request classes and responses to status codes.
#pragma once

#include <string>
#include <string_view>

#include "frontend/http/request_parser.hpp"
#include "frontend/request_fields.hpp"
#include "frontend/session.hpp"

namespace cressledge::frontend::http {

/// A connection of an HTTP caller.
class HttpSession final : public Session {
public:
    /// Without `defaults`, all required fields must be present in a request.
    explicit HttpSession(Frontend& frontend, FieldDefaults* defaults = nullptr);

protected:
    std::size_t parse(std::string_view bytes) override;
    bool has_partial_request() const override { return parser_.has_started(); }
    std::string format_response(const request::Response& response, bool close) override;
    std::string format_health_response(bool is_healthy, bool close) override;
    std::string format_timeout_response() override;
    bool keep_alive() const override { return parser_.keep_alive(); }

private:
    /// Status code and reason phrase for a request that is not accepted.
    struct Rejection {
        int status;
        const char* reason;
    };

    void handle_request();
    void handle_health_check();
    void handle_class_request();
    void log_invalid_field(const InvalidField& invalid);
    void reject(const Rejection& rejection, bool close);

    FieldDefaults* const defaults_;
    RequestParser parser_;
};

}  // namespace cressledge::frontend::http
