// Calls to the records service. Each has a connection to itself for as long as it lasts; connections are used
// again for a short while. One spoilt reply, or one that never comes, fails the call that it was for and no other.
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

class RecordsClient final : public request::DependencyClient {
public:
    RecordsClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                  std::size_t connections, request::RequestManager& server,
                  connection_admission::FileDescriptorBudget& descriptors);
    ~RecordsClient() override;
    RecordsClient(const RecordsClient&) = delete;
    RecordsClient& operator=(const RecordsClient&) = delete;

    void call(request::RequestId no, std::string_view name, std::string_view body,
              base::Timestamp deadline) override;
    void abandon(request::RequestId no) override;
    // New calls go there from now on; what is on its way ends where it is, while that connection stands.
    void set_address(const net::Address& address);

private:
    struct PendingCall {
        std::string name, body;
        base::Timestamp deadline{0};
        std::uint64_t sequence = 0;  // tells a request's calls apart
        base::SlotId connection_id = 0;  // 0: waits for one, or its outcome is about to be told
        bool failure_pending = false, sent = false;  // from then on a break proves nothing
    };
    class Connection;
    void assign_connection(request::RequestId no, PendingCall& op);
    void bind_call(Connection& wire, request::RequestId no, PendingCall& op);
    void open_connection(request::RequestId no, PendingCall& op);
    void send_call(Connection& wire);
    void finish_call(Connection& wire, policy::Outcome outcome, std::string_view reply);
    void on_connection_lost(Connection& wire, bool refused);
    void fail_call(request::RequestId no, policy::Outcome outcome);
    void close_connection(Connection& wire);
    void assign_waiting_calls();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    net::Address address_;
    const std::size_t max_connections_;
    request::RequestManager& request_manager_;
    connection_admission::FileDescriptorBudget& descriptors_;
    base::SlotMap<Connection> connections_;
    std::vector<base::SlotId> idle_connections_;  // used last comes last
    std::deque<request::RequestId> waiting_requests_;
    std::unordered_map<request::RequestId, PendingCall> pending_calls_;
    std::uint64_t last_sequence_ = 0;
    base::LogRateLimiter log_limiter_;
};

}  // namespace cressledge::platform
