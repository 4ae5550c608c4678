// The event loop: wraps libuv, provides the Unix clock and runs the timer queue with a single libuv timer.
#pragma once

#include <uv.h>

#include <functional>
#include <list>

#include "base/timer_queue.hpp"

namespace cressledge::net {

/// The process's single-threaded event loop. The destructor closes all handles left on the loop.
class Loop final : public base::Clock {
public:
    /// Ignores SIGPIPE for the whole process. Throws std::runtime_error if libuv cannot initialize the loop.
    explicit Loop(base::TimerQueue& timers);
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// The system clock's Unix time in microseconds.
    base::Timestamp unix_now() override;

    /// Calls `handler` on the loop for each delivery of `signal`.
    void on_signal(int signal, std::function<void()> handler);

    /// Runs until stop().
    void run();
    /// Ends run() after the current loop iteration; handles stay open.
    void stop();

    /// Runs one loop iteration. With `wait`, blocks until an event occurs if none is ready.
    void run_once(bool wait);

    /// The libuv loop, for creating handles.
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
