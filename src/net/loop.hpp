// The event loop: libuv, the Unix clock, and the one libuv timer that serves all entries of the timer queue.
#pragma once

#include <uv.h>

#include <functional>
#include <list>

#include "base/timer_queue.hpp"

namespace cressledge::net {

/// Runs everything on one thread. Destroying it closes all handles that are left on the loop.
class Loop final : public base::Clock {
public:
    /// Ignores SIGPIPE for the whole process. Throws std::runtime_error when the system gives no event loop.
    explicit Loop(base::TimerQueue& timers);
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// The system clock as a Unix time in microseconds.
    base::Timestamp unix_now() override;

    /// Calls `handler` on the loop for each delivery of `signal`.
    void on_signal(int signal, std::function<void()> handler);

    /// Runs until stop().
    void run();
    /// Ends run() after the present turn of the loop; handles stay open.
    void stop();

    /// Handles what is ready; with `wait`, waits for the next event if nothing is.
    void run_once(bool wait);

    /// libuv's loop, for new handles.
    uv_loop_t* uv() { return &loop_; }

private:
    struct SignalWatcher {
        uv_signal_t handle{};
        std::function<void()> handler;
    };
    void arm_timer();
    void run_due_timers();

    base::TimerQueue& timers_;
    uv_loop_t loop_{};
    uv_timer_t timer_{};
    uv_prepare_t prepare_{};
    std::list<SignalWatcher> signal_watchers_;
};

}  // namespace cressledge::net
