#include "supervisor/supervisor.hpp"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.hpp"
#include "config/operator.hpp"
#include "supervisor/live_settings.hpp"
#include "supervisor/supervised_process.hpp"

namespace cressledge::supervisor {
namespace {

using nlohmann::ordered_json;

/// Descriptors reserved for starting one child, in addition to those open at startup and those of the admin address.
constexpr std::size_t spare_descriptors = 2;

connection_admission::DescriptorPlan descriptor_plan() {
    connection_admission::DescriptorDemand demand;
    demand.admin = admin::AdminServer::max_connections + 1;
    return connection_admission::plan_descriptors(
        net::descriptor_limit(), net::count_open_descriptors() + spare_descriptors, demand, 1);
}

/// Returns an address on the host of `process` with a port chosen by the kernel.
std::string admin_address_for(const SupervisedProcess& process) {
    const std::string& public_address =
        process.http_socket.address().empty() ? process.scgi_socket.address() : process.http_socket.address();
    return public_address.substr(0, public_address.rfind(':')) + ":0";
}

ChildCommand command_for(const SupervisedProcess& process, const ChildProcess& child, const ProcessSpec& spec,
                         const std::string& log_directory) {
    ChildCommand command;
    command.arguments = {spec.program, "serve", "--operator",
                         live_settings_path(process.settings.settings_file)};
    command.sockets = {{"CRESSLEDGE_SCGI_FD", &process.scgi_socket},
                       {"CRESSLEDGE_HTTP_FD", &process.http_socket},
                       {"CRESSLEDGE_CONTROL_FD", &child.admin_socket()}};
    if (!log_directory.empty())
        command.log_file = log_directory + '/' + process.settings.id + ".log";
    return command;
}

}  // namespace

Supervisor::Supervisor(net::Loop& loop, base::TimerQueue& timers, const SupervisorSettings& settings)
    : loop_(loop),
      timers_(timers),
      settings_(settings),
      descriptors_(descriptor_plan()),
      http_client_(loop, timers),
      admin_server_(loop, timers, descriptors_,
                    net::ListenEndpoint{*net::Address::parse(settings.admin_address)}, *this) {
    for (const ProcessSettings& process_settings : settings.processes) {
        const config::OperatorConfig config = config::load_operator_config(process_settings.settings_file);
        if (config.stop_delay >= settings.policy.drain_timeout)
            base::log_warning("supervisor: drained_ms not above stop_ms process={} drained_ms={} stop_ms={}",
                              process_settings.id, settings.policy.drain_timeout.count() / 1000,
                              config.stop_delay.count() / 1000);
        auto process = std::make_unique<SupervisedProcess>(process_settings, settings.policy);
        process->scgi_socket = ListeningSocket(config.scgi_address);
        process->http_socket = ListeningSocket(config.http_address);
        processes_.push_back(std::move(process));
    }
}

Supervisor::~Supervisor() {
    for (const auto& process : processes_) {
        process->lifecycle_timer.cancel();
        process->poll_timer.cancel();
        for (auto& [generation, child] : process->children)
            child->send_signal(SIGKILL);
    }
    while (child_count_ > 0)
        loop_.run_once(true);
}

void Supervisor::start() {
    for (const auto& process : processes_) {
        ProcessLifecycle::Actions actions;
        process->lifecycle.start_current(loop_.unix_now(), actions);
        execute(*process, actions);
    }
    base::log_info("supervisor: started processes={} admin_port={}", processes_.size(), admin_server_.port());
}

void Supervisor::shut_down() {
    base::log_info("supervisor: shutdown requested processes={} children={}", processes_.size(),
                   child_count_);
    for (const auto& process : processes_) {
        ProcessLifecycle::Actions actions;
        process->lifecycle.shut_down(loop_.unix_now(), actions);
        execute(*process, actions);
        // From here on the processes alone decide how long callers are accepted.
        process->scgi_socket.close();
        process->http_socket.close();
    }
}

bool Supervisor::is_finished() const {
    return std::all_of(processes_.begin(), processes_.end(),
                       [](const auto& process) { return process->lifecycle.is_finished(); });
}

void Supervisor::execute(SupervisedProcess& process, const ProcessLifecycle::Actions& actions) {
    for (const LifecycleAction& action : actions)
        execute(process, action);
    schedule_lifecycle_timer(process);
    if (!process.poll_timer.is_scheduled())
        poll(process);
}

void Supervisor::execute(SupervisedProcess& process, const LifecycleAction& action) {
    switch (action.type) {
        case LifecycleAction::Type::start:
            spawn(process, action.generation, action.spec);
            break;
        case LifecycleAction::Type::reload_settings:
            // `poll` reads the counters, writes the file, signals the process and waits for the result.
            process.is_reload_requested = false;
            break;
        case LifecycleAction::Type::restore_settings:
            write_settings_or_log(process, action.spec);
            break;
        case LifecycleAction::Type::hand_over:
            send_signal(process, action.generation, SIGUSR2);
            break;
        case LifecycleAction::Type::terminate:
            send_signal(process, action.generation, SIGTERM);
            break;
        case LifecycleAction::Type::kill:
            send_signal(process, action.generation, SIGKILL);
            break;
    }
}

void Supervisor::send_signal(const SupervisedProcess& process, Generation generation, int signal) {
    ChildProcess* const child = process.find_child(generation);
    if (child == nullptr)
        return;
    base::log_info("supervisor: signal sent process={} generation={} pid={} signal={}", process.settings.id,
                   generation, child->pid(), signal);
    child->send_signal(signal);
}

void Supervisor::schedule_lifecycle_timer(SupervisedProcess& process) {
    process.lifecycle_timer.cancel();
    const Timestamp deadline = process.lifecycle.next_deadline();
    if (deadline == Timestamp::max())
        return;
    process.lifecycle_timer = timers_.schedule(deadline, [this, &process] {
        ProcessLifecycle::Actions actions;
        process.lifecycle.on_timer(loop_.unix_now(), actions);
        execute(process, actions);
    });
}

void Supervisor::write_settings_or_log(const SupervisedProcess& process, const ProcessSpec& spec) {
    try {
        write_live_settings(process.settings.settings_file, spec.overlay);
    } catch (const LiveSettingsError& error) {
        base::log_error("supervisor: settings not written process={} error=\"{}\"", process.settings.id,
                        error.what());
    }
}

void Supervisor::spawn(SupervisedProcess& process, Generation generation, const ProcessSpec& spec) {
    write_settings_or_log(process, spec);
    auto owned_child =
        std::make_unique<ChildProcess>(generation, ListeningSocket(admin_address_for(process)));
    ChildProcess& child = *owned_child;
    const int error = child.spawn(
        loop_.uv(), command_for(process, child, spec, settings_.log_directory),
        [this, &process, generation](const ExitStatus& status) { on_exited(process, generation, status); });
    ++child_count_;
    process.children[generation] = std::move(owned_child);
    if (error == 0)
        return;
    base::log_error("supervisor: process not started process={} program=\"{}\" error=\"{}\"",
                    process.settings.id, spec.program, uv_strerror(error));
    // Reported in the next iteration of the loop, because the lifecycle that requested the start is still on the stack.
    timers_.schedule_detached(Timestamp(0), [this, &process, generation] {
        on_exited(process, generation, {ChildProcess::cannot_start_code, 0});
    });
}

void Supervisor::on_exited(SupervisedProcess& process, Generation generation, const ExitStatus& status) {
    ChildProcess* const child = process.find_child(generation);
    if (child == nullptr)
        return;
    const bool was_requested = generation != process.lifecycle.current_generation() &&
                               generation != process.lifecycle.successor_generation();
    const ordered_json line{{"id", process.settings.id},
                            {"generation", generation},
                            {"ended", to_string(status)},
                            {"told", was_requested}};
    base::log(was_requested ? base::LogLevel::info : base::LogLevel::warning, "process: {}", line.dump());
    if (!was_requested)
        process.last_unrequested_exit = to_string(status);
    child->close([this, &process, generation] {
        --child_count_;
        process.children.erase(generation);
    });
    ProcessLifecycle::Actions actions;
    process.lifecycle.on_exited(loop_.unix_now(), generation, actions);
    execute(process, actions);
}

}  // namespace cressledge::supervisor
