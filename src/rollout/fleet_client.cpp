#include "rollout/fleet_client.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "base/log.hpp"

namespace cressledge::rollout {
namespace {

using net::HttpClient;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr int http_ok = 200;
constexpr int http_accepted = 202;
constexpr int http_conflict = 409;

/// Returns the JSON body of a 200 response; null for any other status or a body that is not JSON.
json parse_body(const HttpClient::Response& response) {
    if (response.status != http_ok)
        return {};
    json body = json::parse(response.body, nullptr, false);
    return body.is_discarded() ? json() : body;
}

/// Parses one entry of `GET /v1/processes`.
ProcessObservation read_observation(const json& entry) {
    ProcessObservation observation;
    observation.active_spec = {entry.at("program").get<std::string>(),
                               entry.at("overlay").get<std::string>()};
    observation.change_status = supervisor::parse_change_status(entry.at("change").get<std::string>())
                                    .value_or(supervisor::ChangeStatus::none);
    observation.change_error = entry.at("why");
    observation.serving_generation = entry.at("serving");
    observation.crash_count = entry.at("crashes");
    observation.is_reachable = true;
    return observation;
}

}  // namespace

FleetClient::FleetClient(net::Loop& loop, base::TimerQueue& timers,
                         const std::vector<std::string>& supervisor_addresses, std::string rollout_name)
    : loop_(loop), http_client_(loop, timers), rollout_name_(std::move(rollout_name)) {
    for (const std::string& address : supervisor_addresses)
        supervisors_.push_back({address, *net::Address::parse(address), false});
}

base::Timestamp FleetClient::request_deadline() const {
    return loop_.unix_now() + request_timeout;
}

void FleetClient::wait_for_replies() {
    while (http_client_.requests_in_flight() > 0)
        loop_.run_once(true);
}

std::optional<LeaseConflict> FleetClient::take_leases() {
    return change_leases(true);
}

void FleetClient::release_leases() {
    change_leases(false);
}

void FleetClient::assume_leases_held() {
    for (SupervisorLink& supervisor : supervisors_)
        supervisor.has_lease = true;
}

bool FleetClient::holds_any_lease() const {
    return std::any_of(supervisors_.begin(), supervisors_.end(),
                       [](const SupervisorLink& supervisor) { return supervisor.has_lease; });
}

std::optional<LeaseConflict> FleetClient::change_leases(bool take) {
    std::optional<LeaseConflict> conflict;
    const std::string body = ordered_json{{"roll", rollout_name_}, {"held", take}}.dump();
    const base::Timestamp deadline = request_deadline();
    for (SupervisorLink& supervisor : supervisors_) {
        if (supervisor.has_lease == take)
            continue;
        http_client_.request(supervisor.address, "POST", "/v1/roll", body, deadline,
                             [&conflict, &supervisor, take](const HttpClient::Response& response) {
                                 if (response.status == http_ok)
                                     supervisor.has_lease = take;
                                 if (response.status != http_conflict)
                                     return;
                                 const json reply = json::parse(response.body, nullptr, false);
                                 const std::string reason = reply.is_object() ? reply.value("why", "") : "";
                                 conflict = LeaseConflict{supervisor.name + ": " + reason};
                             });
    }
    wait_for_replies();
    return conflict;
}

bool FleetClient::observe() {
    std::size_t reply_count = 0;
    for (auto& [process_id, observation] : observations_)
        observation = {};
    const base::Timestamp deadline = request_deadline();
    for (std::size_t index = 0; index < supervisors_.size(); ++index) {
        http_client_.get(supervisors_[index].address, "/v1/processes", deadline,
                         [this, index, &reply_count](const HttpClient::Response& response) {
                             const json status = parse_body(response);
                             if (!status.is_object())
                                 return;
                             try {
                                 observe_processes(index, status);
                                 ++reply_count;
                             } catch (const json::exception& error) {
                                 base::log_warning(
                                     "rollout: malformed supervisor status supervisor={} error=\"{}\"",
                                     supervisors_[index].name, error.what());
                             }
                         });
    }
    wait_for_replies();
    request_metrics();
    wait_for_replies();
    return reply_count > 0;
}

void FleetClient::observe_processes(std::size_t supervisor_index, const json& status) {
    for (const auto& entry : status.at("processes")) {
        ProcessObservation observation = read_observation(entry);
        const std::string process_id = entry.at("id");
        process_locations_[process_id] = {supervisor_index, entry.at("control").get<std::string>()};
        observations_[process_id] = std::move(observation);
    }
}

void FleetClient::request_metrics() {
    const base::Timestamp deadline = request_deadline();
    for (const auto& [process_id, location] : process_locations_) {
        const auto address = net::Address::parse(location.admin_address);
        ProcessObservation& observation = observations_[process_id];
        if (!address || !observation.is_reachable ||
            observation.serving_generation == supervisor::no_generation)
            continue;
        http_client_.get(*address, "/v1/metrics", deadline,
                         [&observation](const HttpClient::Response& response) {
                             if (response.status == http_ok)
                                 observation.metrics = parse_metrics(response.body);
                         });
        http_client_.get(*address, "/v1/fleet?brief", deadline,
                         [&observation](const HttpClient::Response& response) {
                             const json membership = parse_body(response);
                             if (membership.is_object() && membership.contains("digest") &&
                                 membership["digest"].is_string())
                                 observation.membership_digest = membership["digest"];
                         });
    }
}

LeasedFleet FleetClient::leased_fleet() const {
    LeasedFleet fleet;
    std::set<std::size_t> supervisor_indexes;
    for (const auto& [process_id, observation] : observations_) {
        const std::size_t supervisor_index = process_locations_.at(process_id).supervisor_index;
        if (!observation.is_reachable || !supervisors_[supervisor_index].has_lease)
            continue;
        fleet.processes.push_back({process_id, observation.active_spec});
        supervisor_indexes.insert(supervisor_index);
    }
    fleet.supervisor_count = supervisor_indexes.size();
    return fleet;
}

void FleetClient::send_updates(const std::vector<ProcessAssignment>& updates) {
    const base::Timestamp deadline = request_deadline();
    for (const ProcessAssignment& update : updates) {
        const ordered_json body{
            {"roll", rollout_name_}, {"program", update.spec.program}, {"overlay", update.spec.overlay}};
        const std::size_t supervisor_index = process_locations_.at(update.process_id).supervisor_index;
        http_client_.request(
            supervisors_[supervisor_index].address, "POST", "/v1/processes/" + update.process_id, body.dump(),
            deadline, [process_id = update.process_id](const HttpClient::Response& response) {
                if (response.status != http_accepted)
                    base::log_warning("rollout: spec update not accepted process={} status={} body=\"{}\"",
                                      process_id, response.status, response.body);
            });
    }
    wait_for_replies();
}

}  // namespace cressledge::rollout
