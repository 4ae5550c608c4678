// Rollout testbed: a rollout on real processes. Supervisors run the program, fake upstreams stand behind it, a load
// generator sends steady load in front of it, and the rollout controller runs as a process of its own that may be
// killed. Counts the outcome of every request.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_upstream/fleet.hpp"
#include "fault_injection/child.hpp"
#include "fault_injection/wire.hpp"
#include "load_generator/driver.hpp"
#include "net/http_client.hpp"
#include "rollout/rollout_state_machine.hpp"

namespace cressledge::experiment {

using base::Duration;
using base::Timestamp;

// The shape of a testbed: programs, folder, fleet size, load and rollout stages.
struct Scene {
    std::string program, faulty;  // cressledge, and the program with faults
    std::string folder;  // for files and logs; it exists
    std::size_t processes = 20, supervisors = 4, servers = 10;
    double rate_s = 400.0, mean_s = 0.05;
    std::string stages = "[1, 25%, 50%, 100%]";
    double bake_s = 20.0, hold_s = 60.0;
    int look_ms = 500;
    double least = 150.0;
    std::uint64_t seed = 1;
};

// A running testbed; the destructor stops every process it started.
class RolloutTestbed {
public:
    RolloutTestbed(net::Loop& loop, base::TimerQueue& timers, const Scene& scene);
    ~RolloutTestbed();

    void up();  // until every process is ready; then load. Throws std::runtime_error
    void run(double seconds);
    // The faulty program by the name that gives it that fault.
    std::string faulty(const std::string& fault);
    // Writes a plan; its path. `change` as in the plan's file.
    std::string plan(const std::string& name, const std::string& change);
    // A controller at work on a plan, and until it has ended; its status, -1: by a signal, -2: not within `most_s`.
    std::unique_ptr<fault_injection::Child> start(const std::string& plan);
    int wait(fault_injection::Child& controller, double most_s);
    nlohmann::json report(const std::string& plan) const;  // null: there is none

    std::vector<nlohmann::json> processes();  // of every supervisor that answers
    // What the state in the folder says of each process and does not hold; empty: all is as it says. `ended`: and nothing is under way.
    std::string astray(const std::string& plan, bool ended);
    std::optional<rollout::RolloutState> state(const std::string& plan) const;

    load_generator::Driver& driver() { return *driver_; }
    fake_upstream::Fleet& servers() { return *servers_; }
    fault_injection::Wire& wire(std::size_t supervisor) { return *wires_[supervisor]; }
    // Whether every request had one answer: nothing lost, nothing doubled, nothing open. Stops the load.
    std::string settle(double most_s);
    double met() const;  // share of the requests that processes of another program than the first answered
    void forget() { met_ = all_ = 0; }
    void kill(const std::string& id);  // one process, by no fault of its own

private:
    std::string file(const std::string& name) const { return scene_.folder + '/' + name; }
    void watch();
    net::Loop& loop_;
    base::TimerQueue& timers_;
    const Scene scene_;
    net::HttpClient asks_;
    std::unique_ptr<fake_upstream::Fleet> servers_;
    std::vector<std::unique_ptr<fault_injection::Child>> children_;
    std::vector<std::string> controls_;  // of the supervisors themselves
    std::vector<std::unique_ptr<fault_injection::Wire>> wires_;  // as controllers reach them
    std::unique_ptr<load_generator::Driver> driver_;
    std::vector<std::string> ids_;  // by door
    std::set<std::string> others_;  // processes of another program, as last seen
    base::TimerHandle watch_;
    std::uint64_t met_ = 0, all_ = 0;
};

}  // namespace cressledge::experiment
