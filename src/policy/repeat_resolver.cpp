#include "policy/repeat_resolver.hpp"

#include <algorithm>

namespace cressledge::policy::aces {
namespace {

constexpr double max_replay_memory_fraction = 0.93;  // as for a run
constexpr double max_result_memory_fraction = 0.7;
constexpr Duration min_key_lifetime{1'000};

}  // namespace

bool RepeatResolver::join_original(TrackedRequest& request, TrackedRequest* original) {
    if (request.request_class->idempotency == Idempotency::never)
        return false;
    const bool is_original_queued = original != nullptr && original->state == RequestState::queued;
    if (request.needs_key() && is_original_queued)
        replace(request, *original);
    else if (evictor_.evict_until_fits(request, 0.0, max_replay_memory_fraction))
        replay_result(request);
    else
        finalizer_.fail(request);  // not rejected, as the original has run
    return true;
}

void RepeatResolver::replace(TrackedRequest& request, TrackedRequest& original) {
    state_.requests.inherit_queue(request, original);
    retain_key(request, false);  // transfers the retained key to the repeat
    state_.requests.forget_key(original);
    original.key_retained = false;
    finalizer_.reject(original);
    state_.timers.set(request.id, deadlines_.latest_start(request));
}

void RepeatResolver::replay_result(TrackedRequest& request) {
    state_.actions.emit(ReplayResult{request.id});
    state_.requests.set_state(request, RequestState::awaiting_result);
    state_.timers.set(request.id, request.deadline);
}

void RepeatResolver::retain_key(TrackedRequest& request, bool is_shareable) {
    const Timestamp now = state_.clock.now();
    Duration lifetime{0};
    if (request.needs_key()) {
        const Duration window = request.request_class->idempotency_window - (now - request.arrived_at);
        lifetime = std::max(window + state_.settings.answer_slack, min_key_lifetime);
    } else if (can_share_result(request, is_shareable)) {
        lifetime = request.deadline - now + state_.settings.result_ttl;
    } else {
        return;
    }
    state_.actions.emit(RetainKey{request.id, lifetime});
    state_.requests.retain_key(request, now + lifetime);
}

bool RepeatResolver::can_share_result(const TrackedRequest& request, bool is_shareable) const {
    if (!request.can_run_again() || !is_shareable || state_.settings.result_ttl <= Duration(0))
        return false;
    const double memory_kb = state_.requests.used_memory_kb() + state_.settings.idempotency_key_kb;
    return memory_kb < max_result_memory_fraction * state_.settings.memory_kb;
}

}  // namespace cressledge::policy::aces
