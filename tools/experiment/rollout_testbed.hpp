/// Rollout testbed: a rollout on real processes. Supervisors run the program, fake upstreams stand behind it, a load
/// driver sends steady load in front of it, and the rollout controller runs as a process of its own that may be killed.
/// Counts the outcome of every request.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_upstream/fleet.hpp"
#include "fault_injection/child_process.hpp"
#include "fault_injection/faulty_link.hpp"
#include "load_generator/driver.hpp"
#include "net/http_client.hpp"
#include "rollout/rollout_state_machine.hpp"

namespace cressledge::experiment {

using base::Duration;
using base::Timestamp;

/// The shape of a testbed: programs, folder, fleet size, load and the rollouts' plans.
struct TestbedSpec {
    /// The paths of cressledge, and of the program with faults (cressledge_faulty).
    std::string program, faulty_program;
    /// An existing folder for files and logs.
    std::string directory;
    std::size_t processes = 20, supervisors = 4, servers = 10;
    /// Requests a second, and the mean service time of a server.
    double request_rate_s = 400.0, mean_service_time_s = 0.05;
    /// Of every plan, as in its file.
    std::string stages = "[1, 25%, 50%, 100%]";
    double bake_s = 20.0, hold_s = 60.0;
    int observation_interval_ms = 500;
    double min_requests = 150.0;
    std::uint64_t seed = 1;
};

/// A running testbed; the destructor stops every process it started.
class RolloutTestbed {
public:
    /// Starts the fake upstreams and writes the files of the supervisors and processes.
    RolloutTestbed(net::Loop& loop, base::TimerQueue& timers, const TestbedSpec& spec);
    ~RolloutTestbed();

    /// Starts the supervisors, waits until every process is ready, and starts the load. Throws std::runtime_error where
    /// that takes longer than 30 s.
    void start_fleet();
    /// Turns the loop.
    void run(double seconds);

    /// The path by which the faulty program is started with that fault.
    std::string faulty_program(const std::string& fault);
    /// Writes a plan; its path. `change`: as in a plan's file.
    std::string write_plan(const std::string& name, const std::string& change);
    /// Starts a controller that carries out a plan.
    std::unique_ptr<fault_injection::ChildProcess> start_controller(const std::string& plan);
    /// Waits until a controller has ended. Its exit status; -1: by a signal, -2: not within `timeout_s`.
    int wait(fault_injection::ChildProcess& controller, double timeout_s);
    /// The report of a plan's controller; not an object where there is none.
    nlohmann::json report(const std::string& plan) const;
    /// The state that a plan's controller has saved; nothing where there is none.
    std::optional<rollout::RolloutState> saved_state(const std::string& plan) const;

    /// The processes of every supervisor that answers, as its admin address lists them.
    std::vector<nlohmann::json> processes();
    /// How the processes contradict the saved state of a plan; empty: they do not. `has_ended`: the rollout must also be
    /// over everywhere.
    std::string find_inconsistency(const std::string& plan, bool has_ended);
    /// Kills a process, for no fault of its own.
    void kill_process(const std::string& id);

    /// The load; after start_fleet() only.
    load_generator::Driver& driver() { return *driver_; }
    /// The fake upstreams.
    fake_upstream::Fleet& servers() { return *servers_; }
    /// The link between controllers and a supervisor.
    fault_injection::FaultyLink& supervisor_link(std::size_t supervisor) {
        return *supervisor_links_[supervisor];
    }
    /// Stops the load and waits for open requests. Whether every request had one answer: what is wrong, or empty.
    std::string drain(double timeout_s);
    /// The fraction of requests that processes with another program than the first one answered.
    double exposure() const;
    /// Counts the exposure anew.
    void reset_exposure() { changed_requests_ = requests_ = 0; }

private:
    std::string file(const std::string& name) const { return spec_.directory + '/' + name; }
    void start_servers();
    void write_supervisor(std::size_t supervisor) const;
    void write_process(std::size_t process) const;
    void start_load(const std::vector<nlohmann::json>& processes);
    void watch_programs();
    /// Requests the processes of a supervisor; `on_process` gets each.
    void list_processes(const std::string& supervisor,
                        std::function<void(const nlohmann::json& process)> on_process);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const TestbedSpec spec_;
    net::HttpClient http_client_;
    std::unique_ptr<fake_upstream::Fleet> servers_;
    std::vector<std::unique_ptr<fault_injection::ChildProcess>> supervisors_;
    /// Admin addresses of the supervisors themselves.
    std::vector<std::string> supervisor_addresses_;
    std::vector<std::unique_ptr<fault_injection::FaultyLink>> supervisor_links_;
    std::unique_ptr<load_generator::Driver> driver_;
    /// Of the processes, by target of the driver.
    std::vector<std::string> target_ids_;
    /// Processes that ran another program than the first one when last seen.
    std::set<std::string> changed_processes_;
    base::TimerHandle watch_timer_;
    std::uint64_t changed_requests_ = 0, requests_ = 0;
};

}  // namespace cressledge::experiment
