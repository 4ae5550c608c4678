#include "platform/directory_reporter.hpp"

#include <spdlog/spdlog.h>

namespace cressledge::platform {
namespace {

constexpr base::Duration report_interval{800'000};  // an entry lapses 3 s after a report: two may go wrong
constexpr base::Duration response_timeout{600'000}, retry_delay{150'000};

}  // namespace

DirectoryReporter::DirectoryReporter(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                                     connection_admission::FileDescriptorBudget& descriptors,
                                     std::string name)
    : ReconnectingLink(loop, timers, address, descriptors), node_name_(std::move(name)) {}
DirectoryReporter::~DirectoryReporter() {
    timers_.cancel(report_timer_);
}

void DirectoryReporter::report(bool open) {
    reported_open_ = open;
    if (awaiting_response_) {
        report_outdated_ = true;  // what is on its way says the old state
        return;
    }
    send_report();
}

void DirectoryReporter::set_address(const net::Address& address) {
    if (address == address_)
        return;
    address_ = address;
    disconnect();
    connected_ = awaiting_response_ = false;
    send_report();
}

void DirectoryReporter::schedule_report(base::Timestamp when) {
    timers_.cancel(report_timer_);
    report_timer_ = timers_.schedule(when, [this] {
        report_timer_ = 0;
        if (awaiting_response_) {
            // Guards against a directory that took the connection and says nothing.
            disconnect();
            connected_ = awaiting_response_ = false;
        }
        send_report();
    });
}

void DirectoryReporter::send_report() {
    if (!connected_) {
        disconnect();
        try_connect();
        return schedule_report(loop_.unix_now() + response_timeout);
    }
    const std::string body = std::string("{\"mode\":\"") + (reported_open_ ? "open" : "closed") + "\"}";
    std::string out = "PUT /dir/nodes/" + node_name_ + " HTTP/1.1\r\nHost: directory\r\n";
    out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    response_complete_ = report_outdated_ = false;
    awaiting_response_ = true;
    schedule_report(loop_.unix_now() + response_timeout);
    stream_->write(out);
}

void DirectoryReporter::on_open() {
    connected_ = true;
    reset_backoff();
    send_report();
}

void DirectoryReporter::on_bytes(std::string_view bytes) {
    if (!awaiting_response_)
        return;
    static const http_parser_settings hooks = [] {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_complete = [](http_parser* p) {
            static_cast<DirectoryReporter*>(p->data)->response_complete_ = true;
            return 0;
        };
        return s;
    }();
    http_parser_execute(&parser_, &hooks, bytes.data(), bytes.size());
    const bool broken = HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
    if (!response_complete_ && !broken)
        return;
    const bool good = response_complete_ && parser_.status_code == 204;
    if (good != last_report_accepted_)
        spdlog::warn("directory: report {}", good ? "taken again" : "not taken");
    last_report_accepted_ = good;
    awaiting_response_ = false;
    if (broken || http_should_keep_alive(&parser_) == 0) {
        disconnect();
        connected_ = false;
    }
    if (report_outdated_ && connected_)
        return send_report();
    schedule_report(loop_.unix_now() + (good && !report_outdated_ ? report_interval : retry_delay));
}

void DirectoryReporter::on_end(bool) {
    stream_ = nullptr;
    if (awaiting_response_ || !connected_) {
        if (last_report_accepted_)
            spdlog::warn("directory: out of reach");
        last_report_accepted_ = false;
        schedule_report(loop_.unix_now() + retry_delay);
    }
    connected_ = awaiting_response_ = false;
}

}  // namespace cressledge::platform
