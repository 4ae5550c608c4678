/// The I/O beside the connection limiter and the file descriptor budget, over all frontends of a process.
///
/// Closes the connections that they evict, lets the backlog wait for a descriptor and wakes it, and writes the report for
/// operators. It decides nothing. Frontends are destroyed before it.
#pragma once

#include <cstdint>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "connection_admission/connection_limiter.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "request/request_manager.hpp"

namespace cressledge::frontend {

class Frontend;

/// Carries out what connection limiter and descriptor budget decide.
class ConnectionAdmitter {
public:
    /// `settings`: the connection limits of the configuration; `seed`: keeps clients from choosing
    /// addresses that collide in the limiter's tables of sources.
    ConnectionAdmitter(base::TimerQueue& timers, request::RequestManager& server,
                       connection_admission::FileDescriptorBudget& descriptors,
                       connection_admission::Settings settings, std::uint64_t seed);
    ~ConnectionAdmitter();
    ConnectionAdmitter(const ConnectionAdmitter&) = delete;
    ConnectionAdmitter& operator=(const ConnectionAdmitter&) = delete;

    /// Returns the listener index by which the connections of `frontend` are known to the limiter.
    std::uint32_t register_frontend(Frontend& frontend);
    /// From then on nothing is asked of the frontend.
    void unregister_frontend(std::uint32_t listener_index) { frontends_[listener_index] = nullptr; }

    /// A descriptor for a new connection. Empty: it has to wait in the backlog, which is looked at again later.
    connection_admission::FileDescriptorBudget::Lease acquire_descriptor();
    /// Asks the limiter for a slot, and evicts the connection that it is taken from.
    connection_admission::ConnectionLimiter::ConnectionDecision admit(
        std::uint32_t listener_index, base::SlotId session_id, const connection_admission::IpAddress& ip);
    /// Logs the rejection of a request, at the rate that the limiter allows.
    void on_request_rejected(const connection_admission::ConnectionLimiter::RequestDecision& decision,
                             connection_admission::ConnectionSlotId slot);
    /// The system had no descriptor for a new connection, which waits in the backlog. `accept_error`: libuv's code.
    void on_descriptors_exhausted(int accept_error);

    /// Takes new settings. Open connections stay open.
    void reload(connection_admission::Settings settings);
    /// Logs the connection table, the descriptors and the sources that were rejected most.
    void log_report(std::size_t max_sources);

    /// The limiter whose decisions this carries out.
    connection_admission::ConnectionLimiter& limiter() { return limiter_; }
    /// The descriptor budget that the frontends and the limiter draw leases from.
    connection_admission::FileDescriptorBudget& descriptors() { return descriptors_; }

private:
    bool shed_idle_connection();
    /// Has every frontend look at its backlog again.
    void schedule_backlog_retry(base::Timestamp due);
    void evict(const connection_admission::ConnectionLimiter::ConnectionRef& connection);
    void log_rejection(connection_admission::RejectionReason reason,
                       const connection_admission::IpAddress& ip);
    void log_connections() const;
    void log_descriptors() const;
    void log_sources(std::size_t max_sources) const;

    base::TimerQueue& timers_;
    request::RequestManager& server_;
    connection_admission::FileDescriptorBudget& descriptors_;
    connection_admission::ConnectionLimiter limiter_;
    std::vector<Frontend*> frontends_;
    base::TimerHandle backlog_retry_;
    /// A connection waits in a backlog for a descriptor.
    bool is_backlog_waiting_ = false;
    std::uint64_t rejections_logged_ = 0;
    base::LogRateLimiter exhaustion_log_limiter_;
};

}  // namespace cressledge::frontend
