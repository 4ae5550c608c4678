#include "frontend/scgi/scgi_session.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

#include "base/log_rate_limiter.hpp"

namespace cressledge::frontend::scgi {
namespace {

constexpr std::size_t max_head_bytes = 8192, max_body_bytes = 2048;

std::string format_message(const char* status, std::string_view extra_headers, std::string_view body) {
    std::string out = "Status: ";
    out.append(status).append("\r\n").append(extra_headers);
    out.append("Content-Type: application/octet-stream\r\nContent-Length: ");
    return out.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

}  // namespace

std::size_t ScgiSession::parse(std::string_view bytes) {
    buffer_.append(bytes);
    switch (parse_message()) {
        case ParseResult::incomplete:
            break;
        case ParseResult::complete:
            dispatch();
            break;
        case ParseResult::malformed:
            reject("400 Bad Request", "malformed header");
            break;
        case ParseResult::body_too_large:
            reject("413 Payload Too Large", "oversized body");
            break;
    }
    return bytes.size();
}

ScgiSession::ParseResult ScgiSession::parse_message() {
    if (body_offset_ == 0) {
        // The length is judged digit by digit: a bad one is refused before anything else is waited for.
        std::size_t length = 0, colon = 0;
        for (; colon < buffer_.size() && buffer_[colon] != ':'; ++colon) {
            const char c = buffer_[colon];
            if (c < '0' || c > '9' || (colon == 0 && c == '0'))
                return ParseResult::malformed;
            length = length * 10 + static_cast<std::size_t>(c - '0');
            if (length > max_head_bytes)
                return ParseResult::malformed;
        }
        if (colon == buffer_.size())
            return ParseResult::incomplete;
        if (colon == 0)
            return ParseResult::malformed;
        const std::string_view start = std::string_view(buffer_).substr(colon + 1);
        static constexpr std::string_view required_prefix("CONTENT_LENGTH\0", 15);
        const std::size_t compared = std::min(start.size(), required_prefix.size());
        if (length < required_prefix.size() ||
            start.substr(0, compared) != required_prefix.substr(0, compared))
            return ParseResult::malformed;
        if (start.size() < length + 1)
            return ParseResult::incomplete;
        if (start[length] != ',' || !parse_headers(start.substr(0, length)))
            return ParseResult::malformed;
        body_offset_ = colon + 1 + length + 1;
        if (body_length_ > max_body_bytes)
            return ParseResult::body_too_large;
    }
    return buffer_.size() < body_offset_ + body_length_ ? ParseResult::incomplete : ParseResult::complete;
}

bool ScgiSession::parse_headers(std::string_view block) {
    if (block.empty() || block.back() != '\0')
        return false;
    std::set<std::string_view> seen;
    bool has_scgi_header = false;
    while (!block.empty()) {
        const std::size_t end = block.find('\0');
        const std::size_t stop = end == std::string_view::npos ? end : block.find('\0', end + 1);
        if (end == 0 || stop == std::string_view::npos)
            return false;  // no name, or no value
        const std::string_view name = block.substr(0, end), value = block.substr(end + 1, stop - end - 1);
        block.remove_prefix(stop + 1);
        if (!seen.insert(name).second)
            return false;
        if (name == "CONTENT_LENGTH") {
            const auto [last, error] =
                std::from_chars(value.data(), value.data() + value.size(), body_length_);
            if (value.empty() || error != std::errc() || last != value.data() + value.size())
                return false;
        } else if (name == "SCGI") {
            if (value != "1")
                return false;
            has_scgi_header = true;
        } else if (name == "REQUEST_METHOD") {
            method_ = value;
        } else if (name == "REQUEST_URI") {
            path_ = value.substr(0, value.find('?'));
        } else if (name == "PATH_INFO" && path_.empty()) {
            path_ = value;
        } else if (name == "QUERY_STRING") {
            query_ = value;
        } else if (name.substr(0, 5) == "HTTP_") {
            std::string field(name.substr(5));
            for (char& c : field)
                c = c == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            fields_.set(field, value);
        }
    }
    return has_scgi_header;
}

void ScgiSession::reject(const char* status, const char* reason) {
    std::uint64_t suppressed = 0;
    static base::LogRateLimiter log_limiter;
    if (log_limiter.try_acquire(frontend_.server().now(), suppressed))
        spdlog::info("scgi: answered {}: {}; {} more like it", status, reason, suppressed);
    message_complete_ = true;
    reject_malformed(format_message(status, {}, {}), true);
}

void ScgiSession::dispatch() {
    message_complete_ = true;
    if (path_ == "/healthz")
        return check_health(('&' + query_ + '&').find("&probe=1&") != std::string::npos);
    request::IncomingRequest arrival;
    const std::size_t slash = path_.rfind('/');
    if (slash != std::string::npos)
        arrival.class_index = frontend_.server().class_index_of(path_.substr(slash + 1));
    if (slash == std::string::npos || arrival.class_index == policy::unknown_index)
        return reject("404 Not Found", "unknown class");
    const bool is_safe =
        frontend_.server().settings().classes[arrival.class_index].idempotency == policy::Idempotency::always;
    if (method_ != "POST" && !(is_safe && method_ == "GET"))
        return reject("405 Method Not Allowed", "method");
    const char* invalid_field = "";
    if (!fields_.apply_to(arrival, &defaults_, frontend_.server(), invalid_field))
        return reject("400 Bad Request", invalid_field);
    arrival.body = buffer_.substr(body_offset_, body_length_);
    std::string().swap(buffer_);
    submit(std::move(arrival));
}

std::string ScgiSession::format_response(const request::Response& answer, bool) {
    switch (answer.status) {
        case request::ResponseStatus::served:
            return format_message("200 OK", {}, answer.body);
        case request::ResponseStatus::rejected: {
            // Retry-After counts whole seconds; the platform's own fields go with it for clients that know them.
            const auto retry_after_ms = (answer.retry_after.count() + 999) / 1000;
            std::string extra_headers =
                "Retry-After: " + std::to_string(std::max<std::int64_t>(1, (retry_after_ms + 999) / 1000));
            extra_headers += "\r\n";
            if (retry_after_ms > 0)
                extra_headers += "Hold-Off-Ms: " + std::to_string(retry_after_ms) + "\r\n";
            if (answer.do_not_retry)
                extra_headers += "No-Other-Server: 1\r\n";
            return format_message("503 Service Unavailable", extra_headers, {});
        }
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
    message_complete_ = true;
    return format_message("400 Bad Request", {}, {});
}
std::string ScgiSession::format_truncated_response() {
    if (buffer_.empty())
        return {};  // a connection that was opened and closed: nobody asked anything
    message_complete_ = true;
    return format_message("400 Bad Request", {}, {});
}

}  // namespace cressledge::frontend::scgi
