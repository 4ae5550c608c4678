// A child process of a rig: started with its output in a file, signalled, and ended with the object.
#pragma once

#include <uv.h>

#include <string>
#include <vector>

#include "net/loop.hpp"

namespace cressledge::fault_injection {

class Child {
public:
    // Throws std::runtime_error where it cannot be started.
    Child(net::Loop& loop, const std::vector<std::string>& words, const std::string& log);
    ~Child();  // kills what runs still, and waits for it
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    void signal(int signal) {
        if (running_)
            uv_process_kill(&handle_, signal);
    }
    bool running() const { return running_; }
    int status() const { return status_; }  // once it has ended by itself; -1: by a signal

private:
    net::Loop& loop_;
    uv_process_t handle_{};
    bool running_ = false, closed_ = false;
    int status_ = 0;
};

}  // namespace cressledge::fault_injection
