// The outstanding wakeups: requested from the host and not delivered yet.
//
// Invariant: each outstanding wakeup is earlier than the one requested before it, which bounds the number of
// timers.
#pragma once

#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Outstanding wakeups, the earliest last.
class WakeupSchedule {
public:
    /// Adds a wakeup if it is earlier than all outstanding ones. Returns whether it was added.
    bool add_if_earlier(Timestamp at);
    /// Removes the earliest wakeup, which was delivered; does nothing if none is outstanding.
    void remove_earliest();
    /// The earlier of `at` and the earliest outstanding wakeup.
    Timestamp earliest_or(Timestamp at) const;

private:
    std::vector<Timestamp> outstanding_;
};

}  // namespace cressledge::policy::aces
