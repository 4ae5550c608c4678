// Submission of requests to the request manager.

#include <algorithm>
#include <memory>
#include <utility>

#include "base/log.hpp"
#include "request/request_manager.hpp"

namespace cressledge::request {
namespace {

using policy::Idempotency;

/// Far more than the requests that fit into the memory of a server.
constexpr std::size_t max_open_requests = 4096;

}  // namespace

RequestId RequestManager::submit(IncomingRequest request, Responder& responder, std::uint64_t ticket) {
    if (const auto reason = rejection_reason(request)) {
        log_rejection(*reason);
        reject_before_admission(responder, ticket, settings().max_retry_after, request.class_index);
        return 0;
    }
    counters_.count_received();
    if (is_id_in_use(request))
        return reject_malformed(responder, ticket, request.class_index);
    const Timestamp received_at = now();
    const policy::RequestClass& request_class = settings().classes.at(request.class_index);
    // The caller's clock may be ahead. A request cannot have been accepted later than it is read.
    request.accepted_at = std::min(request.accepted_at, received_at);
    const IdempotencyRecord* record = find_record(request);
    if (record != nullptr && has_payload_conflict(*record, request)) {
        std::uint64_t suppressed = 0;
        if (key_mismatch_log_limiter_.try_acquire(received_at, suppressed))
            base::log_info("request: idempotency key reused with another payload suppressed={}", suppressed);
        return reject_malformed(responder, ticket, request.class_index);
    }
    const RequestId repeated_id = record != nullptr ? repeated_request_id(*record, request_class) : 0;
    const RequestId request_id = open(std::move(request), responder, ticket, received_at);
    post_event(arrival_event(request_id, repeated_id, received_at));
    return open_requests_.find(request_id) != nullptr ? request_id : 0;
}

// Returns why the request must be rejected before admission, if it must. The limits on keys and on open requests bound
// the memory of the program.
std::optional<std::string_view> RequestManager::rejection_reason(const IncomingRequest& request) const {
    if (!started_)
        return "executor not started";
    if (lacks_capacity_for_key(request))
        return "idempotency key table full";
    if (open_requests_.size() >= max_open_requests)
        return "open request table full";
    return std::nullopt;
}

// The executor and the dependency identify requests by their external ids. If two open requests had the same id, one could
// get the outcome of the other. If the id is that of a run that may not be repeated, its caller has left and sends it again.
bool RequestManager::is_id_in_use(const IncomingRequest& request) {
    if (ids_by_external_id_.count(request.external_id) != 0)
        return true;
    const bool is_read = settings().classes.at(request.class_index).idempotency == Idempotency::always;
    const bool has_key = !request.idempotency_key.empty();
    if (is_read || has_key || !run_ids_.contains(request.external_id, now()))
        return false;
    std::uint64_t suppressed = 0;
    if (id_reuse_log_limiter_.try_acquire(now(), suppressed))
        base::log_info("request: id of an earlier run reused request={} suppressed={}", request.external_id,
                       suppressed);
    return true;
}

// A request that must run once is not admitted if the key table has no capacity to record that it ran.
bool RequestManager::lacks_capacity_for_key(const IncomingRequest& request) const {
    if (!idempotency_store_.is_full() || request.idempotency_key.empty())
        return false;
    const policy::RequestClass& request_class = settings().classes.at(request.class_index);
    return request_class.idempotency == Idempotency::with_key &&
           !idempotency_store_.contains(record_key(settings(), request));
}

void RequestManager::log_rejection(std::string_view reason) {
    std::uint64_t suppressed = 0;
    if (rejection_log_limiter_.try_acquire(clock_.unix_now(), suppressed))
        base::log_warning("request: rejected before admission reason=\"{}\" suppressed={}", reason,
                          suppressed);
}

void RequestManager::reject_before_admission(Responder& responder, std::uint64_t ticket, Duration retry_after,
                                             std::size_t class_index) {
    counters_.count_rejected_before_admission(settings(), class_index);
    responder.respond(ticket, Response{ResponseStatus::rejected, {}, retry_after, false});
}

// A request that reuses the idempotency key of a different request must not get the result of that request.
bool RequestManager::has_payload_conflict(const IdempotencyRecord& record,
                                          const IncomingRequest& request) const {
    const policy::RequestClass& request_class = settings().classes[request.class_index];
    return request_class.idempotency == Idempotency::with_key &&
           record.payload_digest != digest_payload(request.body);
}

RequestId RequestManager::reject_malformed(Responder& responder, std::uint64_t ticket,
                                           std::size_t class_index) {
    counters_.count_response(settings(), class_index, ResponseStatus::malformed);
    responder.respond(ticket, Response{ResponseStatus::malformed, {}, Duration(0), false});
    return 0;
}

RequestId RequestManager::open(IncomingRequest request, Responder& responder, std::uint64_t ticket,
                               Timestamp received_at) {
    const Duration max_wait =
        request.max_wait.value_or(settings().classes[request.class_index].answer_deadline);
    const std::string external_id = request.external_id;
    auto open_request = std::make_unique<OpenRequest>();
    open_request->deadline = std::max(received_at, request.accepted_at + max_wait);
    open_request->incoming = std::move(request);
    open_request->responder = &responder;
    open_request->ticket = ticket;
    open_request->generation = generations_.newest_serial();
    ++generations_.newest().open_requests;
    ++unanswered_count_;
    const RequestId request_id = open_requests_.add(std::move(open_request));
    ids_by_external_id_[external_id] = request_id;
    return request_id;
}

policy::RequestArrived RequestManager::arrival_event(RequestId request_id, RequestId repeated_id,
                                                     Timestamp received_at) {
    const OpenRequest& request = *open_requests_.find(request_id);
    const IncomingRequest& incoming = request.incoming;
    policy::RequestArrived event;
    event.id = request_id;
    event.class_index = incoming.class_index;
    event.tenant_index = incoming.tenant_index;
    event.caller_id = incoming.caller_id;
    event.repeated_id = repeated_id;
    event.has_key = !incoming.idempotency_key.empty();
    event.is_retry = incoming.is_retry;
    event.is_write = class_of(request).idempotency != Idempotency::always;
    event.expected_work_seconds = incoming.expected_work_seconds;
    event.rank = incoming.rank;
    event.reserved_kb = incoming.reserved_kb;
    event.age = received_at - incoming.accepted_at;
    if (incoming.max_wait)
        event.caller_deadline = request.deadline;
    return event;
}

std::string RequestManager::record_key(const policy::Settings& settings, const IncomingRequest& request) {
    return IdempotencyStore::record_key(settings.classes[request.class_index].name, request.idempotency_key);
}

const IdempotencyRecord* RequestManager::find_record(const IncomingRequest& request) const {
    if (request.idempotency_key.empty())
        return nullptr;
    return idempotency_store_.find(record_key(settings(), request), request.accepted_at);
}

// Returns the request whose outcome is shared, or 0 if the result of a read is older than the result TTL.
RequestId RequestManager::repeated_request_id(const IdempotencyRecord& record,
                                              const policy::RequestClass& request_class) {
    const bool is_read = request_class.idempotency == Idempotency::always;
    if (is_read && record.finished && !record.is_fresh(now(), settings().result_ttl))
        return 0;
    return record.owner_id;
}

}  // namespace cressledge::request
