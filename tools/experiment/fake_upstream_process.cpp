#include "experiment/fake_upstream_process.hpp"

#include <csignal>
#include <stdexcept>

namespace cressledge::experiment {
namespace {

using base::Duration;
using base::Timestamp;
using nlohmann::json;

constexpr Duration reply_timeout{10'000'000};
constexpr std::size_t read_buffer_bytes = 65'536;

template <class Handle>
uv_handle_t* as_handle(Handle& handle) {
    return reinterpret_cast<uv_handle_t*>(&handle);
}

template <class Handle>
uv_stream_t* as_stream(Handle& handle) {
    return reinterpret_cast<uv_stream_t*>(&handle);
}

}  // namespace

FakeUpstreamProcess::FakeUpstreamProcess(net::Loop& loop, base::TimerQueue& timers,
                                         const std::string& program, const std::string& experiment_file)
    : loop_(loop), timers_(timers), buffer_(read_buffer_bytes) {
    uv_pipe_init(loop.uv(), &stdin_pipe_, 0);
    uv_pipe_init(loop.uv(), &stdout_pipe_, 0);
    for (uv_handle_t* handle : {as_handle(stdin_pipe_), as_handle(stdout_pipe_), as_handle(process_)})
        handle->data = this;
    spawn(program, experiment_file);
    start_reading();
    const json first_line = read_reply();
    if (!first_line.is_object())
        throw std::runtime_error("the fake upstream service did not report its addresses");
    addresses_ = first_line.at("addresses").get<std::vector<std::string>>();
}

void FakeUpstreamProcess::spawn(const std::string& program, const std::string& experiment_file) {
    std::string name = program, command = "stand-in", file = experiment_file;
    char* argv[] = {name.data(), command.data(), file.data(), nullptr};
    uv_stdio_container_t stdio[3]{};
    stdio[0].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_READABLE_PIPE);
    stdio[0].data.stream = as_stream(stdin_pipe_);
    stdio[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
    stdio[1].data.stream = as_stream(stdout_pipe_);
    stdio[2].flags = UV_INHERIT_FD;
    stdio[2].data.fd = 2;
    uv_process_options_t options{};
    options.file = name.c_str();
    options.args = argv;
    options.stdio = stdio;
    options.stdio_count = 3;
    options.exit_cb = [](uv_process_t* process, std::int64_t, int) {
        static_cast<FakeUpstreamProcess*>(process->data)->pid_ = 0;
    };
    if (const int error = uv_spawn(loop_.uv(), &process_, &options); error != 0)
        throw std::runtime_error(program + ": " + uv_strerror(error));
    pid_ = process_.pid;
}

void FakeUpstreamProcess::start_reading() {
    uv_read_start(
        as_stream(stdout_pipe_),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            auto* self = static_cast<FakeUpstreamProcess*>(handle->data);
            *buffer = uv_buf_init(self->buffer_.data(), static_cast<unsigned>(self->buffer_.size()));
        },
        [](uv_stream_t* stream, ssize_t length, const uv_buf_t* buffer) {
            auto* self = static_cast<FakeUpstreamProcess*>(stream->data);
            if (length > 0)
                self->received_.append(buffer->base, static_cast<std::size_t>(length));
            if (length < 0)
                uv_read_stop(stream);
        });
}

FakeUpstreamProcess::~FakeUpstreamProcess() {
    if (pid_ != 0)
        uv_process_kill(&process_, SIGKILL);
    while (pid_ != 0)
        loop_.run_once(true);
    for (uv_handle_t* handle : {as_handle(stdin_pipe_), as_handle(stdout_pipe_), as_handle(process_)}) {
        ++open_handles_;
        uv_close(handle, [](uv_handle_t* closed) {
            --static_cast<FakeUpstreamProcess*>(closed->data)->open_handles_;
        });
    }
    while (open_handles_ > 0)
        loop_.run_once(true);
}

json FakeUpstreamProcess::read_reply() {
    const Timestamp deadline = loop_.unix_now() + reply_timeout;
    const base::TimerHandle wake_up = timers_.schedule(deadline, [] {});
    for (;;) {
        const std::size_t end = received_.find('\n');
        if (end != std::string::npos) {
            json reply = json::parse(received_.substr(0, end), nullptr, false);
            received_.erase(0, end + 1);
            if (ignored_replies_ > 0) {
                --ignored_replies_;
                continue;
            }
            return reply;
        }
        if (pid_ == 0 || loop_.unix_now() >= deadline)
            break;
        loop_.run_once(true);
    }
    return {};
}

void FakeUpstreamProcess::write(const json& command) {
    const std::string line = command.dump() + '\n';
    uv_buf_t buffer = uv_buf_init(const_cast<char*>(line.data()), static_cast<unsigned>(line.size()));
    // A command is shorter than the buffer of a pipe, so that one write suffices.
    if (uv_try_write(as_stream(stdin_pipe_), &buffer, 1) != static_cast<int>(line.size()))
        throw std::runtime_error("the fake upstream service did not accept a command");
}

void FakeUpstreamProcess::send(const json& command) {
    write(command);
    ++ignored_replies_;
}

json FakeUpstreamProcess::request(const json& command) {
    write(command);
    return read_reply();
}

}  // namespace cressledge::experiment
