/// Rollout testbed: a rollout on real processes. Supervisors run cressledge with fake upstreams, a load driver sends
/// steady load, and the rollout controller runs as a separate process that tests can kill. Counts the outcome of every
/// request.
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

/// Configuration of a testbed: programs, folder, fleet size, load and the settings of its rollout plans.
struct TestbedSpec {
    /// Paths of cressledge and of the program with faults (cressledge_faulty).
    std::string program, faulty_program;
    /// An existing folder for files and logs.
    std::string directory;
    std::size_t processes = 20, supervisors = 4, servers = 10;
    /// Requests per second to the fleet, and mean service time of a call at a server.
    double request_rate_s = 400.0, mean_service_time_s = 0.05;
    /// Settings of every plan, as in a plan's file.
    std::string stages = "[1, 25%, 50%, 100%]";
    double bake_s = 20.0, hold_s = 60.0;
    int observation_interval_ms = 500;
    double min_requests = 150.0;
    std::uint64_t seed = 1;
};

/// A running testbed; the destructor stops all processes that it started.
class RolloutTestbed {
public:
    /// Starts the fake upstreams and writes the files of the supervisors and processes.
    RolloutTestbed(net::Loop& loop, base::TimerQueue& timers, const TestbedSpec& spec);
    ~RolloutTestbed();

    /// Starts the supervisors, waits until every process is ready, and starts the load. Throws std::runtime_error if
    /// that takes longer than 30 s.
    void start_fleet();
    /// Runs the event loop.
    void run(double seconds);

    /// Path that starts the faulty program with that fault.
    std::string faulty_program(const std::string& fault);
    /// Writes a plan and returns its path. `change`: as in a plan's file.
    std::string write_plan(const std::string& name, const std::string& change);
    /// Starts a controller that executes a plan.
    std::unique_ptr<fault_injection::ChildProcess> start_controller(const std::string& plan);
    /// Waits until a controller has ended. Returns its exit status, -1 if a signal ended it, -2 on timeout.
    int wait(fault_injection::ChildProcess& controller, double timeout_s);
    /// The report of a plan's controller; not a JSON object if there is none.
    nlohmann::json report(const std::string& plan) const;
    /// The state saved by a plan's controller, if there is one.
    std::optional<rollout::RolloutState> saved_state(const std::string& plan) const;

    /// The processes of all supervisors that respond, as listed by their admin addresses.
    std::vector<nlohmann::json> processes();
    /// Describes the first inconsistency between the processes and the saved state of a plan; empty if there is none.
    /// `has_ended`: the rollout must also have ended in every process.
    std::string find_inconsistency(const std::string& plan, bool has_ended);
    /// Kills a process, to simulate a crash unrelated to its version.
    void kill_process(const std::string& id);

    /// The load driver; only after start_fleet().
    load_generator::Driver& driver() { return *driver_; }
    /// The fake upstreams.
    fake_upstream::Fleet& servers() { return *servers_; }
    /// The link between the controllers and a supervisor.
    fault_injection::FaultyLink& supervisor_link(std::size_t supervisor) {
        return *supervisor_links_[supervisor];
    }
    /// Stops the load and waits for open requests. Returns the counts of lost, open, unsent and duplicated requests, or
    /// an empty string if there are none.
    std::string drain(double timeout_s);
    /// Fraction of ended requests whose target process last reported another program than TestbedSpec::program.
    double exposure() const;
    /// Restarts the measurement of exposure().
    void reset_exposure() { changed_requests_ = requests_ = 0; }

private:
    std::string file(const std::string& name) const { return spec_.directory + '/' + name; }
    void start_servers();
    void write_supervisor(std::size_t supervisor) const;
    void write_process(std::size_t process) const;
    void start_load(const std::vector<nlohmann::json>& processes);
    void watch_programs();
    /// Requests the processes of a supervisor; calls `on_process` for each.
    void list_processes(const std::string& supervisor,
                        std::function<void(const nlohmann::json& process)> on_process);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const TestbedSpec spec_;
    net::HttpClient http_client_;
    std::unique_ptr<fake_upstream::Fleet> servers_;
    std::vector<std::unique_ptr<fault_injection::ChildProcess>> supervisors_;
    /// Admin addresses of the supervisors, without the links.
    std::vector<std::string> supervisor_addresses_;
    std::vector<std::unique_ptr<fault_injection::FaultyLink>> supervisor_links_;
    std::unique_ptr<load_generator::Driver> driver_;
    /// Ids of the processes by target index of the driver.
    std::vector<std::string> target_ids_;
    /// Ids of the processes that last reported another program than TestbedSpec::program.
    std::set<std::string> changed_processes_;
    base::TimerHandle watch_timer_;
    std::uint64_t changed_requests_ = 0, requests_ = 0;
};

}  // namespace cressledge::experiment
