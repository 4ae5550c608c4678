// The engine link: commands out, numbered notices in, over a link that may break and come back.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "platform/reconnecting_link.hpp"
#include "request/request_manager.hpp"

namespace cressledge::platform {

class EngineClient final : public ReconnectingLink, public request::Executor {
public:
    EngineClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                 request::RequestManager& server, connection_admission::FileDescriptorBudget& descriptors,
                 std::vector<std::string> gauges);
    void connect() {
        try_connect();
        if (stream_ == nullptr)
            schedule_reconnect();
    }

    // The link goes there at once, and takes up after the last notice read: nothing is lost or told twice.
    void set_address(const net::Address& address);

    void run(const request::Work& work) override;
    void suspend(request::RequestId no) override;
    void resume(request::RequestId no) override;
    void deliver_call_reply(request::RequestId no, std::string_view reply) override;
    void skip_call(request::RequestId no, std::uint64_t notice) override;
    bool request_gauges(std::uint64_t tag) override;
    bool request_health_check(std::uint64_t tag) override;
    void release(request::RequestId no) override;

    void on_open() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(bool refused) override;

private:
    struct ActiveRun {
        std::string name;
        std::string unconfirmed_command;  // the last command, until a notice shows that it was carried out
        std::uint64_t sequence = 0;
        base::Timestamp sent_at{0};  // 0: not yet, there was no link
        bool is_feed = false, halt_requested = false, awaiting_confirmation = false;
    };
    void send_command(request::RequestId no, std::string bytes, bool feeds = false);
    void write(std::string_view bytes);
    void handle_message(const std::vector<std::string_view>& words, std::string_view body);
    void on_synchronized();
    void resend_unconfirmed();
    void mark_unsynchronized();
    void drop_link(const char* why);

    request::RequestManager& request_manager_;
    const std::vector<std::string> gauge_names_;  // in the order in which the engine says them
    LineReader line_reader_;
    base::LogRateLimiter log_limiter_;
    std::unordered_map<request::RequestId, ActiveRun> active_runs_;
    std::unordered_map<std::string, request::RequestId> request_ids_by_name_;
    std::uint64_t last_notice_ = 0, last_sequence_ = 0, link_epoch_ = 0;
    base::Timestamp link_lost_at_{0};  // when the last link in step ended
    bool synchronized_ = false;  // this link has brought all that the last one missed
};

}  // namespace cressledge::platform
