/// The interface to the component that runs requests: the platform's engine or the upstream hosts of an inventory.
#pragma once

#include <cstdint>
#include <string_view>

#include "request/incoming_request.hpp"

namespace cressledge::request {

/// A request as passed to the executor. The views are valid only until `Executor::run` returns.
struct Work {
    RequestId request_id = 0;
    std::string_view external_id, class_name, body;
    /// Memory that the request uses while it is queued, in kilobytes.
    double reserved_kb = 0.0;
    Timestamp accepted_at{0}, deadline{0};
    /// Requests with the same key may be sent to the same host. Empty if the request has no key.
    std::string_view affinity_key;
};

/// How a run ended.
enum class RunResult {
    succeeded,
    failed,
    /// The run was stopped, by `Executor::suspend` or otherwise.
    killed,
    /// The run did not start, or there was no run to stop.
    noop
};

/// Runs requests. Reports to the `RequestManager` through `run_finished`, `dependency_call_requested`,
/// `gauges_received` and `health_check_finished`, either later or before the function that was called returns.
class Executor {
public:
    virtual ~Executor() = default;

    /// Starts a run.
    virtual void run(const Work& work) = 0;

    /// Requests that a run be stopped. The run ends with `RunResult::killed`, or with its own result if it finishes
    /// first.
    virtual void suspend(RequestId request_id) = 0;

    /// Continues a run that was paused by `suspend`.
    virtual void resume(RequestId request_id) = 0;

    /// Continues a run that waits for its dependency call, with the reply to that call.
    virtual void deliver_call_reply(RequestId request_id, std::string_view reply) = 0;

    /// Continues a run that waits for dependency call `call_id`, without a reply.
    virtual void skip_call(RequestId request_id, std::uint64_t call_id) = 0;

    /// Requests a report through `RequestManager::gauges_received`. Returns false if no gauges are available now.
    virtual bool request_gauges(std::uint64_t query_id) = 0;

    /// Requests a health check, reported through `RequestManager::health_check_finished`. Returns false if no check
    /// can be made now.
    virtual bool request_health_check(std::uint64_t query_id) = 0;

    /// Releases what is held for a request that has ended. Its id is not used again.
    virtual void release(RequestId request_id) = 0;
};

}  // namespace cressledge::request
