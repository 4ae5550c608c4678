#include "load_balancing/load_probes.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cressledge::load_balancing {
namespace {

/// With fewer answers there is nothing to choose between.
constexpr std::size_t min_pool_size = 2;

/// Utilization of the host if it gets the call that is being placed.
double utilization_with_call(const LoadReport& load) {
    return load.utilization(1.0);
}

}  // namespace

unsigned ProbePool::take_due_probes() {
    probe_credit_ += settings_.probes_per_call;
    const double probe_count = std::floor(probe_credit_);
    probe_credit_ -= probe_count;
    return static_cast<unsigned>(probe_count);
}

// Equation 1 of the Prequal paper: an answer is reused just often enough that the pool does not run empty.
double ProbePool::max_uses() const {
    const double host_count = static_cast<double>(std::max<std::size_t>(host_count_, 1));
    const double pool_size = std::min(static_cast<double>(settings_.pool_size), host_count);
    const double new_answers_per_call =
        (1.0 - pool_size / host_count) * settings_.probes_per_call - settings_.removals_per_call;
    if (new_answers_per_call <= 0.0)
        return static_cast<double>(settings_.pool_size);
    return std::max(1.0, (1.0 + settings_.min_pool_growth) / new_answers_per_call);
}

void ProbePool::add(Timestamp now, HostId host_id, const LoadReport& load) {
    remove(host_id);
    if (pool_.size() >= settings_.pool_size)
        pool_.erase(pool_.begin());
    pool_.push_back({host_id, load, now, 0});
}

void ProbePool::remove(HostId host_id) {
    std::erase_if(pool_, [host_id](const PooledReport& report) { return report.host_id == host_id; });
}

void ProbePool::remove_oldest_or_worst() {
    if (pool_.empty())
        return;
    auto removed = pool_.begin();
    if (!std::exchange(remove_oldest_next_, !remove_oldest_next_))
        removed =
            std::max_element(pool_.begin(), pool_.end(), [](const PooledReport& a, const PooledReport& b) {
                return a.load.utilization() < b.load.utilization();
            });
    pool_.erase(removed);
}

double ProbePool::hot_utilization_threshold() const {
    std::vector<double> utilizations;
    utilizations.reserve(pool_.size());
    for (const PooledReport& report : pool_)
        utilizations.push_back(report.load.utilization());
    const double rank = settings_.hot_quantile * static_cast<double>(utilizations.size() - 1);
    const auto quantile = utilizations.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(utilizations.begin(), quantile, utilizations.end());
    return *quantile;
}

// Hot-cold lexicographic rule: the lowest latency among the cold hosts, or the lowest utilization if all are hot.
ProbePool::Pool::iterator ProbePool::best_report() {
    const auto is_better = [hot = hot_utilization_threshold()](const PooledReport& a, const PooledReport& b) {
        const bool a_is_cold = a.load.utilization() < hot;
        const bool b_is_cold = b.load.utilization() < hot;
        if (a_is_cold != b_is_cold)
            return a_is_cold;
        if (a_is_cold && a.load.latency_s != b.load.latency_s)
            return a.load.latency_s < b.load.latency_s;
        return utilization_with_call(a.load) < utilization_with_call(b.load);
    };
    return std::min_element(pool_.begin(), pool_.end(), is_better);
}

HostId ProbePool::pick(Timestamp now, const std::function<bool(HostId)>& is_eligible) {
    std::erase_if(pool_, [&](const PooledReport& report) {
        return now - report.received_at > settings_.max_age || !is_eligible(report.host_id);
    });
    if (pool_.size() < min_pool_size)
        return no_host;
    const auto best = best_report();
    const HostId host_id = best->host_id;
    // Without this, every call would go to the same host until its next report.
    best->load.in_flight += 1.0;
    if (++best->uses >= max_uses())
        pool_.erase(best);
    for (removal_credit_ += settings_.removals_per_call; removal_credit_ >= 1.0; removal_credit_ -= 1.0)
        if (pool_.size() > min_pool_size)
            remove_oldest_or_worst();
    return host_id;
}

double ExpectedCallEstimator::expected_calls(Timestamp now) {
    while (!probe_times_.empty() && now - probe_times_.front() > window_)
        probe_times_.pop_front();
    return calls_per_probe_ * static_cast<double>(probe_times_.size());
}

HostId least_loaded(const std::vector<ProbeAnswer>& answers) {
    const auto is_less_loaded = [](const ProbeAnswer& a, const ProbeAnswer& b) {
        const double a_utilization = utilization_with_call(a.load);
        const double b_utilization = utilization_with_call(b.load);
        if (a_utilization != b_utilization)
            return a_utilization < b_utilization;
        return a.load.latency_s < b.load.latency_s;
    };
    const auto best = std::min_element(answers.begin(), answers.end(), is_less_loaded);
    return best == answers.end() ? no_host : best->host_id;
}

}  // namespace cressledge::load_balancing
