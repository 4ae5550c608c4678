#include "fake_upstream/load_imbalance.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cressledge::fake_upstream {
namespace {

constexpr double sample_interval_s = static_cast<double>(sample_interval.count()) * 1e-6;

}  // namespace

double LoadImbalance::longest_time_above_s(double bound) const {
    double longest = 0.0;
    double above_since = -1.0;
    for (const Interval& interval : intervals) {
        if (interval.peak_to_mean <= bound) {
            above_since = -1.0;
            continue;
        }
        if (above_since < 0.0)
            above_since = interval.start_s;
        const double end = interval.start_s + sample_interval_s * samples_per_interval;
        longest = std::max(longest, end - above_since);
    }
    return longest;
}

LoadImbalance::Interval& LoadImbalanceMonitor::current_interval(std::size_t server_count) {
    if (peak_to_mean_.size() % samples_per_interval == 0) {
        intervals_.push_back({});
        intervals_.back().start_s = static_cast<double>(peak_to_mean_.size()) * sample_interval_s;
        intervals_.back().utilizations.assign(server_count, 0.0F);
    }
    return intervals_.back();
}

void LoadImbalanceMonitor::sample(const std::vector<ServerModel>& servers) {
    server_count_ = servers.size();
    double slots = 0.0;
    double in_flight = 0.0;
    double peak = 0.0;
    double sum = 0.0;
    double sum_of_squares = 0.0;
    std::size_t idle_servers = 0;
    bool calls_wait = false;
    for (const ServerModel& server : servers) {
        const double utilization = server.load_report().utilization();
        slots += server.slots();
        in_flight += static_cast<double>(server.in_flight());
        peak = std::max(peak, utilization);
        sum += utilization;
        sum_of_squares += utilization * utilization;
        idle_servers += server.in_flight() == 0 ? 1 : 0;
        calls_wait = calls_wait || server.has_waiting_calls();
    }
    const auto count = static_cast<double>(servers.size());
    const double mean = in_flight / slots;
    LoadImbalance::Interval& interval = current_interval(servers.size());
    peak_to_mean_.push_back(in_flight > 0.0 ? static_cast<float>(peak / mean) : 0.0F);
    constexpr auto samples = static_cast<double>(samples_per_interval);
    for (std::size_t i = 0; i < servers.size(); ++i)
        interval.utilizations[i] += static_cast<float>(servers[i].load_report().utilization() / samples);
    interval.mean_utilization += mean / samples;
    interval.peak_to_mean += static_cast<double>(peak_to_mean_.back()) / samples;
    if (sum > 0.0)
        variation_sum_ +=
            std::sqrt(std::max(0.0, sum_of_squares / count - sum / count * (sum / count))) / (sum / count);
    idle_sum_ += calls_wait ? static_cast<double>(idle_servers) : 0.0;
}

LoadImbalance LoadImbalanceMonitor::result() const {
    LoadImbalance imbalance;
    imbalance.samples = peak_to_mean_.size();
    imbalance.intervals = intervals_;
    if (peak_to_mean_.size() % samples_per_interval != 0)
        imbalance.intervals.pop_back();
    if (peak_to_mean_.empty())
        return imbalance;
    std::vector<float> sorted = peak_to_mean_;
    std::sort(sorted.begin(), sorted.end());
    const auto count = static_cast<double>(sorted.size());
    imbalance.peak_to_mean_p99 = sorted[static_cast<std::size_t>(0.99 * (count - 1.0))];
    imbalance.peak_to_mean_max = sorted.back();
    imbalance.peak_to_mean_average = std::accumulate(sorted.begin(), sorted.end(), 0.0) / count;
    imbalance.variation = variation_sum_ / count;
    imbalance.idle_fraction = idle_sum_ / (count * static_cast<double>(server_count_));
    return imbalance;
}

}  // namespace cressledge::fake_upstream
