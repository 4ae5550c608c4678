/// The interface to whatever runs requests: the engine of the platform, or hosts of an inventory.
#pragma once

#include <cstdint>
#include <string_view>

#include "request/incoming_request.hpp"

namespace cressledge::request {

/// A request to run. The views are valid during `Executor::run` only.
struct Work {
    RequestId request_id = 0;
    std::string_view external_id, class_name, body;
    /// Memory that the request takes while it is queued.
    double reserved_kb = 0.0;
    Timestamp accepted_at{0}, deadline{0};
    /// What a read is about: requests of one key may be sent to one host. Empty: none.
    std::string_view affinity_key;
};

/// How a run ended.
enum class RunResult {
    succeeded,
    failed,
    /// Stopped, on a `suspend` or otherwise.
    killed,
    /// There was nothing to run or to stop.
    noop
};

/// Runs requests. Reports back to the `RequestManager` (`run_finished`, `dependency_call_requested`, `gauges_received`,
/// `health_check_finished`), later or from within the call.
class Executor {
public:
    virtual ~Executor() = default;

    /// Starts a run.
    virtual void run(const Work& work) = 0;

    /// Asks for a run to be stopped; it ends with `RunResult::killed`, or as it would have ended.
    virtual void suspend(RequestId request_id) = 0;

    /// Goes on with a run that was stopped and had been paused.
    virtual void resume(RequestId request_id) = 0;

    /// Goes on with a run that waits for its dependency call, with the reply to it.
    virtual void deliver_call_reply(RequestId request_id, std::string_view reply) = 0;

    /// Goes on with a run that waits for its dependency call, without a reply.
    virtual void skip_call(RequestId request_id, std::uint64_t call_id) = 0;

    /// Asks for `RequestManager::gauges_received`. False: there are no gauges to be had now.
    virtual bool request_gauges(std::uint64_t query_id) = 0;

    /// Asks for `RequestManager::health_check_finished`. False: no check can be made now.
    virtual bool request_health_check(std::uint64_t query_id) = 0;

    /// The request has ended and its id will not be used again.
    virtual void release(RequestId request_id) = 0;
};

}  // namespace cressledge::request
