#include "upstream/codec.hpp"

#include <algorithm>

namespace cressledge::upstream {
namespace {

constexpr std::int64_t microseconds_per_millisecond = 1000;

std::string to_milliseconds_text(base::Timestamp time) {
    return std::to_string(time.count() / microseconds_per_millisecond);
}

char to_lower_ascii(char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

}  // namespace

bool equals_ignoring_case(std::string_view text, std::string_view lower_case) {
    return std::equal(text.begin(), text.end(), lower_case.begin(), lower_case.end(),
                      [](char left, char right) { return to_lower_ascii(left) == right; });
}

std::string encode_http_request(const request::Work& work, std::string_view host, bool keep_alive) {
    std::string call = "POST /v1/";
    call.append(work.class_name).append(" HTTP/1.1\r\nHost: ").append(host);
    call.append("\r\nTrace-Id: ").append(work.external_id);
    call.append("\r\nAccepted-At-Ms: ").append(to_milliseconds_text(work.accepted_at));
    call.append("\r\nReserve-Kb: ").append(std::to_string(work.reserved_kb));
    if (!keep_alive)
        call.append("\r\nConnection: close");
    call.append("\r\nContent-Length: ").append(std::to_string(work.body.size()));
    return call.append("\r\n\r\n").append(work.body);
}

std::string encode_scgi_request(const request::Work& work) {
    std::string headers;
    const auto add_header = [&headers](std::string_view name, std::string_view value) {
        headers.append(name).push_back('\0');
        headers.append(value).push_back('\0');
    };
    add_header("CONTENT_LENGTH", std::to_string(work.body.size()));
    add_header("SCGI", "1");
    add_header("REQUEST_METHOD", "POST");
    add_header("REQUEST_URI", "/v1/" + std::string(work.class_name));
    add_header("SERVER_PROTOCOL", "HTTP/1.1");
    add_header("HTTP_TRACE_ID", work.external_id);
    add_header("HTTP_ACCEPTED_AT_MS", to_milliseconds_text(work.accepted_at));
    add_header("HTTP_RESERVE_KB", std::to_string(work.reserved_kb));
    return (std::to_string(headers.size()) + ':').append(headers).append(",").append(work.body);
}

std::string encode_health_request(std::string_view host, bool keep_alive) {
    std::string call = "GET /healthz HTTP/1.1\r\nHost: ";
    return call.append(host).append(keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
}

}  // namespace cressledge::upstream
