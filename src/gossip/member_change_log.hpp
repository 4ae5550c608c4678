/// Rate-limited log lines for state changes of members.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"
#include "membership/effects.hpp"

namespace cressledge::gossip {

/// Writes one log line per state change. Rate-limited, because a partition changes the state of many members at once.
class MemberChangeLog {
public:
    /// Writes the change as a log line, or counts the line as suppressed if the limit is reached.
    void write(base::Timestamp now, const membership::MemberChange& change);

private:
    static constexpr unsigned max_lines_per_second = 20;

    bool try_acquire_log_line(base::Timestamp now);

    std::int64_t current_second_ = 0;
    unsigned lines_in_second_ = 0;
    /// Number of lines suppressed since the last line that was written.
    std::uint64_t suppressed_lines_ = 0;
};

}  // namespace cressledge::gossip
