// Process cluster for fault injection: many processes of the program on loopback, each with an operator's file of its
// own, perhaps with a relay between them. Starts, signals and ends them by id, and reads their views of the fleet
// through their control addresses.
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

// The shape of a cluster: the program, its folder, and the common part of each process's operator's file.
struct Plan {
    std::string program;  // the path of cressledge
    std::string folder;  // for files and logs; it exists
    std::string fleet = "rig";
    int probe_ms = 250;
    std::string more;  // further lines of the section `fleet`, each indented
    // The rest of each operator's file: all but `listen`, `inventory` and `fleet`.
    std::string general =
        "cores: 1\nstop_ms: 2500\nconnections: 16\nadmission: {descriptors: 256}\n"
        "routing: {probes: false, watch_ms: 0}\nclasses:\n"
        "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n";
    std::string servers = "name,address,protocol,group\nnone,127.0.0.1:9,http,g\n";  // the inventory
    bool doors = false;  // each process has a front at a port that is known (door)
    std::uint64_t seed = 1;
    bool relay = true;
};

// A running cluster; the destructor kills the processes that still run and waits for them.
class ProcessCluster {
public:
    ProcessCluster(net::Loop& loop, base::TimerQueue& timers, const Plan& plan);
    ~ProcessCluster();  // kills what runs still, and waits for it
    ProcessCluster(const ProcessCluster&) = delete;
    ProcessCluster& operator=(const ProcessCluster&) = delete;

    std::size_t add(const std::vector<std::size_t>& seeds);  // a process that is started; its number
    void start(std::size_t no);  // again: the same id and addresses
    void restart(std::size_t no);  // SIGKILL, and started again once it has ended
    membership::Endpoint door(std::size_t no) const { return members_[no]->web; }
    const std::string& file(std::size_t no) const { return members_[no]->file; }
    membership::Endpoint control(std::size_t no) const { return members_[no]->control; }
    pid_t pid(std::size_t no) const { return members_[no]->pid; }
    void signal(std::size_t no, int signal);
    std::size_t size() const { return members_.size(); }
    const std::string& id(std::size_t no) const { return members_[no]->id; }
    membership::Endpoint place(std::size_t no) const { return members_[no]->place; }
    bool running(std::size_t no) const { return members_[no]->running; }
    std::size_t crashes() const { return crashes_; }  // processes that ended though nobody here told them to
    Relay& relay() { return *relay_; }

    // Turns the loop until every process of `whom` says it sees exactly `expected` alive and nobody suspect, or until
    // `bound`. When each was first seen to say so; none: it was not.
    std::vector<std::optional<Timestamp>> until_seen(const std::vector<std::size_t>& whom,
                                                     const std::vector<std::size_t>& expected,
                                                     Timestamp bound);
    bool agreed(Duration within);  // all that run, of all that run
    std::vector<std::size_t> all_running() const;
    void run(Timestamp until);
    // The figures of one process; empty: no answer.
    std::map<std::string, std::uint64_t> figures(std::size_t no);
    std::uint64_t sum(const std::string& figure);  // over all that run

private:
    struct Member {
        std::string id;
        membership::Endpoint place, own, control, web;
        std::string file;
        pid_t pid = 0;
        bool running = false, expected_to_end = false, again = false;
    };
    membership::Endpoint free_place(std::uint32_t ip) const;
    void write_file(Member& m, const std::vector<std::size_t>& seeds);
    void ended(pid_t pid);
    void ask(std::size_t no, const std::string& path, std::function<void(const std::string&)> told);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const Plan plan_;
    std::unique_ptr<Relay> relay_;
    std::vector<std::unique_ptr<Member>> members_;
    net::HttpClient asks_;
    std::size_t crashes_ = 0, alive_ = 0;
};

}  // namespace cressledge::fault_injection
