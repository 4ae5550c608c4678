// The wakeups that were asked of the host and have not come yet.
//
// Invariant: each wakeup is earlier than the one asked for before it, so that the host's timers do not
// beget others for as long as they stand.
#pragma once

#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Wakeups outstanding, the earliest last.
class WakeupSchedule {
public:
    /// Adds a wakeup where it is earlier than all outstanding ones; false if it is not needed.
    bool add_if_earlier(Timestamp at);
    /// The earliest has come; without any outstanding it changes nothing.
    void remove_earliest();
    /// The earlier of `at` and the earliest wakeup outstanding.
    Timestamp earliest_or(Timestamp at) const;

private:
    std::vector<Timestamp> outstanding_;
};

}  // namespace cressledge::policy::aces
