// Guards the log against a peer that gives cause for a line with everything it sends.
#pragma once

#include <cstdint>
#include <utility>

#include "core/deadlines.hpp"

namespace cressledge::core {

class Quiet {
public:
    // Whether a line may be written: one a second. `passed` is how many causes had none since the last.
    bool may(Time now, std::uint64_t& passed) {
        if (now < next_) {
            ++passed_;
            return false;
        }
        next_ = now + Span(1'000'000);
        passed = std::exchange(passed_, 0);
        return true;
    }

private:
    Time next_{0};
    std::uint64_t passed_ = 0;
};

}  // namespace cressledge::core
