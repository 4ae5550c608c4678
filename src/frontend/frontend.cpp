#include "frontend/frontend.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cressledge::frontend {
namespace {

constexpr std::size_t max_pending_input_bytes = 16U << 10U;  // of what a peer sends ahead of its turn
constexpr std::size_t max_discarded_bytes =
    1U << 20U;  // read out after a last answer, so that it is not reset away
constexpr base::Duration linger_timeout{1'000'000};  // for a peer to read a last answer and close
constexpr base::Duration rejected_request_timeout{
    500'000};  // for the request of somebody who has been turned away already
constexpr std::size_t max_accepts_per_turn =
    64;  // connections in one turn of the loop; the rest wait in the backlog
constexpr std::size_t max_accepts_at_close =
    1024;  // taken out of the backlog before the listening socket is closed

}  // namespace

// ---- Session ----

void Session::on_bytes(std::string_view bytes) {
    if (!lifecycle_
             .accepts_requests()) {  // the write side is shut: what still comes is dropped, never run or sent on
        discarded_bytes_ += bytes.size();
        // Guards the processor against a peer that goes on sending: what has not read its answer now may lose it.
        if (discarded_bytes_ > max_discarded_bytes) {
            ++frontend_.closed_connections_.excess_input;
            close_and_remove();
        }
        return;
    }
    pending_input_.append(bytes);
    if (request_in_flight_ && pending_input_.size() > max_pending_input_bytes && !reading_paused_) {
        // Guards memory against a peer that sends on and on ahead of its answers.
        reading_paused_ = true;
        stream_->set_reading_paused(true);
    }
    process_input();
}

void Session::process_input() {
    if (processing_input_)
        return;
    processing_input_ = true;
    while (!request_in_flight_ && lifecycle_.accepts_requests() && !pending_input_.empty()) {
        const std::string input = std::exchange(pending_input_, {});
        const std::size_t consumed = parse(input);
        if (consumed < input.size())
            pending_input_.insert(0, input, consumed);
    }
    processing_input_ = false;
    if (request_in_flight_ || !lifecycle_.accepts_requests())
        return;
    if (reading_paused_) {
        reading_paused_ = false;
        stream_->set_reading_paused(false);
    }
    if (has_partial_request() && !request_timer_active_) {
        start_request_timer(frontend_.server_.now() +
                            (rejected_ ? rejected_request_timeout : frontend_.limits_.request_timeout));
        frontend_.admitter_.limiter().on_first_byte(frontend_.server_.now(), connection_slot_);
        idle_ = false;
    }
}

// Guards the table against peers that say nothing, or begin a request and never end it.
void Session::start_request_timer(base::Timestamp when) {
    frontend_.timers_.cancel(deadline_);
    request_timer_active_ = true;
    deadline_ = frontend_.timers_.schedule(when, [this] {
        deadline_ = 0;
        on_request_timeout();
    });
}

// Before it is ended: what the other side had sent by now is still its request. True: there is one in hand, or it has
// ended by that.
bool Session::read_pending() {
    if (stream_ != nullptr)
        stream_->read_pending();
    return stream_ == nullptr || request_in_flight_ || !lifecycle_.accepts_requests();
}

void Session::on_request_timeout() {
    // Its last bytes may lie in the socket, where this process has been too slow for them.
    if (read_pending() || deadline_ != 0)
        return;
    ++frontend_.closed_connections_.request_timeouts;
    if (!expects_request())
        return start_lingering();  // nobody has asked anything
    respond_directly(format_timeout_response(), true);
}

// The request is whole. In hand, it has a place until its answer has gone out.
bool Session::try_admit_request() {
    request_in_flight_ = true;
    idle_ = request_timer_active_ = false;
    frontend_.timers_.cancel(deadline_);
    if (evicted_) {
        retry_after_ = frontend_.admitter_.limiter().settings().max_retry_after;
        return false;
    }
    const auto decision =
        frontend_.admitter_.limiter().admit_request(frontend_.server_.now(), connection_slot_);
    if (decision.admitted)
        return true;
    frontend_.admitter_.on_request_rejected(decision, connection_slot_);
    retry_after_ = decision.retry_after;
    return false;
}

void Session::submit(request::IncomingRequest arrival) {
    if (!try_admit_request())
        return frontend_.server_.reject_before_admission(frontend_, id_, retry_after_, arrival.class_index);
    const request::RequestId request_id = frontend_.server_.submit(std::move(arrival), frontend_, id_);
    if (request_in_flight_)
        request_id_ = request_id;
}

void Session::check_health(bool deep) {
    if (!try_admit_request())
        return send_health_response(false);
    frontend_.server_.check_health(deep, [front = &frontend_, no = id_](bool good) {
        if (Session* s = front->sessions_.find(no); s != nullptr)
            s->send_health_response(good);
    });
}
void Session::send_health_response(bool is_healthy) {
    if (!request_in_flight_)
        return;
    const bool close = should_close();
    finish_request(format_health_response(is_healthy, close), close);
}

void Session::send_response(const request::Response& answer) {
    if (!request_in_flight_)
        return;
    const bool close = should_close();
    finish_request(format_response(answer, close), close);
}

void Session::reject_malformed(const std::string& bytes, bool close) {
    ++frontend_.closed_connections_.malformed_requests;
    respond_directly(bytes, close);
}

void Session::respond_directly(const std::string& bytes, bool close) {
    frontend_.timers_.cancel(deadline_);
    request_timer_active_ = false;
    finish_request(bytes, close);
}

// Once the socket is handed over, a caller's next request goes to the next process by a new connection.
bool Session::should_close() const {
    return !keep_alive() || lifecycle_.announces_close() || frontend_.draining_ || frontend_.handing_over_ ||
           rejected_;
}

void Session::send_interim(std::string_view bytes) {
    if (stream_ != nullptr)
        stream_->write(bytes);
}

void Session::finish_request(const std::string& bytes, bool close) {
    request_in_flight_ = false;
    request_id_ = 0;
    if (stream_ == nullptr)
        return;
    if (!stream_->write(bytes)) {
        ++frontend_.closed_connections_.unread_responses;
        return close_and_remove();
    }
    close = close || rejected_;
    frontend_.admitter_.limiter().on_response_sent(frontend_.server_.now(), connection_slot_, !close);
    idle_ = false;
    if (close)
        return start_lingering();
    start_idle_timer();
    process_input();
}

// Closing outright while bytes come in would reset the connection under the answer.
void Session::start_lingering() {
    if (!lifecycle_.linger())
        return;
    frontend_.timers_.cancel(deadline_);
    request_timer_active_ = idle_ = false;
    std::string().swap(pending_input_);
    stream_->shut_down_writes();
    if (reading_paused_)
        stream_->set_reading_paused(false);
    deadline_ = frontend_.timers_.schedule(frontend_.server_.now() + linger_timeout, [this] {
        deadline_ = 0;
        close_and_remove();
    });
}

void Session::start_drain() {
    if (!lifecycle_.drain() || request_in_flight_ || read_pending() || has_partial_request())
        return;
    frontend_.admitter_.limiter().on_response_sent(frontend_.server_.now(), connection_slot_, false);
    start_lingering();
}

// What it had sent by now never ran and is told so; otherwise its descriptor is free at once.
void Session::evict() {
    ++frontend_.closed_connections_.evicted;
    evicted_ = rejected_ = true;
    const bool awaits_request = lifecycle_.accepts_requests() && !request_in_flight_;
    if (awaits_request && read_pending() && lifecycle_.is_lingering())
        return;
    close_and_remove();
}

void Session::start_idle_timer() {
    frontend_.timers_.cancel(deadline_);
    if (!std::exchange(idle_, true))
        idle_since_ = frontend_.server_.now();
    const base::Duration requested = frontend_.idle_limit_, configured = frontend_.limits_.idle_timeout;
    const base::Duration idle_timeout =
        requested <= base::Duration(0) || (configured > base::Duration(0) && configured < requested)
            ? configured
            : requested;
    if (idle_timeout <= base::Duration(0))
        return;
    deadline_ = frontend_.timers_.schedule(idle_since_ + idle_timeout, [this] {
        deadline_ = 0;
        // A request may have come in this very instant: then it does not rest.
        if (read_pending() || deadline_ != 0)
            return;
        ++frontend_.closed_connections_.idle_timeouts;
        frontend_.admitter_.limiter().on_response_sent(frontend_.server_.now(), connection_slot_, false);
        start_lingering();
    });
}

bool Session::on_eof() {
    if (lifecycle_.is_lingering())
        return stream_->has_unwritten_bytes();  // it may read on: the deadline ends it
    if (request_in_flight_ || !lifecycle_.accepts_requests() || !has_partial_request())
        return false;
    ++frontend_.closed_connections_.truncated_requests;
    const std::string response = format_truncated_response();
    if (response.empty())
        return false;
    respond_directly(response, true);
    return true;
}

void Session::on_end(bool) {
    stream_ = nullptr;
    const request::RequestId request = std::exchange(request_id_, 0);
    request_in_flight_ = false;
    if (request != 0)
        frontend_.server_.cancel(request);
    close_and_remove();
}

void Session::close_and_remove() {
    frontend_.admitter_.limiter().release_connection(connection_slot_);
    frontend_.timers_.cancel(deadline_);
    lifecycle_.close();
    if (stream_ != nullptr)
        std::exchange(stream_, nullptr)->close();
    // Its own code may still be on the stack: the slot is freed on the next turn.
    deadline_ = frontend_.timers_.schedule(base::Timestamp(0),
                                           [front = &frontend_, no = id_] { front->remove_session(no); });
}

// ---- Front ----

Frontend::Frontend(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
                   ConnectionAdmitter& admitter, const net::ListenEndpoint& listening, const Limits& limits,
                   SessionFactory make_session)
    : loop_(loop),
      timers_(timers),
      server_(server),
      limits_(limits),
      make_session_(std::move(make_session)),
      admitter_(admitter),
      listener_index_(admitter.register_frontend(*this)),
      socket_inherited_(listening.inherited_fd >= 0),
      listener_(loop.uv(), listening, [this] { accept_pending(); }) {
    listener_lease_ =
        admitter_.descriptors().try_acquire(server_.now(), connection_admission::DescriptorPurpose::listener);
}

Frontend::~Frontend() {
    admitter_.unregister_frontend(listener_index_);
    for (const base::SlotId no : sessions_.ids()) {
        Session* s = sessions_.find(no);
        timers_.cancel(s->deadline_);
        if (s->stream_ != nullptr)
            s->stream_->close();
    }
}

void Frontend::accept_pending() {
    // Guards those that are served against a storm of connections: their turn comes after so many.
    for (std::size_t n = 0; n < max_accepts_per_turn && !draining_; ++n) {
        auto lease = admitter_.acquire_descriptor();
        if (!lease)
            return listener_.set_paused(true);  // what waits in the backlog has lost nothing
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
    Session* session = owned_session.get();
    const base::SlotId session_id = sessions_.add(std::move(owned_session));
    session->id_ = session_id;
    int accept_error = 0;
    session->stream_ = net::Stream::accept(listener_, *session, std::move(lease), &accept_error);
    if (session->stream_ == nullptr) {
        sessions_.erase(session_id);
        if (accept_error == UV_EMFILE || accept_error == UV_ENFILE)
            admitter_.on_descriptors_exhausted(accept_error);
        return accept_error != UV_EAGAIN;
    }
    const auto admission =
        admitter_.admit(listener_index_, session_id, session->stream_->peer_address().ip());
    session->connection_slot_ = admission.slot_id;
    if (admission.slot_id == 0) {
        // It hears at once that it has to go elsewhere, with an answer if its request came along. Not lingered for: others
        // wait for the descriptor.
        session->evict();
        if (session->stream_ != nullptr)
            session->close_and_remove();
        return true;
    }
    session->rejected_ = admission.rejected;
    session->start_request_timer(server_.now() +
                                 (admission.rejected ? rejected_request_timeout : limits_.request_timeout));
    if (draining_)
        session->start_drain();
    return true;
}

void Frontend::remove_session(base::SlotId session_id) {
    sessions_.erase(session_id);
}

void Frontend::evict(std::uint64_t session_id) {
    if (Session* s = sessions_.find(session_id); s != nullptr)
        s->evict();
}

void Frontend::respond(std::uint64_t ticket, const request::Response& answer) {
    if (Session* s = sessions_.find(ticket); s != nullptr)
        s->send_response(answer);
}

void Frontend::set_idle_limit(base::Duration limit) {
    idle_limit_ = limit;
    for (const base::SlotId no : sessions_.ids()) {
        Session* session = sessions_.find(no);
        if (!session->request_in_flight_ && session->lifecycle_.accepts_requests() &&
            !session->request_timer_active_)
            session->start_idle_timer();
    }
}

void Frontend::start_handover() {
    if (!socket_inherited_ || draining_)
        return;
    handing_over_ = true;
    stop_listening();
}

void Frontend::start_drain() {
    if (draining_)
        return;
    draining_ = true;
    for (const base::SlotId no : sessions_.ids())
        if (Session* s = sessions_.find(no); s != nullptr)
            s->start_drain();
    drain_backlog(false);
}

// Who is in the backlog has been accepted by the system, with a request perhaps: closing the socket would reset him.
void Frontend::drain_backlog(bool is_final_attempt) {
    if (!listening_)
        return;
    bool backlog_waiting = true, descriptors_exhausted = false;
    for (std::size_t n = 0; n < max_accepts_at_close && backlog_waiting && !descriptors_exhausted; ++n) {
        auto lease = admitter_.acquire_descriptor();
        descriptors_exhausted = !lease;
        if (lease)
            backlog_waiting = accept_connection(std::move(lease));
    }
    if (descriptors_exhausted && !is_final_attempt)
        return listener_.set_paused(true);  // some are given back as others end
    stop_listening();
}

void Frontend::stop_listening() {
    listening_ = false;
    listener_.close();
    listener_lease_.release();
}

void Frontend::close_incomplete_requests() {
    for (const base::SlotId no : sessions_.ids())
        if (Session* s = sessions_.find(no); s != nullptr && !s->request_in_flight_ &&
                                             s->stream_ != nullptr && s->lifecycle_.accepts_requests()) {
            ++closed_connections_.incomplete_at_shutdown;
            s->start_lingering();
        }
}

bool Frontend::has_unfinished_responses() {
    const auto session_ids = sessions_.ids();
    return listening_ || std::any_of(session_ids.begin(), session_ids.end(), [this](base::SlotId no) {
               const Session* s = sessions_.find(no);
               return s != nullptr && (s->request_in_flight_ || s->lifecycle_.is_lingering());
           });
}

}  // namespace cressledge::frontend
