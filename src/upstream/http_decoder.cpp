// Decoder of HTTP/1.1 responses, based on http_parser.
#include <http_parser.h>

#include <algorithm>
#include <charconv>

#include "upstream/codec.hpp"

namespace cressledge::upstream {
namespace {

constexpr std::size_t max_header_name_bytes = 64;
constexpr std::size_t max_retry_after_bytes = 16;
constexpr unsigned max_retry_after_seconds = 3600;
constexpr std::uint64_t microseconds_per_second = 1'000'000;
constexpr unsigned first_final_status = 200;

class HttpResponseDecoder final : public ResponseDecoder {
public:
    HttpResponseDecoder() {
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
    }

    Status decode(std::string_view bytes) override {
        const std::size_t parsed =
            http_parser_execute(&parser_, &parser_settings(), bytes.data(), bytes.size());
        if (parsed < bytes.size())
            has_trailing_bytes_ = true;
        return status();
    }

    Status finish() override {
        if (!complete_)
            http_parser_execute(&parser_, &parser_settings(), nullptr, 0);
        // A truncated response is malformed, whatever it lacks.
        return complete_ ? Status::complete : Status::malformed;
    }

    bool can_reuse_connection() const override { return complete_ && keep_alive_ && !has_trailing_bytes_; }

private:
    static HttpResponseDecoder& decoder_of(http_parser* parser) {
        return *static_cast<HttpResponseDecoder*>(parser->data);
    }

    static const http_parser_settings& parser_settings() {
        static const http_parser_settings settings = make_parser_settings();
        return settings;
    }

    static http_parser_settings make_parser_settings() {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_header_field = [](http_parser* parser, const char* data, std::size_t length) {
            decoder_of(parser).append_header_name({data, length});
            return 0;
        };
        settings.on_header_value = [](http_parser* parser, const char* data, std::size_t length) {
            decoder_of(parser).append_header_value({data, length});
            return 0;
        };
        // An interim response has no body, whatever its headers say; 1 skips the body.
        settings.on_headers_complete = [](http_parser* parser) {
            return parser->status_code < first_final_status ? 1 : 0;
        };
        settings.on_body = [](http_parser* parser, const char* data, std::size_t length) {
            return decoder_of(parser).append_body({data, length}) ? 0 : 1;
        };
        settings.on_message_complete = [](http_parser* parser) {
            if (parser->status_code >= first_final_status)
                decoder_of(parser).on_final_response();
            return 0;
        };
        return settings;
    }

    Status status() const {
        if (complete_)
            return Status::complete;
        return HTTP_PARSER_ERRNO(&parser_) != HPE_OK ? Status::malformed : Status::incomplete;
    }

    // The parser may pass names and values in fragments.
    void append_header_name(std::string_view fragment) {
        if (reading_header_value_) {
            header_name_.clear();
            header_value_.clear();
        }
        reading_header_value_ = false;
        if (header_name_.size() < max_header_name_bytes)
            header_name_.append(fragment);
    }

    void append_header_value(std::string_view fragment) {
        reading_header_value_ = true;
        if (equals_ignoring_case(header_name_, load_balancing::load_report_header)) {
            if (header_value_.size() <= load_balancing::max_load_report_bytes)
                header_value_.append(fragment);
            response.load = load_balancing::parse_load_report(header_value_);
            response.has_load_report = true;
        } else if (equals_ignoring_case(header_name_, "retry-after") &&
                   header_value_.size() <= max_retry_after_bytes) {
            header_value_.append(fragment);
            parse_retry_after();
        }
    }

    // Accepts seconds only; a date is ignored.
    void parse_retry_after() {
        unsigned seconds = 0;
        const char* end = header_value_.data() + header_value_.size();
        const auto [parsed_end, error] = std::from_chars(header_value_.data(), end, seconds);
        if (error == std::errc() && parsed_end == end)
            response.retry_after =
                base::Duration(std::min(seconds, max_retry_after_seconds) * microseconds_per_second);
    }

    bool append_body(std::string_view fragment) {
        if (response.body.size() + fragment.size() > max_body_bytes)
            return false;
        response.body.append(fragment);
        return true;
    }

    // Pauses the parser, because bytes that follow do not belong to the response.
    void on_final_response() {
        response.status = static_cast<int>(parser_.status_code);
        complete_ = true;
        keep_alive_ = http_should_keep_alive(&parser_) != 0;
        http_parser_pause(&parser_, 1);
    }

    http_parser parser_{};
    std::string header_name_;
    std::string header_value_;
    bool reading_header_value_ = false;
    bool complete_ = false;
    bool keep_alive_ = false;
    bool has_trailing_bytes_ = false;
};

}  // namespace

std::unique_ptr<ResponseDecoder> make_http_decoder() {
    return std::make_unique<HttpResponseDecoder>();
}

}  // namespace cressledge::upstream
