/// Process cluster for fault injection: many processes of cressledge on loopback, each with its own operator's file,
/// optionally with a relay between them. Starts, signals and ends them by index, and reads their membership views
/// through their admin addresses.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fault_injection/relay.hpp"
#include "membership/membership_table.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"

namespace cressledge::fault_injection {

/// Configuration of a cluster: the program, its folder, and the settings common to all operator's files.
struct ClusterSpec {
    /// Path of cressledge.
    std::string program;
    /// An existing folder for files and logs.
    std::string directory;
    std::string fleet = "rig";
    /// Interval between the gossip protocol's probes, in ms.
    int probe_ms = 250;
    /// Additional lines of the section `fleet` of each operator's file, each indented.
    std::string extra_fleet_settings;
    /// All sections of each operator's file except `listen`, `inventory` and `fleet`.
    std::string operator_settings =
        "cores: 1\nstop_ms: 2500\nconnections: 16\nadmission: {descriptors: 256}\n"
        "routing: {probes: false, watch_ms: 0}\nclasses:\n"
        "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n";
    /// The inventory, as CSV.
    std::string inventory = "name,address,protocol,group\nnone,127.0.0.1:9,http,g\n";
    /// Whether the port of each HTTP frontend is chosen before its process starts (ProcessCluster::http_endpoint).
    bool has_known_http_ports = false;
    std::uint64_t seed = 1;
    bool has_relay = true;
};

/// A running cluster. Processes are identified by their index in the order in which they were added.
class ProcessCluster {
public:
    /// Writes the inventory. Starts no process.
    ProcessCluster(net::Loop& loop, base::TimerQueue& timers, const ClusterSpec& spec);
    /// Kills the processes that are still running and waits for them to end.
    ~ProcessCluster();
    ProcessCluster(const ProcessCluster&) = delete;
    ProcessCluster& operator=(const ProcessCluster&) = delete;

    /// Adds and starts a process that joins through `seeds`. Returns its index. Throws std::runtime_error if it cannot
    /// be started.
    std::size_t add(const std::vector<std::size_t>& seeds);
    /// Restarts a process that has ended, with the same id and addresses. Throws as add() does.
    void start(std::size_t index);
    /// Kills a process and starts it again when it has ended.
    void restart(std::size_t index);
    /// Sends a signal; does nothing if the process is not running. An end by SIGKILL or SIGTERM from here is not
    /// counted as a crash.
    void send_signal(std::size_t index, int signal);

    /// Number of processes that have been added.
    std::size_t size() const { return members_.size(); }
    /// Id of the process in the fleet.
    const std::string& id(std::size_t index) const { return members_[index]->id; }
    /// Process id, or 0 if it is not running.
    pid_t pid(std::size_t index) const { return members_[index]->pid; }
    /// Whether the process was started and has neither ended nor been sent SIGKILL or SIGTERM.
    bool is_running(std::size_t index) const { return members_[index]->is_running; }
    /// Indices of the processes for which is_running().
    std::vector<std::size_t> running_processes() const;
    /// Path of the process's operator's file.
    const std::string& operator_file(std::size_t index) const { return members_[index]->operator_file; }
    /// Endpoint to which other processes send gossip: that of the relay, if there is one.
    membership::Endpoint advertised_endpoint(std::size_t index) const { return members_[index]->advertised; }
    /// Its admin address (`listen.control`).
    membership::Endpoint admin_endpoint(std::size_t index) const { return members_[index]->admin; }
    /// Its HTTP frontend; the port is 0 unless ClusterSpec::has_known_http_ports.
    membership::Endpoint http_endpoint(std::size_t index) const { return members_[index]->http; }
    /// Number of times a process ended without SIGKILL or SIGTERM from here.
    std::size_t crashes() const { return crashes_; }
    /// The relay; only if ClusterSpec::has_relay.
    Relay& relay() { return *relay_; }

    /// Runs the event loop until every process of `observers` reports exactly `expected` alive and none suspect, or
    /// until `deadline`. Returns when each was first found to report this, or nothing for those that were not.
    std::vector<std::optional<Timestamp>> wait_for_view(const std::vector<std::size_t>& observers,
                                                        const std::vector<std::size_t>& expected,
                                                        Timestamp deadline);
    /// Waits until the views of all running processes contain exactly the running processes. False on `timeout`.
    bool wait_for_agreement(Duration timeout);
    /// Runs the event loop.
    void run(Timestamp until);
    /// Metrics of one process; empty if it does not respond.
    std::map<std::string, std::uint64_t> metrics(std::size_t index);
    /// One metric summed over all running processes.
    std::uint64_t metric_sum(const std::string& name);

private:
    struct Member {
        std::string id;
        membership::Endpoint advertised, bound, admin, http;
        std::string operator_file;
        pid_t pid = 0;
        bool is_running = false, is_expected_to_end = false, must_restart = false;
    };
    struct Child;
    void write_operator_file(const Member& member, const std::vector<std::size_t>& seeds) const;
    void on_exit(pid_t pid);
    /// Requests `path` from the admin address of a process; `on_reply` gets the body, empty on failure.
    void get(std::size_t index, const std::string& path, std::function<void(const std::string&)> on_reply);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const ClusterSpec spec_;
    std::unique_ptr<Relay> relay_;
    std::vector<std::unique_ptr<Member>> members_;
    net::HttpClient http_client_;
    std::size_t crashes_ = 0, unreaped_ = 0;
};

}  // namespace cressledge::fault_injection
