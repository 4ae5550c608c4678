/// A child process of a testbed: started with its output in a file, signalled, and ended with the object.
#pragma once

#include <uv.h>

#include <string>
#include <vector>

#include "net/loop.hpp"

namespace cressledge::fault_injection {

/// Starts `command` (the path of the program, then its arguments) as a child whose output is appended to `log_file`.
/// `handle` must stay valid until `on_exit` has been called and the handle is closed. Returns libuv's error code, 0 for
/// none; the handle must be closed in either case.
int spawn_with_log(uv_loop_t* loop, uv_process_t& handle, const std::vector<std::string>& command,
                   const std::string& log_file, uv_exit_cb on_exit);

/// A running or ended child process.
class ChildProcess {
public:
    /// Starts it as spawn_with_log() does. Throws std::runtime_error where it cannot be started.
    ChildProcess(net::Loop& loop, const std::vector<std::string>& command, const std::string& log_file);
    /// Kills it if it still runs, and waits for it.
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Does nothing after it has ended.
    void send_signal(int signal) {
        if (is_running_)
            uv_process_kill(&handle_, signal);
    }
    /// Whether it has not ended yet, as of the last turn of the loop.
    bool is_running() const { return is_running_; }
    /// Once it has ended; -1: by a signal.
    int exit_status() const { return exit_status_; }

private:
    void close_handle();

    net::Loop& loop_;
    uv_process_t handle_{};
    bool is_running_ = false, is_closed_ = false;
    int exit_status_ = 0;
};

}  // namespace cressledge::fault_injection
