/// Outcomes of requests: counts and latencies. Latencies are kept in histograms (Boost.Histogram) with bins that grow by 2%
/// each, from 0.1 ms to 100 s, so that a quantile is within 2% of the true one whatever its size.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::load_generator {

/// How a request ended. `connection_lost`: the connection ended without an answer.
enum class Outcome { ok, rejected, failed, timed_out, connection_lost };

/// Statistics of the requests of one class, or of several.
class OutcomeStats {
public:
    /// Counts a request.
    void add(Outcome outcome, base::Duration latency);
    /// Adds the requests of other statistics.
    void add(const OutcomeStats& other);
    /// Requests with that outcome.
    std::uint64_t count(Outcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }
    /// Requests with any outcome.
    std::uint64_t total() const;
    /// The quantile `q` (0 to 1) of the latencies of requests with the outcome `ok`, in ms; 0 if there was none.
    double quantile_ms(double q) const;
    /// Counts and quantiles, as reports hold them.
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
