#include "fault_injection/child_process.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace cressledge::fault_injection {

int spawn_with_log(uv_loop_t* loop, uv_process_t& handle, const std::vector<std::string>& command,
                   const std::string& log_file, uv_exit_cb on_exit) {
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (const std::string& argument : command)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    uv_stdio_container_t stdio[3]{};
    stdio[1].flags = stdio[2].flags = UV_INHERIT_FD;
    stdio[1].data.fd = stdio[2].data.fd = log;
    uv_process_options_t options{};
    options.file = command[0].c_str();
    options.args = argv.data();
    options.stdio = stdio;
    options.stdio_count = 3;
    options.exit_cb = on_exit;
    const int error = uv_spawn(loop, &handle, &options);
    if (log >= 0)
        ::close(log);
    return error;
}

ChildProcess::ChildProcess(net::Loop& loop, const std::vector<std::string>& command,
                           const std::string& log_file)
    : loop_(loop) {
    handle_.data = this;
    const int error = spawn_with_log(loop.uv(), handle_, command, log_file,
                                     [](uv_process_t* process, std::int64_t status, int signal) {
                                         auto* child = static_cast<ChildProcess*>(process->data);
                                         child->is_running_ = false;
                                         child->exit_status_ = signal != 0 ? -1 : static_cast<int>(status);
                                     });
    is_running_ = error == 0;
    if (error == 0)
        return;
    close_handle();
    throw std::runtime_error(command[0] + ": " + uv_strerror(error));
}

ChildProcess::~ChildProcess() {
    send_signal(SIGKILL);
    while (is_running_)
        loop_.run_once(true);
    close_handle();
}

void ChildProcess::close_handle() {
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_),
             [](uv_handle_t* handle) { static_cast<ChildProcess*>(handle->data)->is_closed_ = true; });
    while (!is_closed_)
        loop_.run_once(true);
}

}  // namespace cressledge::fault_injection
