// The life of one process that a supervisor keeps up: its starts, hand-overs to another program, changes of settings, and
// restarts after crashes. No I/O: events and time in, actions out.
//
//   starting -> ready       it says that it is ready
//   starting -> (ended)     not ready in time, or ended first: if it was to take over, the one before goes on
//   ready    -> draining    another one is ready and takes its place; it answers what it has read, and ends
//   ready    -> (ended)     nobody told it to: a crash; the same is started again, later after each in a row
//
// Invariants: at most one process is to take over at a time; what serves is always the last one that was ready; a change
// is done, or has failed and left the one before in force.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::supervisor {

using base::Duration;
using base::Timestamp;
using Generation = std::uint64_t;  // of the processes of one life, from 1; 0: none

struct ProcessSpec {  // what is to run
    std::string program;
    std::string overlay;  // settings over the operator's file, as YAML; empty: none
    bool operator==(const ProcessSpec&) const = default;
};

struct SupervisionPolicy {
    Duration ready_timeout{10'000'000};  // from a start
    Duration reload_timeout{5'000'000};  // from a signal to read the settings
    Duration drain_timeout{10'000'000};  // from a hand-over; then it is ended
    Duration initial_backoff{200'000}, max_backoff{10'000'000};  // after a crash, doubled with each in a row
    Duration stable_uptime{30'000'000};  // a process that has lived so long has not crashed in a row
};

enum class ChangeStatus : std::uint8_t { none, in_progress, succeeded, failed };
const char* to_string(ChangeStatus change);

struct LifecycleAction {
    enum Type {
        start,  // a process of `generation`, by `spec`
        write_settings,  // of `spec`, for what runs; then tell it to read them
        hand_over,  // `generation` gives its place to another
        leave,  // `generation` is told to end
        kill,
    } type;
    Generation generation = 0;
    ProcessSpec spec;
};

class ProcessLifecycle {
public:
    ProcessLifecycle(ProcessSpec spec, const SupervisionPolicy& rules)
        : policy_(rules), active_spec_(spec), requested_spec_(std::move(spec)) {}

    void start_current(Timestamp now, std::vector<LifecycleAction>& out);
    // Another spec. While a change is under way the later one waits for its end.
    void request_spec(Timestamp now, const ProcessSpec& spec, std::vector<LifecycleAction>& out);
    void on_ready(Timestamp now, Generation generation, std::vector<LifecycleAction>& out);
    void on_exited(Timestamp now, Generation generation, std::vector<LifecycleAction>& out);
    void on_settings_applied(Timestamp now, bool accepted, const std::string& error,
                             std::vector<LifecycleAction>& out);
    void on_timer(Timestamp now, std::vector<LifecycleAction>& out);  // at next() or later
    Timestamp next_deadline() const;  // Timestamp::max(): nothing is due
    void shut_down(Timestamp now, std::vector<LifecycleAction>& out);  // all of it; nothing is started again

    const ProcessSpec& active_spec() const {
        return active_spec_;
    }  // of what serves, or is to serve again after a crash
    const ProcessSpec& requested_spec() const { return requested_spec_; }
    void clear_change_status() {  // how the last change ended; one that is under way goes on
        if (change_status_ == ChangeStatus::in_progress)
            return;
        change_status_ = ChangeStatus::none;
        change_error_.clear();
    }
    ChangeStatus change_status() const { return change_status_; }
    const std::string& change_error() const { return change_error_; }  // of a failed change
    Generation serving_generation() const { return is_current_ready_ ? current_generation_ : 0; }
    Generation current_generation() const { return current_generation_; }  // serving or to serve
    Generation successor_generation() const { return successor_generation_; }
    bool is_finished() const {
        return is_shutting_down_ && current_generation_ == 0 && successor_generation_ == 0 &&
               draining_.empty();
    }
    std::uint64_t start_count() const { return start_count_; }
    std::uint64_t crash_count() const { return crash_count_; }  // of processes that were serving

private:
    void launch(Timestamp now, Generation& generation, const ProcessSpec& spec,
                std::vector<LifecycleAction>& out);
    void begin_next_change(Timestamp now, std::vector<LifecycleAction>& out);
    void finish_change(ChangeStatus status, const std::string& error);
    void fail_change(const std::string& error, std::vector<LifecycleAction>& out);

    const SupervisionPolicy policy_;
    ProcessSpec active_spec_, requested_spec_, pending_spec_;
    ChangeStatus change_status_ = ChangeStatus::none;
    std::string change_error_;
    Generation current_generation_ = 0, successor_generation_ = 0, last_generation_ = 0;
    bool is_current_ready_ = false, is_reloading_ = false, is_shutting_down_ = false;
    Timestamp current_started_at_{0}, step_deadline_{Timestamp::max()},
        restart_at_{Timestamp::max()};  // limit_: of what is under way; again_: of a restart
    std::uint32_t consecutive_crashes_ = 0;
    struct DrainingProcess {
        Generation generation = 0;
        Timestamp kill_at{0};
    };
    std::deque<DrainingProcess> draining_;
    std::uint64_t start_count_ = 0, crash_count_ = 0;
};

}  // namespace cressledge::supervisor
