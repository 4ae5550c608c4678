#include "frontend/connection_admitter.hpp"

#include <uv.h>

#include <string>
#include <utility>

#include "base/log.hpp"
#include "frontend/frontend.hpp"

namespace cressledge::frontend {

using connection_admission::DescriptorPurpose;

namespace {

/// The system does not notify when a descriptor becomes available, so the backlog is retried at this interval.
constexpr base::Duration backlog_retry_interval{50'000};

/// The non-zero counts as "reason count", separated by ", "; "none" if all are zero.
template <class Counts>
std::string format_rejections(const Counts& counts) {
    std::string text;
    for (std::size_t i = 0; i < connection_admission::rejection_reason_count; ++i) {
        if (counts[i] == 0)
            continue;
        const auto reason = static_cast<connection_admission::RejectionReason>(i);
        text.append(text.empty() ? "" : ", ")
            .append(to_string(reason))
            .append(" ")
            .append(std::to_string(counts[i]));
    }
    return text.empty() ? "none" : text;
}

}  // namespace

ConnectionAdmitter::ConnectionAdmitter(base::TimerQueue& timers, request::RequestManager& request_manager,
                                       connection_admission::FileDescriptorBudget& descriptors,
                                       connection_admission::Settings settings, std::uint64_t seed)
    : timers_(timers),
      request_manager_(request_manager),
      descriptors_(descriptors),
      limiter_(std::move(settings), seed) {
    descriptors_.on_exhausted([this] { return evict_connection(); });
    descriptors_.on_released([this] {
        if (is_backlog_waiting_)
            schedule_backlog_retry(base::Timestamp(0));
    });
}

ConnectionAdmitter::~ConnectionAdmitter() {
    descriptors_.on_exhausted({});
    descriptors_.on_released({});
}

std::uint32_t ConnectionAdmitter::register_frontend(Frontend& frontend) {
    frontends_.push_back(&frontend);
    return static_cast<std::uint32_t>(frontends_.size() - 1);
}

void ConnectionAdmitter::evict(const connection_admission::ConnectionLimiter::ConnectionRef& connection) {
    if (Frontend* frontend = frontends_[connection.listener_index]; frontend != nullptr)
        frontend->evict(connection.connection_id);
}

bool ConnectionAdmitter::evict_connection() {
    const auto connection = limiter_.evict_connection(request_manager_.now());
    if (connection)
        evict(*connection);
    return connection.has_value();
}

connection_admission::FileDescriptorBudget::Lease ConnectionAdmitter::acquire_descriptor() {
    const base::Timestamp now = request_manager_.now();
    auto lease = descriptors_.try_acquire(now, DescriptorPurpose::frontend);
    if (!lease && evict_connection())
        lease = descriptors_.try_acquire(now, DescriptorPurpose::frontend);
    if (lease)
        return lease;
    // The release of a descriptor by this process makes the retry come sooner.
    is_backlog_waiting_ = true;
    if (!backlog_retry_.is_scheduled())
        schedule_backlog_retry(now + backlog_retry_interval);
    std::uint64_t suppressed = 0;
    if (exhaustion_log_limiter_.try_acquire(now, suppressed))
        base::log_warning("admission: file descriptors exhausted used={} limit={} suppressed={}",
                          descriptors_.used(), descriptors_.limit(), suppressed);
    return lease;
}

void ConnectionAdmitter::schedule_backlog_retry(base::Timestamp due_at) {
    backlog_retry_ = timers_.schedule(due_at, [this] {
        is_backlog_waiting_ = false;
        for (Frontend* frontend : frontends_)
            if (frontend != nullptr)
                frontend->resume_accepting();
    });
}

connection_admission::ConnectionLimiter::ConnectionDecision ConnectionAdmitter::admit(
    std::uint32_t listener_index, base::SlotId session_id, const connection_admission::IpAddress& ip) {
    const auto decision = limiter_.admit_connection(request_manager_.now(), ip, listener_index, session_id);
    if (decision.evicted)
        evict(*decision.evicted);
    if (decision.rejected && decision.should_log)
        log_rejection(decision.reason, ip);
    return decision;
}

void ConnectionAdmitter::on_request_rejected(
    const connection_admission::ConnectionLimiter::RequestDecision& decision,
    connection_admission::ConnectionSlotId slot) {
    if (decision.should_log)
        log_rejection(decision.reason, limiter_.address_of(slot));
}

void ConnectionAdmitter::log_rejection(connection_admission::RejectionReason reason,
                                       const connection_admission::IpAddress& ip) {
    std::uint64_t total_rejections = 0;
    for (const std::uint64_t count : limiter_.rejections())
        total_rejections += count;
    base::log_info("admission: rejected source={} reason=\"{}\" rejections={}", ip.to_string(),
                   to_string(reason), total_rejections - std::exchange(rejections_logged_, total_rejections));
}

void ConnectionAdmitter::on_descriptors_exhausted(int accept_error) {
    descriptors_.on_system_exhausted(request_manager_.now());
    std::uint64_t suppressed = 0;
    if (exhaustion_log_limiter_.try_acquire(request_manager_.now(), suppressed))
        base::log_warning("admission: file descriptors exhausted in the system error=\"{}\" suppressed={}",
                          uv_strerror(accept_error), suppressed);
}

void ConnectionAdmitter::reload(connection_admission::Settings settings) {
    limiter_.reconfigure(request_manager_.now(), std::move(settings));
    schedule_backlog_retry(base::Timestamp(0));
}

void ConnectionAdmitter::log_report(std::size_t max_sources) {
    log_connections();
    log_descriptors();
    log_sources(max_sources);
}

void ConnectionAdmitter::log_connections() const {
    const connection_admission::Settings& settings = limiter_.settings();
    base::log_info(
        "admission: report connections={} max_connections={} rejection_slots={} unreserved_in_flight={} "
        "tracked_sources={} evicted={} rejections=\"{}\"",
        limiter_.open_connections(), settings.max_connections, limiter_.rejection_slots_in_use(),
        limiter_.shared_in_flight_requests(), limiter_.tracked_source_count(), limiter_.evicted_connections(),
        format_rejections(limiter_.rejections()));
    // Group 0 is for the sources that are in no configured group.
    for (std::size_t i = 1; i <= settings.groups.size(); ++i) {
        const connection_admission::ClientGroup& group = settings.groups[i - 1];
        const auto usage = limiter_.group_usage(i);
        base::log_info(
            "admission: report group={} connections={} reserved_connections={} in_flight={} "
            "reserved_requests={}",
            group.name, usage.open_connections, group.reserved_connections, usage.in_flight_requests,
            group.reserved_requests);
    }
}

void ConnectionAdmitter::log_descriptors() const {
    std::string usage_by_purpose;
    for (std::size_t i = 0; i < connection_admission::descriptor_purpose_count; ++i) {
        const auto purpose = static_cast<DescriptorPurpose>(i);
        usage_by_purpose.append(i == 0 ? "" : ", ").append(to_string(purpose)).append(" ");
        usage_by_purpose.append(std::to_string(descriptors_.used(purpose))).append(" (");
        usage_by_purpose.append(std::to_string(descriptors_.denied(purpose))).append(" denied)");
    }
    base::log_info(
        "admission: report descriptors={} max_descriptors={} evicted={} system_exhaustions={} "
        "by_purpose=\"{}\"",
        descriptors_.used(), descriptors_.limit(), descriptors_.evicted_connections(),
        descriptors_.system_exhaustions(), usage_by_purpose);
}

void ConnectionAdmitter::log_sources(std::size_t max_sources) const {
    for (const auto& report : limiter_.top_rejected_sources(max_sources)) {
        base::log_info(
            "admission: report source={} group={} connections={} in_flight={} evicted={} rejections=\"{}\"",
            report.source, report.group, report.open_connections, report.in_flight_requests,
            report.evicted_connections, format_rejections(report.rejections));
    }
    base::log_info("admission: report untracked sources rejections=\"{}\"",
                   format_rejections(limiter_.rejections_of_evicted_sources()));
}

}  // namespace cressledge::frontend
