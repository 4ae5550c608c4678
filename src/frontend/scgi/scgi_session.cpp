#include "frontend/scgi/scgi_session.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "base/log_rate_limiter.hpp"
#include "frontend/frontend.hpp"

namespace cressledge::frontend::scgi {
namespace {

std::string format_message(const char* status, std::string_view extra_headers, std::string_view body) {
    std::string out = "Status: ";
    out.append(status).append("\r\n").append(extra_headers);
    out.append("Content-Type: application/octet-stream\r\nContent-Length: ");
    return out.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

// Retry-After is in whole seconds. The platform's own fields are added for clients that support them.
std::string format_rejection(const request::Response& response) {
    const std::int64_t retry_after_ms = (response.retry_after.count() + 999) / 1000;
    const std::int64_t retry_after_s = std::max<std::int64_t>(1, (retry_after_ms + 999) / 1000);
    std::string headers = "Retry-After: " + std::to_string(retry_after_s) + "\r\n";
    if (retry_after_ms > 0)
        headers += "Hold-Off-Ms: " + std::to_string(retry_after_ms) + "\r\n";
    if (response.do_not_retry)
        headers += "No-Other-Server: 1\r\n";
    return format_message("503 Service Unavailable", headers, {});
}

}  // namespace

std::size_t ScgiSession::parse(std::string_view bytes) {
    switch (parser_.parse(bytes)) {
        case RequestParser::Status::incomplete:
            break;
        case RequestParser::Status::complete:
            handle_request();
            break;
        case RequestParser::Status::malformed:
            reject("400 Bad Request", "malformed header");
            break;
        case RequestParser::Status::body_too_large:
            reject("413 Payload Too Large", "oversized body");
            break;
    }
    return bytes.size();
}

// One log limiter for all connections.
void ScgiSession::reject(const char* status, const char* reason) {
    static base::LogRateLimiter log_limiter;
    std::uint64_t suppressed = 0;
    if (log_limiter.try_acquire(frontend().request_manager().now(), suppressed))
        base::log_info("scgi: request rejected status=\"{}\" reason=\"{}\" suppressed={}", status, reason,
                       suppressed);
    is_finished_ = true;
    reject_malformed(format_message(status, {}, {}), true);
}

void ScgiSession::handle_request() {
    is_finished_ = true;
    const std::string& path = parser_.path();
    if (path == "/healthz") {
        const std::string parameters = '&' + parser_.query() + '&';
        return check_health(parameters.find("&probe=1&") != std::string::npos);
    }
    request::RequestManager& request_manager = frontend().request_manager();
    request::IncomingRequest incoming;
    const std::size_t slash = path.rfind('/');
    if (slash != std::string::npos)
        incoming.class_index = request_manager.class_index_of(path.substr(slash + 1));
    if (slash == std::string::npos || incoming.class_index == policy::unknown_index)
        return reject("404 Not Found", "unknown request class");
    const auto idempotency = request_manager.settings().classes[incoming.class_index].idempotency;
    const bool may_be_get = idempotency == policy::Idempotency::always;
    if (parser_.method() != "POST" && !(may_be_get && parser_.method() == "GET"))
        return reject("405 Method Not Allowed", "method not allowed");
    if (const auto invalid = parser_.fields().apply_to(incoming, &defaults_, request_manager)) {
        const std::string reason = std::string("invalid field: ") + invalid->name;
        return reject("400 Bad Request", reason.c_str());
    }
    incoming.body = parser_.take_body();
    submit(std::move(incoming));
}

std::string ScgiSession::format_response(const request::Response& response, bool) {
    switch (response.status) {
        case request::ResponseStatus::served:
            return format_message("200 OK", {}, response.body);
        case request::ResponseStatus::rejected:
            return format_rejection(response);
        case request::ResponseStatus::deadline_exceeded:
            return format_message("504 Gateway Timeout", {}, {});
        case request::ResponseStatus::malformed:
            return format_message("400 Bad Request", {}, {});
        case request::ResponseStatus::failed:
            break;
    }
    return format_message("502 Bad Gateway", {}, {});
}

std::string ScgiSession::format_health_response(bool is_healthy, bool) {
    return format_message(is_healthy ? "200 OK" : "503 Service Unavailable", {}, {});
}

std::string ScgiSession::format_timeout_response() {
    is_finished_ = true;
    return format_message("400 Bad Request", {}, {});
}

// A connection that was closed without sending a byte gets no response.
std::string ScgiSession::format_truncated_response() {
    if (!parser_.has_started())
        return {};
    is_finished_ = true;
    return format_message("400 Bad Request", {}, {});
}

}  // namespace cressledge::frontend::scgi
