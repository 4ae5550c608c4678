/// Applies the decisions of the connection limiter and the file descriptor budget to all frontends of a process.
///
/// Closes the connections that they evict, makes the frontends accept again when a descriptor may be available, and
/// logs the report for operators. All frontends must be destroyed before it.
#pragma once

#include <cstdint>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "connection_admission/connection_limiter.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "request/request_manager.hpp"

namespace cressledge::frontend {

class Frontend;

/// Carries out the decisions of connection limiter and file descriptor budget.
class ConnectionAdmitter {
public:
    /// `settings`: the configured connection limits. `seed`: random, so that clients cannot choose addresses that
    /// collide in the limiter's tables of sources.
    ConnectionAdmitter(base::TimerQueue& timers, request::RequestManager& request_manager,
                       connection_admission::FileDescriptorBudget& descriptors,
                       connection_admission::Settings settings, std::uint64_t seed);
    ~ConnectionAdmitter();
    ConnectionAdmitter(const ConnectionAdmitter&) = delete;
    ConnectionAdmitter& operator=(const ConnectionAdmitter&) = delete;

    /// Returns the listener index that identifies `frontend` in the limiter.
    std::uint32_t register_frontend(Frontend& frontend);
    /// The frontend is not called any more.
    void unregister_frontend(std::uint32_t listener_index) { frontends_[listener_index] = nullptr; }

    /// Acquires a descriptor for a new connection. Empty: the connection has to wait in the backlog;
    /// Frontend::resume_accepting() is called later.
    connection_admission::FileDescriptorBudget::Lease acquire_descriptor();
    /// Asks the limiter for a connection slot and evicts the connection that held it, if any.
    connection_admission::ConnectionLimiter::ConnectionDecision admit(
        std::uint32_t listener_index, base::SlotId session_id, const connection_admission::IpAddress& ip);
    /// Logs the rejection of a request if `decision` says so.
    void on_request_rejected(const connection_admission::ConnectionLimiter::RequestDecision& decision,
                             connection_admission::ConnectionSlotId slot);
    /// To be called when the system had no descriptor for a new connection. `accept_error`: libuv's error code.
    void on_descriptors_exhausted(int accept_error);

    /// Applies new settings. Open connections stay open.
    void reload(connection_admission::Settings settings);
    /// Logs the use of connections and descriptors and the `max_sources` sources that were rejected most.
    void log_report(std::size_t max_sources);

    /// The connection limiter.
    connection_admission::ConnectionLimiter& limiter() { return limiter_; }
    /// The file descriptor budget of the process.
    connection_admission::FileDescriptorBudget& descriptors() { return descriptors_; }

private:
    /// Evicts the connection that the limiter selects. Returns false if there is none.
    bool evict_connection();
    /// At `due_at`, makes every frontend accept from its backlog again.
    void schedule_backlog_retry(base::Timestamp due_at);
    void evict(const connection_admission::ConnectionLimiter::ConnectionRef& connection);
    void log_rejection(connection_admission::RejectionReason reason,
                       const connection_admission::IpAddress& ip);
    void log_connections() const;
    void log_descriptors() const;
    void log_sources(std::size_t max_sources) const;

    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    connection_admission::FileDescriptorBudget& descriptors_;
    connection_admission::ConnectionLimiter limiter_;
    std::vector<Frontend*> frontends_;
    base::TimerHandle backlog_retry_;
    /// Whether a connection may be waiting in a backlog for a descriptor.
    bool is_backlog_waiting_ = false;
    std::uint64_t rejections_logged_ = 0;
    base::LogRateLimiter exhaustion_log_limiter_;
};

}  // namespace cressledge::frontend
