// Collects the actions that result from the current event.
//
// Invariants: actions keep the order in which they were emitted; log lines are at least one second apart.
#pragma once

#include <utility>
#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Appends actions to the host's list.
class ActionSink {
public:
    /// Directs the actions of the next event to `actions`, which must outlive the handling of that event.
    void begin(std::vector<Action>& actions) { actions_ = &actions; }
    void emit(Action action) { actions_->push_back(std::move(action)); }
    /// Emits the log line `event_and_key`=`value`, where `event_and_key` is an event followed by the name of
    /// the value. Emits nothing if a line was emitted within the last second.
    void log(Timestamp now, const char* event_and_key, double value);

private:
    static constexpr Duration min_log_interval{1'000'000};
    static constexpr Timestamp initial_log_at{-10'000'000};

    std::vector<Action>* actions_ = nullptr;
    Timestamp last_log_at_ = initial_log_at;
};

}  // namespace cressledge::policy::aces
