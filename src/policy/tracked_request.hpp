// A request that the controller knows, from its arrival to its end.
//
// Invariants: `request_class` points into the controller's settings and is never null; a higher band has a
// greater priority weight; `objective_at` is never after `deadline`.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Where a request stands, in the order in which it may pass: queued; on the cores; at a dependency call not
/// issued yet; in a call; waiting for the result of the original that it repeats.
enum class RequestState { queued, running, awaiting_call, in_call, awaiting_result };

/// Order of service: highest band first, then oldest.
struct QueuePosition {
    std::ptrdiff_t negative_band = 0;
    Timestamp arrived_at{0};
    RequestId id = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the literal 0 is the compiler's own.
    auto operator<=>(const QueuePosition&) const = default;
};

/// A request with its rules, price and times.
struct TrackedRequest {
    /// Its place in the order of service.
    QueuePosition position() const { return {-static_cast<std::ptrdiff_t>(band), arrived_at, id}; }
    /// Until when an answer earns the full priority weight.
    Timestamp full_weight_until() const { return std::min(objective_at, deadline); }
    /// Started and not over.
    bool is_in_flight() const { return state >= RequestState::running && state <= RequestState::in_call; }
    /// May run once within the window of its key.
    bool needs_key() const { return request_class->idempotency == Idempotency::with_key; }
    /// May run any number of times.
    bool can_run_again() const { return request_class->idempotency == Idempotency::always; }
    /// Earns something without its dependency call.
    bool can_skip_call() const { return request_class->skipped_call_weight > 0.0; }
    /// Earns nothing without its dependency call.
    bool requires_call() const { return request_class->calls_dependency && !can_skip_call(); }
    /// An answer after the objective still earns something.
    bool earns_late() const { return request_class->late_priority_weight > 0.0; }

    RequestId id = 0;
    const RequestClass* request_class = nullptr;
    std::size_t class_index = 0;
    std::size_t band = 0;
    RequestState state = RequestState::queued;
    bool in_backup_queue = false;
    bool answered = false;
    bool key_retained = false;
    bool call_failed = false;
    bool call_retry_pending = false;
    int calls_made = 0;
    double memory_kb = 0.0;
    /// Quanta (core seconds) expected of the run.
    double price_quanta = 0.0;
    /// Quanta used up to now; meaningful while it is off the cores.
    double used_quanta = 0.0;
    Timestamp arrived_at{0};
    Timestamp objective_at{0};
    Timestamp deadline{0};
    Timestamp started_at{0};
};

}  // namespace cressledge::policy::aces
