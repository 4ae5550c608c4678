#include "policy/failure_detector.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"
#include "policy/time_conversions.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double degraded_failure_fraction = 0.2;
constexpr double failing_failure_fraction = 0.5;
constexpr double gain = 0.12;  // per run
constexpr double hang_run_multiple = 6.0;  // multiples of the mean run time
constexpr Duration min_hang{800'000};

}  // namespace

void FailureDetector::record_run(bool failed) {
    update_average(failure_fraction_, failed ? 1.0 : 0.0, gain);
    failing_ = failure_fraction_ > failing_failure_fraction ||
               (failing_ && failure_fraction_ >= degraded_failure_fraction);
}

void FailureDetector::record_progress(Timestamp now) {
    last_progress_ = now;
    hung_ = false;
}

void FailureDetector::update(Timestamp now, double running, double run_seconds) {
    if (running < 1.0)
        last_progress_ = now;
    hung_ = now - last_progress_ > std::max(min_hang, from_seconds(hang_run_multiple * run_seconds));
}

bool FailureDetector::degraded() const {
    return failure_fraction_ > degraded_failure_fraction;
}

}  // namespace cressledge::policy::aces
