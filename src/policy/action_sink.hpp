// Collects the actions of the event in hand.
//
// Invariants: actions keep the order in which they were emitted; log lines are at least a second apart.
#pragma once

#include <utility>
#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Appends to the host's list of actions.
class ActionSink {
public:
    /// The actions of the next event go to `actions`, which must outlive its handling.
    void begin(std::vector<Action>& actions) { actions_ = &actions; }
    void emit(Action action) { actions_->push_back(std::move(action)); }
    /// Emits a log line, `message` and `figure`, unless one was emitted within the last second.
    void log(Timestamp now, const char* message, double figure);

private:
    static constexpr Duration min_log_interval{1'000'000};
    static constexpr Timestamp long_ago{-10'000'000};

    std::vector<Action>* actions_ = nullptr;
    Timestamp last_log_at_ = long_ago;
};

}  // namespace cressledge::policy::aces
