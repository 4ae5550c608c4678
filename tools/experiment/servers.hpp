// The stand-in servers of an experiment in a process of their own, and how the tool that runs it speaks with them: lines
// of JSON, commands in and answers out. The child ends when its standard input does.
#pragma once

#include <uv.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "experiment/experiment.hpp"
#include "net/loop.hpp"

namespace cressledge::experiment {

int serve_stand_ins(const Experiment& e);  // the child: until its input ends

class Servers {
public:
    // Starts `program` as the child for the experiment in `file`.
    Servers(net::Loop& loop, base::TimerQueue& timers, const std::string& program, const std::string& file);
    ~Servers();  // ends the child and waits for it
    Servers(const Servers&) = delete;
    Servers& operator=(const Servers&) = delete;

    // {"do": "slow"|"fail"|"mend"|"restart"|"observe"|"report", ...}; the answer, or null after ten seconds.
    nlohmann::json ask(const nlohmann::json& command);
    void tell(const nlohmann::json& command);  // its answer is passed over
    const std::vector<std::string>& addresses() const { return addresses_; }
    bool running() const { return pid_ != 0; }

private:
    void write(const nlohmann::json& command);
    nlohmann::json next();
    net::Loop& loop_;
    base::TimerQueue& timers_;
    uv_process_t process_{};
    uv_pipe_t in_{}, out_{};
    std::string got_;
    std::vector<char> buffer_;
    std::size_t owed_ = 0;  // answers that are passed over
    int pid_ = 0;
    int closing_ = 0;
    std::vector<std::string> addresses_;
};

nlohmann::ordered_json json_of(const fake_upstream::LoadImbalance& e);

}  // namespace cressledge::experiment
