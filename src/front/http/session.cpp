#include "front/http/session.hpp"

#include <spdlog/spdlog.h>

#include <cctype>

#include "core/quiet.hpp"

namespace cressledge::front::http {
namespace {

constexpr std::size_t most_body = 2048, most_head = 8192, most_wire = 32U << 10U;

std::string message(const char* status, std::string_view more, std::string_view body, bool close) {
    std::string out;
    out.reserve(160 + more.size() + body.size());
    out.append("HTTP/1.1 ").append(status).append("\r\n").append(more);
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    if (close) out.append("Connection: close\r\n");
    return out.append("\r\n").append(body);
}

void trim(std::string& s) {
    while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.pop_back();
}

bool same(const std::string& a, const char* b) {
    std::size_t i = 0;
    for (; i < a.size() && b[i] != '\0'; ++i)
        if (std::tolower(static_cast<unsigned char>(a[i])) != b[i]) return false;
    return i == a.size() && b[i] == '\0';
}

}  // namespace

struct HttpSession::Hooks {
    static HttpSession& self(http_parser* p) { return *static_cast<HttpSession*>(p->data); }
    static http_parser_settings make() {
        http_parser_settings s;
        http_parser_settings_init(&s);
        // Not before its first letter: a stray line end after a request begins no other.
        s.on_message_begin = [](http_parser* p) {
            self(p).begun_ = true;
            return 0;
        };
        s.on_url = [](http_parser* p, const char* at, std::size_t n) {
            return head(self(p), self(p).url_, at, n);
        };
        s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
            HttpSession& me = self(p);
            if (me.head_done_) return 0;  // a trailer: nothing in it counts
            if (me.in_value_) me.field_done();
            return head(me, me.name_, at, n);
        };
        s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
            if (self(p).head_done_) return 0;
            self(p).in_value_ = true;
            return head(self(p), self(p).value_, at, n);
        };
        s.on_headers_complete = [](http_parser* p) {
            HttpSession& me = self(p);
            if (me.in_value_) me.field_done();
            me.head_done_ = true;
            // Guards against a second request concealed in a body whose end two readers see at different places.
            const bool old = p->http_major == 1 && p->http_minor == 0;
            me.odd_ = me.odd_ || me.lengths_ + me.codings_ > 1 || (me.codings_ > 0 && old);
            if (me.odd_) return -1;
            // Refused before the body is read: a length that is too large is known by now.
            const bool known = (p->flags & F_CONTENTLENGTH) != 0;
            if (known && p->content_length > most_body) {
                me.too_large_ = true;
                return -1;
            }
            if (me.expects_) me.interim("HTTP/1.1 100 Continue\r\n\r\n");
            return 0;
        };
        s.on_body = [](http_parser* p, const char* at, std::size_t n) {
            HttpSession& me = self(p);
            if (me.body_.size() + n > most_body) {
                me.too_large_ = true;
                return 1;
            }
            me.body_.append(at, n);
            return 0;
        };
        s.on_message_complete = [](http_parser* p) {
            self(p).whole_ = true;
            self(p).keep_alive_ = http_should_keep_alive(p) != 0;
            http_parser_pause(p, 1);  // the next request waits until this one is answered
            return 0;
        };
        return s;
    }
    static int head(HttpSession& me, std::string& to, const char* at, std::size_t n) {
        me.head_bytes_ += n;
        if (me.head_bytes_ > most_head) {
            me.too_long_ = true;
            return 1;
        }
        to.append(at, n);
        return 0;
    }
};

HttpSession::HttpSession(Front& front, Supply* supply) : Session(front), supply_(supply) { reset(); }

void HttpSession::reset() {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    url_.clear();
    name_.clear();
    value_.clear();
    body_.clear();
    fields_ = {};
    head_bytes_ = wire_bytes_ = 0;
    lengths_ = codings_ = 0;
    head_done_ = odd_ = begun_ = in_value_ = expects_ = too_long_ = too_large_ = whole_ = false;
}

