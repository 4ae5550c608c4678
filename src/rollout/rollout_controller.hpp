/// Executes a rollout: observes the fleet, runs the steps of the state machine, saves its state and sends the specs
/// that it requests. All decisions are made by `RolloutStateMachine`.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "base/timer_queue.hpp"
#include "net/loop.hpp"
#include "rollout/fleet_client.hpp"
#include "rollout/rollout_settings.hpp"
#include "rollout/rollout_state_machine.hpp"
#include "rollout/rollout_store.hpp"

namespace cressledge::rollout {

/// Result of a run; the values are the exit codes of `cressledge roll`.
enum class RolloutResult {
    completed = 0,
    rolled_back = 1,
    /// Another rollout holds the lease of a supervisor.
    rejected = 3,
    interrupted = 4,
};

/// Thrown if a rollout cannot begin because some supervisors are unreachable.
class SupervisorsUnreachable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Runs one rollout on the loop of `cressledge roll` and holds the leases of the supervisors meanwhile.
class RolloutController {
public:
    /// Throws `RolloutStoreError` and `InvalidRolloutState`; see `RolloutStore`.
    RolloutController(net::Loop& loop, base::TimerQueue& timers, const RolloutSettings& settings,
                      const std::string& state_directory);

    /// Runs until the rollout has finished or `interrupt` is called. Continues a rollout that is stored in the
    /// directory. Throws `SupervisorsUnreachable` and `RolloutStoreError`.
    RolloutResult run();

    /// Makes `run` return soon. Completed steps are kept, and another run continues from them.
    void interrupt() { is_interrupted_ = true; }

    /// Requests a rollback; takes effect with the next step.
    void request_rollback(const std::string& reason) { rollback_request_ = reason; }

    /// Returns the current report.
    nlohmann::ordered_json report() const;

private:
    bool begin_rollout(bool has_any_reply);
    bool step_until_durable();
    RolloutResult finish();
    void release_leases();
    void save_state();
    void sleep_until(base::Timestamp end);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const RolloutSettings settings_;
    FleetClient fleet_;
    RolloutStore store_;
    std::optional<RolloutStateMachine> state_machine_;
    /// JSON array of the reports of stages that ended in earlier runs.
    nlohmann::ordered_json earlier_reports_ = nlohmann::ordered_json::array();
    bool is_interrupted_ = false;
    std::optional<std::string> rollback_request_;
    base::Timestamp started_at_{0};
};

}  // namespace cressledge::rollout
