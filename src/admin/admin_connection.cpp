#include "admin/admin_connection.hpp"

#include <uv.h>

#include <algorithm>
#include <utility>

namespace cressledge::admin {
namespace {

/// A larger request head is answered with 431.
constexpr std::size_t max_head_bytes = 4096;
/// A larger body is answered with 413.
constexpr std::size_t max_body_bytes = 64U << 10U;
/// Time from the accept to a complete request, after which the connection is closed.
constexpr base::Duration request_timeout{2'000'000};
/// Time that a caller has to read its reply and close the connection.
constexpr base::Duration linger_timeout{1'000'000};

/// Return values of the parser's callbacks.
constexpr int continue_parsing = 0;
constexpr int stop_parsing = 1;

std::string format_message(const char* status, const std::string& body, const char* content_type) {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Type: " + content_type +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace

/// http-parser callbacks, which forward to the connection that the parser's `data` points to.
struct AdminConnection::Callbacks {
    static AdminConnection& owner(http_parser* parser) {
        return *static_cast<AdminConnection*>(parser->data);
    }
    static int on_url(http_parser* parser, const char* data, std::size_t size) {
        return owner(parser).append_url(data, size);
    }
    static int on_header(http_parser* parser, const char*, std::size_t size) {
        return owner(parser).count_head_bytes(size);
    }
    static int on_body(http_parser* parser, const char* data, std::size_t size) {
        return owner(parser).append_body(data, size);
    }
    // One request per connection: bytes after it are not parsed.
    static int on_message_complete(http_parser* parser) {
        owner(parser).is_complete_ = true;
        http_parser_pause(parser, 1);
        return continue_parsing;
    }

    static http_parser_settings make() {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = on_url;
        settings.on_header_field = on_header;
        settings.on_header_value = on_header;
        settings.on_body = on_body;
        settings.on_message_complete = on_message_complete;
        return settings;
    }
};

AdminConnection::AdminConnection(Handler& handler, base::Clock& clock, base::TimerQueue& timers)
    : handler_(handler), clock_(clock), timers_(timers) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
}

AdminConnection::~AdminConnection() {
    if (stream_ != nullptr)
        std::exchange(stream_, nullptr)->close();
}

int AdminConnection::accept(net::Listener& listener, connection_admission::FileDescriptorBudget::Lease lease,
                            base::SlotId id) {
    id_ = id;
    int error = 0;
    stream_ = net::Stream::accept(listener, *this, std::move(lease), &error);
    if (stream_ == nullptr)
        return error;
    timeout_timer_ = timers_.schedule(clock_.unix_now() + request_timeout, [this] { on_request_timeout(); });
    return 0;
}

void AdminConnection::on_request_timeout() {
    if (!read_pending())
        handler_.on_closed(id_);
}

void AdminConnection::on_bytes(std::string_view bytes) {
    static const http_parser_settings callbacks = Callbacks::make();
    if (has_replied_)
        return;
    http_parser_execute(&parser_, &callbacks, bytes.data(), bytes.size());
    if (is_complete_)
        return handler_.on_request(*this);
    if (is_body_too_large_)
        return reply("413 Payload Too Large", "too large\n");
    if (is_head_too_large_)
        return reply("431 Request Header Fields Too Large", "too long\n");
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
        reply("400 Bad Request", "bad call\n");
}

bool AdminConnection::on_eof() {
    // Keep the stream until the reply is written; the linger timeout bounds the wait.
    if (has_replied_)
        return stream_->has_unwritten_bytes();
    // The request can no longer be completed.
    reply("400 Bad Request", "cut short\n");
    return true;
}

void AdminConnection::on_end(bool) {
    stream_ = nullptr;
    handler_.on_closed(id_);
}

void AdminConnection::reply(const char* status, const std::string& body, const char* content_type) {
    if (has_replied_ || stream_ == nullptr)
        return;
    has_replied_ = true;
    stream_->write(format_message(status, body, content_type));
    stream_->shut_down_writes();
    timeout_timer_ =
        timers_.schedule(clock_.unix_now() + linger_timeout, [this] { handler_.on_closed(id_); });
}

bool AdminConnection::read_pending() {
    if (!has_replied_ && stream_ != nullptr)
        stream_->read_pending();
    return has_replied_;
}

const char* AdminConnection::method() const {
    return http_method_str(static_cast<http_method>(parser_.method));
}

std::string AdminConnection::path() const {
    return url_.substr(0, url_.find('?'));
}

std::string AdminConnection::query() const {
    return url_.substr(std::min(url_.find('?'), url_.size()));
}

int AdminConnection::append_url(const char* data, std::size_t size) {
    url_.append(data, std::min(size, max_head_bytes));
    return count_head_bytes(size);
}

int AdminConnection::count_head_bytes(std::size_t size) {
    head_bytes_ += size;
    is_head_too_large_ = head_bytes_ > max_head_bytes;
    return is_head_too_large_ ? stop_parsing : continue_parsing;
}

int AdminConnection::append_body(const char* data, std::size_t size) {
    is_body_too_large_ = body_.size() + size > max_body_bytes;
    if (is_body_too_large_)
        return stop_parsing;
    body_.append(data, size);
    return continue_parsing;
}

}  // namespace cressledge::admin
