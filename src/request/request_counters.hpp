/// Counts what became of requests, in total and by class, from 0 at the start of the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/latency_histogram.hpp"
#include "request/incoming_request.hpp"

namespace cressledge::request {

/// Totals over all classes.
struct RequestCounts {
    /// Requests that were submitted, or rejected before admission.
    std::uint64_t received = 0;
    std::uint64_t served = 0;
    std::uint64_t rejected = 0;
    /// Every response that is neither served nor rejected.
    std::uint64_t failed = 0;
    /// Requests whose callers stopped waiting.
    std::uint64_t cancelled = 0;
    /// Runs handed to the executor, and runs that it reported as ended.
    std::uint64_t runs_started = 0, runs_finished = 0;
    /// Of the rejected requests: those that the controller has not seen.
    std::uint64_t rejected_before_admission = 0;
};

/// The figures of one class.
struct ClassCounts {
    std::uint64_t served = 0, rejected = 0, failed = 0, runs_started = 0;
    /// Of the served requests: those later than the latency objective of the class.
    std::uint64_t served_late = 0;
    /// Of the served requests, from `IncomingRequest::accepted_at` to the response.
    base::LatencyHistogram latency;
};

/// Counts by the names of classes, so that a class keeps its figures over changes of the settings.
class RequestCounters {
public:
    /// Counts a request that was submitted.
    void count_received() { ++totals_.received; }
    /// Counts a request that its caller gave up.
    void count_cancelled() { ++totals_.cancelled; }
    /// Counts a run that the executor reported as ended.
    void count_run_finished() { ++totals_.runs_finished; }

    /// Counts a run handed to the executor. An unknown class index counts as class "unknown", here as below.
    void count_run_started(const policy::Settings& settings, std::size_t class_index);

    /// Counts a rejection that the controller has not seen.
    void count_rejected_before_admission(const policy::Settings& settings, std::size_t class_index);

    /// Counts a response by its status.
    void count_response(const policy::Settings& settings, std::size_t class_index, ResponseStatus status);

    /// Counts the latency of a served request.
    void count_latency(const policy::Settings& settings, std::size_t class_index, Duration latency);

    /// Counts of all classes together since the start.
    const RequestCounts& totals() const { return totals_; }
    /// Counts by the names of classes since the start.
    const std::map<std::string, ClassCounts>& by_class() const { return by_class_; }

private:
    ClassCounts& of_class(const policy::Settings& settings, std::size_t class_index);

    RequestCounts totals_;
    std::map<std::string, ClassCounts> by_class_;
};

}  // namespace cressledge::request
