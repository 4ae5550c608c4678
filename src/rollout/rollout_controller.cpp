#include "rollout/rollout_controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace cressledge::rollout {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr const char* state_key = "state";
constexpr const char* history_key = "history";
constexpr base::Duration lease_release_timeout{20'000'000}, lease_retry_interval{100'000};

ordered_json summary_json(const rollout::ClassMetrics& f) {
    // Quantiles to the bin.
    double served = 0.0;
    for (const double n : f.latency_counts)
        served += n;
    const auto quantile = [&](double q) {
        double left = q * served;
        std::size_t i = 0;
        while (i + 1 < f.latency_counts.size() && (left -= f.latency_counts[i]) > 0.0)
            ++i;
        return served > 0.0 ? static_cast<double>(base::LatencyHistogram::bucket_upper_bound_us(i)) * 1e-3
                            : 0.0;
    };
    return {{"ok", f.ok},     {"shed", f.shed},          {"errors", f.errors},
            {"late", f.late}, {"p50_ms", quantile(0.5)}, {"p99_ms", quantile(0.99)}};
}

ordered_json summary_json(const rollout::MetricsByClass& all) {
    ordered_json j = ordered_json::object();
    for (const auto& [name, f] : all)
        j[name] = summary_json(f);
    return j;
}

ordered_json report_to_json(const rollout::StageReport& r) {
    ordered_json findings = ordered_json::array();
    for (const auto& f : r.analysis.comparisons)
        findings.push_back({{"class", f.class_name},
                            {"figure", f.metric},
                            {"changed", f.canary_value},
                            {"unchanged", f.baseline_value},
                            {"margin", f.tolerance},
                            {"p", f.p_value},
                            {"worse", f.is_worse}});
    return {
        {"stage", r.stage_index},
        {"changed", r.canary_count},
        {"unchanged", r.baseline_count},
        {"began_us", r.started_at.count()},
        {"baked_from_us", r.bake_started_at.count()},
        {"ended_us", r.ended_at.count()},
        {"verdict", rollout::to_string(r.verdict)},
        {"why", r.reason},
        {"holds", r.wait_reasons},
        {"findings", std::move(findings)},
        {"figures",
         {{"changed", summary_json(r.analysis.canary)}, {"unchanged", summary_json(r.analysis.baseline)}}}};
}

supervisor::ChangeStatus change_status_from(const std::string& text) {
    for (const auto c : {supervisor::ChangeStatus::in_progress, supervisor::ChangeStatus::succeeded,
                         supervisor::ChangeStatus::failed})
        if (text == supervisor::to_string(c))
            return c;
    return supervisor::ChangeStatus::none;
}

void throw_on_error(int bad, const std::string& folder) {
    if (bad == 0)
        return;
    throw std::runtime_error(folder + ": " +
                             (bad == EWOULDBLOCK ? "another roll is in progress here" : std::strerror(bad)));
}

}  // namespace

RolloutController::RolloutController(net::Loop& loop, base::TimerQueue& timers, config::RolloutSettings plan,
                                     const std::string& folder)
    : loop_(loop),
      timers_(timers),
      plan_(std::move(plan)),
      http_client_(loop, timers),
      state_files_(folder),
      state_store_(state_files_) {
    for (const std::string& s : plan_.supervisor_addresses)
        supervisor_addresses_.push_back(*net::Address::parse(s));
    has_lease_.assign(supervisor_addresses_.size(), false);
    throw_on_error(state_store_.open(), folder);
    const auto& kept = state_store_.entries();
    const auto state = kept.find(state_key);
    if (state == kept.end())
        return;
    rollout::RolloutState s = rollout::from_json(json::parse(state->second, nullptr, false));
    const bool over = s.phase == rollout::Phase::completed || s.phase == rollout::Phase::rolled_back;
    if (over && s.plan_digest != rollout::RolloutStateMachine::compute_plan_digest(plan_.plan))
        return;  // an earlier one, which is over
    if (!over && s.plan_digest != rollout::RolloutStateMachine::compute_plan_digest(plan_.plan))
        throw std::runtime_error(folder + ": the roll " + s.name + " is in progress here");
    if (const auto h = kept.find(history_key); h != kept.end())
        earlier_reports_ = ordered_json::parse(h->second, nullptr, false);
    if (!earlier_reports_.is_array())
        earlier_reports_ = ordered_json::array();
    state_machine_.emplace(plan_.plan, std::move(s));
}

