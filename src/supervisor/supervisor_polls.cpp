/// Polls processes for their readiness and for the results of settings reloads.
#include <csignal>
#include <cstdlib>

#include "supervisor/live_settings.hpp"
#include "supervisor/supervised_process.hpp"
#include "supervisor/supervisor.hpp"

namespace cressledge::supervisor {
namespace {

constexpr Duration poll_interval{20'000};
constexpr Duration request_timeout{1'000'000};
constexpr int http_ok = 200;

/// Returns the process whose readiness is awaited, or `no_generation`.
Generation starting_generation(const ProcessLifecycle& lifecycle) {
    if (lifecycle.successor_generation() != no_generation)
        return lifecycle.successor_generation();
    if (lifecycle.serving_generation() == no_generation)
        return lifecycle.current_generation();
    return no_generation;
}

/// Returns the value of `name` in the body of `GET /v1/metrics`; 0 if it is missing.
std::uint64_t metric_value(const std::string& metrics, const std::string& name) {
    const std::string key = name + '=';
    const std::size_t position = metrics.find(key);
    if (position == std::string::npos)
        return 0;
    return std::strtoull(metrics.c_str() + position + key.size(), nullptr, 10);
}

}  // namespace

void Supervisor::schedule_poll(SupervisedProcess& process, Timestamp poll_at) {
    process.poll_timer = timers_.schedule(poll_at, [this, &process] { poll(process); });
}

void Supervisor::poll(SupervisedProcess& process) {
    const ProcessLifecycle& lifecycle = process.lifecycle;
    const Generation starting = starting_generation(lifecycle);
    const Generation serving = lifecycle.serving_generation();
    if (starting != no_generation)
        poll_readiness(process, starting);
    else if (lifecycle.change_status() == ChangeStatus::in_progress && serving != no_generation)
        poll_reload(process, serving);
}

void Supervisor::poll_readiness(SupervisedProcess& process, Generation generation) {
    const ChildProcess* const child = process.find_child(generation);
    if (child == nullptr)
        return;
    const Timestamp deadline = loop_.unix_now() + request_timeout;
    schedule_poll(process, deadline + poll_interval);
    http_client_.get(child->admin_address(), "/v1/readyz", deadline,
                     [this, &process, generation](const net::HttpClient::Response& response) {
                         schedule_poll(process, loop_.unix_now() + poll_interval);
                         if (response.status != http_ok)
                             return;
                         ProcessLifecycle::Actions actions;
                         process.lifecycle.on_ready(loop_.unix_now(), generation, actions);
                         execute(process, actions);
                     });
}

void Supervisor::poll_reload(SupervisedProcess& process, Generation generation) {
    const ChildProcess* const child = process.find_child(generation);
    if (child == nullptr)
        return;
    const Timestamp deadline = loop_.unix_now() + request_timeout;
    schedule_poll(process, deadline + poll_interval);
    http_client_.get(child->admin_address(), "/v1/metrics", deadline,
                     [this, &process, generation](const net::HttpClient::Response& response) {
                         schedule_poll(process, loop_.unix_now() + poll_interval);
                         if (response.status == http_ok)
                             on_reload_metrics(process, generation, response.body);
                     });
}

void Supervisor::on_reload_metrics(SupervisedProcess& process, Generation generation,
                                   const std::string& metrics) {
    ProcessLifecycle& lifecycle = process.lifecycle;
    if (lifecycle.serving_generation() != generation ||
        lifecycle.change_status() != ChangeStatus::in_progress)
        return;
    const ReloadCounters counters{metric_value(metrics, "node.config_applied"),
                                  metric_value(metrics, "node.config_rejected")};
    const bool was_applied = counters.applied > process.counters_before_reload.applied;
    const bool was_rejected = counters.rejected > process.counters_before_reload.rejected;
    ProcessLifecycle::Actions actions;
    if (!process.is_reload_requested) {
        process.counters_before_reload = counters;
        request_reload(process, generation, actions);
    } else if (was_applied || was_rejected) {
        lifecycle.on_settings_applied(loop_.unix_now(), was_applied, "the process rejected the settings",
                                      actions);
    } else {
        return;
    }
    if (lifecycle.change_status() != ChangeStatus::in_progress)
        process.is_reload_requested = false;
    execute(process, actions);
}

void Supervisor::request_reload(SupervisedProcess& process, Generation generation,
                                ProcessLifecycle::Actions& actions) {
    process.is_reload_requested = true;
    try {
        write_live_settings(process.settings.settings_file, process.lifecycle.requested_spec().overlay);
    } catch (const LiveSettingsError& error) {
        process.lifecycle.on_settings_applied(loop_.unix_now(), false, error.what(), actions);
        return;
    }
    send_signal(process, generation, SIGHUP);
}

}  // namespace cressledge::supervisor
