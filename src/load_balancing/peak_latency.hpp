// Peak-sensitive latency of one host, as this process sees it: it follows a higher latency at once and a lower one
// slowly (peak EWMA, as in Finagle). It also counts how long the calls in flight have been out, so that a host that
// never answers looks slow before its first time-out.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::load_balancing {

/// The peak EWMA latency of one host, with the age of its calls in flight.
class PeakLatency {
public:
    /// Counts a call sent at `now`.
    void on_call_started(base::Timestamp now);
    /// `calls_in_flight`: the host's, the ended call included.
    void on_call_ended(base::Timestamp started_at, std::uint32_t calls_in_flight);
    /// Takes the latency of a call that has just ended.
    void record(base::Timestamp now, double latency_s, base::Duration decay_time);
    /// Latency to expect, seconds. A peak fades while nothing is recorded: the host would never be tried again
    /// otherwise. `typical_latency_s` stands in where nothing is known.
    double expected_s(base::Timestamp now, double typical_latency_s, std::uint32_t calls_in_flight,
                      base::Duration decay_time) const;

private:
    double peak_s_ = 0.0;
    base::Timestamp updated_at_{0};
    /// Sum of the start times of the calls in flight, Unix seconds.
    double in_flight_start_sum_s_ = 0.0;
};

}  // namespace cressledge::load_balancing
