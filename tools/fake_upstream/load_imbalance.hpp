/// Measures how unevenly load is distributed over a set of servers, sampled at a fixed interval. Does no I/O, so that
/// the figures are computed alike for emulated servers and for servers on sockets.
#pragma once

#include <cstddef>
#include <vector>

#include "fake_upstream/server_model.hpp"

namespace cressledge::fake_upstream {

/// Time between two samples.
constexpr Duration sample_interval{10'000};
/// Number of samples that one LoadImbalance::Interval averages.
constexpr std::size_t samples_per_interval = 25;

/// The load imbalance over a period of observation. A server's utilization is its calls in flight divided by its slots;
/// the peak-to-mean ratio is the utilization of the busiest server divided by that of all servers together.
struct LoadImbalance {
    /// 0.99 quantile, maximum and mean over time of the peak-to-mean ratio.
    double peak_to_mean_p99 = 0.0;
    double peak_to_mean_max = 0.0;
    double peak_to_mean_average = 0.0;
    /// Coefficient of variation of the utilizations (standard deviation over mean), averaged over time.
    double variation = 0.0;
    /// Fraction of all server time in which a server was idle while calls waited at another one.
    double idle_fraction = 0.0;
    std::size_t samples = 0;

    /// Averages over `samples_per_interval` samples.
    struct Interval {
        /// Start of the interval, in seconds from the first sample.
        double start_s = 0.0;
        double peak_to_mean = 0.0;
        double mean_utilization = 0.0;
        /// Mean utilization of each server.
        std::vector<float> utilizations;
    };
    std::vector<Interval> intervals;

    /// Longest uninterrupted time, in seconds, for which the peak-to-mean ratio was above `bound`.
    double longest_time_above_s(double bound) const;
};

/// Collects samples of a set of servers.
class LoadImbalanceMonitor {
public:
    /// Takes one sample. Must be called every `sample_interval`, always with the same number of servers.
    void sample(const std::vector<ServerModel>& servers);
    /// Load imbalance over all samples so far, without the last interval if it is incomplete.
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
