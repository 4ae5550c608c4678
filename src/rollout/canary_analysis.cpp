#include "rollout/canary_analysis.hpp"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <numeric>
#include <set>

namespace cressledge::rollout {
namespace {

constexpr double uniform_rank_variance = 1.0 / 12.0;  // of a uniform rank; with ties it is less
// Variance of log odds between processes, where events are too few to show any: a standard deviation of 0.4, and of 0.1.
constexpr double min_process_variance = 0.16, min_process_rank_variance = 0.01;

using LatencyCounts = std::array<double, base::LatencyHistogram::bucket_count>;

struct EventRate {  // of one process: events of so many
    double events = 0.0, trials = 0.0;
};
struct ProcessGroup {  // one figure of one class, over the processes of one version
    std::vector<EventRate> window, prior;  // of each process, in one order
    double events = 0.0, trials = 0.0;  // in the window
    double rate() const { return trials > 0.0 ? events / trials : 0.0; }
    void add(const EventRate& in_window, const EventRate& earlier) {
        if (in_window.trials <= 0.0)
            return;
        window.push_back(in_window);
        prior.push_back(earlier);
        events += in_window.events;
        trials += in_window.trials;
    }
};

double normal_upper_tail(double z) {
    return boost::math::cdf(boost::math::complement(boost::math::normal(), z));
}

// The chance of as many events or more among so many trials.
double binomial_upper_tail(double trials, double share, double events) {
    if (events <= 0.0)
        return 1.0;
    const double p = std::clamp(share, 1e-12, 1.0 - 1e-12), n = std::max(trials, events);
    return boost::math::cdf(boost::math::complement(boost::math::binomial(n, p), events - 1.0));
}

// The chance of the changed being above the unchanged by as much, of so many requests: of the events of both, as many
// falling on the changed (the exact test of two Poisson rates; events are few). Ranks are many: the normal law.
double pooled_p_value(const ProcessGroup& changed, const ProcessGroup& unchanged, bool ranks) {
    if (!ranks)
        return binomial_upper_tail(changed.events + unchanged.events,
                                   changed.trials / (changed.trials + unchanged.trials), changed.events);
    return normal_upper_tail(
        (changed.rate() - unchanged.rate()) /
        std::sqrt(uniform_rank_variance * (1.0 / changed.trials + 1.0 / unchanged.trials)));
}

struct LogOdds {  // log odds of a share, and how sure they are
    double mean = 0.0, variance = 0.0;
};
// Half an event is added to either side (Haldane and Anscombe). `unit`: the variance of one observation over that of a
// yes or no with the same mean.
LogOdds log_odds(const EventRate& p, double unit) {
    const double share = (p.events + 0.5) / (p.trials + 1.0), v = share * (1.0 - share);
    return {std::log(share / (1.0 - share)), unit / (p.trials * v)};
}
LogOdds pooled_log_odds(const std::vector<EventRate>& all, double unit) {
    EventRate sum;
    for (const EventRate& p : all)
        sum.events += p.events, sum.trials += p.trials;
    return log_odds(sum, unit);
}
// Variance between processes about their common mean, beyond that of so many requests.
double variance_between_processes(const std::vector<EventRate>& all, const LogOdds& centre, double unit) {
    const double share = 1.0 / (1.0 + std::exp(-centre.mean)), v = share * (1.0 - share);
    double q = 0.0, w = 0.0, w2 = 0.0, n = 0.0;
    for (const EventRate& p : all) {
        if (p.trials <= 0.0)
            continue;
        const double weight = p.trials * v / unit, y = log_odds(p, unit).mean;
        q += weight * (y - centre.mean) * (y - centre.mean), w += weight, w2 += weight * weight, n += 1.0;
    }
    const double room = w > 0.0 ? w - w2 / w : 0.0;
    return room > 0.0 ? std::max(0.0, (q - (n - 1.0)) / room) : 0.0;
}

// The chance of the changed being as far above what each of them was to be expected at, by what it was before and by how
// the unchanged differ and have moved. Events: a binomial whose share is uncertain (a normal law of its log odds).
double process_p_value(const ProcessGroup& changed, const ProcessGroup& unchanged, bool ranks) {
    const double unit = ranks ? 4.0 * uniform_rank_variance : 1.0;
    const LogOdds now = pooled_log_odds(unchanged.window, unit),
                  then = pooled_log_odds(unchanged.prior, unit);
    const bool known = std::any_of(unchanged.prior.begin(), unchanged.prior.end(),
                                   [](const EventRate& p) { return p.trials > 0.0; });
    const double between = std::max({ranks ? min_process_rank_variance : min_process_variance,
                                     variance_between_processes(unchanged.window, now, unit),
                                     known ? variance_between_processes(unchanged.prior, then, unit) : 0.0});
    // How sure the unchanged ones' mean is, the exact test has asked already; where they had no event at all, asking twice
    // would leave nothing odd.
    double expected = 0.0, variance = ranks ? now.variance : 0.0;
    for (std::size_t i = 0; i < changed.window.size(); ++i) {
        double y = now.mean, v = between;
        if (known && changed.prior[i].trials > 0.0) {
            const LogOdds earlier = log_odds(changed.prior[i], unit);
            v = 1.0 / (1.0 / between + 1.0 / earlier.variance);
            y = v * (then.mean / between + earlier.mean / earlier.variance) + now.mean - then.mean;
        }
        const double weight = changed.window[i].trials / changed.trials;
        expected += weight * y;
        variance += weight * weight * v;
    }
    if (ranks) {
        const LogOdds here = log_odds({changed.events, changed.trials}, unit);
        return normal_upper_tail((here.mean - expected) / std::sqrt(here.variance + variance));
    }
    double p = 0.0, weights = 0.0;
    for (double z = -5.0; z <= 5.0; z += 0.125) {
        const double weight = std::exp(-0.5 * z * z);
        p += weight * binomial_upper_tail(changed.trials,
                                          1.0 / (1.0 + std::exp(-(expected + z * std::sqrt(variance)))),
                                          changed.events);
        weights += weight;
    }
    return p / weights;
}

void classify(ClassComparison& f, const ProcessGroup& changed, const ProcessGroup& unchanged, bool ranks,
              const Tolerances& m) {
    f.p_value = pooled_p_value(changed, unchanged, ranks);
    if (f.canary_value - f.baseline_value <= f.tolerance ||
        f.p_value >= m.significance_level / m.planned_comparisons)
        return;
    const double by_process = process_p_value(changed, unchanged, ranks);
    f.is_worse = by_process < m.max_worse_p_value;
    f.is_suspect = !f.is_worse && by_process < m.max_suspect_p_value;
}

ClassComparison compare_rates(const std::string& kind, const char* figure, const ProcessGroup& changed,
                              const ProcessGroup& unchanged, double margin, const Tolerances& m) {
    ClassComparison f{kind, figure, changed.rate(), unchanged.rate(), margin, 1.0, false, false};
    classify(f, changed, unchanged, false, m);
    return f;
}

double total_count(const LatencyCounts& b) {
    return std::accumulate(b.begin(), b.end(), 0.0);
}

// P(x > y) + P(x = y) / 2 for x of the one and y of the other: the Mann-Whitney statistic over its greatest value. Times
// of one bin are ties.
double mann_whitney_effect(const LatencyCounts& x, const LatencyCounts& y) {
    const double nx = total_count(x), ny = total_count(y);
    if (nx <= 0.0 || ny <= 0.0)
        return 0.5;
    double below = 0.0, wins = 0.0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        wins += x[i] * (below + 0.5 * y[i]);
        below += y[i];
    }
    return wins / (nx * ny);
}

// The first bin above the quantile.
std::size_t first_bin_above(const LatencyCounts& b, double quantile) {
    double n = quantile * total_count(b);
    std::size_t i = 0;
    while (i + 1 < b.size() && (n -= b[i]) > 0.0)
        ++i;
    return i + 1;
}

double count_from_bin(const LatencyCounts& b, std::size_t first) {
    return std::accumulate(b.begin() + static_cast<std::ptrdiff_t>(std::min(first, b.size())), b.end(), 0.0);
}

const ClassMetrics& metrics_of(const MetricsByClass& all, const std::string& kind) {
    static const ClassMetrics none;
    const auto it = all.find(kind);
    return it == all.end() ? none : it->second;
}

}  // namespace

