/// A request between its submission and its release.
#pragma once

#include <cstdint>
#include <string>

#include "base/timer_queue.hpp"
#include "request/incoming_request.hpp"

namespace cressledge::request {

/// Where an open request stands.
enum class RequestState {
    /// Submitted, and not running: it never ran, or its run was discarded.
    queued,
    running,
    /// Its run is paused and can be resumed.
    suspended,
    /// Its run waits until the controller decides on a dependency call.
    awaiting_call_decision,
    /// Its run waits for the reply to a dependency call.
    awaiting_call_reply,
    /// It waits for the result of the request that it repeats.
    awaiting_shared_result,
    /// Its run has ended; it stays open until the controller has been told.
    finished
};

/// Everything the request manager knows of one open request.
struct OpenRequest {
    IncomingRequest incoming;
    Responder* responder = nullptr;
    std::uint64_t ticket = 0;
    /// The settings generation that it came in with, and keeps.
    std::uint64_t generation = 0;
    RequestState state = RequestState::queued;

    /// A response has been given, or the caller no longer waits for one.
    bool answered = false;
    /// A run was started or shared: from then on it must not be rejected, and must not run again unless it is a read.
    bool has_run = false;
    /// Its own run or dependency call failed.
    bool has_failed = false;
    /// The dependency may have carried out its last call: only a read may repeat it.
    bool call_may_have_effect = false;
    /// The executor was asked to suspend the run.
    bool suspend_requested = false;

    Timestamp deadline{0};
    /// The dependency call of its run: id, payload, start, and the timer that ends it.
    std::uint64_t call_id = 0;
    std::string call_body;
    Timestamp called_at{0};
    base::TimerHandle call_timer;

    /// Whether neither the executor nor the dependency is at work on it, so that it can be released at once.
    bool is_waiting() const {
        return state == RequestState::queued || state == RequestState::suspended ||
               state == RequestState::awaiting_shared_result;
    }
};

}  // namespace cressledge::request
