/// The time types of the program and the clock that supplies them. A test replaces the clock by one set by hand.
#pragma once

#include "policy/admission_controller.hpp"

namespace cressledge::base {

using policy::Duration;
using policy::Timestamp;

/// A source of wall-clock time.
class Clock {
public:
    virtual ~Clock() = default;

    /// Microseconds since the Unix epoch. May go backwards when the system clock is set back.
    virtual Timestamp unix_now() = 0;
};

}  // namespace cressledge::base
