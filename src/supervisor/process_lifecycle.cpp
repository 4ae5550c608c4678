#include "supervisor/process_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::supervisor {
namespace {

/// Upper limit of the crash counter.
constexpr std::uint32_t max_consecutive_crashes = 16;
constexpr std::uint32_t max_backoff_doublings = 10;

}  // namespace

void ProcessLifecycle::start_current(Timestamp now, Actions& actions) {
    if (current_generation_ != no_generation || is_shutting_down_)
        return;
    restart_at_ = Timestamp::max();
    is_current_ready_ = false;
    current_started_at_ = now;
    current_generation_ = launch(now, active_spec_, actions);
}

Generation ProcessLifecycle::launch(Timestamp now, const ProcessSpec& spec, Actions& actions) {
    const Generation generation = ++last_generation_;
    ++start_count_;
    step_deadline_ = now + policy_.ready_timeout;
    actions.push_back({LifecycleAction::Type::start, generation, spec});
    return generation;
}

void ProcessLifecycle::request_spec(Timestamp now, const ProcessSpec& spec, Actions& actions) {
    if (is_shutting_down_)
        return;
    const bool is_handled = change_status_ == ChangeStatus::in_progress || spec == active_spec_;
    if (spec == requested_spec_ && is_handled)
        return;
    requested_spec_ = spec;
    begin_next_change(now, actions);
}

void ProcessLifecycle::finish_change(ChangeStatus status, const std::string& error) {
    change_status_ = status;
    change_error_ = error;
    step_deadline_ = Timestamp::max();
}

void ProcessLifecycle::fail_change(const std::string& error, Actions& actions) {
    finish_change(ChangeStatus::failed, error);
    if (requested_spec_ == pending_spec_)
        requested_spec_ = active_spec_;
    // The current process still runs with the active spec; only the settings file has to be restored.
    actions.push_back({LifecycleAction::Type::restore_settings, no_generation, active_spec_});
}

void ProcessLifecycle::begin_next_change(Timestamp now, Actions& actions) {
    if (is_shutting_down_ || successor_generation_ != no_generation || is_reloading_)
        return;
    if (requested_spec_ == active_spec_) {
        // The request was withdrawn before the change began.
        if (change_status_ == ChangeStatus::in_progress)
            finish_change(ChangeStatus::succeeded, "");
        return;
    }
    change_status_ = ChangeStatus::in_progress;
    change_error_.clear();
    // A change waits until the current process is ready, because otherwise no process would serve if the change failed.
    if (!is_current_ready_)
        return;
    pending_spec_ = requested_spec_;
    if (requested_spec_.program != active_spec_.program) {
        successor_generation_ = launch(now, requested_spec_, actions);
        return;
    }
    is_reloading_ = true;
    step_deadline_ = now + policy_.reload_timeout;
    actions.push_back({LifecycleAction::Type::reload_settings, current_generation_, requested_spec_});
}

void ProcessLifecycle::on_ready(Timestamp now, Generation generation, Actions& actions) {
    if (is_shutting_down_) {
        if (generation == current_generation_ || generation == successor_generation_)
            terminate_all(now, actions);
        return;
    }
    if (generation == successor_generation_ && successor_generation_ != no_generation) {
        replace_current(now, actions);
        begin_next_change(now, actions);
        return;
    }
    if (generation != current_generation_ || is_current_ready_)
        return;
    is_current_ready_ = true;
    step_deadline_ = Timestamp::max();
    begin_next_change(now, actions);
}

void ProcessLifecycle::replace_current(Timestamp now, Actions& actions) {
    if (current_generation_ != no_generation) {
        draining_.push_back({current_generation_, now + policy_.drain_timeout});
        actions.push_back({LifecycleAction::Type::hand_over, current_generation_, {}});
    }
    current_generation_ = std::exchange(successor_generation_, no_generation);
    is_current_ready_ = true;
    current_started_at_ = now;
    consecutive_crashes_ = 0;
    restart_at_ = Timestamp::max();
    active_spec_ = pending_spec_;
    finish_change(ChangeStatus::succeeded, "");
}

void ProcessLifecycle::on_exited(Timestamp now, Generation generation, Actions& actions) {
    if (generation == no_generation)
        return;
    const auto has_exited = [generation](const DrainingProcess& draining) {
        return draining.generation == generation;
    };
    if (std::erase_if(draining_, has_exited) != 0)
        return;
    if (generation == successor_generation_) {
        successor_generation_ = no_generation;
        fail_change("the new program exited before it was ready", actions);
        begin_next_change(now, actions);
        return;
    }
    if (generation == current_generation_)
        on_current_exited(now, actions);
}

