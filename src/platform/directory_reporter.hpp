// Reports periodically to the platform's directory whether this server accepts requests.
#pragma once

#include <http_parser.h>

#include <string>

#include "platform/reconnecting_link.hpp"

namespace cressledge::platform {

/// Keeps this server's entry in the directory current. At most one report is in flight, on a persistent connection.
class DirectoryReporter final : public ReconnectingLink {
public:
    /// The reported state: `open` if this server accepts requests, `closed` if it no longer does.
    enum class Mode { open, closed };

    /// `address` is the address of the directory; `node_name` is the name of this server's entry.
    DirectoryReporter(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                      connection_admission::FileDescriptorBudget& descriptors, std::string node_name);

    /// Reports `mode` as soon as possible, and periodically from then on.
    void report(Mode mode);

    /// Switches to the directory at `address` and reports to it immediately. Does nothing if the address is unchanged.
    void set_address(const net::Address& address);

    /// net::Stream::Owner: the connection is established; sends a report.
    void on_open() override;
    /// net::Stream::Owner: reads the directory's HTTP response to the report.
    void on_bytes(std::string_view bytes) override;
    /// net::Stream::Owner: the connection has ended or was `refused`; a report in flight is retried after a delay.
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
    /// A new mode was set while a report was in flight.
    bool report_outdated_ = false;
    /// Used to log only changes of the result.
    bool last_report_accepted_ = true;
    base::TimerHandle report_timer_;
};

}  // namespace cressledge::platform
