#include "fake_upstream/server_model.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cressledge::fake_upstream {
namespace {

constexpr double error_service_time_s = 0.001;
/// Weight of one finished call in the moving average of latencies.
constexpr double latency_smoothing = 0.05;

}  // namespace

double ServerModel::speed(Timestamp now) const {
    if (!restarted_at_ || now - *restarted_at_ >= profile_.warm_up_time)
        return 1.0 / slowdown_;
    const double warm_up_progress = static_cast<double>((now - *restarted_at_).count()) /
                                    static_cast<double>(profile_.warm_up_time.count());
    return (profile_.cold_start_speed + (1.0 - profile_.cold_start_speed) * warm_up_progress) / slowdown_;
}

double ServerModel::service_time_s(Random& random) const {
    const double mean = profile_.mean_service_time_s;
    switch (profile_.service_time_distribution) {
        case ServiceTimeDistribution::exponential:
            return std::exponential_distribution<>(1.0 / mean)(random);
        case ServiceTimeDistribution::lognormal:
            return std::lognormal_distribution<>(std::log(mean) - 0.5 * std::log(2.0),
                                                 std::sqrt(std::log(2.0)))(random);
        case ServiceTimeDistribution::constant:
            break;
    }
    return mean;
}

ServerModel::ServiceStart ServerModel::start_service(Timestamp now, CallId call, Random& random) {
    const double seconds = failing_ ? error_service_time_s : service_time_s(random) / speed(now);
    return {call, now + Duration(std::max<std::int64_t>(1, std::llround(seconds * 1e6)))};
}

std::optional<ServerModel::ServiceStart> ServerModel::arrive(Timestamp now, CallId call, Random& random) {
    if (in_service_.size() >= profile_.slots) {
        waiting_.emplace_back(call, now);
        return std::nullopt;
    }
    in_service_.emplace(call, now);
    return start_service(now, call, random);
}

std::optional<ServerModel::ServiceStart> ServerModel::depart(Timestamp now, CallId call, Random& random) {
    const auto it = in_service_.find(call);
    if (it == in_service_.end()) {
        std::erase_if(waiting_, [call](const auto& waiting) { return waiting.first == call; });
        return std::nullopt;
    }
    const double latency_s = static_cast<double>((now - it->second).count()) * 1e-6;
    mean_latency_s_ += (mean_latency_s_ <= 0.0 ? 1.0 : latency_smoothing) * (latency_s - mean_latency_s_);
    in_service_.erase(it);
    if (waiting_.empty() || in_service_.size() >= profile_.slots)
        return std::nullopt;
    const auto [next, arrived_at] = waiting_.front();
    waiting_.pop_front();
    in_service_.emplace(next, arrived_at);
    return start_service(now, next, random);
}

void ServerModel::restart(Timestamp now) {
    in_service_.clear();
    waiting_.clear();
    mean_latency_s_ = 0.0;
    restarted_at_ = now;
}

load_balancing::LoadReport ServerModel::answer_probe(Timestamp now) {
    load_balancing::LoadReport report = load_report();
    report.in_flight += expected_calls_.expected_calls(now);
    expected_calls_.on_probe(now);
    return report;
}

}  // namespace cressledge::fake_upstream
