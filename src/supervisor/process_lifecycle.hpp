/// The lifecycle of one supervised process: its starts, hand-overs to a successor, changes of settings, and restarts
/// after crashes. No I/O: events and the time come in, actions go out.
///
///   starting -> ready       the process says that it is ready
///   starting -> (exited)    not ready in time, or exited first; if it was a successor, the current process goes on
///   ready    -> draining    its successor is ready and takes its place; it answers what it has read, and exits
///   ready    -> (exited)    without having been told to: a crash; it is restarted with exponential backoff
///
/// Invariants: there is at most one successor at a time; the process that serves is always the last one that became
/// ready; a change has either succeeded, or failed and left the previous spec active.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"
#include "supervisor/process_spec.hpp"

namespace cressledge::supervisor {

using base::Duration;
using base::Timestamp;

/// Timeouts and backoff of a lifecycle.
struct SupervisionPolicy {
    /// From a start until the process must be ready; then it is killed.
    Duration ready_timeout{10'000'000};
    /// From the request to reload settings until the process must have answered; then the change has failed.
    Duration reload_timeout{5'000'000};
    /// From a hand-over or a request to terminate until the process is killed.
    Duration drain_timeout{10'000'000};
    /// From a crash to the restart; doubled with each consecutive crash.
    Duration initial_backoff{200'000};
    Duration max_backoff{10'000'000};
    /// A process that has run for this long ends a row of consecutive crashes.
    Duration stable_uptime{30'000'000};
};

/// What the owner of a lifecycle has to do, in the order given.
struct LifecycleAction {
    enum class Type {
        /// Start a process of `generation` by `spec`.
        start,
        /// Write the settings of `spec` and have the process of `generation` reload them.
        reload_settings,
        /// Write the settings of `spec`, which are active already; no process has to be told.
        restore_settings,
        /// Have the process of `generation` give its sockets to its successor and drain.
        hand_over,
        /// Have the process of `generation` drain and exit.
        terminate,
        /// Kill the process of `generation`.
        kill,
    };

    Type type;
    Generation generation = no_generation;
    ProcessSpec spec;
};

/// State machine of one supervised process. Each event appends the actions that follow from it.
class ProcessLifecycle {
public:
    using Actions = std::vector<LifecycleAction>;

    /// Nothing runs until `start_current`.
    ProcessLifecycle(const ProcessSpec& spec, const SupervisionPolicy& policy)
        : policy_(policy), active_spec_(spec), requested_spec_(spec) {}

    /// Starts the process by the active spec, unless there is one or the lifecycle is shutting down.
    void start_current(Timestamp now, Actions& actions);

    /// Asks for another spec. While a change is in progress a later one waits for its end; only the last one counts.
    void request_spec(Timestamp now, const ProcessSpec& spec, Actions& actions);

    /// The process of `generation` says that it is ready.
    void on_ready(Timestamp now, Generation generation, Actions& actions);

    /// The process of `generation` has exited.
    void on_exited(Timestamp now, Generation generation, Actions& actions);

    /// The process has answered a reload; `error` says why where it was not accepted.
    void on_settings_applied(Timestamp now, bool accepted, const std::string& error, Actions& actions);

    /// Takes what is due; to be called at `next_deadline()` or later.
    void on_timer(Timestamp now, Actions& actions);

    /// When `on_timer` is next to be called; `Timestamp::max()` where nothing is due.
    Timestamp next_deadline() const;

    /// Ends all processes; nothing is started again.
    void shut_down(Timestamp now, Actions& actions);

    /// Forgets how the last change ended. A change that is in progress goes on.
    void clear_change_status();

    /// Spec of the process that serves, or that is to be restarted after a crash.
    const ProcessSpec& active_spec() const { return active_spec_; }
    /// The spec that was asked for last.
    const ProcessSpec& requested_spec() const { return requested_spec_; }

    /// How the last requested change ended, or that it is in progress.
    ChangeStatus change_status() const { return change_status_; }
    /// Why the last change failed; empty for any other status.
    const std::string& change_error() const { return change_error_; }

    /// The process that serves, or `no_generation`.
    Generation serving_generation() const { return is_current_ready_ ? current_generation_ : no_generation; }
    /// The process that serves or is being started to serve, or `no_generation`.
    Generation current_generation() const { return current_generation_; }
    /// The process that is to replace the current one, or `no_generation`.
    Generation successor_generation() const { return successor_generation_; }

    /// Whether it was shut down and every process has exited.
    bool is_finished() const;

    /// Processes started in all generations.
    std::uint64_t start_count() const { return start_count_; }
    /// Unrequested exits of processes that were serving.
    std::uint64_t crash_count() const { return crash_count_; }

private:
    struct DrainingProcess {
        Generation generation = no_generation;
        Timestamp kill_at{0};
    };

    Generation launch(Timestamp now, const ProcessSpec& spec, Actions& actions);
    void begin_next_change(Timestamp now, Actions& actions);
    void replace_current(Timestamp now, Actions& actions);
    void on_current_exited(Timestamp now, Actions& actions);
    void abandon_successor(Timestamp now, Actions& actions);
    void kill_overdue_draining(Timestamp now, Actions& actions);
    Duration restart_backoff() const;
    void finish_change(ChangeStatus status, const std::string& error);
    void fail_change(const std::string& error, Actions& actions);

    const SupervisionPolicy policy_;
    ProcessSpec active_spec_;
    ProcessSpec requested_spec_;
    /// Spec of the change in progress; `requested_spec_` may have moved on meanwhile.
    ProcessSpec pending_spec_;
    ChangeStatus change_status_ = ChangeStatus::none;
    std::string change_error_;
    Generation current_generation_ = no_generation;
    Generation successor_generation_ = no_generation;
    Generation last_generation_ = no_generation;
    bool is_current_ready_ = false;
    bool is_reloading_ = false;
    bool is_shutting_down_ = false;
    Timestamp current_started_at_{0};
    /// When the start or reload in progress has failed.
    Timestamp step_deadline_{Timestamp::max()};
    Timestamp restart_at_{Timestamp::max()};
    std::uint32_t consecutive_crashes_ = 0;
    std::deque<DrainingProcess> draining_;
    std::uint64_t start_count_ = 0;
    std::uint64_t crash_count_ = 0;
};

}  // namespace cressledge::supervisor
