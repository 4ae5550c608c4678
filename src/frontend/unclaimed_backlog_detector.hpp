/// Decides when a process that shuts down accepts from a listening socket that other processes may share.
///
/// A successor that shares the socket accepts a new connection within milliseconds, so that consecutive looks at the
/// backlog find it empty in between. A backlog that is never empty over `looks_until_unclaimed` looks has no other
/// process to accept from it. Looks are counted, not time, because a pause of the machine stops the successor as well.
/// No I/O: the owner looks at the socket.
#pragma once

#include <cstdint>

namespace cressledge::frontend {

/// Finds connections that no other process accepts.
class UnclaimedBacklogDetector {
public:
    /// Consecutive looks that must find a waiting connection.
    static constexpr std::uint32_t looks_until_unclaimed = 10;

    /// Records a look at the backlog. Returns whether this process has to accept the connections in it.
    bool observe(bool is_connection_waiting) {
        consecutive_looks_ = is_connection_waiting ? consecutive_looks_ + 1 : 0;
        if (consecutive_looks_ < looks_until_unclaimed)
            return false;
        consecutive_looks_ = 0;
        has_found_unclaimed_ = true;
        return true;
    }

    /// Whether the last look found a connection that may still be accepted by another process.
    bool is_undecided() const { return consecutive_looks_ > 0; }
    /// Whether connections were ever found that no other process accepts.
    bool has_found_unclaimed() const { return has_found_unclaimed_; }

private:
    std::uint32_t consecutive_looks_ = 0;
    bool has_found_unclaimed_ = false;
};

}  // namespace cressledge::frontend
