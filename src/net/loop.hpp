// The event loop: libuv, the Unix clock and the one timer that the ordered deadlines need.
#pragma once

#include <uv.h>

#include <functional>
#include <list>

#include "core/deadlines.hpp"

namespace cressledge::net {

class Loop final : public core::Clock {
public:
    explicit Loop(core::Deadlines& deadlines);
    ~Loop() override;
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    core::Time unix_now() override;
    void on_signal(int signal, std::function<void()> what);
    void run();  // until stop()
    void stop();
    void turn(bool wait);  // one round of what is ready
    uv_loop_t* uv() { return &loop_; }

private:
    void arm();
    void due();
    struct Signal {
        uv_signal_t handle{};
        std::function<void()> what;
    };
    core::Deadlines& deadlines_;
    uv_loop_t loop_{};
    uv_timer_t timer_{};
    uv_prepare_t prepare_{};
    std::list<Signal> signals_;
};

}  // namespace cressledge::net
