/// Carries a rollout out: observes the fleet, has each step of the state machine made durable, and sends the specs that
/// it asks for. It decides nothing; see `RolloutStateMachine`.
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

/// How a run ended; the values are exit codes of `cressledge roll`.
enum class RolloutResult {
    completed = 0,
    rolled_back = 1,
    /// Another rollout holds the lease of a supervisor.
    rejected = 3,
    interrupted = 4,
};

/// Supervisors that cannot be reached at the beginning, without whose processes a rollout cannot begin.
class SupervisorsUnreachable : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Runs one rollout on the loop of `cressledge roll`. Holds the leases of the supervisors while it runs.
class RolloutController {
public:
    /// Throws `RolloutStoreError` and `InvalidRolloutState`; see `RolloutStore`.
    RolloutController(net::Loop& loop, base::TimerQueue& timers, const RolloutSettings& settings,
                      const std::string& state_directory);

    /// Runs until the rollout has finished, or `interrupt` was called. A rollout that the directory holds continues
    /// where it was. Throws `SupervisorsUnreachable` and `RolloutStoreError`.
    RolloutResult run();

    /// Has `run` return soon. What was done stays; another run continues from it.
    void interrupt() { is_interrupted_ = true; }

    /// Has the rollout rolled back.
    void request_rollback(const std::string& reason) { rollback_request_ = reason; }

    /// The report as of now.
    nlohmann::ordered_json report() const;

private:
    bool begin_rollout(bool has_any_answer);
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
    /// JSON array of the reports of stages that earlier runs ended.
    nlohmann::ordered_json earlier_reports_ = nlohmann::ordered_json::array();
    bool is_interrupted_ = false;
    std::optional<std::string> rollback_request_;
    base::Timestamp started_at_{0};
};

}  // namespace cressledge::rollout
