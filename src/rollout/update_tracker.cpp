#include "rollout/update_tracker.hpp"

namespace cressledge::rollout {
namespace {

/// Time after which a process that has not started its update is sent the spec again.
constexpr Duration retry_interval{1'000'000};

}  // namespace

void UpdateTracker::reset() {
    requested_at_.clear();
    confirmed_.clear();
}

bool UpdateTracker::is_request_due(Timestamp now, const std::string& process_id,
                                   const ProcessObservation& observation) const {
    if (observation.change_status == supervisor::ChangeStatus::in_progress)
        return false;
    const auto requested = requested_at_.find(process_id);
    return requested == requested_at_.end() || now - requested->second >= retry_interval;
}

}  // namespace cressledge::rollout
