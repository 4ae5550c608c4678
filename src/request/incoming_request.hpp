/// The types passed between a frontend and the request manager: a request as it was read, and its single response.
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

/// Identifies an open request. Not reused after the request has been released. 0 means no request.
using RequestId = base::SlotId;

/// A request as a frontend read it.
struct IncomingRequest {
    /// The id that identifies the request to the caller, the executor and the dependency.
    std::string external_id;
    /// Index into `policy::Settings::classes`.
    std::size_t class_index = 0;
    /// Index into `policy::Settings::tenants`.
    std::size_t tenant_index = policy::unknown_index;
    std::uint64_t caller_id = 0;
    /// The idempotency key, or the lookup key where the class is a read. Empty if the request has no key.
    std::string idempotency_key;
    /// Whether the caller marked the request as a retry.
    bool is_retry = false;
    /// How long the caller waits for a response, from `accepted_at`. If absent, the deadline of the class applies.
    std::optional<Duration> max_wait;
    /// Expected core time of the run, in seconds. 0 if unknown.
    double expected_work_seconds = 0.0;
    /// Importance rank within the traffic of the fleet, from 0 (least important) to 1.
    double rank = 0.5;
    /// Memory that the request uses while it is queued, in kilobytes.
    double reserved_kb = 0.0;
    /// When the request reached the machine.
    Timestamp accepted_at{0};
    std::string body;
};

/// The outcome of a request for its caller.
enum class ResponseStatus {
    /// The run succeeded; the response contains its result.
    served,
    /// The request never ran.
    rejected,
    /// The run or its dependency call failed, or its outcome is unknown.
    failed,
    /// The run did not end before its deadline.
    deadline_exceeded,
    /// The request conflicts with another one: it has the same external id, or the same idempotency key with another
    /// payload.
    malformed
};

/// The single response to a request.
struct Response {
    ResponseStatus status = ResponseStatus::failed;
    /// The unchanged result of a served request. Valid only until `Responder::respond` returns.
    std::string_view body;
    /// How long the caller of a rejected request should wait before it retries.
    Duration retry_after{0};
    /// Whether the caller of a rejected request should not retry at another process either.
    bool do_not_retry = false;
};

/// Receives responses on behalf of callers. Implemented by frontends.
class Responder {
public:
    virtual ~Responder() = default;

    /// Called at most once for each submitted request. `ticket` is the value passed to `RequestManager::submit`. May
    /// submit further requests before it returns.
    virtual void respond(std::uint64_t ticket, const Response& response) = 0;
};

}  // namespace cressledge::request
