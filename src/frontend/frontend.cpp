#include "frontend/frontend.hpp"

#include <uv.h>

#include <algorithm>
#include <utility>

#include "base/log.hpp"

namespace cressledge::frontend {
namespace {

/// Limits the accepts in one turn of the loop, so that a burst of new connections does not delay open ones. Further
/// connections wait in the backlog.
constexpr std::size_t max_accepts_per_turn = 64;
/// Interval of the looks at the backlog of a shared listening socket while a connection waits in it.
constexpr base::Duration backlog_check_interval{10'000};
/// Limits the accepts from the backlog before the listening socket is closed.
constexpr std::size_t max_accepts_at_close = 1024;

}  // namespace

Frontend::Frontend(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& request_manager,
                   ConnectionAdmitter& admitter, const net::ListenEndpoint& endpoint, const Limits& limits,
                   SessionFactory make_session)
    : timers_(timers),
      request_manager_(request_manager),
      limits_(limits),
      make_session_(std::move(make_session)),
      admitter_(admitter),
      listener_index_(admitter.register_frontend(*this)),
      is_socket_inherited_(endpoint.inherited_fd >= 0),
      listener_(loop.uv(), endpoint, [this] { on_connection_waiting(); }) {
    listener_lease_ = admitter_.descriptors().try_acquire(request_manager_.now(),
                                                          connection_admission::DescriptorPurpose::listener);
}

Frontend::~Frontend() {
    admitter_.unregister_frontend(listener_index_);
    for (const base::SlotId session_id : sessions_.ids()) {
        Session* session = sessions_.find(session_id);
        if (session->stream_ != nullptr)
            session->stream_->close();
    }
}

void Frontend::on_connection_waiting() {
    if (!is_yielding_)
        return accept_pending();
    listener_.set_paused(true);
    if (!backlog_check_timer_.is_scheduled())
        check_shared_backlog();
}

void Frontend::check_shared_backlog() {
    if (!is_listening_)
        return;
    const bool was_unclaimed = unclaimed_backlog_.has_found_unclaimed();
    const bool is_unclaimed = unclaimed_backlog_.observe(listener_.has_waiting_connection());
    if (unclaimed_backlog_.is_undecided()) {
        backlog_check_timer_ = timers_.schedule(request_manager_.now() + backlog_check_interval,
                                                [this] { check_shared_backlog(); });
        return;
    }
    listener_.set_paused(false);
    if (!is_unclaimed)
        return;
    if (!was_unclaimed)
        base::log_info("frontend: connections accepted that no successor accepts port={}", listener_.port());
    accept_pending();
}

void Frontend::accept_pending() {
    for (std::size_t accepted = 0; accepted < max_accepts_per_turn && !draining_; ++accepted) {
        auto lease = admitter_.acquire_descriptor();
        // The connections are kept in the backlog until a descriptor is available.
        if (!lease)
            return listener_.set_paused(true);
        if (!accept_connection(std::move(lease)))
            return;
    }
}

void Frontend::resume_accepting() {
    if (!draining_)
        listener_.set_paused(false);
}

bool Frontend::accept_connection(connection_admission::FileDescriptorBudget::Lease lease) {
    auto owned_session = make_session_(*this);
    Session& session = *owned_session;
    session.id_ = sessions_.add(std::move(owned_session));
    int accept_error = 0;
    session.stream_ = net::Stream::accept(listener_, session, std::move(lease), &accept_error);
    if (session.stream_ == nullptr) {
        sessions_.erase(session.id_);
        if (accept_error == UV_EMFILE || accept_error == UV_ENFILE)
            admitter_.on_descriptors_exhausted(accept_error);
        return accept_error != UV_EAGAIN;
    }
    admit_connection(session);
    return true;
}

void Frontend::admit_connection(Session& session) {
    const auto decision = admitter_.admit(listener_index_, session.id_, session.stream_->peer_address().ip());
    session.connection_slot_ = decision.slot_id;
    if (decision.slot_id == 0) {
        // A request that has already arrived is rejected. The close does not linger, because other connections wait
        // for the descriptor.
        session.evict();
        if (session.stream_ != nullptr)
            session.close_and_remove();
        return;
    }
    if (decision.rejected)
        session.admission_ = Session::AdmissionState::rejected;
    session.start_request_timer(request_manager_.now() +
                                (decision.rejected ? rejected_request_timeout : limits_.request_timeout));
    if (draining_)
        session.start_drain();
}

void Frontend::remove_session(base::SlotId session_id) {
    sessions_.erase(session_id);
}

void Frontend::evict(std::uint64_t session_id) {
    if (Session* session = sessions_.find(session_id); session != nullptr)
        session->evict();
}

void Frontend::respond(std::uint64_t ticket, const request::Response& response) {
    if (Session* session = sessions_.find(ticket); session != nullptr)
        session->send_response(response);
}

void Frontend::set_idle_limit(base::Duration limit) {
    idle_limit_ = limit;
    for (const base::SlotId session_id : sessions_.ids()) {
        Session* session = sessions_.find(session_id);
        const bool has_request = session->phase_ == Session::RequestPhase::in_flight ||
                                 session->phase_ == Session::RequestPhase::receiving;
        if (!has_request && session->lifecycle_.accepts_requests())
            session->start_idle_timer();
    }
}

void Frontend::yield_to(Successor successor) {
    if (!is_socket_inherited_ || !is_listening_ || successor == Successor::none)
        return;
    is_yielding_ = true;
    if (successor == Successor::present)
        stop_listening("handed over", 0);
}

void Frontend::start_drain() {
    if (draining_)
        return;
    draining_ = true;
    for (const base::SlotId session_id : sessions_.ids())
        if (Session* session = sessions_.find(session_id); session != nullptr)
            session->start_drain();
    drain_backlog(false);
}

// The system has already accepted the connections in the backlog, and they may carry a request. Closing the listening
// socket would reset them.
void Frontend::drain_backlog(bool is_final_attempt) {
    if (!is_listening_)
        return;
    if (is_yielding_ && !unclaimed_backlog_.has_found_unclaimed()) {
        if (unclaimed_backlog_.is_undecided() && !is_final_attempt)
            return;
        return stop_listening("left to a successor", 0);
    }
    bool is_backlog_waiting = true;
    bool are_descriptors_exhausted = false;
    std::size_t accepted = 0;
    while (accepted < max_accepts_at_close && is_backlog_waiting && !are_descriptors_exhausted) {
        auto lease = admitter_.acquire_descriptor();
        are_descriptors_exhausted = !lease;
        if (lease)
            is_backlog_waiting = accept_connection(std::move(lease));
        if (!are_descriptors_exhausted && is_backlog_waiting)
            ++accepted;
    }
    // Descriptors are released when other connections close.
    if (are_descriptors_exhausted && !is_final_attempt)
        return listener_.set_paused(true);
    stop_listening("drained", accepted);
}

void Frontend::stop_listening(const char* reason, std::size_t backlog_accepted) {
    const base::Duration since_notice = request_manager_.now() - request_manager_.shutdown_noticed_at();
    base::log_info(
        "frontend: listening socket closed port={} shared={} reason=\"{}\" backlog_accepted={} "
        "since_notice_ms={}",
        listener_.port(), is_socket_inherited_, reason, backlog_accepted, since_notice.count() / 1000);
    is_listening_ = false;
    backlog_check_timer_.cancel();
    listener_.close();
    listener_lease_.release();
}

void Frontend::close_incomplete_requests() {
    for (const base::SlotId session_id : sessions_.ids()) {
        Session* session = sessions_.find(session_id);
        if (session == nullptr || session->stream_ == nullptr)
            continue;
        if (!session->can_parse() || session->has_unparsed_requests())
            continue;
        ++closed_connections_.incomplete_at_shutdown;
        session->start_lingering();
    }
}

bool Frontend::has_unfinished_responses() {
    if (is_listening_)
        return true;
    const auto session_ids = sessions_.ids();
    return std::any_of(session_ids.begin(), session_ids.end(), [this](base::SlotId session_id) {
        const Session* session = sessions_.find(session_id);
        return session != nullptr && (session->phase_ == Session::RequestPhase::in_flight ||
                                      session->has_unparsed_requests() || session->lifecycle_.is_lingering());
    });
}

}  // namespace cressledge::frontend
