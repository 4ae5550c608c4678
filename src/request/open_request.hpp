/// The state of a request between its submission and its release.
#pragma once

#include <cstdint>
#include <string>

#include "base/timer_queue.hpp"
#include "request/incoming_request.hpp"

namespace cressledge::request {

/// The lifecycle state of an open request.
enum class RequestState {
    /// Not running: either it never ran, or its run was discarded.
    queued,
    running,
    /// The run is paused and can be resumed.
    suspended,
    /// The run waits for the admission controller's decision on a dependency call.
    awaiting_call_decision,
    /// The run waits for the reply to a dependency call.
    awaiting_call_reply,
    /// The request waits for the result of the request that it repeats.
    awaiting_shared_result,
    /// The run has ended. The request stays open until the admission controller has handled that event.
    finished
};

/// The request manager's record of an open request.
struct OpenRequest {
    IncomingRequest incoming;
    Responder* responder = nullptr;
    std::uint64_t ticket = 0;
    /// Serial number of the settings generation under which the request was submitted. Does not change.
    std::uint64_t generation = 0;
    RequestState state = RequestState::queued;

    /// Whether a response was sent or the caller no longer waits for one.
    bool answered = false;
    /// Whether a run was started for the request or shared by it. Such a request must not be rejected, and must not run
    /// again unless it is a read.
    bool has_run = false;
    /// Whether its run, the run it shares or its dependency call failed.
    bool has_failed = false;
    /// Whether the last dependency call may have taken effect. If so, only a read may repeat it.
    bool call_may_have_effect = false;
    /// Whether the executor was asked to suspend the run.
    bool suspend_requested = false;

    Timestamp deadline{0};
    /// The dependency call of the run: its id, payload, start time and timeout.
    std::uint64_t call_id = 0;
    std::string call_body;
    Timestamp call_started_at{0};
    base::TimerHandle call_timer;

    /// Whether neither the executor nor the dependency is processing the request, so that it can be released at once.
    bool is_releasable() const {
        return state == RequestState::queued || state == RequestState::suspended ||
               state == RequestState::awaiting_shared_result;
    }
};

}  // namespace cressledge::request