void HttpSession::field_done() {
    for (char& c : name_) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    trim(value_);
    // The parser passes over a space before the colon: other readers take such a field for another.
    odd_ = odd_ || name_.find_first_of(" \t") != std::string::npos;
    if (name_ == "content-length") ++lengths_;
    if (name_ == "transfer-encoding") {
        ++codings_;
        odd_ = odd_ || !same(value_, "chunked");
    }
    fields_.set(name_, value_);
    expects_ = expects_ || (name_ == "expect" && same(value_, "100-continue"));
    name_.clear();
    value_.clear();
    in_value_ = false;
}

std::size_t HttpSession::parse(std::string_view bytes) {
    static const http_parser_settings hooks = Hooks::make();
    const std::size_t used = http_parser_execute(&parser_, &hooks, bytes.data(), bytes.size());
    if (whole_) {
        whole();
        return used;
    }
    // Guards against a message that never ends: line ends before it, or what chunks may carry beside the body.
    wire_bytes_ += used;
    too_long_ = too_long_ || wire_bytes_ > most_wire;
    if (too_large_) {
        refuse(413, "Payload Too Large");
    } else if (too_long_ || parser_.upgrade != 0 || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        refuse(400, "Bad Request");
    }
    return bytes.size();
}

void HttpSession::refuse(int status, const char* why, bool close) {
    spdlog::debug("http: answered {} {}", status, why);
    const std::string line = std::to_string(status) + ' ' + why;
    reset();
    malformed(message(line.c_str(), {}, {}, close), close);
}

void HttpSession::whole() {
    if (parser_.upgrade != 0) return refuse(400, "Bad Request");  // what follows would be another protocol
    const bool get = parser_.method == HTTP_GET, post = parser_.method == HTTP_POST, keep = keep_alive_;
    const std::size_t query = url_.find('?');
    const std::string path = url_.substr(0, query);
    if (path == "/healthz") {
        if (!get) return refuse(405, "Method Not Allowed", !keep);
        const std::string rest =
            query == std::string::npos ? std::string() : '&' + url_.substr(query + 1) + '&';
        const bool deep = rest.find("&probe=1&") != std::string::npos;
        reset();
        return check(deep);
    }
    core::Arrival arrival;
    const std::string word = path.substr(path.rfind('/') + 1);
    arrival.kind = front_.server().kind_of(word);
    if (arrival.kind == curlewreel::unknown) return refuse(404, "Not Found", !keep);
    if (!post) return refuse(405, "Method Not Allowed", !keep);
    const char* wrong = nullptr;
    if (!fields_.fill(arrival, supply_, front_.server(), wrong)) {
        std::uint64_t passed = 0;
        static core::Quiet quiet;
        if (quiet.may(front_.server().now(), passed))
            spdlog::info("http: bad request, wrong or missing: {}; {} more like it", wrong, passed);
        return refuse(400, "Bad Request", !keep);
    }
    arrival.body = std::move(body_);
    reset();
    submit(std::move(arrival));
}

std::string HttpSession::format(const core::Answer& a, bool close) {
    switch (a.verdict) {
        case core::Verdict::served:
            return message("200 OK", "Content-Type: application/octet-stream\r\n", a.body, close);
        case core::Verdict::refused: {
            std::string more;
            if (a.hold_off > core::Span(0))
                more = "Hold-Off-Ms: " + std::to_string((a.hold_off.count() + 999) / 1000) + "\r\n";
            if (a.last) more += "No-Other-Server: 1\r\n";
            return message("503 Service Unavailable", more, {}, close);
        }
        case core::Verdict::out_of_time:
            return message("504 Gateway Timeout", {}, {}, close);
        case core::Verdict::malformed:
            return message("400 Bad Request", {}, {}, close);
        case core::Verdict::failed:
            break;
    }
    return message("500 Internal Server Error", {}, {}, close);
}

std::string HttpSession::format_check(bool good, bool close) {
    return message(good ? "200 OK" : "503 Service Unavailable", {}, {}, close);
}
std::string HttpSession::too_slow() { return message("408 Request Timeout", {}, {}, true); }

}  // namespace cressledge::front::http
