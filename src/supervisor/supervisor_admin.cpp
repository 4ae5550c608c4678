/// The admin address of a supervisor: its metrics, the status of its processes, and requests to change them.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.hpp"
#include "supervisor/supervised_process.hpp"
#include "supervisor/supervisor.hpp"
#include "supervisor/supervisor_request.hpp"

namespace cressledge::supervisor {
namespace {

using nlohmann::ordered_json;
using Reply = admin::AdminSource::Reply;

constexpr const char* lease_path = "/v1/roll";
constexpr const char* processes_path = "/v1/processes";

Reply reply_with(const char* status, const std::string& reason) {
    return {status, ordered_json{{"why", reason}}.dump()};
}

ordered_json to_json(const SupervisedProcess& process) {
    const ProcessLifecycle& lifecycle = process.lifecycle;
    const ChildProcess* const child = process.find_child(lifecycle.serving_generation());
    return {{"id", process.settings.id},
            {"serving", lifecycle.serving_generation()},
            {"program", lifecycle.active_spec().program},
            {"overlay", lifecycle.active_spec().overlay},
            {"change", to_string(lifecycle.change_status())},
            {"why", lifecycle.change_error()},
            {"starts", lifecycle.start_count()},
            {"crashes", lifecycle.crash_count()},
            {"last_end", process.last_unrequested_exit},
            {"control", child == nullptr ? "" : child->admin_socket().address()},
            {"pid", child == nullptr ? 0 : child->pid()},
            {"http", process.http_socket.address()},
            {"scgi", process.scgi_socket.address()}};
}

}  // namespace

bool Supervisor::is_ready() {
    return std::all_of(processes_.begin(), processes_.end(), [](const auto& process) {
        return process->lifecycle.serving_generation() != no_generation;
    });
}

void Supervisor::collect_metrics(base::Metrics& out) {
    for (const auto& process : processes_) {
        const std::string prefix = "supervise." + process->settings.id;
        out.emplace_back(prefix + ".starts", process->lifecycle.start_count());
        out.emplace_back(prefix + ".crashes", process->lifecycle.crash_count());
    }
}

std::string Supervisor::status_json() {
    ordered_json all = ordered_json::array();
    for (const auto& process : processes_)
        all.push_back(to_json(*process));
    return ordered_json{{"roll", lease_holder_}, {"processes", std::move(all)}}.dump();
}

SupervisedProcess* Supervisor::find_process(const std::string& id) {
    for (const auto& process : processes_) {
        if (process->settings.id == id)
            return process.get();
    }
    return nullptr;
}

std::optional<Supervisor::Reply> Supervisor::handle_request(const std::string& method,
                                                            const std::string& path,
                                                            const std::string& body) {
    if (path.rfind(processes_path, 0) != 0 && path != lease_path)
        return std::nullopt;
    try {
        return dispatch(method, path, body);
    } catch (const RequestError& error) {
        return reply_with(error.status(), error.what());
    }
}

Supervisor::Reply Supervisor::dispatch(const std::string& method, const std::string& path,
                                       const std::string& body) {
    if (path == processes_path) {
        if (method != "GET")
            throw RequestError(status_method_not_allowed, "GET only");
        return {status_ok, status_json()};
    }
    if (method != "POST")
        throw RequestError(status_method_not_allowed, "POST only");
    const SupervisorRequest request(body);
    if (!lease_holder_.empty() && lease_holder_ != request.rollout_name())
        throw RequestError(status_conflict, "lease held by rollout " + lease_holder_);
    if (path == lease_path)
        return change_lease(request);
    const std::string prefix = std::string(processes_path) + '/';
    SupervisedProcess* const process = find_process(path.substr(std::min(path.size(), prefix.size())));
    if (process == nullptr)
        throw RequestError(status_not_found, "no such process");
    return change_spec(*process, request);
}

Supervisor::Reply Supervisor::change_lease(const SupervisorRequest& request) {
    const std::string holder = request.takes_lease() ? request.rollout_name() : "";
    // The result of a change by an earlier rollout must not be reported to this one.
    if (lease_holder_.empty() && !holder.empty()) {
        for (const auto& process : processes_)
            process->lifecycle.clear_change_status();
    }
    if (holder != lease_holder_) {
        const ordered_json line{{"name", request.rollout_name()}, {"held", !holder.empty()}};
        base::log_info("roll: {}", line.dump());
    }
    lease_holder_ = holder;
    return reply_with(status_ok, "");
}

Supervisor::Reply Supervisor::change_spec(SupervisedProcess& process, const SupervisorRequest& request) {
    if (lease_holder_.empty())
        throw RequestError(status_conflict, "no rollout holds the lease");
    ProcessLifecycle::Actions actions;
    process.lifecycle.request_spec(loop_.unix_now(), request.spec(), actions);
    execute(process, actions);
    return reply_with(status_accepted, "");
}

}  // namespace cressledge::supervisor
