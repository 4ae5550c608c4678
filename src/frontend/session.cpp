// Input, requests and responses of a session. session_shutdown.cpp closes it.
#include "frontend/session.hpp"

#include <utility>

#include "frontend/frontend.hpp"

namespace cressledge::frontend {
namespace {

/// Input that is buffered while a request is in flight. Beyond it, reading is paused.
constexpr std::size_t max_pending_input_bytes = 16U << 10U;
/// Requests of one connection that are parsed in one turn of the loop, so that a peer that pipelines them does not delay
/// others.
constexpr std::size_t max_requests_per_turn = 16;
/// While reading is paused, a close by the peer is noticed within this time.
constexpr base::Duration peer_check_interval{50'000};

}  // namespace

void Session::on_bytes(std::string_view bytes) {
    if (!lifecycle_.accepts_requests())
        return discard(bytes.size());
    pending_input_.append(bytes);
    const bool is_in_flight = phase_ == RequestPhase::in_flight;
    // Bounds the memory used by a peer that pipelines requests without reading the responses.
    if (is_in_flight && pending_input_.size() > max_pending_input_bytes) {
        pause_reading();
        schedule_peer_check();
    }
    process_input();
}

void Session::process_input() {
    if (is_processing_input_ || has_unparsed_requests() || !can_parse())
        return;
    parse_pending_input(max_requests_per_turn);
    if (!can_parse())
        return;
    if (!pending_input_.empty())
        return continue_on_next_turn();
    resume_reading();
    if (has_partial_request() && phase_ != RequestPhase::receiving) {
        const bool is_admitted = admission_ == AdmissionState::admitted;
        start_request_timer(frontend_.request_manager_.now() +
                            (is_admitted ? frontend_.limits_.request_timeout : rejected_request_timeout));
        frontend_.admitter_.limiter().on_first_byte(frontend_.request_manager_.now(), connection_slot_);
    }
}

bool Session::can_parse() const {
    return phase_ != RequestPhase::in_flight && lifecycle_.accepts_requests();
}

void Session::parse_pending_input(std::size_t max_requests) {
    is_processing_input_ = true;
    const std::string input = std::exchange(pending_input_, {});
    std::size_t offset = 0;
    for (std::size_t parsed = 0; parsed < max_requests && offset < input.size() && can_parse(); ++parsed)
        offset += parse(std::string_view(input).substr(offset));
    if (offset < input.size() && lifecycle_.accepts_requests())
        pending_input_.insert(0, input, offset);
    is_processing_input_ = false;
}

void Session::resume_reading() {
    if (!std::exchange(is_reading_paused_, false))
        return;
    stream_->set_reading_paused(false);
}

void Session::pause_reading() {
    if (std::exchange(is_reading_paused_, true))
        return;
    stream_->set_reading_paused(true);
}

// Other connections get their turn before the rest of the input is parsed.
void Session::continue_on_next_turn() {
    pause_reading();
    continuation_ = frontend_.timers_.schedule(base::Timestamp(0), [this] { process_input(); });
}

// Keeps peers that send nothing, or never complete a request, from filling the connection table.
void Session::start_request_timer(base::Timestamp deadline) {
    phase_ = RequestPhase::receiving;
    phase_timer_ = frontend_.timers_.schedule(deadline, [this] { on_request_timeout(); });
}

void Session::on_request_timeout() {
    // The rest of the request may be unread in the socket because this process is slow.
    if (read_pending() || phase_timer_.is_scheduled())
        return;
    ++frontend_.closed_connections_.request_timeouts;
    if (!expects_request())
        return start_lingering();
    respond_directly(format_timeout_response(), true);
}

bool Session::try_admit_request() {
    phase_ = RequestPhase::in_flight;
    phase_timer_.cancel();
    auto& limiter = frontend_.admitter_.limiter();
    if (admission_ == AdmissionState::evicted) {
        retry_after_ = limiter.settings().max_retry_after;
        return false;
    }
    const auto decision = limiter.admit_request(frontend_.request_manager_.now(), connection_slot_);
    if (decision.admitted)
        return true;
    frontend_.admitter_.on_request_rejected(decision, connection_slot_);
    retry_after_ = decision.retry_after;
    return false;
}

// The event loop reports a close only once all bytes before it have been read.
void Session::schedule_peer_check() {
    if (peer_check_.is_scheduled())
        return;
    peer_check_ = frontend_.timers_.schedule(frontend_.request_manager_.now() + peer_check_interval, [this] {
        if (stream_ == nullptr || !is_reading_paused_)
            return;
        if (!stream_->has_peer_closed())
            return schedule_peer_check();
        abandon();
    });
}

// Ends a connection whose peer has left, and the request in flight on it. Unparsed requests are not run.
void Session::abandon() {
    ++frontend_.closed_connections_.abandoned;
    std::exchange(stream_, nullptr)->close();
    on_end(false);
}

void Session::submit(request::IncomingRequest incoming) {
    if (stream_ != nullptr && stream_->has_peer_closed())
        return abandon();
    if (!try_admit_request())
        return frontend_.request_manager_.reject_before_admission(frontend_, id_, retry_after_,
                                                                  incoming.class_index);
    const request::RequestId request_id =
        frontend_.request_manager_.submit(std::move(incoming), frontend_, id_);
    // The response may have been sent before submit() returned.
    if (phase_ == RequestPhase::in_flight)
        request_id_ = request_id;
}

void Session::check_health(bool deep) {
    if (!try_admit_request())
        return send_health_response(false);
    frontend_.request_manager_.check_health(deep, [frontend = &frontend_, id = id_](bool is_healthy) {
        if (Session* session = frontend->sessions_.find(id); session != nullptr)
            session->send_health_response(is_healthy);
    });
}

void Session::send_health_response(bool is_healthy) {
    if (phase_ != RequestPhase::in_flight)
        return;
    const bool close = should_close_after_response();
    finish_request(format_health_response(is_healthy, close), close);
}

void Session::send_response(const request::Response& response) {
    if (phase_ != RequestPhase::in_flight)
        return;
    const bool close = should_close_after_response();
    finish_request(format_response(response, close), close);
}

void Session::reject_malformed(const std::string& bytes, bool close) {
    ++frontend_.closed_connections_.malformed_requests;
    respond_directly(bytes, close);
}

void Session::respond_directly(const std::string& bytes, bool close) {
    phase_timer_.cancel();
    finish_request(bytes, close);
}

// Once new connections are left to a successor, a caller has to open one, which reaches the successor.
bool Session::should_close_after_response() const {
    return !keep_alive() || lifecycle_.announces_close() || frontend_.draining_ || frontend_.is_yielding_ ||
           admission_ != AdmissionState::admitted;
}

void Session::send_interim(std::string_view bytes) {
    if (stream_ != nullptr)
        stream_->write(bytes);
}

void Session::finish_request(const std::string& bytes, bool close) {
    phase_ = RequestPhase::none;
    request_id_ = 0;
    if (stream_ == nullptr)
        return;
    if (!stream_->write(bytes)) {
        ++frontend_.closed_connections_.unread_responses;
        return close_and_remove();
    }
    close = close || admission_ != AdmissionState::admitted;
    frontend_.admitter_.limiter().on_response_sent(frontend_.request_manager_.now(), connection_slot_,
                                                   !close);
    if (close)
        return start_lingering();
    start_idle_timer();
    process_input();
}

}  // namespace cressledge::frontend
