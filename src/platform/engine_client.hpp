// Client of the engine: sends commands and receives numbered notices over a connection that is reopened when it breaks.
//
// The engine may lose commands that were sent shortly before a connection broke. RunCommands keeps each run's last command
// and decides which are sent again on the next link. A link is synchronized once all notices missed since the previous
// link have been received. No command is sent before that, since it might overtake one of those notices.
//
// A call reply must not be sent twice to a run that has gone on to its next call. A CommandBarrier follows each reply on
// the link; its end shows that the reply was executed. A reply without that, or sent just before the break, is sent again
// only when a barrier of the new link has just ended and no part of a later notice has been read: until then the engine
// had sent no notice of a next call.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "platform/command_barrier.hpp"
#include "platform/engine_protocol.hpp"
#include "platform/frame_reader.hpp"
#include "platform/reconnecting_link.hpp"
#include "platform/run_commands.hpp"
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
    void send_command(request::RequestId request_id, const std::string& bytes, RunCommands::CommandType type);
    void write(std::string_view bytes);
    std::string begin_barrier();

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
    void resend_unconfirmed();
    void on_barrier_ended(const BarrierResult& barrier);
    void schedule_barrier(base::Duration min_delay);
    void send_due_barrier();
    void mark_unsynchronized();
    void close_link(const char* reason);
    std::string synchronization_tag() const;

    request::RequestManager& request_manager_;
    const std::vector<std::string> gauge_names_;
    FrameReader frame_reader_;
    base::LogRateLimiter log_limiter_;
    RunCommands commands_;
    CommandBarrier barrier_;
    /// A barrier that ended while the bytes just received are being handled.
    std::optional<BarrierResult> ended_barrier_;
    base::TimerHandle barrier_timer_;
    std::uint64_t last_notice_ = 0;
    /// Number of links opened so far; distinguishes the replies of one link from those of another.
    std::uint64_t link_epoch_ = 0;
    bool synchronized_ = false;
};

}  // namespace cressledge::platform
