#include "policy/failure_detector.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double degraded_share = 0.2;  // of own runs
constexpr double failing_share = 0.5;  // of own runs
constexpr double gain = 0.12;  // share a run
constexpr double hang_run_times = 6.0;  // mean run times
constexpr Duration min_hang{800'000};

}  // namespace

void FailureDetector::record_run(bool failed) {
    update_average(failure_share_, failed ? 1.0 : 0.0, gain);
    failing_ = failure_share_ > failing_share || (failing_ && failure_share_ >= degraded_share);
}

void FailureDetector::record_progress(Timestamp now) {
    last_progress_ = now;
    hung_ = false;
}

void FailureDetector::update(Timestamp now, double running, double run_seconds) {
    if (running < 1.0)
        last_progress_ = now;
    hung_ = now - last_progress_ > std::max(min_hang, from_seconds(hang_run_times * run_seconds));
}

bool FailureDetector::degraded() const {
    return failure_share_ > degraded_share;
}

}  // namespace cressledge::policy::aces
