// Tells the directory, again and again, that this server runs or leaves.
#pragma once

#include <http_parser.h>

#include <string>

#include "platform/reconnecting_link.hpp"

namespace cressledge::platform {

class DirectoryReporter final : public ReconnectingLink {
public:
    DirectoryReporter(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                      connection_admission::FileDescriptorBudget& descriptors, std::string name);
    ~DirectoryReporter() override;
    void report(bool open);  // now, and from then on
    void set_address(const net::Address& address);

    void on_open() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(bool refused) override;

private:
    void send_report();
    void schedule_report(base::Timestamp when);

    const std::string node_name_;
    std::string authority_;
    http_parser parser_{};
    bool reported_open_ = true, connected_ = false, awaiting_response_ = false, response_complete_ = false,
         last_report_accepted_ = true, report_outdated_ = false;
    base::TimerQueue::Handle report_timer_ = 0;
};

}  // namespace cressledge::platform
