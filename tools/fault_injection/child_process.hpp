/// A child process of a testbed, whose output is appended to a file. It ends with the object that owns it.
#pragma once

#include <uv.h>

#include <string>
#include <vector>

#include "net/loop.hpp"

namespace cressledge::fault_injection {

/// Starts `command` (the path of the program, then its arguments) as a child process whose output is appended to
/// `log_file`. `handle` must stay valid until `on_exit` has been called and the handle is closed. Returns 0 or an error
/// code of libuv; the handle must be closed in either case.
int spawn_with_log(uv_loop_t* loop, uv_process_t& handle, const std::vector<std::string>& command,
                   const std::string& log_file, uv_exit_cb on_exit);

/// A running or ended child process.
class ChildProcess {
public:
    /// Starts the process as spawn_with_log() does. Throws std::runtime_error if it cannot be started.
    ChildProcess(net::Loop& loop, const std::vector<std::string>& command, const std::string& log_file);
    /// Kills the process if it is still running, and waits for it to end.
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Sends a signal; does nothing after the process has ended.
    void send_signal(int signal) {
        if (is_running_)
            uv_process_kill(&handle_, signal);
    }
    /// The process id.
    int pid() const { return handle_.pid; }
    /// Whether the process was running at the last iteration of the event loop.
    bool is_running() const { return is_running_; }
    /// Exit status of the ended process; -1 if a signal ended it.
    int exit_status() const { return exit_status_; }

private:
    void close_handle();

    net::Loop& loop_;
    uv_process_t handle_{};
    bool is_running_ = false, is_closed_ = false;
    int exit_status_ = 0;
};

}  // namespace cressledge::fault_injection
