#include "supervisor/process_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::supervisor {

const char* to_string(ChangeStatus change) {
    static constexpr const char* words[] = {"none", "under way", "done", "failed"};
    return words[static_cast<std::size_t>(change)];
}

void ProcessLifecycle::launch(Timestamp now, Generation& generation, const ProcessSpec& spec,
                              std::vector<LifecycleAction>& out) {
    generation = ++last_generation_;
    ++start_count_;
    step_deadline_ = now + policy_.ready_timeout;
    out.push_back({LifecycleAction::start, generation, spec});
}

void ProcessLifecycle::start_current(Timestamp now, std::vector<LifecycleAction>& out) {
    if (current_generation_ != 0 || is_shutting_down_)
        return;
    restart_at_ = Timestamp::max();
    is_current_ready_ = false;
    current_started_at_ = now;
    launch(now, current_generation_, active_spec_, out);
}

void ProcessLifecycle::request_spec(Timestamp now, const ProcessSpec& spec,
                                    std::vector<LifecycleAction>& out) {
    if (is_shutting_down_)
        return;
    if (spec == requested_spec_ && (change_status_ == ChangeStatus::in_progress || spec == active_spec_))
        return;
    requested_spec_ = spec;
    begin_next_change(now, out);
}

void ProcessLifecycle::finish_change(ChangeStatus status, const std::string& error) {
    change_status_ = status;
    change_error_ = error;
    step_deadline_ = Timestamp::max();
}

void ProcessLifecycle::fail_change(const std::string& error, std::vector<LifecycleAction>& out) {
    finish_change(ChangeStatus::failed, error);
    if (requested_spec_ == pending_spec_)
        requested_spec_ = active_spec_;
    // The file says again what is in force; what serves has never left it.
    out.push_back({LifecycleAction::write_settings, 0, active_spec_});
}

// Begins the next change, if there is one and it may.
void ProcessLifecycle::begin_next_change(Timestamp now, std::vector<LifecycleAction>& out) {
    if (is_shutting_down_ || successor_generation_ != 0 || is_reloading_)
        return;
    if (requested_spec_ == active_spec_) {
        if (change_status_ == ChangeStatus::in_progress)
            finish_change(ChangeStatus::succeeded, "");  // it was taken back before it began
        return;
    }
    change_status_ = ChangeStatus::in_progress;
    change_error_.clear();
    if (!is_current_ready_)
        return;  // what serves has to be up: nothing could go on if the new one fails
    pending_spec_ = requested_spec_;
    if (requested_spec_.program != active_spec_.program)
        return launch(now, successor_generation_, requested_spec_, out);
    is_reloading_ = true;
    step_deadline_ = now + policy_.reload_timeout;
    out.push_back({LifecycleAction::write_settings, current_generation_, requested_spec_});
}

void ProcessLifecycle::on_ready(Timestamp now, Generation generation, std::vector<LifecycleAction>& out) {
    if (generation == successor_generation_ && successor_generation_ != 0) {
        if (current_generation_ != 0) {
            draining_.push_back({current_generation_, now + policy_.drain_timeout});
            out.push_back({LifecycleAction::hand_over, current_generation_, {}});
        }
        current_generation_ = std::exchange(successor_generation_, 0);
        is_current_ready_ = true;
        current_started_at_ = now;
        consecutive_crashes_ = 0;
        restart_at_ = Timestamp::max();
        active_spec_ = pending_spec_;
        finish_change(ChangeStatus::succeeded, "");
        return begin_next_change(now, out);
    }
    if (generation != current_generation_ || is_current_ready_)
        return;
    is_current_ready_ = true;
    step_deadline_ = Timestamp::max();
    begin_next_change(now, out);
}

void ProcessLifecycle::on_exited(Timestamp now, Generation generation, std::vector<LifecycleAction>& out) {
    if (generation == 0)
        return;
    if (std::erase_if(draining_,
                      [generation](const DrainingProcess& l) { return l.generation == generation; }) != 0)
        return;
    if (generation == successor_generation_) {
        successor_generation_ = 0;
        fail_change("the new program ended before it was ready", out);
        return begin_next_change(now, out);
    }
    if (generation != current_generation_)
        return;
    current_generation_ = 0;
    const bool was_ready = std::exchange(is_current_ready_, false);
    if (is_shutting_down_)
        return;
    crash_count_ += was_ready ? 1 : 0;
    if (is_reloading_) {
        is_reloading_ = false;
        fail_change("it ended while it read the settings", out);
    }
    consecutive_crashes_ =
        now - current_started_at_ >= policy_.stable_uptime ? 0 : std::min(consecutive_crashes_ + 1, 16U);
    if (successor_generation_ == 0)
        step_deadline_ = Timestamp::max();
    restart_at_ = now + std::min(policy_.max_backoff,
                                 policy_.initial_backoff * (1U << std::min(consecutive_crashes_, 10U)));
}

void ProcessLifecycle::on_settings_applied(Timestamp now, bool accepted, const std::string& error,
                                           std::vector<LifecycleAction>& out) {
    if (!is_reloading_)
        return;
    is_reloading_ = false;
    if (accepted) {
        active_spec_ = pending_spec_;
        finish_change(ChangeStatus::succeeded, "");
    } else {
        fail_change(error, out);
    }
    begin_next_change(now, out);
}

Timestamp ProcessLifecycle::next_deadline() const {
    Timestamp at = successor_generation_ == 0 ? std::min(step_deadline_, restart_at_) : step_deadline_;
    for (const DrainingProcess& l : draining_)
        at = std::min(at, l.kill_at);
    return at;
}

void ProcessLifecycle::on_timer(Timestamp now, std::vector<LifecycleAction>& out) {
    for (DrainingProcess& l : draining_) {
        if (l.kill_at > now)
            continue;
        out.push_back({LifecycleAction::kill, l.generation, {}});
        l.kill_at = Timestamp::max();
    }
    if (restart_at_ <= now && current_generation_ == 0 && successor_generation_ == 0)
        start_current(now, out);
    if (step_deadline_ > now)
        return;
    step_deadline_ = Timestamp::max();
    if (successor_generation_ != 0) {
        out.push_back({LifecycleAction::kill, successor_generation_, {}});
        // Its end is heard later: it is no longer the one to take over.
        draining_.push_back({std::exchange(successor_generation_, 0), Timestamp::max()});
        fail_change("the new program was not ready in time", out);
        return begin_next_change(now, out);
    }
    if (is_reloading_)
        return on_settings_applied(now, false, "no word on whether the settings were taken", out);
    if (current_generation_ != 0 && !is_current_ready_)
        out.push_back({LifecycleAction::kill, current_generation_, {}});  // its end starts it again
}

void ProcessLifecycle::shut_down(Timestamp now, std::vector<LifecycleAction>& out) {
    if (is_shutting_down_)
        return;
    is_shutting_down_ = true;
    restart_at_ = step_deadline_ = Timestamp::max();
    for (const Generation g : {current_generation_, successor_generation_})
        if (g != 0)
            out.push_back({LifecycleAction::leave, g, {}});
    for (Generation* g : {&current_generation_, &successor_generation_})
        if (*g != 0)
            draining_.push_back({std::exchange(*g, 0), now + policy_.drain_timeout});
    is_current_ready_ = false;
}

}  // namespace cressledge::supervisor
