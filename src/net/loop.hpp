// The event loop: libuv, the Unix clock and the one timer that the ordered deadlines need.
#pragma once

#include <uv.h>

#include <functional>
#include <list>

#include "base/timer_queue.hpp"

namespace cressledge::net {

class Loop final : public base::Clock {
public:
    explicit Loop(base::TimerQueue& timers);
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    base::Timestamp unix_now() override;
    void on_signal(int signal, std::function<void()> handler);
    void run();  // until stop()
    void stop();
    void run_once(bool wait);  // one round of what is ready
    uv_loop_t* uv() { return &loop_; }

private:
    void arm_timer();
    void run_due_deadlines();
    struct SignalWatcher {
        uv_signal_t handle{};
        std::function<void()> handler;
    };
    base::TimerQueue& timers_;
    uv_loop_t loop_{};
    uv_timer_t timer_{};
    uv_prepare_t prepare_{};
    std::list<SignalWatcher> signal_watchers_;
};

}  // namespace cressledge::net
