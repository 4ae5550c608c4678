// The I/O beside the gate and the descriptor budget: closes whom they tell to go, lets the backlog wait and wakes it,
// and writes what an operator reads. It decides nothing.
#pragma once

#include <vector>

#include "base/log_rate_limiter.hpp"
#include "connection_admission/connection_limiter.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "request/request_manager.hpp"

namespace cressledge::frontend {

class Frontend;

class ConnectionAdmitter {
public:
    ConnectionAdmitter(base::TimerQueue& timers, request::RequestManager& server,
                       connection_admission::FileDescriptorBudget& descriptors,
                       connection_admission::Settings settings, std::uint64_t seed);
    ~ConnectionAdmitter();
    ConnectionAdmitter(const ConnectionAdmitter&) = delete;
    ConnectionAdmitter& operator=(const ConnectionAdmitter&) = delete;

    std::uint32_t register_frontend(Frontend& frontend);  // its door; fronts go before their porter does
    void unregister_frontend(std::uint32_t listener_index) { frontends_[listener_index] = nullptr; }

    // For one that has come to this door: empty if it has to wait in the backlog.
    connection_admission::FileDescriptorBudget::Lease acquire_descriptor();
    connection_admission::ConnectionLimiter::ConnectionDecision admit(
        std::uint32_t listener_index, base::SlotId session_id, const connection_admission::IpAddress& ip);
    void on_request_rejected(const connection_admission::ConnectionLimiter::RequestDecision& decision,
                             connection_admission::ConnectionSlotId slot);
    void on_descriptors_exhausted(
        int accept_error);  // the system had no descriptor for one that came; it waits in the backlog

    void reload(connection_admission::Settings settings);
    void log_report(
        std::size_t max_sources);  // to the log: the table, the descriptors, and who was refused most
    connection_admission::ConnectionLimiter& limiter() { return limiter_; }
    connection_admission::FileDescriptorBudget& descriptors() { return descriptors_; }

private:
    bool shed_idle_connection();
    void schedule_backlog_retry(base::Timestamp when);  // every front looks at its backlog again then
    void evict(const connection_admission::ConnectionLimiter::ConnectionRef& connection);
    void log_rejection(connection_admission::RejectionReason reason,
                       const connection_admission::IpAddress& ip);

    base::TimerQueue& timers_;
    request::RequestManager& server_;
    connection_admission::FileDescriptorBudget& descriptors_;
    connection_admission::ConnectionLimiter limiter_;
    std::vector<Frontend*> frontends_;
    base::TimerQueue::Handle backlog_retry_ = 0;
    bool backlog_waiting_ = false;  // somebody waits there for a descriptor
    std::uint64_t rejections_logged_ = 0;
    base::LogRateLimiter exhaustion_log_limiter_;
};

}  // namespace cressledge::frontend
