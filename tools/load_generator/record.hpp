// What became of requests: counts and times, by class. Times are kept in histograms (Boost.Histogram) with bins that grow
// by 2% each, from 0.1 ms to 100 s, so that a quantile is within 2% of the true one whatever its size.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::load_generator {

enum class End { ok, refused, failed, out_of_time, lost };  // lost: the connection ended without an answer

class Record {
public:
    void add(End end, base::Duration took);
    void add(const Record& other);
    std::uint64_t count(End end) const { return counts_[static_cast<std::size_t>(end)]; }
    std::uint64_t all() const;
    double quantile_ms(double q) const;  // of those that were served; 0: none was
    nlohmann::ordered_json json() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram =
        decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), std::declval<Axis>()));
    static Histogram empty() {
        return boost::histogram::make_histogram_with(std::vector<std::uint64_t>(),
                                                     Axis(698, 0.1, 100'000.0, "ms"));
    }
    Histogram took_ = empty();
    std::uint64_t counts_[5] = {};
};

}  // namespace cressledge::load_generator
