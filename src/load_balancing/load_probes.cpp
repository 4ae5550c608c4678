#include "load_balancing/load_probes.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::load_balancing {

unsigned ProbePool::take_due_probes() {
    probe_credit_ += settings_.probes_per_call;
    const double whole = std::floor(probe_credit_);
    probe_credit_ -= whole;
    return static_cast<unsigned>(whole);
}

// Equation 1 of the paper: as often as it takes for the pool not to run dry.
double ProbePool::max_uses() const {
    const double n = static_cast<double>(std::max<std::size_t>(host_count_, 1));
    const double m = std::min(static_cast<double>(settings_.pool_size), n);
    const double fresh = (1.0 - m / n) * settings_.probes_per_call - settings_.removals_per_call;
    if (fresh <= 0.0)
        return static_cast<double>(settings_.pool_size);
    return std::max(1.0, (1.0 + settings_.min_pool_growth) / fresh);
}

void ProbePool::add(Timestamp now, HostId host_id, const LoadReport& load) {
    remove(host_id);  // the later word of one server counts
    if (pool_.size() >= settings_.pool_size)
        pool_.erase(pool_.begin());
    pool_.push_back({host_id, load, now, 0});
}

void ProbePool::remove(HostId host_id) {
    std::erase_if(pool_, [host_id](const PooledReport& a) { return a.host_id == host_id; });
}

void ProbePool::remove_oldest_or_worst() {
    if (pool_.empty())
        return;
    auto gone = pool_.begin();  // the oldest
    if (!std::exchange(remove_oldest_next_, !remove_oldest_next_))
        gone = std::max_element(pool_.begin(), pool_.end(), [](const PooledReport& a, const PooledReport& b) {
            return a.load.utilization() < b.load.utilization();
        });
    pool_.erase(gone);
}

HostId ProbePool::pick(Timestamp now, const std::function<bool(HostId)>& is_eligible) {
    std::erase_if(pool_, [&](const PooledReport& a) {
        return now - a.received_at > settings_.max_age || !is_eligible(a.host_id);
    });
    if (pool_.size() < 2)
        return no_host;
    std::vector<double> shares;
    for (const PooledReport& a : pool_)
        shares.push_back(a.load.utilization());
    const auto at = shares.begin() + static_cast<std::ptrdiff_t>(settings_.hot_quantile *
                                                                 static_cast<double>(shares.size() - 1));
    std::nth_element(shares.begin(), at, shares.end());
    const double hot = *at;
    // Hot-cold lexicographic: among the cold the quickest, and only where all are hot the least loaded.
    const auto better = [hot](const PooledReport& a, const PooledReport& b) {
        const bool cold_a = a.load.utilization() < hot, cold_b = b.load.utilization() < hot;
        if (cold_a != cold_b)
            return cold_a;
        if (cold_a && a.load.latency_s != b.load.latency_s)
            return a.load.latency_s < b.load.latency_s;
        return a.load.utilization(1.0) < b.load.utilization(1.0);
    };
    const auto chosen = std::min_element(pool_.begin(), pool_.end(), better);
    const HostId host_id = chosen->host_id;
    chosen->load.in_flight += 1.0;  // guards against one server for every call until it is heard again
    if (++chosen->uses >= max_uses())
        pool_.erase(chosen);
    for (removal_credit_ += settings_.removals_per_call; removal_credit_ >= 1.0; removal_credit_ -= 1.0)
        if (pool_.size() > 2)
            remove_oldest_or_worst();
    return host_id;
}

double ExpectedCallEstimator::expected_calls(Timestamp now) {
    while (!probe_times_.empty() && now - probe_times_.front() > window_)
        probe_times_.pop_front();
    return calls_per_probe_ * static_cast<double>(probe_times_.size());
}

HostId least_loaded(const std::vector<ProbeAnswer>& answers) {
    const auto least = std::min_element(answers.begin(), answers.end(), [](const auto& a, const auto& b) {
        const double x = a.load.utilization(1.0), y = b.load.utilization(1.0);
        return x != y ? x < y : a.load.latency_s < b.load.latency_s;
    });
    return least == answers.end() ? no_host : least->host_id;
}

void WeightedSampler::build(const std::vector<double>& weights) {
    const std::size_t n = weights.size();
    acceptance_.assign(n, 1.0);
    alias_.resize(n);
    double sum = 0.0;
    for (const double c : weights)
        sum += c;
    std::vector<double> scaled(n);
    std::vector<std::uint32_t> small, large;
    for (std::size_t i = 0; i < n; ++i) {
        scaled[i] = weights[i] * static_cast<double>(n) / sum;
        alias_[i] = static_cast<std::uint32_t>(i);
        (scaled[i] < 1.0 ? small : large).push_back(static_cast<std::uint32_t>(i));
    }
    while (!small.empty() && !large.empty()) {
        const std::uint32_t s = small.back(), l = large.back();
        small.pop_back();
        acceptance_[s] = scaled[s];
        alias_[s] = l;
        scaled[l] -= 1.0 - scaled[s];
        if (scaled[l] < 1.0) {
            large.pop_back();
            small.push_back(l);
        }
    }
}

std::uint32_t WeightedSampler::sample(Random& random) const {
    // One number gives both: the whole part of it times the size is the place, and what is left the draw there.
    const std::uint64_t p = std::uint64_t{random()} * acceptance_.size();
    const auto i = static_cast<std::uint32_t>(p >> 32U);
    return static_cast<double>(static_cast<std::uint32_t>(p)) * 0x1p-32 < acceptance_[i] ? i : alias_[i];
}

void WeightedSampler::sample(Random& random, unsigned count, std::vector<std::uint32_t>& sampled) const {
    sampled.clear();
    const std::size_t most = std::min<std::size_t>(count, acceptance_.size());
    const bool few =
        acceptance_.size() <= 64;  // draws meet each other more often, and a bit for each tells at once
    std::uint64_t met = 0;
    for (unsigned tries = 0; sampled.size() < most && tries < 8 * count; ++tries) {
        const std::uint32_t i = sample(random);
        if (few ? (met >> i & 1U) != 0 : std::find(sampled.begin(), sampled.end(), i) != sampled.end())
            continue;
        met |= std::uint64_t{few} << (i & 63U);
        sampled.push_back(i);
    }
}

}  // namespace cressledge::load_balancing
