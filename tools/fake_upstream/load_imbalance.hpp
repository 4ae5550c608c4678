/// How unevenly load lies on a set of servers, sampled at a fixed interval. No I/O: the same figures for emulated servers
/// and for those on sockets.
#pragma once

#include <cstddef>
#include <vector>

#include "fake_upstream/server_model.hpp"

namespace cressledge::fake_upstream {

/// Time between two samples.
constexpr Duration sample_interval{10'000};
/// Samples that one LoadImbalance::Interval averages.
constexpr std::size_t samples_per_interval = 25;

/// The imbalance over a time of observation. A server's utilization is its calls in flight over its slots; the peak to
/// mean ratio is the utilization of the busiest server over that of all servers together.
struct LoadImbalance {
    /// Quantile 0.99, maximum and mean over time of the peak to mean ratio.
    double peak_to_mean_p99 = 0.0;
    double peak_to_mean_max = 0.0;
    double peak_to_mean_average = 0.0;
    /// Coefficient of variation of the utilizations (standard deviation over mean), averaged over time.
    double variation = 0.0;
    /// Fraction of all server time that a server was idle while calls waited at another.
    double idle_fraction = 0.0;
    std::size_t samples = 0;

    /// Averages over `samples_per_interval` samples.
    struct Interval {
        /// Start, in seconds from the first sample.
        double start_s = 0.0;
        double peak_to_mean = 0.0;
        double mean_utilization = 0.0;
        /// Of each server.
        std::vector<float> utilizations;
    };
    std::vector<Interval> intervals;

    /// The longest time without interruption, in seconds, for which the peak to mean ratio was above `bound`.
    double longest_time_above_s(double bound) const;
};

/// Collects samples of a set of servers.
class LoadImbalanceMonitor {
public:
    /// To be called every `sample_interval`, always with the same number of servers.
    void sample(const std::vector<ServerModel>& servers);
    /// The imbalance over all samples so far. An interval that is not complete is left out.
    LoadImbalance result() const;

private:
    LoadImbalance::Interval& current_interval(std::size_t server_count);

    std::vector<float> peak_to_mean_;
    double variation_sum_ = 0.0;
    double idle_sum_ = 0.0;
    std::size_t server_count_ = 0;
    std::vector<LoadImbalance::Interval> intervals_;
};

}  // namespace cressledge::fake_upstream
