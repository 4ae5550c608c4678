/// Supervises processes of the program on one machine: owns their public sockets, starts each process with these
/// sockets, replaces its program or settings on request, and restarts crashed processes. `ProcessLifecycle` makes
/// the decisions; `Supervisor` manages the sockets, files, child processes and the admin address.
///
///   GET  /v1/processes          all processes: id, active spec, change, starts, crashes, admin address and more
///   POST /v1/processes/ID       {"roll", "program", "overlay"}: requests another spec; 202, or 409 without the lease
///   POST /v1/roll               {"roll", "held": true|false}: takes or releases the lease of this supervisor
///
/// Invariant: only the rollout that holds the lease changes a process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.hpp"
#include "base/metric.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "supervisor/process_lifecycle.hpp"
#include "supervisor/supervisor_settings.hpp"

namespace cressledge::supervisor {

struct ExitStatus;
struct SupervisedProcess;
class SupervisorRequest;

/// Supervises the processes of one settings file.
class Supervisor final : public admin::AdminSource {
public:
    /// Binds every socket. Throws `std::runtime_error` if listening on an address fails, and `config::ConfigError` for
    /// an invalid operator's file.
    Supervisor(net::Loop& loop, base::TimerQueue& timers, const SupervisorSettings& settings);

    /// Kills all processes and waits for their exits.
    ~Supervisor() override;
    Supervisor(const Supervisor&) = delete;
    Supervisor& operator=(const Supervisor&) = delete;

    /// Starts all processes.
    void start();

    /// Makes all processes drain and exit, and closes this process's descriptors of their public sockets, so that callers
    /// are refused as soon as the processes have closed theirs. `is_finished` returns true when all have exited.
    void shut_down();
    /// Whether all processes have exited after `shut_down`.
    bool is_finished() const;

    /// Port of the supervisor's own admin address.
    int port() const { return admin_server_.port(); }

    /// Returns the body of `GET /v1/processes`.
    std::string status_json();

    /// Whether every process is serving.
    bool is_ready() override;
    void collect_metrics(base::Metrics& out) override;
    std::optional<Reply> handle_request(const std::string& method, const std::string& path,
                                        const std::string& body) override;

private:
    void execute(SupervisedProcess& process, const ProcessLifecycle::Actions& actions);
    void execute(SupervisedProcess& process, const LifecycleAction& action);
    void send_signal(const SupervisedProcess& process, Generation generation, int signal);
    void spawn(SupervisedProcess& process, Generation generation, const ProcessSpec& spec);
    void on_exited(SupervisedProcess& process, Generation generation, const ExitStatus& status);
    void write_settings_or_log(const SupervisedProcess& process, const ProcessSpec& spec);
    void schedule_lifecycle_timer(SupervisedProcess& process);

    void poll(SupervisedProcess& process);
    void schedule_poll(SupervisedProcess& process, Timestamp poll_at);
    void poll_readiness(SupervisedProcess& process, Generation generation);
    void poll_reload(SupervisedProcess& process, Generation generation);
    void on_reload_metrics(SupervisedProcess& process, Generation generation, const std::string& metrics);
    void request_reload(SupervisedProcess& process, Generation generation,
                        ProcessLifecycle::Actions& actions);

    Reply dispatch(const std::string& method, const std::string& path, const std::string& body);
    Reply change_lease(const SupervisorRequest& request);
    Reply change_spec(SupervisedProcess& process, const SupervisorRequest& request);
    SupervisedProcess* find_process(const std::string& id);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const SupervisorSettings settings_;
    connection_admission::FileDescriptorBudget descriptors_;
    net::HttpClient http_client_;
    std::vector<std::unique_ptr<SupervisedProcess>> processes_;
    /// Number of child processes whose handles are not closed yet.
    std::size_t child_count_ = 0;
    /// Name of the rollout that holds the lease; empty if none does.
    std::string lease_holder_;
    admin::AdminServer admin_server_;
};

}  // namespace cressledge::supervisor
