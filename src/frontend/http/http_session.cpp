#include "frontend/http/http_session.hpp"

#include <utility>

#include "base/log.hpp"
#include "base/log_rate_limiter.hpp"
#include "frontend/frontend.hpp"

namespace cressledge::frontend::http {
namespace {

/// Size of the status line and header fields of a typical response, in bytes.
constexpr std::size_t typical_head_bytes = 160;

std::string format_message(const std::string& status, std::string_view extra_headers, std::string_view body,
                           bool close) {
    std::string out;
    out.reserve(typical_head_bytes + extra_headers.size() + body.size());
    out.append("HTTP/1.1 ").append(status).append("\r\n").append(extra_headers);
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    if (close)
        out.append("Connection: close\r\n");
    return out.append("\r\n").append(body);
}

std::string format_rejection(const request::Response& response, bool close) {
    std::string headers;
    if (response.retry_after > base::Duration(0)) {
        const auto retry_after_ms = (response.retry_after.count() + 999) / 1000;
        headers = "Hold-Off-Ms: " + std::to_string(retry_after_ms) + "\r\n";
    }
    if (response.do_not_retry)
        headers += "No-Other-Server: 1\r\n";
    return format_message("503 Service Unavailable", headers, {}, close);
}

}  // namespace

HttpSession::HttpSession(Frontend& frontend, FieldDefaults* defaults)
    : Session(frontend),
      defaults_(defaults),
      parser_([this] { send_interim("HTTP/1.1 100 Continue\r\n\r\n"); }) {}

std::size_t HttpSession::parse(std::string_view bytes) {
    const RequestParser::Result result = parser_.parse(bytes);
    switch (result.status) {
        case RequestParser::Status::incomplete:
            break;
        case RequestParser::Status::complete:
            handle_request();
            break;
        case RequestParser::Status::malformed:
            reject({400, "Bad Request"}, true);
            break;
        case RequestParser::Status::body_too_large:
            reject({413, "Payload Too Large"}, true);
            break;
    }
    return result.consumed;
}

void HttpSession::reject(const Rejection& rejection, bool close) {
    base::log_debug("http: request rejected status={} reason=\"{}\"", rejection.status, rejection.reason);
    const std::string status = std::to_string(rejection.status) + ' ' + rejection.reason;
    parser_.reset();
    reject_malformed(format_message(status, {}, {}, close), close);
}

void HttpSession::handle_request() {
    if (parser_.path() == "/healthz")
        return handle_health_check();
    handle_class_request();
}

void HttpSession::handle_health_check() {
    if (!parser_.is_get())
        return reject({405, "Method Not Allowed"}, !keep_alive());
    const std::string parameters = '&' + parser_.query() + '&';
    const bool deep = parameters.find("&probe=1&") != std::string::npos;
    parser_.reset();
    check_health(deep);
}

void HttpSession::handle_class_request() {
    request::RequestManager& request_manager = frontend().request_manager();
    const std::string path = parser_.path();
    request::IncomingRequest incoming;
    incoming.class_index = request_manager.class_index_of(path.substr(path.rfind('/') + 1));
    if (incoming.class_index == policy::unknown_index)
        return reject({404, "Not Found"}, !keep_alive());
    if (!parser_.is_post())
        return reject({405, "Method Not Allowed"}, !keep_alive());
    if (const auto invalid = parser_.fields().apply_to(incoming, defaults_, request_manager)) {
        log_invalid_field(*invalid);
        return reject({400, "Bad Request"}, !keep_alive());
    }
    incoming.body = parser_.take_body();
    parser_.reset();
    submit(std::move(incoming));
}

// One log limiter for all connections.
void HttpSession::log_invalid_field(const InvalidField& invalid) {
    static base::LogRateLimiter log_limiter;
    std::uint64_t suppressed = 0;
    if (log_limiter.try_acquire(frontend().request_manager().now(), suppressed))
        base::log_info("http: invalid field name=\"{}\" suppressed={}", invalid.name, suppressed);
}

std::string HttpSession::format_response(const request::Response& response, bool close) {
    switch (response.status) {
        case request::ResponseStatus::served:
            return format_message("200 OK", "Content-Type: application/octet-stream\r\n", response.body,
                                  close);
        case request::ResponseStatus::rejected:
            return format_rejection(response, close);
        case request::ResponseStatus::deadline_exceeded:
            return format_message("504 Gateway Timeout", {}, {}, close);
        case request::ResponseStatus::malformed:
            return format_message("400 Bad Request", {}, {}, close);
        case request::ResponseStatus::failed:
            break;
    }
    return format_message("500 Internal Server Error", {}, {}, close);
}

std::string HttpSession::format_health_response(bool is_healthy, bool close) {
    return format_message(is_healthy ? "200 OK" : "503 Service Unavailable", {}, {}, close);
}

std::string HttpSession::format_timeout_response() {
    return format_message("408 Request Timeout", {}, {}, true);
}

}  // namespace cressledge::frontend::http
