#include "rollout/rollout_controller.hpp"

#include <utility>

#include "base/log.hpp"
#include "rollout/rollout_report.hpp"

namespace cressledge::rollout {
namespace {

using nlohmann::ordered_json;

/// Time within which all supervisors must be reached before a rollout begins.
constexpr base::Duration begin_timeout{10'000'000};
constexpr base::Duration lease_release_timeout{20'000'000};
constexpr base::Duration lease_retry_interval{100'000};

}  // namespace

RolloutController::RolloutController(net::Loop& loop, base::TimerQueue& timers,
                                     const RolloutSettings& settings, const std::string& state_directory)
    : loop_(loop),
      timers_(timers),
      settings_(settings),
      fleet_(loop, timers, settings.supervisor_addresses, settings.plan.name),
      store_(state_directory) {
    std::optional<StoredRollout> stored = store_.load(compute_plan_digest(settings.plan));
    if (!stored)
        return;
    earlier_reports_ = std::move(stored->stage_reports);
    state_machine_.emplace(settings.plan, std::move(stored->state));
}

RolloutResult RolloutController::run() {
    started_at_ = loop_.unix_now();
    // The rollout had finished already, but the earlier run may have ended before it released its leases.
    if (state_machine_ && is_final(state_machine_->state().phase))
        return finish();
    while (!is_interrupted_) {
        const base::Timestamp next_step_at = loop_.unix_now() + settings_.observation_interval;
        if (const auto conflict = fleet_.take_leases()) {
            base::log_error("rollout: rejected reason=\"{}\"", conflict->message);
            if (!state_machine_)
                fleet_.release_leases();
            return RolloutResult::rejected;
        }
        const bool has_any_reply = fleet_.observe();
        const bool has_begun = state_machine_ || begin_rollout(has_any_reply);
        if (has_begun && step_until_durable())
            return finish();
        sleep_until(next_step_at);
    }
    return RolloutResult::interrupted;
}

/// Begins the rollout once the leases and processes of all supervisors are known, because a process that is unknown
/// at the beginning is never changed. Returns whether the rollout has begun.
bool RolloutController::begin_rollout(bool has_any_reply) {
    const LeasedFleet fleet = fleet_.leased_fleet();
    if (fleet.supervisor_count == fleet_.supervisor_count()) {
        state_machine_.emplace(settings_.plan, fleet.processes);
        return true;
    }
    if (has_any_reply && loop_.unix_now() - started_at_ <= begin_timeout)
        return false;
    fleet_.release_leases();
    const std::size_t unreachable_count = fleet_.supervisor_count() - fleet.supervisor_count;
    throw SupervisorsUnreachable(std::to_string(unreachable_count) + " supervisors unreachable");
}

/// Runs one step, saving the state whenever the state machine requires it. Returns whether the rollout has finished.
bool RolloutController::step_until_durable() {
    if (rollback_request_)
        state_machine_->request_rollback(*std::exchange(rollback_request_, std::nullopt));
    for (;;) {
        const RolloutActions actions = state_machine_->step(loop_.unix_now(), fleet_.observations());
        for (const std::string& line : actions.log_lines)
            base::log_info("roll: {}", line);
        if (actions.must_save_state) {
            save_state();
            continue;
        }
        if (!actions.spec_updates.empty())
            fleet_.send_updates(actions.spec_updates);
        return actions.is_finished;
    }
}

RolloutResult RolloutController::finish() {
    release_leases();
    if (state_machine_->state().phase == Phase::completed)
        return RolloutResult::completed;
    return RolloutResult::rolled_back;
}

/// Repeats the release until every supervisor confirms it or `lease_release_timeout` has passed, so that a lost
/// reply does not leave a lease with a finished rollout.
void RolloutController::release_leases() {
    const base::Timestamp release_deadline = loop_.unix_now() + lease_release_timeout;
    fleet_.assume_leases_held();
    while (fleet_.holds_any_lease() && loop_.unix_now() < release_deadline && !is_interrupted_) {
        fleet_.release_leases();
        if (fleet_.holds_any_lease())
            sleep_until(loop_.unix_now() + lease_retry_interval);
    }
}

void RolloutController::save_state() {
    ordered_json reports = earlier_reports_;
    for (const StageReport& report : state_machine_->reports()) {
        if (report.has_ended())
            reports.push_back(to_json(report));
    }
    store_.save(state_machine_->state(), reports);
}

void RolloutController::sleep_until(base::Timestamp end) {
    const base::TimerHandle wake_up = timers_.schedule(end, [] {});
    while (loop_.unix_now() < end && !is_interrupted_)
        loop_.run_once(true);
}

ordered_json RolloutController::report() const {
    ordered_json report = {{"roll", settings_.plan.name}, {"began_us", started_at_.count()}};
    if (!state_machine_)
        return report;
    const RolloutState& state = state_machine_->state();
    report["phase"] = to_string(state.phase);
    report["why"] = state.rollback_reason;
    report["processes"] = state.targets.size();
    report["stages"] = earlier_reports_;
    for (const StageReport& stage : state_machine_->reports())
        report["stages"].push_back(to_json(stage));
    ordered_json samples = ordered_json::array();
    for (const TrafficSample& sample : state_machine_->samples())
        samples.push_back(to_json(sample));
    report["samples"] = std::move(samples);
    return report;
}

}  // namespace cressledge::rollout
