/// A child process of a supervisor: its start with inherited sockets, signals to it, and its exit.
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

/// Exit status of a process.
struct ExitStatus {
    /// Exit code; 0 if a signal ended the process.
    std::int64_t code = 0;
    /// Number of the signal that ended the process; 0 if none did.
    int signal = 0;
};

/// Returns "signal N" or "status N", as reported in the log and on the admin address.
std::string to_string(const ExitStatus& status);

/// A socket that a child inherits, and the environment variable that holds its descriptor number.
struct InheritedSocket {
    const char* variable;
    const ListeningSocket* socket;
};

/// Arguments, sockets and output with which a child is started.
struct ChildCommand {
    /// Path of the program, followed by its arguments.
    std::vector<std::string> arguments;
    std::vector<InheritedSocket> sockets;
    /// File to which standard output and standard error are appended; empty: the standard error of this process.
    std::string log_file;
};

/// Owns the handle of one child process. Before destruction, `close` must be called and the loop run until the
/// handle is closed. `close` may be called from the exit callback.
class ChildProcess {
public:
    /// Exit code for a program that could not be started, as used by shells.
    static constexpr std::int64_t cannot_start_code = 127;

    /// `admin_socket` belongs to this child alone, so that it can be queried while its predecessor still runs.
    ChildProcess(Generation generation, ListeningSocket admin_socket);
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Starts the program; returns 0 or a libuv error code. On success `on_exit` is called once, in a later
    /// iteration of the loop; after an error it is never called.
    int spawn(uv_loop_t* loop, const ChildCommand& command, std::function<void(const ExitStatus&)> on_exit);

    /// Sends a signal; does nothing before a successful start and after the exit was reported.
    void send_signal(int signal);

    /// Closes the handle, then calls `on_closed`, which may destroy this object.
    void close(std::function<void()> on_closed);

    /// The generation of the child.
    Generation generation() const { return generation_; }
    /// The process id; 0 before the start.
    int pid() const { return handle_.pid; }
    /// The listening socket of the child's admin address.
    const ListeningSocket& admin_socket() const { return admin_socket_; }
    /// The child's admin address.
    const net::Address& admin_address() const { return admin_address_; }

private:
    uv_process_t handle_{};
    const Generation generation_;
    const ListeningSocket admin_socket_;
    const net::Address admin_address_;
    bool is_alive_ = false;
    std::function<void(const ExitStatus&)> on_exit_;
    std::function<void()> on_closed_;
};

}  // namespace cressledge::supervisor
