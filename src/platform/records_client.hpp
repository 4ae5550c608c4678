// Calls to the records service. Each has a connection to itself for as long as it lasts; connections are used again
// for a short while. A malformed reply, or one that never comes, fails the call that it was for and no other.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "base/slot_map.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"

namespace cressledge::platform {

/// The shared dependency of the platform's runs. Never retries a call: that is the admission controller's decision.
class RecordsClient final : public request::DependencyClient {
public:
    /// `address`: the records service's; at most `max_connections` are open at a time.
    RecordsClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                  std::size_t max_connections, request::RequestManager& request_manager,
                  connection_admission::FileDescriptorBudget& descriptors);
    ~RecordsClient() override;
    RecordsClient(const RecordsClient&) = delete;
    RecordsClient& operator=(const RecordsClient&) = delete;

    /// request::DependencyClient: sends the call on an idle connection, or on a new one while
    /// fewer than `max_connections` are open; `deadline` is absolute.
    void call(request::RequestId request_id, std::string_view name, std::string_view body,
              base::Timestamp deadline) override;
    /// request::DependencyClient: the outcome is no longer reported; the call's connection is closed.
    void abandon(request::RequestId request_id) override;

    /// New calls go there from now on. A call that was sent ends where it is, while its connection stands.
    void set_address(const net::Address& address);

private:
    enum class Progress { not_sent, sent, failure_pending };

    struct PendingCall {
        std::string name;
        std::string body;
        base::Timestamp deadline{0};
        /// Distinguishes the calls of one request.
        std::uint64_t sequence = 0;
        /// 0 while the call waits for a connection, and once it has failed.
        base::SlotId connection_id = 0;
        Progress progress = Progress::not_sent;
    };
    class Connection;

    void assign_connection(request::RequestId request_id, PendingCall& call);
    Connection* take_idle_connection(const std::string& request_name);
    void bind_call(Connection& connection, request::RequestId request_id, PendingCall& call);
    void open_connection(request::RequestId request_id, PendingCall& call);
    void send_call(Connection& connection);
    void finish_call(Connection& connection, policy::Outcome outcome, std::string_view reply);
    void retain_idle(Connection& connection);
    void on_connection_lost(Connection& connection, bool refused);
    void fail_call(request::RequestId request_id, policy::Outcome outcome);
    void close_connection(Connection& connection);
    void assign_waiting_calls();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    net::Address address_;
    const std::size_t max_connections_;
    request::RequestManager& request_manager_;
    connection_admission::FileDescriptorBudget& descriptors_;
    base::SlotMap<Connection> connections_;
    /// The one used last is at the end.
    std::vector<base::SlotId> idle_connections_;
    std::deque<request::RequestId> waiting_requests_;
    std::unordered_map<request::RequestId, PendingCall> pending_calls_;
    std::uint64_t last_sequence_ = 0;
    base::LogRateLimiter log_limiter_;
};

}  // namespace cressledge::platform
