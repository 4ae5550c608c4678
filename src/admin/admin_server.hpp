// The control address: HTTP/1.1, one call a connection, `GET /v1/readyz`, `GET /v1/metrics` and, where the process
// keeps a view of its fleet, `GET /v1/fleet`. A thin front:
// it asks its Source whether the process is ready and what the figures are, and writes them out. It shares the
// loop with the clients' side and nothing else, so an answer is due within a second whatever that side does.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/metric.hpp"
#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"

namespace cressledge::admin {

class AdminSource {
public:
    virtual ~AdminSource() = default;
    virtual bool is_ready() = 0;  // this process can serve
    // Names and values as of now; names are words of letters, digits, dots, dashes and underscores.
    virtual void collect_metrics(base::Metrics& out) = 0;
    // The view of the fleet as JSON, without its members where `brief` (the query `?brief`); none: there is none.
    virtual std::optional<std::string> membership_json(bool /*brief*/) { return std::nullopt; }
    // A call of the source's own, with its body; none: there is no such call.
    struct Reply {
        const char* status;  // "200 OK"
        std::string json;
    };
    virtual std::optional<Reply> handle_request(const std::string& /*method*/, const std::string& /*path*/,
                                                const std::string& /*body*/) {
        return std::nullopt;
    }
};

// The figures of the core: answers and tries of each class, and what is open.
void collect_class_metrics(const request::RequestManager& server, base::Metrics& out);
// And how long the served took: `node.responses.CLASS.late`, and `node.took.CLASS.US` for each bin that has any, US being
// its upper end in microseconds (request::Times).
void collect_latency_metrics(const request::RequestManager& server, base::Metrics& out);

class AdminServer {
public:
    static constexpr std::size_t max_connections = 32;  // connections at once; a new one closes the oldest
    static constexpr std::size_t max_head_bytes = 4096;  // bytes of a call; more is 431
    static constexpr std::size_t max_body_bytes = 64U << 10U;  // more is 413
    static constexpr base::Duration request_timeout{
        2'000'000};  // from the accept to a whole call, else the connection is closed
    static constexpr base::Duration linger_timeout{1'000'000};  // for a caller to read its answer

    // Throws std::runtime_error when the address cannot be listened on.
    AdminServer(net::Loop& loop, base::TimerQueue& timers,
                connection_admission::FileDescriptorBudget& descriptors, const net::ListenEndpoint& listening,
                AdminSource& source);
    ~AdminServer();  // where Call is whole
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;
    int port() const { return listener_.port(); }
    std::uint64_t answered_count() const { return answered_count_; }
    std::uint64_t evicted_count() const { return evicted_count_; }  // closed for a newcomer in a full table

private:
    class Connection;
    void accept_pending();
    void dispatch(Connection& connection);
    void close_connection(base::SlotId connection_id);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    connection_admission::FileDescriptorBudget& descriptors_;
    AdminSource& source_;
    base::SlotMap<Connection> connections_;
    std::vector<base::SlotId> accept_order_;  // of the accepts, oldest first
    connection_admission::FileDescriptorBudget::Lease listener_lease_;
    std::uint64_t answered_count_ = 0, evicted_count_ = 0;
    net::Listener listener_;
};

}  // namespace cressledge::admin
