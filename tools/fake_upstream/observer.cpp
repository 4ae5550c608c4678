#include "fake_upstream/observer.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cressledge::fake_upstream {
namespace {

constexpr double look_s = static_cast<double>(look_every.count()) * 1e-6;

}  // namespace

double Evenness::longest_over(double bound) const {
    double longest = 0.0, from = -1.0, last = 0.0;
    for (const Stretch& s : stretches) {
        if (s.worst <= bound) {
            from = -1.0;
            continue;
        }
        if (from < 0.0)
            from = s.at_s;
        last = s.at_s + look_s * looks_a_stretch;
        longest = std::max(longest, last - from);
    }
    return longest;
}

void Observer::look(const std::vector<Queue>& servers) {
    servers_ = servers.size();
    double places = 0.0, all = 0.0, worst = 0.0, sum = 0.0, squares = 0.0;
    std::size_t idle = 0;
    bool queues = false;
    for (const Queue& q : servers) {
        const double share = q.load().utilization();
        places += q.slots();
        all += static_cast<double>(q.in_flight());
        worst = std::max(worst, share);
        sum += share;
        squares += share * share;
        idle += q.in_flight() == 0 ? 1 : 0;
        queues = queues || q.queues();
    }
    const auto n = static_cast<double>(servers.size());
    const double mean = all / places;
    if (worst_.size() % looks_a_stretch == 0) {
        stretches_.push_back({});
        stretches_.back().at_s = static_cast<double>(worst_.size()) * look_s;
        stretches_.back().shares.assign(servers.size(), 0.0F);
    }
    Evenness::Stretch& s = stretches_.back();
    worst_.push_back(all > 0.0 ? static_cast<float>(worst / mean) : 0.0F);
    for (std::size_t i = 0; i < servers.size(); ++i)
        s.shares[i] +=
            static_cast<float>(servers[i].load().utilization() / static_cast<double>(looks_a_stretch));
    s.mean += mean / static_cast<double>(looks_a_stretch);
    s.worst += static_cast<double>(worst_.back()) / static_cast<double>(looks_a_stretch);
    if (sum > 0.0)
        variation_ += std::sqrt(std::max(0.0, squares / n - sum / n * (sum / n))) / (sum / n);
    idle_ += queues ? static_cast<double>(idle) : 0.0;
}

Evenness Observer::result() const {
    Evenness e;
    e.looks = worst_.size();
    e.stretches = stretches_;
    if (worst_.size() % looks_a_stretch != 0)
        e.stretches.pop_back();  // not whole
    if (worst_.empty())
        return e;
    std::vector<float> sorted = worst_;
    std::sort(sorted.begin(), sorted.end());
    const auto n = static_cast<double>(sorted.size());
    e.worst_p99 = sorted[static_cast<std::size_t>(0.99 * (n - 1.0))];
    e.worst_max = sorted.back();
    e.worst_mean = std::accumulate(sorted.begin(), sorted.end(), 0.0) / n;
    e.variation = variation_ / n;
    e.idle = idle_ / (n * static_cast<double>(servers_));
    return e;
}

}  // namespace cressledge::fake_upstream
