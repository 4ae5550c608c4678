#include "fault_injection/child.hpp"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <stdexcept>

namespace cressledge::fault_injection {

Child::Child(net::Loop& loop, const std::vector<std::string>& words, const std::string& log) : loop_(loop) {
    std::vector<char*> argv;
    for (const std::string& w : words)
        argv.push_back(const_cast<char*>(w.c_str()));
    argv.push_back(nullptr);
    const int to = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    uv_stdio_container_t io[3]{};
    io[1].flags = io[2].flags = UV_INHERIT_FD;
    io[1].data.fd = io[2].data.fd = to;
    uv_process_options_t options{};
    options.file = words[0].c_str();
    options.args = argv.data();
    options.stdio = io;
    options.stdio_count = 3;
    options.exit_cb = [](uv_process_t* p, std::int64_t status, int by) {
        auto* me = static_cast<Child*>(p->data);
        me->running_ = false;
        me->status_ = by != 0 ? -1 : static_cast<int>(status);
    };
    handle_.data = this;
    const int bad = uv_spawn(loop.uv(), &handle_, &options);
    if (to >= 0)
        ::close(to);
    running_ = bad == 0;
    if (bad == 0)
        return;
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_),
             [](uv_handle_t* h) { static_cast<Child*>(h->data)->closed_ = true; });
    while (!closed_)
        loop_.run_once(true);
    throw std::runtime_error(words[0] + ": " + uv_strerror(bad));
}

Child::~Child() {
    signal(SIGKILL);
    while (running_)
        loop_.run_once(true);
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_),
             [](uv_handle_t* h) { static_cast<Child*>(h->data)->closed_ = true; });
    while (!closed_)
        loop_.run_once(true);
}

}  // namespace cressledge::fault_injection
