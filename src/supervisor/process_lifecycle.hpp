/// The lifecycle of one supervised process: its starts, handovers to a successor, settings changes, and restarts after
/// crashes. No I/O: events and the time are the input, actions the output.
///
///   starting -> ready       the process reports readiness
///   starting -> (exited)    not ready in time, or exited first; if it was a successor, the current process continues
///   ready    -> draining    its successor is ready and replaces it; it answers the requests that it has read and exits
///   ready    -> (exited)    an unrequested exit, that is a crash; it is restarted with exponential backoff
///
/// A shutdown ends the serving process and its successor at once. If no process serves, one that is starting is awaited
/// first, or started in place of a crashed one: it answers the requests that wait on the sockets.
///
/// Invariants: there is at most one successor at a time; the serving process is always the last one that became
/// ready; a finished change has either succeeded, or failed and left the previous spec active.
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
    /// Time from the start within which the process must be ready; then it is killed.
    Duration ready_timeout{10'000'000};
    /// Time from a reload request within which the process must apply or reject the settings; then the change fails.
    Duration reload_timeout{5'000'000};
    /// Time from a handover or termination request after which the process is killed.
    Duration drain_timeout{10'000'000};
    /// Base of the restart delay after a crash; the delay doubles with each consecutive crash.
    Duration initial_backoff{200'000};
    /// Upper limit of the restart delay.
    Duration max_backoff{10'000'000};
    /// Uptime after which the count of consecutive crashes starts again at 0.
    Duration stable_uptime{30'000'000};
};

/// An action that the owner of a lifecycle must perform, in the order of the list.
struct LifecycleAction {
    enum class Type {
        /// Start a process of `generation` with `spec`.
        start,
        /// Write the settings of `spec` and make the process of `generation` reload them.
        reload_settings,
        /// Write the settings of `spec`, which are already active; no process reloads them.
        restore_settings,
        /// Make the process of `generation` hand over its sockets to its successor and drain.
        hand_over,
        /// Make the process of `generation` drain and exit.
        terminate,
        /// Kill the process of `generation`.
        kill,
    };

    Type type;
    Generation generation = no_generation;
    ProcessSpec spec;
};

/// State machine of one supervised process. Each event appends the actions to perform to `actions`.
class ProcessLifecycle {
public:
    using Actions = std::vector<LifecycleAction>;

    /// No process runs until `start_current` is called.
    ProcessLifecycle(const ProcessSpec& spec, const SupervisionPolicy& policy)
        : policy_(policy), active_spec_(spec), requested_spec_(spec) {}

    /// Starts a process with the active spec, unless one is running or the lifecycle is shutting down.
    void start_current(Timestamp now, Actions& actions);

    /// Requests another spec. A request during a change waits for its end; only the last request is kept.
    void request_spec(Timestamp now, const ProcessSpec& spec, Actions& actions);

    /// The process of `generation` has become ready.
    void on_ready(Timestamp now, Generation generation, Actions& actions);

    /// The process of `generation` has exited.
    void on_exited(Timestamp now, Generation generation, Actions& actions);

    /// The process has applied or rejected reloaded settings; `error` is the reason if not `accepted`.
    void on_settings_applied(Timestamp now, bool accepted, const std::string& error, Actions& actions);

    /// Handles expired deadlines; to be called at `next_deadline()` or later.
    void on_timer(Timestamp now, Actions& actions);

    /// Time of the next call of `on_timer`; `Timestamp::max()` if there is no deadline.
    Timestamp next_deadline() const;

    /// Terminates all processes as soon as one of them serves; none is started after this call.
    void shut_down(Timestamp now, Actions& actions);

    /// Clears the result of the last change. A change in progress continues.
    void clear_change_status();

    /// Spec of the serving process, or of the process to be restarted after a crash.
    const ProcessSpec& active_spec() const { return active_spec_; }
    /// The spec that was requested last.
    const ProcessSpec& requested_spec() const { return requested_spec_; }

    /// Status of the last requested change.
    ChangeStatus change_status() const { return change_status_; }
    /// Why the last change failed; empty for any other status.
    const std::string& change_error() const { return change_error_; }

    /// The serving process, or `no_generation`.
    Generation serving_generation() const { return is_current_ready_ ? current_generation_ : no_generation; }
    /// The process that serves or is starting without a predecessor, or `no_generation`.
    Generation current_generation() const { return current_generation_; }
    /// The starting process that will replace the current one, or `no_generation`.
    Generation successor_generation() const { return successor_generation_; }

    /// Whether the lifecycle was shut down and every process has exited.
    bool is_finished() const;

    /// Number of processes started.
    std::uint64_t start_count() const { return start_count_; }
    /// Number of unrequested exits of serving processes.
    std::uint64_t crash_count() const { return crash_count_; }

private:
    struct DrainingProcess {
        Generation generation = no_generation;
        Timestamp kill_at{0};
    };

    Generation launch(Timestamp now, const ProcessSpec& spec, Actions& actions);
    void begin_next_change(Timestamp now, Actions& actions);
    void replace_current(Timestamp now, Actions& actions);
    void terminate_all(Timestamp now, Actions& actions);
    void on_current_exited(Timestamp now, Actions& actions);
    void abandon_successor(Timestamp now, Actions& actions);
    void kill_overdue_draining(Timestamp now, Actions& actions);
    Duration restart_backoff() const;
    void finish_change(ChangeStatus status, const std::string& error);
    void fail_change(const std::string& error, Actions& actions);

    const SupervisionPolicy policy_;
    ProcessSpec active_spec_;
    ProcessSpec requested_spec_;
    /// Spec of the change in progress; `requested_spec_` may already be a later one.
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
    /// Deadline of the start or reload in progress.
    Timestamp step_deadline_{Timestamp::max()};
    Timestamp restart_at_{Timestamp::max()};
    std::uint32_t consecutive_crashes_ = 0;
    std::deque<DrainingProcess> draining_;
    std::uint64_t start_count_ = 0;
    std::uint64_t crash_count_ = 0;
};

}  // namespace cressledge::supervisor
