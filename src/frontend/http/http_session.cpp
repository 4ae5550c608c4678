#include "frontend/http/http_session.hpp"

#include <spdlog/spdlog.h>

#include <cctype>

#include "base/log_rate_limiter.hpp"

namespace cressledge::frontend::http {
namespace {

constexpr std::size_t max_body_bytes = 2048, max_head_bytes = 8192, max_wire_bytes = 32U << 10U;

std::string format_message(const char* status, std::string_view extra_headers, std::string_view body,
                           bool close) {
    std::string out;
    out.reserve(160 + extra_headers.size() + body.size());
    out.append("HTTP/1.1 ").append(status).append("\r\n").append(extra_headers);
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    if (close)
        out.append("Connection: close\r\n");
    return out.append("\r\n").append(body);
}

void trim(std::string& text) {
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.pop_back();
}

bool equals_ignore_case(const std::string& text, const char* lower_case) {
    std::size_t i = 0;
    for (; i < text.size() && lower_case[i] != '\0'; ++i)
        if (std::tolower(static_cast<unsigned char>(text[i])) != lower_case[i])
            return false;
    return i == text.size() && lower_case[i] == '\0';
}

}  // namespace

struct HttpSession::ParserCallbacks {
    static HttpSession& session_of(http_parser* p) { return *static_cast<HttpSession*>(p->data); }
    static http_parser_settings make() {
        http_parser_settings s;
        http_parser_settings_init(&s);
        // Not before its first letter: a stray line end after a request begins no other.
        s.on_message_begin = [](http_parser* p) {
            session_of(p).message_started_ = true;
            return 0;
        };
        s.on_url = [](http_parser* p, const char* at, std::size_t n) {
            return append_head(session_of(p), session_of(p).url_, at, n);
        };
        s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            HttpSession& me = session_of(p);
            if (me.headers_complete_)
                return 0;  // a trailer: nothing in it counts
            if (me.in_field_value_)
                me.finish_header_field();
            return append_head(me, me.field_name_, at, n);
        };
        s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            if (session_of(p).headers_complete_)
                return 0;
            session_of(p).in_field_value_ = true;
            return append_head(session_of(p), session_of(p).field_value_, at, n);
        };
        s.on_headers_complete = [](http_parser* p) {
            HttpSession& me = session_of(p);
            if (me.in_field_value_)
                me.finish_header_field();
            me.headers_complete_ = true;
            // Guards against a second request concealed in a body whose end two readers see at different places.
            const bool old = p->http_major == 1 && p->http_minor == 0;
            me.ambiguous_framing_ = me.ambiguous_framing_ ||
                                    me.content_length_count_ + me.transfer_encoding_count_ > 1 ||
                                    (me.transfer_encoding_count_ > 0 && old);
            if (me.ambiguous_framing_)
                return -1;
            // Refused before the body is read: a length that is too large is known by now.
            const bool known = (p->flags & F_CONTENTLENGTH) != 0;
            if (known && p->content_length > max_body_bytes) {
                me.body_too_large_ = true;
                return -1;
            }
            if (me.expects_continue_)
                me.send_interim("HTTP/1.1 100 Continue\r\n\r\n");
            return 0;
        };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            HttpSession& me = session_of(p);
            if (me.body_.size() + n > max_body_bytes) {
                me.body_too_large_ = true;
                return 1;
            }
            me.body_.append(at, n);
            return 0;
        };
        s.on_message_complete = [](http_parser* p) {
            session_of(p).message_complete_ = true;
            session_of(p).keep_alive_ = http_should_keep_alive(p) != 0;
            http_parser_pause(p, 1);  // the next request waits until this one is answered
            return 0;
        };
        return s;
    }
    static int append_head(HttpSession& session, std::string& target, const char* at, std::size_t n) {
        session.head_bytes_ += n;
        if (session.head_bytes_ > max_head_bytes) {
            session.head_too_large_ = true;
            return 1;
        }
        target.append(at, n);
        return 0;
    }
};

HttpSession::HttpSession(Frontend& frontend, FieldDefaults* defaults)
    : Session(frontend), defaults_(defaults) {
    reset_parser();
}

