// The two wires towards servers of the inventory: a call as bytes, and a reply taken off them.
#include <http_parser.h>

#include <charconv>

#include "upstream/executor.hpp"

namespace cressledge::upstream {
namespace {

constexpr std::size_t max_body_bytes = 64U << 10U, max_header_bytes = 8192;

bool equals_ignoring_case(std::string_view a, std::string_view lower) {
    if (a.size() != lower.size())
        return false;
    for (std::size_t i = 0; i < a.size(); ++i)
        if ((a[i] >= 'A' && a[i] <= 'Z' ? a[i] + 32 : a[i]) != lower[i])
            return false;
    return true;
}

class HttpResponseDecoder final : public ResponseDecoder {
public:
    HttpResponseDecoder() {
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
    }
    Status decode(std::string_view bytes) override {
        const std::size_t used =
            http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
        has_trailing_bytes_ = has_trailing_bytes_ || used < bytes.size();  // more than was asked for
        return status();
    }
    bool can_reuse_connection() const override { return complete_ && keep_alive_ && !has_trailing_bytes_; }
    Status finish() override {
        if (!complete_)
            http_parser_execute(&parser_, &parser_settings(), nullptr, 0);
        const Status got = status();
        return got == Status::incomplete ? Status::malformed
                                         : got;  // cut short: nobody can tell what is missing
    }

private:
    Status status() const {
        if (complete_)
            return Status::complete;
        return HTTP_PARSER_ERRNO(&parser_) != HPE_OK ? Status::malformed : Status::incomplete;
    }
    static const http_parser_settings& parser_settings() {
        static const http_parser_settings all = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_header_field = [](http_parser* p, const char* at, std::size_t n) {
                HttpResponseDecoder& me = *static_cast<HttpResponseDecoder*>(p->data);
                if (me.reading_header_value_)
                    me.header_name_.clear(), me.header_value_.clear();
                me.reading_header_value_ = false;
                if (me.header_name_.size() < 64)
                    me.header_name_.append(at, n);
                return 0;
            };
            s.on_header_value = [](http_parser* p, const char* at, std::size_t n) {
                HttpResponseDecoder& me = *static_cast<HttpResponseDecoder*>(p->data);
                me.reading_header_value_ = true;
                if (equals_ignoring_case(me.header_name_, load_balancing::load_report_header)) {
                    if (me.header_value_.size() <= load_balancing::max_load_report_bytes)
                        me.header_value_.append(at, n);
                    me.response.load = load_balancing::parse_load_report(me.header_value_);
                    me.response.has_load_report = true;
                    return 0;
                }
                if (!equals_ignoring_case(me.header_name_, "retry-after") || me.header_value_.size() > 16)
                    return 0;
                me.header_value_.append(at, n);
                unsigned seconds = 0;  // a date is passed over
                const char* end = me.header_value_.data() + me.header_value_.size();
                const auto [stop, bad] = std::from_chars(me.header_value_.data(), end, seconds);
                if (bad == std::errc() && stop == end)
                    me.response.retry_after = base::Duration(std::min(seconds, 3600U) * 1'000'000ULL);
                return 0;
            };
            s.on_headers_complete = [](http_parser* p) { return p->status_code < 200 ? 1 : 0; };
            s.on_body = [](http_parser* p, const char* at, std::size_t n) {
                std::string& body = static_cast<HttpResponseDecoder*>(p->data)->response.body;
                if (body.size() + n > max_body_bytes)
                    return 1;
                body.append(at, n);
                return 0;
            };
            s.on_message_complete = [](http_parser* p) {
                if (p->status_code < 200)
                    return 0;  // an interim answer
                static_cast<HttpResponseDecoder*>(p->data)->response.status =
                    static_cast<int>(p->status_code);
                static_cast<HttpResponseDecoder*>(p->data)->complete_ = true;
                static_cast<HttpResponseDecoder*>(p->data)->keep_alive_ = http_should_keep_alive(p) != 0;
                http_parser_pause(p, 1);  // what follows is no part of it
                return 0;
            };
            return s;
        }();
        return all;
    }
    http_parser parser_{};
    std::string header_name_, header_value_;
    bool complete_ = false, keep_alive_ = false, has_trailing_bytes_ = false, reading_header_value_ = false;
};

class ScgiResponseDecoder final : public ResponseDecoder {
public:
    Status decode(std::string_view bytes) override {
        if (response.status == 0) {
            header_bytes_.append(bytes);
            const std::size_t crlf = header_bytes_.find("\r\n\r\n"), lf = header_bytes_.find("\n\n");
            const std::size_t end = std::min(crlf, lf);
            if (end == std::string::npos)
                return header_bytes_.size() > max_header_bytes ? Status::malformed : Status::incomplete;
            if (!parse_headers(std::string_view(header_bytes_).substr(0, end)))
                return Status::malformed;
            response.body = header_bytes_.substr(end + (crlf <= lf ? 4 : 2));
            header_bytes_.clear();
        } else {
            if (response.body.size() + bytes.size() > max_body_bytes)
                return Status::malformed;
            response.body.append(bytes);
        }
        if (!has_content_length_)
            return Status::incomplete;  // to the end of the connection
        return response.body.size() > content_length_    ? Status::malformed
               : response.body.size() == content_length_ ? Status::complete
                                                         : Status::incomplete;
    }
    Status finish() override {
        return response.status != 0 && !has_content_length_ ? Status::complete : Status::malformed;
    }

private:
    bool parse_headers(std::string_view all) {
        int status = 200;  // where the server names none
        while (!all.empty()) {
            const std::size_t end = std::min(all.find('\n'), all.size());
            std::string_view line = all.substr(0, end);
            all.remove_prefix(std::min(end + 1, all.size()));
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            const std::size_t colon = line.find(':');
            if (colon == std::string_view::npos || colon == 0)
                return false;
            const std::string_view name = line.substr(0, colon);
            line.remove_prefix(colon + 1);
            while (!line.empty() && line.front() == ' ')
                line.remove_prefix(1);
            if (equals_ignoring_case(name, "status")) {
                const auto [stop, bad] = std::from_chars(line.data(), line.data() + line.size(), status);
                if (bad != std::errc() || status < 100 || status > 999)
                    return false;
            } else if (equals_ignoring_case(name, load_balancing::load_report_header)) {
                response.load = load_balancing::parse_load_report(line);
                response.has_load_report = true;
            } else if (equals_ignoring_case(name, "content-length")) {
                const auto [stop, bad] =
                    std::from_chars(line.data(), line.data() + line.size(), content_length_);
                if (bad != std::errc() || stop != line.data() + line.size() ||
                    content_length_ > max_body_bytes)
                    return false;
                has_content_length_ = true;
            }
        }
        response.status = status;
        return true;
    }
    std::string header_bytes_;
    std::size_t content_length_ = 0;
    bool has_content_length_ = false;
};

std::string milliseconds_text(base::Timestamp t) {
    return std::to_string(t.count() / 1000);
}

}  // namespace

