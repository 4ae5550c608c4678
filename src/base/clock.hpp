/// The time types of the program, and the clock interface, which tests implement with a manual clock.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::base {

using policy::Duration;
using policy::Timestamp;

/// A source of wall-clock time.
class Clock {
public:
    virtual ~Clock() = default;

    /// Microseconds since the Unix epoch. May decrease when the system clock is set back.
    virtual Timestamp unix_now() = 0;
};

}  // namespace cressledge::base
