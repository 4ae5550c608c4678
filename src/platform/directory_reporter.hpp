// Reports to the platform's directory, over and over, whether this server takes requests.
#pragma once

#include <http_parser.h>

#include <string>

#include "platform/reconnecting_link.hpp"

namespace cressledge::platform {

/// Keeps this server's entry in the directory alive. One report is under way at a time, on a connection that is kept.
class DirectoryReporter final : public ReconnectingLink {
public:
    /// What a report says: this server takes requests, or no longer does.
    enum class Mode { open, closed };

    /// `address`: the directory's, from the node configuration; `node_name`: this server's entry there.
    DirectoryReporter(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                      connection_admission::FileDescriptorBudget& descriptors, std::string node_name);

    /// Reports `mode` as soon as possible, and again and again from then on.
    void report(Mode mode);

    /// Reports to another directory at once.
    void set_address(const net::Address& address);

    /// net::Stream::Owner: the link is open; the report under way is sent.
    void on_open() override;
    /// net::Stream::Owner: reads the directory's HTTP response to the report.
    void on_bytes(std::string_view bytes) override;
    /// net::Stream::Owner: the link is over, or was `refused`.
    void on_end(bool refused) override;

private:
    enum class State { disconnected, idle, awaiting_response };

    void send_report();
    void schedule_report(base::Duration delay);
    void reset_connection();
    void on_response();
    std::string encode_report() const;

    const std::string node_name_;
    http_parser parser_{};
    Mode mode_ = Mode::open;
    State state_ = State::disconnected;
    bool response_complete_ = false;
    /// The mode has changed since the report that is under way was sent.
    bool report_outdated_ = false;
    /// Kept to log changes only.
    bool last_report_accepted_ = true;
    base::TimerHandle report_timer_;
};

}  // namespace cressledge::platform
