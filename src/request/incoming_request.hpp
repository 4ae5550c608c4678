/// What passes between a frontend and the request manager: a request as it was read, and its one final response.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/slot_map.hpp"

namespace cressledge::request {

using base::Duration;
using base::Timestamp;

/// Names an open request. Never used again once the request has been released; 0 names none.
using RequestId = base::SlotId;

/// A request as a frontend read it.
struct IncomingRequest {
    /// The id by which the caller, the executor and the dependency know the request.
    std::string external_id;
    /// Index into `policy::Settings::classes`.
    std::size_t class_index = 0;
    /// Index into `policy::Settings::tenants`.
    std::size_t tenant_index = policy::unknown_index;
    std::uint64_t caller_id = 0;
    /// The idempotency key, or what the request is about where its class is a read. Empty: none.
    std::string idempotency_key;
    /// Whether the caller marked the request as a retry.
    bool is_retry = false;
    /// How long the caller waits, from `accepted_at`. None: the deadline of the class applies.
    std::optional<Duration> max_wait;
    /// Expected core time of the run; 0: unknown.
    double expected_work_seconds = 0.0;
    /// Rank within the fleet's traffic, 0 (least important) to 1.
    double rank = 0.5;
    /// Memory that the request takes while it is queued.
    double reserved_kb = 0.0;
    /// When the request reached the machine.
    Timestamp accepted_at{0};
    std::string body;
};

/// How a request ended for its caller.
enum class ResponseStatus {
    /// The run succeeded; the response has its result.
    served,
    /// The request never ran.
    rejected,
    /// The run or its dependency call failed, or nobody can tell.
    failed,
    /// The run was too late for its deadline.
    deadline_exceeded,
    /// The request contradicts another one: same external id, or same idempotency key with another payload.
    malformed
};

/// The one final response to a request.
struct Response {
    ResponseStatus status = ResponseStatus::failed;
    /// The result of a served request, unchanged. Valid during `Responder::respond` only.
    std::string_view body;
    /// How long the caller of a rejected request is asked to stay away.
    Duration retry_after{0};
    /// Asks the caller of a rejected request not to try another process either.
    bool do_not_retry = false;
};

/// Takes responses on behalf of callers. Implemented by frontends.
class Responder {
public:
    virtual ~Responder() = default;

    /// Called at most once for each submitted request. `ticket` is the one given to `RequestManager::submit`. May
    /// submit further requests from within.
    virtual void respond(std::uint64_t ticket, const Response& response) = 0;
};

}  // namespace cressledge::request
