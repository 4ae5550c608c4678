/// One child process of a supervisor: its start with inherited sockets, signals to it, and its exit.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "net/stream.hpp"
#include "supervisor/listening_socket.hpp"
#include "supervisor/process_spec.hpp"

namespace cressledge::supervisor {

/// How a process ended.
struct ExitStatus {
    /// Exit code; 0 where a signal ended the process.
    std::int64_t code = 0;
    /// Number of the signal that ended the process; 0: none.
    int signal = 0;
};

/// "signal N" or "status N", as the log and the admin address show it.
std::string to_string(const ExitStatus& status);

/// A socket that a child inherits, and the environment variable that tells the child its descriptor.
struct InheritedSocket {
    const char* variable;
    const ListeningSocket* socket;
};

/// What a child is started with.
struct ChildCommand {
    /// The program, then its arguments.
    std::vector<std::string> arguments;
    std::vector<InheritedSocket> sockets;
    /// File that standard output and standard error are appended to; empty: those of this process.
    std::string log_file;
};

/// Owns the handle of one child process. It must be closed, and its loop run until the close has ended, before it is
/// destroyed. `close` may be called from within the exit callback.
class ChildProcess {
public:
    /// Exit code that stands for a program that could not be started, as in a shell.
    static constexpr std::int64_t cannot_start_code = 127;

    /// `admin_socket` is the child's own, so that it can be asked while its predecessor still runs.
    ChildProcess(Generation generation, ListeningSocket admin_socket);
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Starts the program; returns 0 or a libuv error code. `on_exit` is called once, on a later turn of the loop, and
    /// never after an error.
    int spawn(uv_loop_t* loop, const ChildCommand& command, std::function<void(const ExitStatus&)> on_exit);

    /// Sends a signal, unless the exit has been reported.
    void send_signal(int signal);

    /// Takes note of an exit that the loop did not report: that of a program that was never started.
    void mark_exited() { is_alive_ = false; }

    /// Closes the handle; `on_closed` may destroy this object.
    void close(std::function<void()> on_closed);

    /// The generation that the child was started as.
    Generation generation() const { return generation_; }
    /// The system's id of the process; 0 before it is started.
    int pid() const { return handle_.pid; }
    /// The listening socket of the child's admin address, and that address.
    const ListeningSocket& admin_socket() const { return admin_socket_; }
    const net::Address& admin_address() const { return admin_address_; }

private:
    uv_process_t handle_{};
    const Generation generation_;
    const ListeningSocket admin_socket_;
    const net::Address admin_address_;
    bool is_alive_ = true;
    std::function<void(const ExitStatus&)> on_exit_;
    std::function<void()> on_closed_;
};

}  // namespace cressledge::supervisor
