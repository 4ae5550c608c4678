#include "load_generator/outcome_stats.hpp"

#include <cmath>
#include <numeric>

namespace cressledge::load_generator {
namespace {

/// Keys in reports, indexed by Outcome.
constexpr std::array<const char*, 5> report_keys = {"ok", "refused", "failed", "out_of_time", "lost"};

}  // namespace

void OutcomeStats::add(Outcome outcome, base::Duration latency) {
    ++counts_[static_cast<std::size_t>(outcome)];
    if (outcome == Outcome::ok)
        latencies_(static_cast<double>(latency.count()) * 1e-3);
}

void OutcomeStats::add(const OutcomeStats& other) {
    latencies_ += other.latencies_;
    for (std::size_t i = 0; i < counts_.size(); ++i)
        counts_[i] += other.counts_[i];
}

std::uint64_t OutcomeStats::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

double OutcomeStats::quantile_ms(double q) const {
    const auto rank = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count(Outcome::ok))));
    if (rank == 0)
        return 0.0;
    std::uint64_t cumulative = 0;
    for (auto&& bin : boost::histogram::indexed(latencies_, boost::histogram::coverage::all)) {
        cumulative += *bin;
        if (cumulative < rank)
            continue;
        const double lower = bin.bin().lower();
        const double upper = bin.bin().upper();
        if (!std::isfinite(upper))
            return lower;
        return lower > 0.0 ? std::sqrt(lower * upper) : upper;
    }
    return 0.0;
}

nlohmann::ordered_json OutcomeStats::to_json() const {
    nlohmann::ordered_json j;
    for (std::size_t i = 0; i < counts_.size(); ++i)
        j[report_keys[i]] = counts_[i];
    for (const auto& [key, q] :
         {std::pair{"p50_ms", 0.5}, {"p95_ms", 0.95}, {"p99_ms", 0.99}, {"p999_ms", 0.999}})
        j[key] = std::round(quantile_ms(q) * 100.0) / 100.0;
    return j;
}

}  // namespace cressledge::load_generator