void HttpSession::reset_parser() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    url_.clear();
    field_name_.clear();
    field_value_.clear();
    body_.clear();
    fields_ = {};
    head_bytes_ = wire_bytes_ = 0;
    content_length_count_ = transfer_encoding_count_ = 0;
    headers_complete_ = ambiguous_framing_ = message_started_ = in_field_value_ = expects_continue_ =
        head_too_large_ = body_too_large_ = message_complete_ = false;
}

void HttpSession::finish_header_field() {
    for (char& c : field_name_)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    trim(field_value_);
    // The parser passes over a space before the colon: other readers take such a field for another.
    ambiguous_framing_ = ambiguous_framing_ || field_name_.find_first_of(" \t") != std::string::npos;
    if (field_name_ == "content-length")
        ++content_length_count_;
    if (field_name_ == "transfer-encoding") {
        ++transfer_encoding_count_;
        ambiguous_framing_ = ambiguous_framing_ || !equals_ignore_case(field_value_, "chunked");
    }
    fields_.set(field_name_, field_value_);
    expects_continue_ =
        expects_continue_ || (field_name_ == "expect" && equals_ignore_case(field_value_, "100-continue"));
    field_name_.clear();
    field_value_.clear();
    in_field_value_ = false;
}

std::size_t HttpSession::parse(std::string_view bytes) {
    static const http_parser_settings callbacks = ParserCallbacks::make();
    const std::size_t consumed = http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
    if (message_complete_) {
        handle_request();
        return consumed;
    }
    // Guards against a message that never ends: line ends before it, or what chunks may carry beside the body.
    wire_bytes_ += consumed;
    head_too_large_ = head_too_large_ || wire_bytes_ > max_wire_bytes;
    if (body_too_large_) {
        reject(413, "Payload Too Large");
    } else if (head_too_large_ || parser_.upgrade != 0 || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        reject(400, "Bad Request");
    }
    return bytes.size();
}

void HttpSession::reject(int status, const char* reason, bool close) {
    spdlog::debug("http: answered {} {}", status, reason);
    const std::string line = std::to_string(status) + ' ' + reason;
    reset_parser();
    reject_malformed(format_message(line.c_str(), {}, {}, close), close);
}

void HttpSession::handle_request() {
    if (parser_.upgrade != 0)
        return reject(400, "Bad Request");  // what follows would be another protocol
    const bool is_get = parser_.method == HTTP_GET, is_post = parser_.method == HTTP_POST,
               keep_connection = keep_alive_;
    const std::size_t query = url_.find('?');
    const std::string path = url_.substr(0, query);
    if (path == "/healthz") {
        if (!is_get)
            return reject(405, "Method Not Allowed", !keep_connection);
        const std::string rest =
            query == std::string::npos ? std::string() : '&' + url_.substr(query + 1) + '&';
        const bool deep = rest.find("&probe=1&") != std::string::npos;
        reset_parser();
        return check_health(deep);
    }
    request::IncomingRequest arrival;
    const std::string class_name = path.substr(path.rfind('/') + 1);
    arrival.class_index = frontend_.server().class_index_of(class_name);
    if (arrival.class_index == policy::unknown_index)
        return reject(404, "Not Found", !keep_connection);
    if (!is_post)
        return reject(405, "Method Not Allowed", !keep_connection);
    const char* invalid_field = nullptr;
    if (!fields_.apply_to(arrival, defaults_, frontend_.server(), invalid_field)) {
        std::uint64_t suppressed = 0;
        static base::LogRateLimiter log_limiter;
        if (log_limiter.try_acquire(frontend_.server().now(), suppressed))
            spdlog::info("http: bad request, wrong or missing: {}; {} more like it", invalid_field,
                         suppressed);
        return reject(400, "Bad Request", !keep_connection);
    }
    arrival.body = std::move(body_);
    reset_parser();
    submit(std::move(arrival));
}

std::string HttpSession::format_response(const request::Response& answer, bool close) {
    switch (answer.status) {
        case request::ResponseStatus::served:
            return format_message("200 OK", "Content-Type: application/octet-stream\r\n", answer.body, close);
        case request::ResponseStatus::rejected: {
            std::string extra_headers;
            if (answer.retry_after > base::Duration(0))
                extra_headers =
                    "Hold-Off-Ms: " + std::to_string((answer.retry_after.count() + 999) / 1000) + "\r\n";
            if (answer.do_not_retry)
                extra_headers += "No-Other-Server: 1\r\n";
            return format_message("503 Service Unavailable", extra_headers, {}, close);
        }
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
