#include "fake_upstream/queue.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace cressledge::fake_upstream {

double Queue::speed(Timestamp now) const {
    if (!cold_since_ || now - *cold_since_ >= nature_.cold_for)
        return 1.0 / slow_;
    const double warm =
        static_cast<double>((now - *cold_since_).count()) / static_cast<double>(nature_.cold_for.count());
    return (nature_.cold_speed + (1.0 - nature_.cold_speed) * warm) / slow_;
}

Queue::Begun Queue::serve(Timestamp now, CallNo call, Random& random) {
    double s = nature_.mean_s;
    if (fails_)
        s = 0.001;
    else if (nature_.law == Law::exponential)
        s = std::exponential_distribution<>(1.0 / nature_.mean_s)(random);
    else if (nature_.law == Law::lognormal)
        s = std::lognormal_distribution<>(std::log(nature_.mean_s) - 0.5 * std::log(2.0),
                                          std::sqrt(std::log(2.0)))(random);
    if (!fails_)
        s /= speed(now);
    return {call, now + Duration(std::max<std::int64_t>(1, std::llround(s * 1e6)))};
}

std::optional<Queue::Begun> Queue::arrive(Timestamp now, CallNo call, Random& random) {
    if (served_.size() >= nature_.slots) {
        waiting_.emplace_back(call, now);
        return std::nullopt;
    }
    served_.emplace(call, now);
    return serve(now, call, random);
}

std::optional<Queue::Begun> Queue::leave(Timestamp now, CallNo call, Random& random) {
    const auto it = served_.find(call);
    if (it == served_.end()) {
        std::erase_if(waiting_, [call](const auto& w) { return w.first == call; });
        return std::nullopt;
    }
    latency_ +=
        (latency_ <= 0.0 ? 1.0 : 0.05) * (static_cast<double>((now - it->second).count()) * 1e-6 - latency_);
    served_.erase(it);
    if (waiting_.empty() || served_.size() >= nature_.slots)
        return std::nullopt;
    const auto [next, since] = waiting_.front();
    waiting_.pop_front();
    served_.emplace(next, since);
    return serve(now, next, random);
}

void Queue::restart(Timestamp now) {
    served_.clear();
    waiting_.clear();
    latency_ = 0.0;
    cold_since_ = now;
}

load_balancing::LoadReport Queue::probed(Timestamp now) {
    load_balancing::LoadReport l = load();
    l.in_flight += expected_.expected_calls(now);
    expected_.on_probe(now);
    return l;
}

}  // namespace cressledge::fake_upstream
