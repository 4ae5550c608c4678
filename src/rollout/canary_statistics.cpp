#include "rollout/canary_statistics.hpp"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <boost/math/distributions/normal.hpp>
#include <cmath>

namespace cressledge::rollout {
namespace {

/// Variance of a rank that is uniform on 0 to 1; ties make it smaller.
constexpr double uniform_rank_variance = 1.0 / 12.0;
/// Smallest assumed variances of the log odds between processes, for event counts too small to estimate them. They
/// correspond to standard deviations of 0.4 and 0.1.
constexpr double min_process_variance = 0.16;
constexpr double min_process_rank_variance = 0.01;
/// Keeps a probability away from 0 and 1, where the distributions are not defined.
constexpr double min_probability = 1e-12;
/// Integration over a standard normal distribution: steps to each side of its mean, up to five standard deviations.
constexpr int integration_steps = 40;
constexpr double integration_step = 0.125;

/// An estimate of log odds and the variance of that estimate.
struct LogOdds {
    double mean = 0.0;
    double variance = 0.0;
};

double normal_upper_tail(double z) {
    return boost::math::cdf(boost::math::complement(boost::math::normal(), z));
}

/// Returns P(X >= events) for a binomial X.
double binomial_upper_tail(double trials, double probability, double events) {
    if (events <= 0.0)
        return 1.0;
    const double bounded = std::clamp(probability, min_probability, 1.0 - min_probability);
    const boost::math::binomial distribution(std::max(trials, events), bounded);
    return boost::math::cdf(boost::math::complement(distribution, events - 1.0));
}

double logistic(double log_odds) {
    return 1.0 / (1.0 + std::exp(-log_odds));
}

/// Returns the variance of one observation divided by that of an event with the same mean.
double relative_variance(RateType type) {
    return type == RateType::ranks ? 4.0 * uniform_rank_variance : 1.0;
}

LogOdds estimate_log_odds(const EventRate& rate, double unit_variance) {
    const double proportion = (rate.events + 0.5) / (rate.trials + 1.0);
    const double event_variance = proportion * (1.0 - proportion);
    return {std::log(proportion / (1.0 - proportion)), unit_variance / (rate.trials * event_variance)};
}

LogOdds pooled_log_odds(const std::vector<EventRate>& rates, double unit_variance) {
    EventRate sum;
    for (const EventRate& rate : rates) {
        sum.events += rate.events;
        sum.trials += rate.trials;
    }
    return estimate_log_odds(sum, unit_variance);
}

/// Returns the variance of the log odds between processes around `centre`, without the sampling variance of their
/// trials (DerSimonian and Laird).
double variance_between_processes(const std::vector<EventRate>& rates, const LogOdds& centre,
                                  double unit_variance) {
    const double proportion = logistic(centre.mean);
    const double event_variance = proportion * (1.0 - proportion);
    double weighted_squares = 0.0;
    double weight_sum = 0.0;
    double squared_weight_sum = 0.0;
    double process_count = 0.0;
    for (const EventRate& rate : rates) {
        if (rate.trials <= 0.0)
            continue;
        const double weight = rate.trials * event_variance / unit_variance;
        const double mean = estimate_log_odds(rate, unit_variance).mean;
        weighted_squares += weight * (mean - centre.mean) * (mean - centre.mean);
        weight_sum += weight;
        squared_weight_sum += weight * weight;
        process_count += 1.0;
    }
    const double scale = weight_sum > 0.0 ? weight_sum - squared_weight_sum / weight_sum : 0.0;
    if (scale <= 0.0)
        return 0.0;
    return std::max(0.0, (weighted_squares - (process_count - 1.0)) / scale);
}

/// Model of a baseline process: its log odds in the window and before it, and the variance between processes.
struct BaselineModel {
    LogOdds window_log_odds;
    LogOdds prior_log_odds;
    bool has_prior = false;
    double process_variance = 0.0;
};

BaselineModel model_baseline(const ProcessGroup& baseline, RateType type) {
    const double unit_variance = relative_variance(type);
    BaselineModel model;
    model.window_log_odds = pooled_log_odds(baseline.window, unit_variance);
    model.prior_log_odds = pooled_log_odds(baseline.prior, unit_variance);
    model.has_prior = std::any_of(baseline.prior.begin(), baseline.prior.end(),
                                  [](const EventRate& rate) { return rate.trials > 0.0; });
    const double min_variance = type == RateType::ranks ? min_process_rank_variance : min_process_variance;
    model.process_variance = std::max(
        min_variance, variance_between_processes(baseline.window, model.window_log_odds, unit_variance));
    if (model.has_prior)
        model.process_variance =
            std::max(model.process_variance,
                     variance_between_processes(baseline.prior, model.prior_log_odds, unit_variance));
    return model;
}

/// Returns the expected log odds of a process that had the rate `prior` before its change: its own log odds, shrunk
/// towards those of the baseline and shifted by the change of the baseline since.
LogOdds expected_process_log_odds(const BaselineModel& model, const EventRate& prior, RateType type) {
    const double between = model.process_variance;
    if (!model.has_prior || prior.trials <= 0.0)
        return {model.window_log_odds.mean, between};
    const LogOdds own = estimate_log_odds(prior, relative_variance(type));
    const double variance = 1.0 / (1.0 / between + 1.0 / own.variance);
    const double shrunk = variance * (model.prior_log_odds.mean / between + own.mean / own.variance);
    return {shrunk + model.window_log_odds.mean - model.prior_log_odds.mean, variance};
}

/// Returns the expected log odds of a group, with each process weighted by its trials.
LogOdds expected_group_log_odds(const BaselineModel& model, const ProcessGroup& canary, RateType type) {
    LogOdds expected;
    // The pooled test of events already includes the variance of the baseline's mean. Including it here too would make
    // any result look expected if the baseline had no event.
    if (type == RateType::ranks)
        expected.variance = model.window_log_odds.variance;
    for (std::size_t i = 0; i < canary.window.size(); ++i) {
        const LogOdds process = expected_process_log_odds(model, canary.prior[i], type);
        const double weight = canary.window[i].trials / canary.trials;
        expected.mean += weight * process.mean;
        expected.variance += weight * weight * process.variance;
    }
    return expected;
}

/// Returns the upper tail of a binomial distribution whose log odds are normally distributed.
double uncertain_binomial_upper_tail(const ProcessGroup& canary, const LogOdds& expected) {
    double p_value = 0.0;
    double weight_sum = 0.0;
    for (int step = -integration_steps; step <= integration_steps; ++step) {
        const double z = step * integration_step;
        const double weight = std::exp(-0.5 * z * z);
        const double probability = logistic(expected.mean + z * std::sqrt(expected.variance));
        p_value += weight * binomial_upper_tail(canary.trials, probability, canary.events);
        weight_sum += weight;
    }
    return p_value / weight_sum;
}

}  // namespace

void ProcessGroup::add(const EventRate& window_rate, const EventRate& prior_rate) {
    if (window_rate.trials <= 0.0)
        return;
    window.push_back(window_rate);
    prior.push_back(prior_rate);
    events += window_rate.events;
    trials += window_rate.trials;
}

double pooled_p_value(const ProcessGroup& canary, const ProcessGroup& baseline, RateType type) {
    if (type == RateType::events) {
        const double canary_fraction = canary.trials / (canary.trials + baseline.trials);
        return binomial_upper_tail(canary.events + baseline.events, canary_fraction, canary.events);
    }
    const double variance = uniform_rank_variance * (1.0 / canary.trials + 1.0 / baseline.trials);
    return normal_upper_tail((canary.rate() - baseline.rate()) / std::sqrt(variance));
}

double process_p_value(const ProcessGroup& canary, const ProcessGroup& baseline, RateType type) {
    const LogOdds expected = expected_group_log_odds(model_baseline(baseline, type), canary, type);
    if (type == RateType::events)
        return uncertain_binomial_upper_tail(canary, expected);
    const LogOdds observed = estimate_log_odds({canary.events, canary.trials}, relative_variance(type));
    const double deviation = std::sqrt(observed.variance + expected.variance);
    return normal_upper_tail((observed.mean - expected.mean) / deviation);
}

double mann_whitney_effect(const LatencyCounts& x, const LatencyCounts& y) {
    const double x_count = total_count(x);
    const double y_count = total_count(y);
    if (x_count <= 0.0 || y_count <= 0.0)
        return 0.5;
    double smaller_y_count = 0.0;
    double wins = 0.0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        wins += x[i] * (smaller_y_count + 0.5 * y[i]);
        smaller_y_count += y[i];
    }
    return wins / (x_count * y_count);
}

}  // namespace cressledge::rollout
