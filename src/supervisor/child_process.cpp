#include "supervisor/child_process.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

extern char** environ;

namespace cressledge::supervisor {
namespace {

constexpr const char* own_variable_prefix = "CRESSLEDGE_";
constexpr mode_t log_file_mode = 0644;
constexpr std::size_t standard_streams = 3;

/// Returns the environment of this process without the variables that the program itself reads.
std::vector<std::string> inherited_environment() {
    std::vector<std::string> variables;
    for (char** entry = environ; *entry != nullptr; ++entry) {
        std::string variable = *entry;
        if (variable.rfind(own_variable_prefix, 0) != 0)
            variables.push_back(std::move(variable));
    }
    return variables;
}

uv_stdio_container_t inherited_descriptor(int descriptor) {
    uv_stdio_container_t container{};
    container.flags = UV_INHERIT_FD;
    container.data.fd = descriptor;
    return container;
}

std::vector<char*> null_terminated_pointers(std::vector<std::string>& strings) {
    std::vector<char*> pointers;
    pointers.reserve(strings.size() + 1);
    for (std::string& string : strings)
        pointers.push_back(string.data());
    pointers.push_back(nullptr);
    return pointers;
}

/// Output descriptor of a child: a log file, closed on destruction, or the standard error of this process.
class ChildOutput {
public:
    explicit ChildOutput(const std::string& log_file) {
        if (!log_file.empty())
            descriptor_ = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_file_mode);
    }
    ~ChildOutput() {
        if (descriptor_ > STDERR_FILENO)
            ::close(descriptor_);
    }
    ChildOutput(const ChildOutput&) = delete;
    ChildOutput& operator=(const ChildOutput&) = delete;

    int descriptor() const { return descriptor_; }

private:
    int descriptor_ = STDERR_FILENO;
};

}  // namespace

std::string to_string(const ExitStatus& status) {
    if (status.signal != 0)
        return "signal " + std::to_string(status.signal);
    return "status " + std::to_string(status.code);
}

ChildProcess::ChildProcess(Generation generation, ListeningSocket admin_socket)
    : generation_(generation),
      admin_socket_(std::move(admin_socket)),
      admin_address_(*net::Address::parse(admin_socket_.address())) {
    handle_.data = this;
}

int ChildProcess::spawn(uv_loop_t* loop, const ChildCommand& command,
                        std::function<void(const ExitStatus&)> on_exit) {
    on_exit_ = std::move(on_exit);
    const ChildOutput output(command.log_file);
    std::vector<std::string> arguments = command.arguments;
    std::vector<std::string> environment = inherited_environment();
    std::vector<uv_stdio_container_t> descriptors(standard_streams,
                                                  inherited_descriptor(output.descriptor()));
    descriptors[STDIN_FILENO] = {};
    descriptors[STDIN_FILENO].flags = UV_IGNORE;
    for (const InheritedSocket& inherited : command.sockets) {
        if (!inherited.socket->is_open())
            continue;
        environment.push_back(std::string(inherited.variable) + '=' + std::to_string(descriptors.size()));
        descriptors.push_back(inherited_descriptor(inherited.socket->descriptor()));
    }
    std::vector<char*> argument_pointers = null_terminated_pointers(arguments);
    std::vector<char*> environment_pointers = null_terminated_pointers(environment);
    uv_process_options_t options{};
    options.file = arguments.front().c_str();
    options.args = argument_pointers.data();
    options.env = environment_pointers.data();
    options.stdio = descriptors.data();
    options.stdio_count = static_cast<int>(descriptors.size());
    options.exit_cb = [](uv_process_t* handle, std::int64_t code, int signal) {
        auto* child = static_cast<ChildProcess*>(handle->data);
        child->is_alive_ = false;
        child->on_exit_({code, signal});
    };
    const int error = uv_spawn(loop, &handle_, &options);
    is_alive_ = error == 0;
    return error;
}

void ChildProcess::send_signal(int signal) {
    if (is_alive_)
        uv_process_kill(&handle_, signal);
}

void ChildProcess::close(std::function<void()> on_closed) {
    on_closed_ = std::move(on_closed);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_), [](uv_handle_t* handle) {
        // The callback may destroy the child that owns it.
        const std::function<void()> callback =
            std::move(static_cast<ChildProcess*>(handle->data)->on_closed_);
        callback();
    });
}

}  // namespace cressledge::supervisor
