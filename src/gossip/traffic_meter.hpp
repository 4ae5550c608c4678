/// Traffic counters for one direction.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::gossip {

/// Counts bytes and datagrams, and computes the byte rate over the last ten complete seconds.
class TrafficMeter {
public:
    /// Counts bytes of a connection.
    void add_stream_bytes(base::Timestamp now, std::size_t bytes);
    /// Counts one datagram and its bytes.
    void add_datagram(base::Timestamp now, std::size_t bytes);

    /// Returns the mean rate over the last ten complete seconds. The current second is not included.
    std::uint64_t bytes_per_second(base::Timestamp now);

    /// Number of bytes since the start, of connections and datagrams.
    std::uint64_t total_bytes() const { return total_bytes_; }
    /// Number of datagrams since the start.
    std::uint64_t total_datagrams() const { return total_datagrams_; }

private:
    static constexpr std::size_t rate_window_seconds = 10;

    void advance_to(base::Timestamp now);
    std::uint64_t& bytes_in(std::int64_t second);

    std::uint64_t total_bytes_ = 0;
    std::uint64_t total_datagrams_ = 0;
    /// Ring buffer of byte counts by Unix second: the seconds of the window and the current second.
    std::array<std::uint64_t, rate_window_seconds + 1> bytes_by_second_{};
    std::int64_t current_second_ = 0;
};

}  // namespace cressledge::gossip