const char* to_string(CanaryVerdict verdict) {
    static constexpr const char* words[] = {"go", "hold", "stop"};
    return words[static_cast<std::size_t>(verdict)];
}

CanaryAnalysis analyze_canary(const std::vector<ProcessMetrics>& canary,
                              const std::vector<ProcessMetrics>& baseline, const Tolerances& tolerances) {
    CanaryAnalysis analysis;
    for (const ProcessMetrics& s : canary)
        analysis.canary += s.window;
    for (const ProcessMetrics& s : baseline)
        analysis.baseline += s.window;
    std::set<std::string> class_names;
    double canary_requests = 0.0;
    for (const auto& [kind, f] : analysis.canary)
        class_names.insert(kind), canary_requests += f.total();
    for (const auto& [kind, f] : analysis.baseline)
        class_names.insert(kind);
    if (baseline.size() < tolerances.min_baseline_processes) {
        analysis.reason = "too few unchanged processes to compare with";
        return analysis;
    }
    if (canary_requests < tolerances.min_requests) {
        analysis.reason = "too little data: " + std::to_string(static_cast<long>(canary_requests)) +
                          " requests of the changed processes";
        return analysis;
    }
    for (const std::string& kind : class_names) {
        if (metrics_of(analysis.baseline, kind).total() <= 0.0 ||
            metrics_of(analysis.canary, kind).total() <= 0.0)
            continue;
        // Of each process of a group: `part` of its figures.
        const auto group = [&kind](const std::vector<ProcessMetrics>& processes, const auto& part) {
            ProcessGroup g;
            for (const ProcessMetrics& s : processes)
                g.add(part(metrics_of(s.window, kind)), part(metrics_of(s.prior, kind)));
            return g;
        };
        const auto shares = [&](const char* name, const auto& events, const auto& size, double margin) {
            const auto part = [&](const ClassMetrics& f) { return EventRate{events(f), size(f)}; };
            const ProcessGroup a = group(canary, part), b = group(baseline, part);
            if (a.trials > 0.0 && b.trials > 0.0)
                analysis.comparisons.push_back(compare_rates(kind, name, a, b, margin, tolerances));
        };
        const auto all = [](const ClassMetrics& f) { return f.total(); };
        const auto served = [](const ClassMetrics& f) { return total_count(f.latency_counts); };
        shares(
            "errors", [](const ClassMetrics& f) { return f.errors; }, all, tolerances.error_rate);
        shares(
            "refusals", [](const ClassMetrics& f) { return f.shed; }, all, tolerances.shed_rate);
        shares(
            "late", [](const ClassMetrics& f) { return f.late; }, [](const ClassMetrics& f) { return f.ok; },
            tolerances.late_rate);
        const LatencyCounts& before = metrics_of(analysis.baseline, kind).latency_counts;
        const std::size_t slow = first_bin_above(before, 0.99);
        shares(
            "above p99", [slow](const ClassMetrics& f) { return count_from_bin(f.latency_counts, slow); },
            served, tolerances.tail_rate);
        // The effect as a share: of each process against all of the unchanged. A rank's variance is a twelfth at most.
        const auto ranks = [&](const ClassMetrics& f) {
            return EventRate{mann_whitney_effect(f.latency_counts, before) * served(f), served(f)};
        };
        const ProcessGroup a = group(canary, ranks), b = group(baseline, ranks);
        if (a.trials <= 0.0 || b.trials <= 0.0)
            continue;
        ClassComparison f{kind, "time", a.rate(), b.rate(), tolerances.slower_probability - 0.5,
                          1.0,  false,  false};
        classify(f, a, b, true, tolerances);
        analysis.comparisons.push_back(f);
    }
    analysis.verdict = CanaryVerdict::pass;
    const ClassComparison* worst = nullptr;
    for (const ClassComparison& f : analysis.comparisons)
        if ((f.is_worse || f.is_suspect) &&
            (worst == nullptr || (f.is_worse != worst->is_worse ? f.is_worse : f.p_value < worst->p_value)))
            worst = &f;
    if (worst == nullptr)
        return analysis;
    analysis.verdict = worst->is_worse ? CanaryVerdict::fail : CanaryVerdict::inconclusive;
    analysis.is_suspect = !worst->is_worse;
    char text[200];
    std::snprintf(text, sizeof text, "%s of %s: %.4f against %.4f of the unchanged, margin %.4f, p %.2g",
                  worst->metric.c_str(), worst->class_name.c_str(), worst->canary_value,
                  worst->baseline_value, worst->tolerance, worst->p_value);
    analysis.reason = text;
    return analysis;
}

}  // namespace cressledge::rollout
