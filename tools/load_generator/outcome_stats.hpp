/// Outcomes of requests: counts and latencies. Latencies are stored in histograms (Boost.Histogram) whose bins grow by
/// 2% each, from 0.1 ms to 100 s, so that the relative error of a quantile is at most 2%.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::load_generator {

/// How a request ended. `connection_lost`: the connection ended without a response.
enum class Outcome { ok, rejected, failed, timed_out, connection_lost };

/// Statistics of the requests of one or more classes.
class OutcomeStats {
public:
    /// Adds one request; `latency` is used for the outcome `ok` only.
    void add(Outcome outcome, base::Duration latency);
    /// Adds the requests of `other`.
    void add(const OutcomeStats& other);
    /// Number of requests with `outcome`.
    std::uint64_t count(Outcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }
    /// Number of requests with any outcome.
    std::uint64_t total() const;
    /// The quantile `q` (0 to 1) of the latencies of requests with the outcome `ok`, in ms; 0 if there are none.
    double quantile_ms(double q) const;
    /// Counts and quantiles in the form used in reports.
    nlohmann::ordered_json to_json() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), std::declval<Axis>()));
    static Histogram empty_histogram() {
        return boost::histogram::make_histogram_with(std::vector<std::uint64_t>(),
                                                     Axis(698, 0.1, 100'000.0, "ms"));
    }
    Histogram latencies_ = empty_histogram();
    std::array<std::uint64_t, 5> counts_{};
};

}  // namespace cressledge::load_generator