void RolloutController::wait_for_replies() {
    while (http_client_.requests_in_flight() > 0)
        loop_.run_once(true);
}
void RolloutController::sleep_until(base::Timestamp until) {
    base::TimerQueue::Handle end = timers_.schedule(until, [] {});
    while (loop_.unix_now() < until && !is_interrupted_)
        loop_.run_once(true);
    timers_.cancel(end);
}

bool RolloutController::observe_fleet() {
    std::size_t answered = 0;
    for (auto& [id, l] : observations_)
        l = {};
    const base::Timestamp by = loop_.unix_now() + request_timeout;
    for (std::size_t s = 0; s < supervisor_addresses_.size(); ++s)
        http_client_.get(supervisor_addresses_[s], "/v1/processes", by,
                         [this, s, &answered](const net::HttpClient::Response& r) {
                             const json j = r.status == 200 ? json::parse(r.body, nullptr, false) : json();
                             if (!j.is_object())
                                 return;
                             try {
                                 for (const auto& p : j.at("processes")) {
                                     rollout::ProcessObservation l;
                                     l.active_spec = {p.at("program").get<std::string>(),
                                                      p.at("overlay").get<std::string>()};
                                     l.change_status = change_status_from(p.at("change"));
                                     l.change_error = p.at("why");
                                     l.serving_generation = p.at("serving");
                                     l.crash_count = p.at("crashes");
                                     l.is_reachable = true;
                                     const std::string id = p.at("id");
                                     process_locations_[id] = {s, p.at("control").get<std::string>()};
                                     observations_[id] = std::move(l);
                                 }
                                 ++answered;
                             } catch (const json::exception& e) {
                                 spdlog::warn("roll: {}: {}", plan_.supervisor_addresses[s], e.what());
                             }
                         });
    wait_for_replies();
    const base::Timestamp then = loop_.unix_now() + request_timeout;
    for (const auto& [id, place] : process_locations_) {
        const auto where = net::Address::parse(place.admin_address);
        if (!where || !observations_[id].is_reachable || observations_[id].serving_generation == 0)
            continue;
        http_client_.get(*where, "/v1/metrics", then, [this, id = id](const net::HttpClient::Response& r) {
            if (r.status == 200)
                observations_[id].metrics = rollout::parse_metrics(r.body);
        });
        http_client_.get(*where, "/v1/fleet?brief", then,
                         [this, id = id](const net::HttpClient::Response& r) {
                             const json j = r.status == 200 ? json::parse(r.body, nullptr, false) : json();
                             if (j.is_object() && j.contains("digest") && j["digest"].is_string())
                                 observations_[id].membership_digest = j["digest"];
                         });
    }
    wait_for_replies();
    return answered > 0;
}

// Takes the supervisors for this roll, or lets them go: those that have not said so yet are asked. False: another roll
// has one of them.
bool RolloutController::update_leases(bool held) {
    bool mine = true;
    const std::string body = ordered_json{{"roll", plan_.plan.name}, {"held", held}}.dump();
    const base::Timestamp by = loop_.unix_now() + request_timeout;
    for (std::size_t s = 0; s < supervisor_addresses_.size(); ++s) {
        if (has_lease_[s] == held)
            continue;
        http_client_.request(supervisor_addresses_[s], "POST", "/v1/roll", body, by,
                             [this, &mine, s, held](const net::HttpClient::Response& r) {
                                 if (r.status == 200)
                                     has_lease_[s] = held;
                                 if (r.status != 409)
                                     return;
                                 mine = false;
                                 const json j = json::parse(r.body, nullptr, false);
                                 lease_conflict_ = plan_.supervisor_addresses[s] + ": " +
                                                   (j.is_object() ? j.value("why", "") : "");
                             });
    }
    wait_for_replies();
    return mine;
}

// At the end: an answer that gets lost must not leave a supervisor held by a roll that is over.
void RolloutController::release_leases() {
    const base::Timestamp end = loop_.unix_now() + lease_release_timeout;
    has_lease_.assign(has_lease_.size(), true);
    while (std::find(has_lease_.begin(), has_lease_.end(), true) != has_lease_.end() &&
           loop_.unix_now() < end && !is_interrupted_) {
        update_leases(false);
        if (std::find(has_lease_.begin(), has_lease_.end(), true) != has_lease_.end())
            sleep_until(loop_.unix_now() + lease_retry_interval);
    }
}

