#include "common/http_message_parser.hpp"

namespace cressledge::tools {
namespace {

constexpr std::size_t max_url_bytes = 512;
constexpr std::size_t max_body_bytes = 64U << 10U;

}  // namespace

http_parser_settings HttpMessageParser::callbacks(http_parser_type type) {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_message_complete = [](http_parser* parser) {
        self(parser).keeps_alive_ = http_should_keep_alive(parser) != 0;
        self(parser).is_complete_ = true;
        http_parser_pause(parser, 1);
        return 0;
    };
    if (type == HTTP_RESPONSE)
        return callbacks;
    callbacks.on_message_begin = [](http_parser* parser) {
        self(parser).url_.clear();
        self(parser).body_.clear();
        return 0;
    };
    callbacks.on_url = [](http_parser* parser, const char* at, std::size_t length) {
        self(parser).url_.append(at, length);
        return self(parser).url_.size() > max_url_bytes ? 1 : 0;
    };
    callbacks.on_body = [](http_parser* parser, const char* at, std::size_t length) {
        self(parser).body_.append(at, length);
        return self(parser).body_.size() > max_body_bytes ? 1 : 0;
    };
    return callbacks;
}

HttpMessageParser::HttpMessageParser(http_parser_type type) : callbacks_(callbacks(type)) {
    http_parser_init(&parser_, type);
    parser_.data = this;
}

HttpMessageParser::Result HttpMessageParser::parse(std::string_view bytes) {
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
    has_trailing_bytes_ = parsed < bytes.size();
    if (is_complete_) {
        is_complete_ = false;
        http_parser_pause(&parser_, 0);
        return Result::complete;
    }
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? Result::incomplete : Result::malformed;
}

}  // namespace cressledge::tools
