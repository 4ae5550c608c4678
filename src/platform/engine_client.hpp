// Client of the engine: sends commands and receives numbered notices over a connection that is reopened when it breaks.
//
// The engine may lose commands that were sent shortly before a connection broke. Each run therefore keeps its last
// command until a notice confirms that the engine executed it; unconfirmed commands are sent again on the next link.
// A link is synchronized once all notices missed since the previous link have been received. No command is sent before
// that, since it might overtake one of those notices.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "platform/engine_protocol.hpp"
#include "platform/frame_reader.hpp"
#include "platform/reconnecting_link.hpp"
#include "request/request_manager.hpp"

namespace cressledge::platform {

/// Executes requests as runs of the engine.
class EngineClient final : public ReconnectingLink, public request::Executor {
public:
    /// `gauge_names` lists the gauges in the order in which the engine reports them.
    EngineClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                 request::RequestManager& request_manager,
                 connection_admission::FileDescriptorBudget& descriptors,
                 std::vector<std::string> gauge_names);

    /// Opens the link and reopens it whenever it breaks.
    void connect();

    /// Reconnects to `address` immediately. The new link continues after the last notice that was read, so no notice is
    /// lost or handled twice.
    void set_address(const net::Address& address);

    /// request::Executor: sends RUN for the request to the engine.
    void run(const request::Work& work) override;
    /// request::Executor: sends HALT for the request's run.
    void suspend(request::RequestId request_id) override;
    /// request::Executor: sends RESUME for the request's run.
    void resume(request::RequestId request_id) override;
    /// request::Executor: sends FEED with the reply to the run's dependency call.
    void deliver_call_reply(request::RequestId request_id, std::string_view reply) override;
    /// request::Executor: sends SKIP; the run continues without the dependency call `call_id`.
    void skip_call(request::RequestId request_id, std::uint64_t call_id) override;
    /// request::Executor: sends STAT. Returns false if the link is not synchronized.
    bool request_gauges(std::uint64_t query_id) override;
    /// request::Executor: sends TEST. Returns false if the link is not synchronized.
    bool request_health_check(std::uint64_t query_id) override;
    /// request::Executor: the request has ended; discards the state of its run.
    void release(request::RequestId request_id) override;

    /// net::Stream::Owner: the link is open; sends ATTACH with the number of the last notice read.
    void on_open() override;
    /// net::Stream::Owner: reads the engine's messages and notices.
    void on_bytes(std::string_view bytes) override;
    /// net::Stream::Owner: the link has ended or was `refused`; reconnects after a backoff.
    void on_end(bool refused) override;

private:
    /// Whether a command may be sent twice. The engine could take a repeated call reply for the reply to the run's next
    /// call.
    enum class CommandType { repeatable, call_reply };

    struct ActiveRun {
        std::string name;
        /// The last command; cleared once a notice confirms that the engine executed it.
        std::string unconfirmed_command;
        CommandType command_type = CommandType::repeatable;
        /// Position of the command in the order of commands of all runs.
        std::uint64_t sequence = 0;
        /// When the command was sent; 0 if no synchronized link was open.
        base::Timestamp sent_at{0};
        bool suspend_requested = false;
        /// The command was probably delivered: it is sent again only if no notice confirms it within the timeout.
        bool awaiting_confirmation = false;
    };

    void send_command(request::RequestId request_id, std::string bytes,
                      CommandType type = CommandType::repeatable);
    void write(std::string_view bytes);

    void handle(const engine_protocol::Ignored&) {}
    void handle(const engine_protocol::MalformedNotice&);
    void handle(const engine_protocol::Notice& notice);
    void handle(const engine_protocol::GaugesReply& reply);
    void handle(const engine_protocol::HealthCheckReply& reply);
    void handle(const engine_protocol::Hello& hello);
    void handle(const engine_protocol::CommandRejected& rejection);
    void handle_notice_content(std::uint64_t number, const engine_protocol::OtherNotice&);
    void handle_notice_content(std::uint64_t number, const engine_protocol::RunEnded& ended);
    void handle_notice_content(std::uint64_t number, const engine_protocol::CallNeeded& call);
    request::RequestId confirm_last_command(std::string_view run_name);

    void on_synchronized();
    bool was_probably_delivered(const ActiveRun& run) const;
    bool needs_resend(ActiveRun& run) const;
    void resend_unconfirmed();
    void log_resent_call_reply(const ActiveRun& run) const;
    void mark_unsynchronized();
    void close_link(const char* reason);
    std::string synchronization_tag() const;

    request::RequestManager& request_manager_;
    const std::vector<std::string> gauge_names_;
    FrameReader frame_reader_;
    base::LogRateLimiter log_limiter_;
    std::unordered_map<request::RequestId, ActiveRun> active_runs_;
    std::unordered_map<std::string, request::RequestId> request_ids_by_name_;
    std::uint64_t last_notice_ = 0;
    std::uint64_t last_sequence_ = 0;
    /// Number of links opened so far; distinguishes the replies of one link from those of another.
    std::uint64_t link_epoch_ = 0;
    /// When the last synchronized link ended.
    base::Timestamp link_lost_at_{0};
    bool synchronized_ = false;
};

}  // namespace cressledge::platform
