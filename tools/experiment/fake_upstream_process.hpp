/// Runs the fake upstream service (experiment/fake_upstream_service.hpp) as a child process and sends it commands.
#pragma once

#include <uv.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/loop.hpp"

namespace cressledge::experiment {

/// A running service; the destructor kills it and waits for it.
class FakeUpstreamProcess {
public:
    /// Starts `program` (cressledge_lab) as the service of the experiment in `experiment_file` and waits until its
    /// servers listen. Throws std::runtime_error if it does not start.
    FakeUpstreamProcess(net::Loop& loop, base::TimerQueue& timers, const std::string& program,
                        const std::string& experiment_file);
    ~FakeUpstreamProcess();
    FakeUpstreamProcess(const FakeUpstreamProcess&) = delete;
    FakeUpstreamProcess& operator=(const FakeUpstreamProcess&) = delete;

    /// Sends a command and waits for its reply; null after ten seconds or if the service has ended. Throws
    /// std::runtime_error if the service does not accept the command.
    nlohmann::json request(const nlohmann::json& command);
    /// Sends a command whose reply is ignored. Throws as request() does.
    void send(const nlohmann::json& command);
    /// Address of each server.
    const std::vector<std::string>& addresses() const { return addresses_; }

private:
    void spawn(const std::string& program, const std::string& experiment_file);
    void start_reading();
    void write(const nlohmann::json& command);
    nlohmann::json read_reply();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    uv_process_t process_{};
    uv_pipe_t stdin_pipe_{}, stdout_pipe_{};
    std::string received_;
    std::vector<char> buffer_;
    /// Number of replies to commands of send() that have not arrived yet.
    std::size_t ignored_replies_ = 0;
    /// Process id of the service; 0 if it has ended.
    int pid_ = 0;
    int open_handles_ = 0;
    std::vector<std::string> addresses_;
};

}  // namespace cressledge::experiment
