/// SCGI for callers behind a web server: one request per connection. The platform's fields are optional.
///
/// Maps paths to request classes and responses to status lines.
#pragma once

#include <string>
#include <string_view>

#include "frontend/request_fields.hpp"
#include "frontend/scgi/request_parser.hpp"
#include "frontend/session.hpp"

namespace cressledge::frontend::scgi {

/// A connection of an SCGI caller.
class ScgiSession final : public Session {
public:
    /// `defaults`: values for fields that a request omits, from the operator's configuration.
    ScgiSession(Frontend& frontend, FieldDefaults& defaults) : Session(frontend), defaults_(defaults) {}

protected:
    std::size_t parse(std::string_view bytes) override;
    bool has_partial_request() const override { return !is_finished_ && parser_.has_started(); }
    /// A connection carries exactly one request, so a timeout before its first byte gets a response too.
    bool expects_request() const override { return !is_finished_; }
    std::string format_response(const request::Response& response, bool close) override;
    std::string format_health_response(bool is_healthy, bool close) override;
    std::string format_timeout_response() override;
    std::string format_truncated_response() override;
    bool keep_alive() const override { return false; }

private:
    void handle_request();
    void reject(const char* status, const char* reason);

    FieldDefaults& defaults_;
    RequestParser parser_;
    /// Whether the request is complete, rejected or timed out.
    bool is_finished_ = false;
};

}  // namespace cressledge::frontend::scgi
