// Keeps processes of the program up on one machine: holds the sockets that callers know, starts each process with them,
// hands them over to another program or other settings on command, and starts again what crashes. What decides is Life;
// here are the sockets, the files, the child processes and the control address.
//
//   GET  /v1/processes          all of them: id, spec in force, change, starts, crashes, and where each says its figures
//   POST /v1/processes/ID       {"roll", "program", "overlay"}: another spec; 202, or 409 under another roll's name
//   POST /v1/roll               {"roll", "held": true|false}: takes this supervisor for a roll, or lets it go
#pragma once

#include <uv.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admin/admin_server.hpp"
#include "base/metric.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "supervisor/process_lifecycle.hpp"

namespace cressledge::supervisor {

struct ProcessSettings {
    std::string id,
        settings_file;  // the operator's file; what is in force is written beside it, as FILE.live
    std::string program;
};
struct SupervisorSettings {
    std::string admin_address;
    std::vector<ProcessSettings> processes;
    std::string log_directory;  // a folder; empty: they write where the supervisor does
    SupervisionPolicy policy;
};

class Supervisor final : public admin::AdminSource {
public:
    // Binds every socket; throws std::runtime_error or config::Invalid.
    Supervisor(net::Loop& loop, base::TimerQueue& timers, const SupervisorSettings& settings);
    ~Supervisor() override;
    Supervisor(const Supervisor&) = delete;
    Supervisor& operator=(const Supervisor&) = delete;

    void start();  // the processes
    void shut_down();  // SIGTERM to all; over() once they have ended
    bool is_finished() const;
    int port() const { return admin_server_.port(); }
    std::string status_json();  // GET /v1/processes

    bool is_ready() override;
    void collect_metrics(base::Metrics& out) override;
    std::optional<Reply> handle_request(const std::string& method, const std::string& path,
                                        const std::string& body) override;

private:
    struct ChildProcess;
    struct SupervisedProcess;
    void execute(SupervisedProcess& process, const std::vector<LifecycleAction>& actions);
    void spawn(SupervisedProcess& process, Generation generation, const ProcessSpec& spec);
    void on_exited(SupervisedProcess& process, Generation generation, std::int64_t status, int signal);
    void poll(SupervisedProcess&
                  process);  // at what has been started and is not ready, and at settings that were told
    void schedule_lifecycle_timer(SupervisedProcess& process);
    bool write_live_settings(SupervisedProcess& process, const ProcessSpec& spec, std::string& error);
    SupervisedProcess* find_process(const std::string& id);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const SupervisorSettings settings_;
    connection_admission::FileDescriptorBudget descriptors_;
    net::HttpClient http_client_;
    std::vector<std::unique_ptr<SupervisedProcess>> processes_;
    std::size_t child_count_ = 0;
    std::string lease_holder_;  // the roll that holds this supervisor; empty: none
    admin::AdminServer admin_server_;
};

}  // namespace cressledge::supervisor