std::unique_ptr<ResponseDecoder> make_http_decoder() {
    return std::make_unique<HttpResponseDecoder>();
}
std::unique_ptr<ResponseDecoder> make_scgi_decoder() {
    return std::make_unique<ScgiResponseDecoder>();
}

std::string encode_http_request(const request::Work& w, std::string_view host, bool keep) {
    std::string out = "POST /v1/";
    out.append(w.class_name).append(" HTTP/1.1\r\nHost: ").append(host);
    out.append("\r\nTrace-Id: ")
        .append(w.external_id)
        .append("\r\nAccepted-At-Ms: ")
        .append(milliseconds_text(w.accepted_at));
    out.append("\r\nReserve-Kb: ").append(std::to_string(w.reserved_kb));
    out.append(keep ? "\r\nContent-Length: " : "\r\nConnection: close\r\nContent-Length: ")
        .append(std::to_string(w.body.size()));
    return out.append("\r\n\r\n").append(w.body);
}

std::string encode_scgi_request(const request::Work& w) {
    std::string head;
    const auto put = [&head](std::string_view name, std::string_view value) {
        head.append(name).push_back('\0');
        head.append(value).push_back('\0');
    };
    put("CONTENT_LENGTH", std::to_string(w.body.size()));
    put("SCGI", "1");
    put("REQUEST_METHOD", "POST");
    put("REQUEST_URI", "/v1/" + std::string(w.class_name));
    put("SERVER_PROTOCOL", "HTTP/1.1");
    put("HTTP_TRACE_ID", w.external_id);
    put("HTTP_ACCEPTED_AT_MS", milliseconds_text(w.accepted_at));
    put("HTTP_RESERVE_KB", std::to_string(w.reserved_kb));
    return (std::to_string(head.size()) + ':').append(head).append(",").append(w.body);
}

}  // namespace cressledge::upstream
