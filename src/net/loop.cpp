#include "net/loop.hpp"

#include <chrono>
#include <csignal>
#include <stdexcept>

namespace cressledge::net {

Loop::Loop(base::TimerQueue& timers) : timers_(timers) {
    // Guards against death by a write to a connection that the other side has closed.
    std::signal(SIGPIPE, SIG_IGN);
    if (uv_loop_init(&loop_) != 0)
        throw std::runtime_error("no event loop");
    loop_.data = this;
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    uv_prepare_start(&prepare_, [](uv_prepare_t* p) { static_cast<Loop*>(p->loop->data)->arm_timer(); });
}

Loop::~Loop() {
    uv_walk(
        &loop_,
        [](uv_handle_t* h, void*) {
            if (uv_is_closing(h) == 0)
                uv_close(h, nullptr);
        },
        nullptr);
    // Again where stop() was called meanwhile: it ends a run before the handles have been let go.
    while (uv_loop_close(&loop_) == UV_EBUSY)
        uv_run(&loop_, UV_RUN_DEFAULT);
}

base::Timestamp Loop::unix_now() {
    return std::chrono::duration_cast<base::Timestamp>(std::chrono::system_clock::now().time_since_epoch());
}

void Loop::on_signal(int signal, std::function<void()> handler) {
    SignalWatcher& s = signal_watchers_.emplace_back();
    s.handler = std::move(handler);
    uv_signal_init(&loop_, &s.handle);
    s.handle.data = &s;
    uv_signal_start(
        &s.handle, [](uv_signal_t* h, int) { static_cast<SignalWatcher*>(h->data)->handler(); }, signal);
}

void Loop::arm_timer() {
    const auto next = timers_.next_due();
    if (!next) {
        uv_timer_stop(&timer_);
        return;
    }
    // libuv counts whole milliseconds from a cached clock: both are allowed for, so that nothing comes early.
    uv_update_time(&loop_);
    const auto left = (*next - unix_now()).count();
    const std::uint64_t ms = left <= 0 ? 0 : static_cast<std::uint64_t>((left + 999) / 1000);
    uv_timer_start(
        &timer_, [](uv_timer_t* t) { static_cast<Loop*>(t->loop->data)->run_due_deadlines(); }, ms, 0);
}

void Loop::run_due_deadlines() {
    timers_.run_due(unix_now());
}

void Loop::run() {
    uv_run(&loop_, UV_RUN_DEFAULT);
}
void Loop::stop() {
    uv_stop(&loop_);
}
void Loop::run_once(bool wait) {
    uv_run(&loop_, wait ? UV_RUN_ONCE : UV_RUN_NOWAIT);
}

}  // namespace cressledge::net
