#include "policy/drain_state.hpp"

#include <algorithm>

namespace cressledge::policy::aces {
namespace {

constexpr Duration drain_margin{100'000};  // between the drain deadline and the end of the process

}  // namespace

void DrainState::begin(Timestamp now, Duration notice_age, Timestamp process_deadline) {
    if (!is_draining_)
        started_at_ = now - notice_age;
    is_draining_ = true;
    deadline_ = std::max(now, process_deadline - drain_margin);
}

bool DrainState::is_past_grace(Timestamp arrived_at) const {
    return is_draining_ && arrived_at > started_at_ + grace_;
}

Timestamp DrainState::bounded(Timestamp at) const {
    return is_draining_ ? std::min(at, deadline_) : at;
}

}  // namespace cressledge::policy::aces
