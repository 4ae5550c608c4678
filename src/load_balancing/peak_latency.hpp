// Latency estimate of one host from this process's calls: it follows a higher latency at once and a lower one slowly
// (peak EWMA, as in Finagle). It includes the age of the calls in flight, so that a host that does not answer is rated
// slow before the first call times out.
#pragma once

#include <cstdint>

#include "base/timer_queue.hpp"

namespace cressledge::load_balancing {

/// Peak EWMA of the latency of one host and the mean age of its calls in flight.
class PeakLatency {
public:
    /// Records a call sent at `now`.
    void on_call_started(base::Timestamp now);
    /// Records the end of a call. `calls_in_flight` is the host's count, including the call that has ended.
    void on_call_ended(base::Timestamp started_at, std::uint32_t calls_in_flight);
    /// Records the latency (seconds) of a call that ended at `now`.
    void record(base::Timestamp now, double latency_s, base::Duration decay_time);
    /// Expected latency in seconds. A peak decays while nothing is recorded; otherwise a slow host would never be tried
    /// again. Without any record, `typical_latency_s` is used.
    double expected_s(base::Timestamp now, double typical_latency_s, std::uint32_t calls_in_flight,
                      base::Duration decay_time) const;

private:
    /// 0 before the first record.
    double peak_s_ = 0.0;
    base::Timestamp updated_at_{0};
    /// Sum of the start times of the calls in flight, Unix seconds.
    double in_flight_start_sum_s_ = 0.0;
};

}  // namespace cressledge::load_balancing
