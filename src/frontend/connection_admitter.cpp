#include "frontend/connection_admitter.hpp"

#include <spdlog/spdlog.h>
#include <uv.h>

#include <string>
#include <utility>

#include "frontend/frontend.hpp"

namespace cressledge::frontend {

using connection_admission::DescriptorPurpose;

namespace {

constexpr base::Duration backlog_retry_interval{50'000};

}  // namespace

ConnectionAdmitter::ConnectionAdmitter(base::TimerQueue& timers, request::RequestManager& server,
                                       connection_admission::FileDescriptorBudget& descriptors,
                                       connection_admission::Settings settings, std::uint64_t seed)
    : timers_(timers), server_(server), descriptors_(descriptors), limiter_(std::move(settings), seed) {
    descriptors_.on_exhausted([this] { return shed_idle_connection(); });
    descriptors_.on_released([this] {
        if (backlog_waiting_)
            schedule_backlog_retry(base::Timestamp(0));
    });
}

ConnectionAdmitter::~ConnectionAdmitter() {
    timers_.cancel(backlog_retry_);
    descriptors_.on_exhausted({});
    descriptors_.on_released({});
}

std::uint32_t ConnectionAdmitter::register_frontend(Frontend& frontend) {
    frontends_.push_back(&frontend);
    return static_cast<std::uint32_t>(frontends_.size() - 1);
}

void ConnectionAdmitter::evict(const connection_admission::ConnectionLimiter::ConnectionRef& connection) {
    if (Frontend* f = frontends_[connection.listener_index]; f != nullptr)
        f->evict(connection.connection_id);
}

bool ConnectionAdmitter::shed_idle_connection() {
    const auto connection = limiter_.evict_connection(server_.now());
    if (connection)
        evict(*connection);
    return connection.has_value();
}

connection_admission::FileDescriptorBudget::Lease ConnectionAdmitter::acquire_descriptor() {
    const base::Timestamp now = server_.now();
    auto lease = descriptors_.try_acquire(now, DescriptorPurpose::frontend);
    if (!lease && shed_idle_connection())
        lease = descriptors_.try_acquire(now, DescriptorPurpose::frontend);
    if (lease)
        return lease;
    // One of ours that is given back wakes it sooner. One that the system had refused comes back unsaid.
    backlog_waiting_ = true;
    if (backlog_retry_ == 0)
        schedule_backlog_retry(now + backlog_retry_interval);
    std::uint64_t suppressed = 0;
    if (exhaustion_log_limiter_.try_acquire(now, suppressed))
        spdlog::warn("admission: descriptors short, {} of {} in use: new connections wait; {} more like it",
                     descriptors_.used(), descriptors_.limit(), suppressed);
    return lease;
}

void ConnectionAdmitter::schedule_backlog_retry(base::Timestamp when) {
    timers_.cancel(backlog_retry_);
    backlog_retry_ = timers_.schedule(when, [this] {
        backlog_retry_ = 0;
        backlog_waiting_ = false;
        for (Frontend* f : frontends_)
            if (f != nullptr)
                f->resume_accepting();
    });
}

connection_admission::ConnectionLimiter::ConnectionDecision ConnectionAdmitter::admit(
    std::uint32_t listener_index, base::SlotId session_id, const connection_admission::IpAddress& ip) {
    const auto admission = limiter_.admit_connection(server_.now(), ip, listener_index, session_id);
    if (admission.evicted)
        evict(*admission.evicted);
    if (admission.rejected && admission.should_log)
        log_rejection(admission.reason, ip);
    return admission;
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
    for (const std::uint64_t n : limiter_.rejections())
        total_rejections += n;
    spdlog::info("admission: refused {}: {}; {} refusals since the last line", ip.to_string(),
                 to_string(reason), total_rejections - std::exchange(rejections_logged_, total_rejections));
}

void ConnectionAdmitter::on_descriptors_exhausted(int accept_error) {
    descriptors_.on_system_exhausted(server_.now());
    std::uint64_t suppressed = 0;
    if (exhaustion_log_limiter_.try_acquire(server_.now(), suppressed))
        spdlog::warn(
            "admission: the system had no descriptor for a new connection ({}): it waits; {} more like it",
            uv_strerror(accept_error), suppressed);
}

void ConnectionAdmitter::reload(connection_admission::Settings settings) {
    limiter_.reconfigure(server_.now(), std::move(settings));
    schedule_backlog_retry(base::Timestamp(0));
}

void ConnectionAdmitter::log_report(std::size_t max_sources) {
    const auto tally = [](const auto& counts) {
        std::string text;
        for (std::size_t r = 0; r < connection_admission::rejection_reason_count; ++r)
            if (counts[r] != 0)
                text += std::string(" ") + to_string(static_cast<connection_admission::RejectionReason>(r)) +
                        ' ' + std::to_string(counts[r]);
        return text.empty() ? std::string(" none") : text;
    };
    const connection_admission::Settings& settings = limiter_.settings();
    spdlog::info(
        "admission: {} of {} connections, {} in the lobby, {} requests in hand outside the reserves, "
        "{} sources known, {} connections let go, refused:{}",
        limiter_.open_connections(), settings.max_connections, limiter_.rejection_slots_in_use(),
        limiter_.shared_in_flight_requests(), limiter_.tracked_source_count(), limiter_.evicted_connections(),
        tally(limiter_.rejections()));
    for (std::size_t g = 1; g <= settings.groups.size(); ++g)
        spdlog::info("admission: group {}: {} of {} reserved connections, {} of {} reserved requests",
                     settings.groups[g - 1].name, limiter_.group_usage(g).open_connections,
                     settings.groups[g - 1].reserved_connections, limiter_.group_usage(g).in_flight_requests,
                     settings.groups[g - 1].reserved_requests);
    std::string purpose_usage;
    for (std::size_t p = 0; p < connection_admission::descriptor_purpose_count; ++p) {
        const auto purpose = static_cast<DescriptorPurpose>(p);
        purpose_usage += std::string(p == 0 ? "" : ", ") + to_string(purpose) + ' ' +
                         std::to_string(descriptors_.used(purpose)) + " (" +
                         std::to_string(descriptors_.denied(purpose)) + " denied)";
    }
    spdlog::info(
        "admission: {} of {} descriptors: {}; {} connections closed for one, {} refused by the system",
        descriptors_.used(), descriptors_.limit(), purpose_usage, descriptors_.evicted_connections(),
        descriptors_.system_exhaustions());
    for (const auto& row : limiter_.top_rejected_sources(max_sources))
        spdlog::info("admission: source {}{}: open {}, in hand {}, let go {}, refused:{}", row.source,
                     row.group.empty() ? "" : " of " + row.group, row.open_connections,
                     row.in_flight_requests, row.evicted_connections, tally(row.rejections));
    spdlog::info("admission: sources not known any more: refused:{}",
                 tally(limiter_.rejections_of_evicted_sources()));
}

}  // namespace cressledge::frontend