void RolloutController::save_state() {
    ordered_json all = earlier_reports_;
    for (const auto& r : state_machine_->reports())
        if (r.ended_at != base::Timestamp(0))
            all.push_back(report_to_json(r));
    store::Changes changes;
    changes[state_key] = rollout::to_json(state_machine_->state()).dump();
    changes[history_key] = all.dump();
    throw_on_error(state_store_.commit(changes), "the state of the roll");
}

// Each is told and has answered, or has not by its time: the next look shows what became of it.
void RolloutController::send_spec_updates(const std::vector<ProcessAssignment>& set) {
    const base::Timestamp by = loop_.unix_now() + request_timeout;
    for (const auto& [id, spec] : set) {
        const std::string body =
            ordered_json{{"roll", plan_.plan.name}, {"program", spec.program}, {"overlay", spec.overlay}}
                .dump();
        http_client_.request(supervisor_addresses_[process_locations_.at(id).supervisor_index], "POST",
                             "/v1/processes/" + id, body, by, [id = id](const net::HttpClient::Response& r) {
                                 if (r.status != 202)
                                     spdlog::warn("roll: {} was not told: {} {}", id, r.status, r.body);
                             });
    }
    wait_for_replies();
}

RolloutResult RolloutController::run() {
    started_at_ = loop_.unix_now();
    if (state_machine_ && (state_machine_->state().phase == rollout::Phase::completed ||
                           state_machine_->state().phase == rollout::Phase::rolled_back)) {
        release_leases();  // it ended before it could
        return state_machine_->state().phase == rollout::Phase::completed ? RolloutResult::completed
                                                                          : RolloutResult::rolled_back;
    }
    while (!is_interrupted_) {
        const base::Timestamp next = loop_.unix_now() + plan_.observation_interval;
        if (!update_leases(true)) {
            spdlog::error("roll: refused: {}", lease_conflict_);
            if (!state_machine_)
                update_leases(false);  // those that have said that they are held
            return RolloutResult::rejected;
        }
        const bool any = observe_fleet();
        if (!state_machine_) {
            // Every supervisor has to be there at the beginning: whom it does not know of, a roll cannot change.
            std::set<std::size_t> here;
            std::vector<ProcessAssignment> fleet;
            for (const auto& [id, l] : observations_)
                if (l.is_reachable && has_lease_[process_locations_[id].supervisor_index])
                    fleet.push_back({id, l.active_spec}),
                        here.insert(process_locations_[id].supervisor_index);
            if (here.size() < supervisor_addresses_.size()) {
                if (!any || loop_.unix_now() - started_at_ > base::Duration(10'000'000)) {
                    update_leases(false);  // those that have said that they are held
                    throw std::runtime_error(std::to_string(supervisor_addresses_.size() - here.size()) +
                                             " supervisors do not answer");
                }
                sleep_until(next);
                continue;
            }
            state_machine_.emplace(plan_.plan, fleet);
        }
        if (!rollback_request_.empty())
            state_machine_->request_rollback(std::exchange(rollback_request_, {}));
        for (;;) {
            const rollout::RolloutActions orders = state_machine_->step(loop_.unix_now(), observations_);
            for (const std::string& line : orders.log_lines)
                spdlog::info("roll: {}", line);
            if (orders.must_save_state) {
                save_state();
                continue;
            }
            if (!orders.spec_updates.empty())
                send_spec_updates(orders.spec_updates);
            if (!orders.is_finished)
                break;
            release_leases();
            return state_machine_->state().phase == rollout::Phase::completed ? RolloutResult::completed
                                                                              : RolloutResult::rolled_back;
        }
        sleep_until(next);
    }
    return RolloutResult::interrupted;
}

ordered_json RolloutController::report() const {
    ordered_json j = {{"roll", plan_.plan.name}, {"began_us", started_at_.count()}};
    if (!state_machine_)
        return j;
    j["phase"] = rollout::to_string(state_machine_->state().phase);
    j["why"] = state_machine_->state().rollback_reason;
    j["processes"] = state_machine_->state().targets.size();
    j["stages"] = earlier_reports_;
    for (const auto& r : state_machine_->reports())
        j["stages"].push_back(report_to_json(r));
    ordered_json samples = ordered_json::array();
    for (const auto& s : state_machine_->samples())
        samples.push_back({{"at_us", s.taken_at.count()},
                           {"stage", s.stage_index},
                           {"phase", rollout::to_string(s.phase)},
                           {"changed", summary_json(s.canary)},
                           {"unchanged", summary_json(s.baseline)}});
    j["samples"] = std::move(samples);
    return j;
}

}  // namespace cressledge::rollout