void ProcessLifecycle::on_current_exited(Timestamp now, Actions& actions) {
    current_generation_ = no_generation;
    const bool was_ready = std::exchange(is_current_ready_, false);
    if (is_shutting_down_)
        return;
    if (was_ready)
        ++crash_count_;
    if (is_reloading_) {
        is_reloading_ = false;
        fail_change("the process exited while it reloaded the settings", actions);
    }
    if (now - current_started_at_ >= policy_.stable_uptime)
        consecutive_crashes_ = 0;
    else
        consecutive_crashes_ = std::min(consecutive_crashes_ + 1, max_consecutive_crashes);
    if (successor_generation_ == no_generation)
        step_deadline_ = Timestamp::max();
    restart_at_ = now + restart_backoff();
}

Duration ProcessLifecycle::restart_backoff() const {
    const std::uint32_t doublings = std::min(consecutive_crashes_, max_backoff_doublings);
    return std::min(policy_.max_backoff, policy_.initial_backoff * (1U << doublings));
}

void ProcessLifecycle::on_settings_applied(Timestamp now, bool accepted, const std::string& error,
                                           Actions& actions) {
    if (!is_reloading_)
        return;
    is_reloading_ = false;
    if (accepted) {
        active_spec_ = pending_spec_;
        finish_change(ChangeStatus::succeeded, "");
    } else {
        fail_change(error, actions);
    }
    begin_next_change(now, actions);
}

Timestamp ProcessLifecycle::next_deadline() const {
    Timestamp deadline = step_deadline_;
    // A crashed process is not restarted while its successor is starting.
    if (successor_generation_ == no_generation)
        deadline = std::min(deadline, restart_at_);
    for (const DrainingProcess& draining : draining_)
        deadline = std::min(deadline, draining.kill_at);
    return deadline;
}

void ProcessLifecycle::on_timer(Timestamp now, Actions& actions) {
    kill_overdue_draining(now, actions);
    if (restart_at_ <= now && current_generation_ == no_generation && successor_generation_ == no_generation)
        start_current(now, actions);
    if (step_deadline_ > now)
        return;
    step_deadline_ = Timestamp::max();
    if (successor_generation_ != no_generation) {
        abandon_successor(now, actions);
        return;
    }
    if (is_reloading_) {
        on_settings_applied(now, false, "the process did not reload the settings in time", actions);
        return;
    }
    // The process was not ready in time; its exit triggers a restart.
    if (current_generation_ != no_generation && !is_current_ready_)
        actions.push_back({LifecycleAction::Type::kill, current_generation_, {}});
}

void ProcessLifecycle::kill_overdue_draining(Timestamp now, Actions& actions) {
    for (DrainingProcess& draining : draining_) {
        if (draining.kill_at > now)
            continue;
        actions.push_back({LifecycleAction::Type::kill, draining.generation, {}});
        draining.kill_at = Timestamp::max();
    }
}

void ProcessLifecycle::abandon_successor(Timestamp now, Actions& actions) {
    actions.push_back({LifecycleAction::Type::kill, successor_generation_, {}});
    // Its exit is reported later, when it is no longer the successor.
    draining_.push_back({std::exchange(successor_generation_, no_generation), Timestamp::max()});
    fail_change("the new program was not ready in time", actions);
    begin_next_change(now, actions);
}

void ProcessLifecycle::shut_down(Timestamp now, Actions& actions) {
    if (is_shutting_down_)
        return;
    const bool has_crashed = restart_at_ != Timestamp::max() && successor_generation_ == no_generation;
    if (has_crashed)
        start_current(now, actions);
    is_shutting_down_ = true;
    restart_at_ = Timestamp::max();
    if (is_current_ready_)
        terminate_all(now, actions);
}

void ProcessLifecycle::terminate_all(Timestamp now, Actions& actions) {
    step_deadline_ = Timestamp::max();
    for (Generation* generation : {&current_generation_, &successor_generation_}) {
        if (*generation == no_generation)
            continue;
        actions.push_back({LifecycleAction::Type::terminate, *generation, {}});
        draining_.push_back({std::exchange(*generation, no_generation), now + policy_.drain_timeout});
    }
    is_current_ready_ = false;
}

void ProcessLifecycle::clear_change_status() {
    if (change_status_ == ChangeStatus::in_progress)
        return;
    change_status_ = ChangeStatus::none;
    change_error_.clear();
}

bool ProcessLifecycle::is_finished() const {
    return is_shutting_down_ && current_generation_ == no_generation &&
           successor_generation_ == no_generation && draining_.empty();
}

}  // namespace cressledge::supervisor
