/// Counts the bytes and datagrams of one direction.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::gossip {

/// Totals, and the rate over the last ten whole seconds.
class TrafficMeter {
public:
    /// Counts bytes of a connection.
    void add_stream_bytes(base::Timestamp now, std::size_t bytes);
    /// Counts one datagram and its bytes.
    void add_datagram(base::Timestamp now, std::size_t bytes);

    /// Mean over the last ten whole seconds; the present second is left out.
    std::uint64_t bytes_per_second(base::Timestamp now);

    /// Bytes counted since the start, of connections and datagrams.
    std::uint64_t total_bytes() const { return total_bytes_; }
    /// Datagrams counted since the start.
    std::uint64_t total_datagrams() const { return total_datagrams_; }

private:
    static constexpr std::size_t averaged_seconds = 10;

    void advance_to(base::Timestamp now);
    std::uint64_t& bytes_in(std::int64_t second);

    std::uint64_t total_bytes_ = 0;
    std::uint64_t total_datagrams_ = 0;
    /// Ring buffer by Unix second: the averaged seconds and the present one.
    std::array<std::uint64_t, averaged_seconds + 1> bytes_by_second_{};
    std::int64_t current_second_ = 0;
};

}  // namespace cressledge::gossip
