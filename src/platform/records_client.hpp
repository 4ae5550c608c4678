// Client of the records service. Each call has a connection to itself; idle connections are reused for a short time.
// A malformed or missing reply fails only the call that it belongs to.
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

/// Makes the dependency calls of runs. Never retries a call: the admission controller decides on retries.
class RecordsClient final : public request::DependencyClient {
public:
    /// `address` is the address of the records service. At most `max_connections` are open at a time.
    RecordsClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                  std::size_t max_connections, request::RequestManager& request_manager,
                  connection_admission::FileDescriptorBudget& descriptors);
    ~RecordsClient() override;
    RecordsClient(const RecordsClient&) = delete;
    RecordsClient& operator=(const RecordsClient&) = delete;

    /// request::DependencyClient: sends the call on an idle connection, or on a new one while fewer than
    /// `max_connections` are open; otherwise the call waits. `deadline` is a Unix time.
    void call(request::RequestId request_id, std::string_view name, std::string_view body,
              base::Timestamp deadline) override;
    /// request::DependencyClient: cancels the call without reporting an outcome, and closes its connection.
    void abandon(request::RequestId request_id) override;

    /// Uses `address` for new calls and for those not sent yet. A call already sent completes on its connection.
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
    /// Ordered by last use, the most recently used connection last.
    std::vector<base::SlotId> idle_connections_;
    std::deque<request::RequestId> waiting_requests_;
    std::unordered_map<request::RequestId, PendingCall> pending_calls_;
    std::uint64_t last_sequence_ = 0;
    base::LogRateLimiter log_limiter_;
};

}  // namespace cressledge::platform
