#include "front/scgi/session.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

#include "core/quiet.hpp"

namespace cressledge::front::scgi {
namespace {

constexpr std::size_t most_head = 8192, most_body = 2048;

std::string message(const char* status, std::string_view more, std::string_view body) {
    std::string out = "Status: ";
    out.append(status).append("\r\n").append(more);
    out.append("Content-Type: application/octet-stream\r\nContent-Length: ");
    return out.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
}

}  // namespace

std::size_t ScgiSession::parse(std::string_view bytes) {
    buffer_.append(bytes);
    switch (read()) {
        case Got::more:
            break;
        case Got::whole:
            hand_over();
            break;
        case Got::bad:
            refuse("400 Bad Request", "malformed header");
            break;
        case Got::large:
            refuse("413 Payload Too Large", "oversized body");
            break;
    }
    return bytes.size();
}

ScgiSession::Got ScgiSession::read() {
    if (body_at_ == 0) {
        // The length is judged digit by digit: a bad one is refused before anything else is waited for.
        std::size_t length = 0, at = 0;
        for (; at < buffer_.size() && buffer_[at] != ':'; ++at) {
            const char c = buffer_[at];
            if (c < '0' || c > '9' || (at == 0 && c == '0')) return Got::bad;
            length = length * 10 + static_cast<std::size_t>(c - '0');
            if (length > most_head) return Got::bad;
        }
        if (at == buffer_.size()) return Got::more;
        if (at == 0) return Got::bad;
        const std::string_view start = std::string_view(buffer_).substr(at + 1);
        static constexpr std::string_view first("CONTENT_LENGTH\0", 15);
        const std::size_t known = std::min(start.size(), first.size());
        if (length < first.size() || start.substr(0, known) != first.substr(0, known)) return Got::bad;
        if (start.size() < length + 1) return Got::more;
        if (start[length] != ',' || !headers(start.substr(0, length))) return Got::bad;
        body_at_ = at + 1 + length + 1;
        if (body_length_ > most_body) return Got::large;
    }
    return buffer_.size() < body_at_ + body_length_ ? Got::more : Got::whole;
}

bool ScgiSession::headers(std::string_view block) {
    if (block.empty() || block.back() != '\0') return false;
    std::set<std::string_view> seen;
    bool scgi = false;
    while (!block.empty()) {
        const std::size_t end = block.find('\0');
        const std::size_t stop = end == std::string_view::npos ? end : block.find('\0', end + 1);
        if (end == 0 || stop == std::string_view::npos) return false;  // no name, or no value
        const std::string_view name = block.substr(0, end), value = block.substr(end + 1, stop - end - 1);
        block.remove_prefix(stop + 1);
        if (!seen.insert(name).second) return false;
        if (name == "CONTENT_LENGTH") {
            const auto [last, error] =
                std::from_chars(value.data(), value.data() + value.size(), body_length_);
            if (value.empty() || error != std::errc() || last != value.data() + value.size()) return false;
        } else if (name == "SCGI") {
            if (value != "1") return false;
            scgi = true;
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
    return scgi;
}

void ScgiSession::refuse(const char* status, const char* why) {
    std::uint64_t passed = 0;
    static core::Quiet quiet;
    if (quiet.may(front_.server().now(), passed))
        spdlog::info("scgi: answered {}: {}; {} more like it", status, why, passed);
    whole_ = true;
    malformed(message(status, {}, {}), true);
}

void ScgiSession::hand_over() {
    whole_ = true;
    if (path_ == "/healthz") return check(('&' + query_ + '&').find("&probe=1&") != std::string::npos);
    core::Arrival arrival;
    const std::size_t slash = path_.rfind('/');
    if (slash != std::string::npos) arrival.kind = front_.server().kind_of(path_.substr(slash + 1));
    if (slash == std::string::npos || arrival.kind == curlewreel::unknown)
        return refuse("404 Not Found", "unknown class");
    const bool safe = front_.server().settings().classes[arrival.kind].effect == curlewreel::Effect::safe;
    if (method_ != "POST" && !(safe && method_ == "GET")) return refuse("405 Method Not Allowed", "method");
    const char* wrong = "";
    if (!fields_.fill(arrival, &supply_, front_.server(), wrong))
        return refuse("400 Bad Request", wrong);
    arrival.body = buffer_.substr(body_at_, body_length_);
    std::string().swap(buffer_);
    submit(std::move(arrival));
}

std::string ScgiSession::format(const core::Answer& a, bool) {
    switch (a.verdict) {
        case core::Verdict::served:
            return message("200 OK", {}, a.body);
        case core::Verdict::refused: {
            // Retry-After counts whole seconds; the platform's own fields go with it for clients that know them.
            const auto ms = (a.hold_off.count() + 999) / 1000;
            std::string more = "Retry-After: " + std::to_string(std::max<std::int64_t>(1, (ms + 999) / 1000));
            more += "\r\n";
            if (ms > 0) more += "Hold-Off-Ms: " + std::to_string(ms) + "\r\n";
            if (a.last) more += "No-Other-Server: 1\r\n";
            return message("503 Service Unavailable", more, {});
        }
        case core::Verdict::out_of_time:
            return message("504 Gateway Timeout", {}, {});
        case core::Verdict::malformed:
            return message("400 Bad Request", {}, {});
        case core::Verdict::failed:
            break;
    }
    return message("502 Bad Gateway", {}, {});
}
std::string ScgiSession::format_check(bool good, bool) {
    return message(good ? "200 OK" : "503 Service Unavailable", {}, {});
}
std::string ScgiSession::too_slow() {
    whole_ = true;
    return message("400 Bad Request", {}, {});
}
std::string ScgiSession::cut_short() {
    if (buffer_.empty()) return {};  // a connection that was opened and closed: nobody asked anything
    whole_ = true;
    return message("400 Bad Request", {}, {});
}

}  // namespace cressledge::front::scgi
