#include "net/loop.hpp"

#include <chrono>
#include <csignal>
#include <stdexcept>

namespace cressledge::net {
namespace {

constexpr std::int64_t microseconds_per_millisecond = 1000;

std::uint64_t milliseconds_rounded_up(std::int64_t microseconds) {
    if (microseconds <= 0)
        return 0;
    return static_cast<std::uint64_t>((microseconds + microseconds_per_millisecond - 1) /
                                      microseconds_per_millisecond);
}

}  // namespace

Loop::Loop(base::TimerQueue& timers) : timers_(timers) {
    // A write to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    if (uv_loop_init(&loop_) != 0)
        throw std::runtime_error("cannot initialize the event loop");
    loop_.data = this;
    uv_timer_init(&loop_, &timer_);
    uv_prepare_init(&loop_, &prepare_);
    uv_prepare_start(&prepare_,
                     [](uv_prepare_t* prepare) { static_cast<Loop*>(prepare->loop->data)->arm_timer(); });
}

Loop::~Loop() {
    uv_walk(
        &loop_,
        [](uv_handle_t* handle, void*) {
            if (uv_is_closing(handle) == 0)
                uv_close(handle, nullptr);
        },
        nullptr);
    // An earlier stop() ends the first uv_run() before all handles have been closed.
    while (uv_loop_close(&loop_) == UV_EBUSY)
        uv_run(&loop_, UV_RUN_DEFAULT);
}

base::Timestamp Loop::unix_now() {
    return std::chrono::duration_cast<base::Timestamp>(std::chrono::system_clock::now().time_since_epoch());
}

void Loop::on_signal(int signal, std::function<void()> handler) {
    SignalWatcher& watcher = signal_watchers_.emplace_back();
    watcher.handler = std::move(handler);
    uv_signal_init(&loop_, &watcher.handle);
    watcher.handle.data = &watcher;
    uv_signal_start(
        &watcher.handle,
        [](uv_signal_t* handle, int) { static_cast<SignalWatcher*>(handle->data)->handler(); }, signal);
}

void Loop::arm_timer() {
    const auto next = timers_.next_due();
    if (!next) {
        uv_timer_stop(&timer_);
        return;
    }
    // libuv counts whole milliseconds from a cached time. Refreshing that time and rounding the wait up ensures that no
    // timer fires early.
    uv_update_time(&loop_);
    const std::uint64_t wait_ms = milliseconds_rounded_up((*next - unix_now()).count());
    uv_timer_start(
        &timer_, [](uv_timer_t* timer) { static_cast<Loop*>(timer->loop->data)->run_due_timers(); }, wait_ms,
        0);
}

void Loop::run_due_timers() {
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
