/// Counters of request outcomes, in total and by request class. They start at 0 when the process starts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/latency_histogram.hpp"
#include "request/incoming_request.hpp"

namespace cressledge::request {

/// Totals over all request classes.
struct RequestCounts {
    /// Requests that were submitted or rejected before admission.
    std::uint64_t received = 0;
    std::uint64_t served = 0;
    std::uint64_t rejected = 0;
    /// Requests whose response was neither served nor rejected.
    std::uint64_t failed = 0;
    /// Requests whose callers stopped waiting.
    std::uint64_t cancelled = 0;
    /// Runs passed to the executor, and runs that it reported as ended.
    std::uint64_t runs_started = 0, runs_finished = 0;
    /// Those of the rejected requests that were never passed to the admission controller.
    std::uint64_t rejected_before_admission = 0;
};

/// Counts and latencies of one request class.
struct ClassCounts {
    std::uint64_t served = 0, rejected = 0, failed = 0, runs_started = 0;
    /// Those of the served requests whose latency exceeded the latency objective of the class.
    std::uint64_t served_late = 0;
    /// Latency of the served requests, from `IncomingRequest::accepted_at` to the response.
    base::LatencyHistogram latency;
};

/// Counts requests by class name, so that the counts of a class continue across changes of settings.
class RequestCounters {
public:
    /// Counts a request that was submitted.
    void count_received() { ++totals_.received; }
    /// Counts a request that its caller cancelled.
    void count_cancelled() { ++totals_.cancelled; }
    /// Counts a run that the executor reported as ended.
    void count_run_finished() { ++totals_.runs_finished; }

    /// Counts a run passed to the executor. Here and below, an unknown class index counts as class "unknown".
    void count_run_started(const policy::Settings& settings, std::size_t class_index);

    /// Counts a request that was rejected without reaching the admission controller.
    void count_rejected_before_admission(const policy::Settings& settings, std::size_t class_index);

    /// Counts a response by its status.
    void count_response(const policy::Settings& settings, std::size_t class_index, ResponseStatus status);

    /// Records the latency of a served request.
    void count_latency(const policy::Settings& settings, std::size_t class_index, Duration latency);

    /// Counts over all classes since the start of the process.
    const RequestCounts& totals() const { return totals_; }
    /// Counts by class name since the start of the process.
    const std::map<std::string, ClassCounts>& by_class() const { return by_class_; }

private:
    ClassCounts& of_class(const policy::Settings& settings, std::size_t class_index);

    RequestCounts totals_;
    std::map<std::string, ClassCounts> by_class_;
};

}  // namespace cressledge::request
