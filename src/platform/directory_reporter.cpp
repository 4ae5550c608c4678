#include "platform/directory_reporter.hpp"

#include "base/log.hpp"

namespace cressledge::platform {
namespace {

/// The directory drops an entry 3 s after its last report, so two consecutive reports may fail.
constexpr base::Duration report_interval{800'000};
/// Limits connecting, and then waiting for the response.
constexpr base::Duration response_timeout{600'000};
/// From a failed report to the next one.
constexpr base::Duration retry_delay{150'000};
constexpr unsigned http_no_content = 204;

}  // namespace

DirectoryReporter::DirectoryReporter(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                                     connection_admission::FileDescriptorBudget& descriptors,
                                     std::string node_name)
    : ReconnectingLink(loop, timers, address, descriptors), node_name_(std::move(node_name)) {}

void DirectoryReporter::report(Mode mode) {
    mode_ = mode;
    if (state_ == State::awaiting_response) {
        report_outdated_ = true;
        return;
    }
    send_report();
}

void DirectoryReporter::set_address(const net::Address& address) {
    if (!change_address(address))
        return;
    reset_connection();
    send_report();
}

void DirectoryReporter::reset_connection() {
    disconnect();
    state_ = State::disconnected;
}

void DirectoryReporter::schedule_report(base::Duration delay) {
    report_timer_ = timers().schedule(loop().unix_now() + delay, [this] {
        // The directory accepted the connection but did not respond in time.
        if (state_ == State::awaiting_response)
            reset_connection();
        send_report();
    });
}

std::string DirectoryReporter::encode_report() const {
    const std::string mode = mode_ == Mode::open ? "open" : "closed";
    const std::string body = "{\"mode\":\"" + mode + "\"}";
    return "PUT /dir/nodes/" + node_name_ + " HTTP/1.1\r\nHost: directory\r\n" +
           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

void DirectoryReporter::send_report() {
    if (state_ == State::disconnected) {
        disconnect();
        try_connect();
        return schedule_report(response_timeout);
    }
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    response_complete_ = false;
    report_outdated_ = false;
    state_ = State::awaiting_response;
    schedule_report(response_timeout);
    stream()->write(encode_report());
}

void DirectoryReporter::on_open() {
    state_ = State::idle;
    reset_backoff();
    send_report();
}

void DirectoryReporter::on_bytes(std::string_view bytes) {
    if (state_ != State::awaiting_response)
        return;
    static const http_parser_settings parser_settings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_message_complete = [](http_parser* parser) {
            static_cast<DirectoryReporter*>(parser->data)->response_complete_ = true;
            return 0;
        };
        return settings;
    }();
    http_parser_execute(&parser_, &parser_settings, bytes.data(), bytes.size());
    if (response_complete_ || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
        on_response();
}

void DirectoryReporter::on_response() {
    const bool malformed = HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
    const bool accepted = response_complete_ && parser_.status_code == http_no_content;
    if (accepted != last_report_accepted_)
        base::log_warning("directory: {}", accepted ? "report accepted" : "report rejected");
    last_report_accepted_ = accepted;
    state_ = State::idle;
    if (malformed || http_should_keep_alive(&parser_) == 0)
        reset_connection();
    if (report_outdated_ && state_ == State::idle)
        return send_report();
    schedule_report(accepted && !report_outdated_ ? report_interval : retry_delay);
}

void DirectoryReporter::on_end(bool) {
    clear_stream();
    // The end of an idle connection is not an error: the next report opens a new one.
    if (state_ != State::idle) {
        if (last_report_accepted_)
            base::log_warning("directory: unreachable");
        last_report_accepted_ = false;
        schedule_report(retry_delay);
    }
    state_ = State::disconnected;
}

}  // namespace cressledge::platform
