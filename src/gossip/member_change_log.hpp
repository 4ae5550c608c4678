/// Log lines for members that change their state.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"
#include "membership/effects.hpp"

namespace cressledge::gossip {

/// Writes one line for each change, with a bound: a partition changes the whole fleet at once.
class MemberChangeLog {
public:
    /// Writes a line, or counts it as suppressed.
    void write(base::Timestamp now, const membership::MemberChange& change);

private:
    static constexpr unsigned max_lines_per_second = 20;

    bool try_acquire_line(base::Timestamp now);

    std::int64_t current_second_ = 0;
    unsigned lines_in_second_ = 0;
    /// Since the last line that was written.
    std::uint64_t suppressed_lines_ = 0;
};

}  // namespace cressledge::gossip
