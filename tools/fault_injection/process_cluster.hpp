/// Process cluster for fault injection: many processes of the program on loopback, each with an operator's file of its
/// own, optionally with a relay between them. Starts, signals and ends them by index, and reads their views of the fleet
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

/// The shape of a cluster: the program, its folder, and the common part of each process's operator's file.
struct ClusterSpec {
    /// The path of cressledge.
    std::string program;
    /// An existing folder for files and logs.
    std::string directory;
    std::string fleet = "rig";
    /// Period of the gossip protocol's probes, in ms.
    int probe_ms = 250;
    /// Further lines of the section `fleet` of each operator's file, each indented.
    std::string extra_fleet_settings;
    /// The rest of each operator's file: all but `listen`, `inventory` and `fleet`.
    std::string operator_settings =
        "cores: 1\nstop_ms: 2500\nconnections: 16\nadmission: {descriptors: 256}\n"
        "routing: {probes: false, watch_ms: 0}\nclasses:\n"
        "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n";
    /// The inventory, as CSV.
    std::string inventory = "name,address,protocol,group\nnone,127.0.0.1:9,http,g\n";
    /// Whether the HTTP frontend of each process gets a port known beforehand (ProcessCluster::http_endpoint).
    bool has_known_http_ports = false;
    std::uint64_t seed = 1;
    bool has_relay = true;
};

/// A running cluster. Processes are named by their index in the order they were added.
class ProcessCluster {
public:
    /// Writes the inventory; no process is started yet.
    ProcessCluster(net::Loop& loop, base::TimerQueue& timers, const ClusterSpec& spec);
    /// Kills the processes that still run and waits for them.
    ~ProcessCluster();
    ProcessCluster(const ProcessCluster&) = delete;
    ProcessCluster& operator=(const ProcessCluster&) = delete;

    /// Adds a process that joins through `seeds` and starts it; its index. Throws std::runtime_error where it cannot be
    /// started.
    std::size_t add(const std::vector<std::size_t>& seeds);
    /// Starts a process that has ended again, with the same id and addresses. Throws as add() does.
    void start(std::size_t index);
    /// Kills a process and starts it again once it has ended.
    void restart(std::size_t index);
    /// Does nothing where the process does not run. SIGKILL and SIGTERM are not counted as crashes.
    void send_signal(std::size_t index, int signal);

    /// Processes that were ever added.
    std::size_t size() const { return members_.size(); }
    /// The id in the fleet.
    const std::string& id(std::size_t index) const { return members_[index]->id; }
    /// 0: it does not run.
    pid_t pid(std::size_t index) const { return members_[index]->pid; }
    /// Whether it has been started and neither ended nor been sent a SIGKILL or SIGTERM.
    bool is_running(std::size_t index) const { return members_[index]->is_running; }
    /// Indices of the processes for which is_running().
    std::vector<std::size_t> running_processes() const;
    /// The path of the operator's file.
    const std::string& operator_file(std::size_t index) const { return members_[index]->operator_file; }
    /// Where the others send gossip to it: at the relay, if there is one.
    membership::Endpoint advertised_endpoint(std::size_t index) const { return members_[index]->advertised; }
    /// Its `listen.control`.
    membership::Endpoint admin_endpoint(std::size_t index) const { return members_[index]->admin; }
    /// Port 0 unless ClusterSpec::has_known_http_ports.
    membership::Endpoint http_endpoint(std::size_t index) const { return members_[index]->http; }
    /// Processes that ended without a SIGKILL or SIGTERM from here.
    std::size_t crashes() const { return crashes_; }
    /// Only where ClusterSpec::has_relay.
    Relay& relay() { return *relay_; }

    /// Turns the loop until every process of `observers` reports exactly `expected` alive and none suspect, or until
    /// `deadline`. When each was first seen to report so; nothing: it was not.
    std::vector<std::optional<Timestamp>> wait_for_view(const std::vector<std::size_t>& observers,
                                                        const std::vector<std::size_t>& expected,
                                                        Timestamp deadline);
    /// Waits until the views of all running processes hold all running processes; false: not within `timeout`.
    bool wait_for_agreement(Duration timeout);
    /// Turns the loop.
    void run(Timestamp until);
    /// The metrics of one process; empty if it does not answer.
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
