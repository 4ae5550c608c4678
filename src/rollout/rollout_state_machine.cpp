#include "rollout/rollout_state_machine.hpp"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>
#include <cmath>
#include <numeric>
#include <pcg_random.hpp>
#include <set>
#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cressledge::rollout {
namespace {

using nlohmann::ordered_json;
using supervisor::ChangeStatus;

constexpr Duration update_retry_interval{1'000'000};  // of a process that has not begun what it was told
constexpr double crash_significance_level = 0.0003,
                 max_suspect_crash_p_value = 0.2;  // to stop, and to wait and see
constexpr std::size_t max_samples = 8192;
constexpr double max_unseen_fraction =
    0.1;  // share of either group that may be out of sight when a stage is judged

ordered_json spec_to_json(const ProcessSpec& s) {
    return {{"program", s.program}, {"overlay", s.overlay}};
}
ProcessSpec spec_from_json(const nlohmann::json& j) {
    return {j.at("program").get<std::string>(), j.at("overlay").get<std::string>()};
}

ClassMetrics sum_over_classes(const MetricsByClass& all) {
    ClassMetrics f;
    for (const auto& [name, one] : all)
        f += one;
    return f;
}

}  // namespace

const char* to_string(Phase phase) {
    static constexpr const char* words[] = {"watching", "changing",  "baking",
                                            "done",     "reverting", "reverted"};
    return words[static_cast<std::size_t>(phase)];
}

ordered_json to_json(const RolloutState& s) {
    ordered_json members = ordered_json::array();
    for (const RolloutTarget& m : s.targets)
        members.push_back({{"id", m.id},
                           {"before", spec_to_json(m.original_spec)},
                           {"after", spec_to_json(m.updated_spec)},
                           {"changed", m.is_updated}});
    return {{"version", 1},
            {"name", s.name},
            {"digest", s.plan_digest},
            {"phase", to_string(s.phase)},
            {"stage", s.stage_index},
            {"why", s.rollback_reason},
            {"members", std::move(members)}};
}

RolloutState from_json(const nlohmann::json& j) {
    try {
        if (j.at("version") != 1)
            throw std::runtime_error("state of a roll: of another version");
        RolloutState s;
        s.name = j.at("name");
        s.plan_digest = j.at("digest");
        s.stage_index = j.at("stage");
        s.rollback_reason = j.at("why");
        const std::string phase = j.at("phase");
        bool known = false;
        for (const Phase p : {Phase::observing, Phase::updating, Phase::baking, Phase::completed,
                              Phase::rolling_back, Phase::rolled_back})
            if (phase == to_string(p))
                s.phase = p, known = true;
        if (!known)
            throw std::runtime_error("state of a roll: no such phase: " + phase);
        for (const auto& m : j.at("members"))
            s.targets.push_back(
                {m.at("id"), spec_from_json(m.at("before")), spec_from_json(m.at("after")), m.at("changed")});
        return s;
    } catch (const nlohmann::json::exception& e) {
        throw std::runtime_error(std::string("state of a roll: ") + e.what());
    }
}

std::string RolloutStateMachine::compute_plan_digest(const RolloutPlan& p) {
    std::string all = p.name + '\n' + p.target_spec.program + '\n' + p.target_spec.overlay + '\n' +
                      std::to_string(p.order_seed);
    for (const RolloutStage& s : p.stages)
        all += '\n' + std::to_string(s.fleet_fraction) + ' ' + std::to_string(s.process_count);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(all.data(), all.size())));
    return text;
}

RolloutStateMachine::RolloutStateMachine(const RolloutPlan& plan, const std::vector<ProcessAssignment>& fleet)
    : plan_(plan) {
    state_.name = plan.name;
    state_.plan_digest = compute_plan_digest(plan);
    for (const auto& [id, spec] : fleet)
        state_.targets.push_back(
            {id,
             spec,
             {plan.target_spec.program.empty() ? spec.program : plan.target_spec.program,
              plan.target_spec.overlay.empty() ? spec.overlay : plan.target_spec.overlay},
             false});
    std::sort(state_.targets.begin(), state_.targets.end(),
              [](const RolloutTarget& a, const RolloutTarget& b) { return a.id < b.id; });
    pcg32 random(plan.order_seed, 17);
    for (std::size_t i = state_.targets.size(); i > 1; --i)
        std::swap(state_.targets[i - 1], state_.targets[random(static_cast<std::uint32_t>(i))]);
}

RolloutStateMachine::RolloutStateMachine(const RolloutPlan& plan, RolloutState state)
    : plan_(plan), state_(std::move(state)) {
    if (state_.plan_digest != compute_plan_digest(plan))
        throw std::runtime_error("the state is of another plan: " + state_.name);
}

std::size_t RolloutStateMachine::updated_count_after(std::size_t stage_index) const {
    const std::size_t n = state_.targets.size();
    std::size_t size = 0;
    for (std::size_t i = 0; i <= stage_index && i < plan_.stages.size(); ++i) {
        const RolloutStage& s = plan_.stages[i];
        const std::size_t own =
            s.process_count != 0
                ? s.process_count
                : static_cast<std::size_t>(std::ceil(s.fleet_fraction * static_cast<double>(n) - 1e-9));
        size = std::max(size, std::min(n, own));
    }
    return size;
}

void RolloutStateMachine::request_rollback(const std::string& reason) {
    if (state_.phase <= Phase::baking)
        rollback_request_ = reason;
}

void RolloutStateMachine::log_event(RolloutActions& actions, const char* what, ordered_json more) const {
    ordered_json line = {{"roll", state_.name}, {"what", what}, {"stage", state_.stage_index}};
    for (auto& [key, value] : more.items())
        line[key] = value;
    actions.log_lines.push_back(line.dump());
}

void RolloutStateMachine::enter_phase(Timestamp now, Phase phase, RolloutActions& actions) {
    state_.phase = phase;
    phase_started_at_ = now;
    last_update_requests_.clear();
    confirmed_targets_.clear();
    actions.must_save_state = true;
}

// Why what is changed goes back, in one line and for good.
void RolloutStateMachine::start_rollback(Timestamp now, const std::string& reason, RolloutActions& actions) {
    state_.rollback_reason = reason;
    if (!reports_.empty() && reports_.back().ended_at == Timestamp(0)) {
        current_report().verdict = CanaryVerdict::fail;
        current_report().reason = reason;
        current_report().ended_at = now;
    }
    enter_phase(now, Phase::rolling_back, actions);
    log_event(actions, "stop",
              {{"why", reason},
               {"changed", std::count_if(state_.targets.begin(), state_.targets.end(),
                                         [](const RolloutTarget& m) { return m.is_updated; })}});
}

RolloutActions RolloutStateMachine::step(Timestamp now, const Observations& observations) {
    RolloutActions actions;
    if (!has_started_) {
        has_started_ = true;
        phase_started_at_ = now;
        last_observed_at_ = now;
        if (state_.phase == Phase::baking)
            next_analysis_at_ = now + plan_.bake_time;  // what was seen before is lost: it bakes anew
        log_event(actions, "begin",
                  {{"phase", to_string(state_.phase)}, {"processes", state_.targets.size()}});
        actions.must_save_state = true;
    }
    record_observations(now, observations);
    if (!rollback_request_.empty() && state_.phase <= Phase::baking)
        start_rollback(now, std::exchange(rollback_request_, {}), actions);
    switch (state_.phase) {
        case Phase::observing:
            if (now - phase_started_at_ >= plan_.bake_time)
                enter_phase(now, Phase::updating, actions);
            break;
        case Phase::updating:
            step_updating(now, observations, actions);
            break;
        case Phase::baking:
            step_baking(now, observations, actions);
            break;
        case Phase::rolling_back:
            step_rolling_back(now, observations, actions);
            break;
        case Phase::completed:
        case Phase::rolled_back:
            break;
    }
    if (actions.must_save_state)
        actions.spec_updates.clear();  // what follows from the state waits until it lasts
    for (const auto& [id, spec] : actions.spec_updates)
        last_update_requests_[id] = now;
    actions.is_finished =
        !actions.must_save_state && (state_.phase == Phase::completed || state_.phase == Phase::rolled_back);
    return actions;
}

// Tells one process, unless it is on its way or was told a moment ago.
void RolloutStateMachine::request_update(Timestamp now, const RolloutTarget& m, const ProcessSpec& spec,
                                         const Observations& observations, std::size_t& room,
                                         RolloutActions& actions) {
    const auto it = observations.find(m.id);
    if (it == observations.end() || !it->second.is_reachable || room == 0)
        return;
    --room;
    if (it->second.change_status == ChangeStatus::in_progress)
        return;
    if (const auto asked = last_update_requests_.find(m.id);
        asked != last_update_requests_.end() && now - asked->second < update_retry_interval)
        return;
    actions.spec_updates.push_back({m.id, spec});
}

void RolloutStateMachine::step_updating(Timestamp now, const Observations& observations,
                                        RolloutActions& actions) {
    const std::size_t size = updated_count_after(state_.stage_index);
    if (reports_.empty() || reports_.back().stage_index != state_.stage_index) {
        StageReport r;
        r.stage_index = state_.stage_index;
        r.canary_count = size;
        r.baseline_count = state_.targets.size() - size;
        r.started_at = now;
        reports_.push_back(r);
    }
    // The intent first: it has to last before any of them is told.
    for (std::size_t i = 0; i < size; ++i) {
        RolloutTarget& m = state_.targets[i];
        if (m.is_updated)
            continue;
        m.is_updated = actions.must_save_state = true;
        prior_metrics_[m.id] += accumulators_[m.id].total();
    }
    std::size_t room = plan_.max_concurrent_updates, missing = 0;
    std::string last;
    for (std::size_t i = 0; i < size; ++i) {
        const RolloutTarget& m = state_.targets[i];
        const auto it = observations.find(m.id);
        const bool seen = it != observations.end() && it->second.is_reachable;
        if (seen && it->second.active_spec == m.updated_spec &&
            it->second.change_status != ChangeStatus::in_progress && it->second.serving_generation != 0)
            confirmed_targets_.insert(m.id);
        if (confirmed_targets_.count(m.id) != 0)
            continue;
        ++missing;
        last = m.id;
        const auto asked = last_update_requests_.find(m.id);
        if (seen && it->second.change_status == ChangeStatus::failed &&
            asked != last_update_requests_.end() && it->second.active_spec == m.original_spec &&
            m.original_spec != m.updated_spec)
            return start_rollback(now, m.id + " did not take the change: " + it->second.change_error,
                                  actions);
        request_update(now, m, m.updated_spec, observations, room, actions);
    }
    if (missing == 0) {
        for (const RolloutTarget& m : state_.targets)
            if (!m.is_updated)
                prior_metrics_[m.id] += accumulators_[m.id].total();
        accumulators_.clear();
        record_observations(now, observations);
        next_analysis_at_ = now + plan_.bake_time;
        crash_wait_until_ = last_canary_crash_at_ = Timestamp(0);
        canary_crashes_ = 0.0;
        current_report().bake_started_at = now;
        enter_phase(now, Phase::baking, actions);
        return log_event(
            actions, "baking",
            {{"changed", size}, {"of", state_.targets.size()}, {"ms", plan_.bake_time.count() / 1000}});
    }
    if (now - phase_started_at_ > plan_.update_timeout + plan_.max_inconclusive_time)
        start_rollback(
            now,
            std::to_string(missing) + " processes did not take the change in time, " + last + " among them",
            actions);
}

MetricsByClass RolloutStateMachine::MetricsAccumulator::total() const {
    MetricsByClass all = earlier_generations;
    if (base_metrics && last_metrics)
        if (const auto d = difference(*base_metrics, *last_metrics))
            all += *d;
    return all;
}

// Keeps what each process has done since the bake began, over its restarts, and what all do from look to look.
void RolloutStateMachine::record_observations(Timestamp now, const Observations& observations) {
    TrafficSample sample;
    sample.taken_at = now;
    sample.stage_index = state_.stage_index;
    sample.phase = state_.phase;
    const double passed = static_cast<double>((now - last_observed_at_).count()) * 1e-6;
    last_observed_at_ = now;
    for (const RolloutTarget& m : state_.targets) {
        const auto it = observations.find(m.id);
        if (it == observations.end() || !it->second.is_reachable)
            continue;
        const ProcessObservation& l = it->second;
        if (!m.is_updated) {
            baseline_exposure_seconds_ += passed;
            if (const auto mark = crash_counts_.find(m.id);
                mark != crash_counts_.end() && l.crash_count > mark->second)
                baseline_crashes_ += static_cast<double>(l.crash_count - mark->second);
        }
        crash_counts_[m.id] = l.crash_count;
        const auto [at, fresh] = accumulators_.try_emplace(m.id);
        MetricsAccumulator& w = at->second;
        if (fresh) {
            w.crashes_at_start = l.crash_count;
            w.started_at = now;
            w.generation = l.serving_generation;
        }
        if (!l.metrics)
            continue;
        w.last_seen_at = now;
        if (auto& [generation, before] = last_sampled_metrics_[m.id]; true) {
            const bool same = generation == l.serving_generation && generation != 0;
            const auto d = same ? difference(before, *l.metrics) : std::optional<MetricsByClass>();
            if (d)
                (m.is_updated ? sample.canary : sample.baseline) += sum_over_classes(*d);
            generation = l.serving_generation;
            before = *l.metrics;
        }
        if (l.serving_generation != w.generation ||
            (w.last_metrics && !difference(*w.last_metrics, *l.metrics))) {
            w.earlier_generations = w.total();
            w.base_metrics = MetricsByClass();  // a process counts from nothing
            w.generation = l.serving_generation;
        } else if (!w.base_metrics) {
            w.base_metrics = *l.metrics;
        }
        w.last_metrics = *l.metrics;
    }
    samples_.push_back(sample);
    if (samples_.size() < max_samples)
        return;
    // Guards the memory of a roll that takes days: two looks become one.
    std::vector<TrafficSample> half;
    for (std::size_t i = 0; i + 1 < samples_.size(); i += 2) {
        half.push_back(samples_[i + 1]);
        half.back().canary += samples_[i].canary;
        half.back().baseline += samples_[i].baseline;
    }
    samples_ = std::move(half);
}

// Crashes of the changed against those of the unchanged over the whole roll, by how long each were watched: of so many in
// all, as many or more would fall on the changed by chance (the exact test of two Poisson rates). What is odd and no more
// is waited for: as long again, and half, as it took to come. Beyond chance, and the change is at fault.
bool RolloutStateMachine::has_excess_crashes(Timestamp now, std::string& wait_reason) {
    double crashes = 0.0, exposed = 0.0;
    for (const RolloutTarget& m : state_.targets) {
        if (!m.is_updated)
            continue;
        const auto it = accumulators_.find(m.id);
        const auto mark = crash_counts_.find(m.id);
        if (it == accumulators_.end() || mark == crash_counts_.end())
            continue;
        exposed += static_cast<double>((now - it->second.started_at).count()) * 1e-6;
        crashes += static_cast<double>(mark->second - std::min(mark->second, it->second.crashes_at_start));
    }
    if (crashes < 1.0)
        return false;
    const double part = std::clamp(exposed / std::max(1e-9, exposed + baseline_exposure_seconds_), 1e-9, 1.0);
    const double p = boost::math::cdf(
        boost::math::complement(boost::math::binomial(crashes + baseline_crashes_, part), crashes - 1.0));
    if (crashes >= 2.0 && p < crash_significance_level)
        return true;
    if (crashes > canary_crashes_) {
        if (p < max_suspect_crash_p_value)
            crash_wait_until_ = now + (now - std::max(phase_started_at_, last_canary_crash_at_)) * 3 / 2;
        canary_crashes_ = crashes;
        last_canary_crash_at_ = now;
    }
    if (now < crash_wait_until_ && !suspect_wait_expired(now))
        wait_reason = "a changed process has ended by itself";
    return false;
}

std::string RolloutStateMachine::visibility_problem(Timestamp now, const Observations& observations) const {
    std::size_t changed = 0, unchanged = 0, blind_changed = 0, blind_unchanged = 0;
    std::map<std::string, std::size_t> views;
    for (const RolloutTarget& m : state_.targets) {
        const auto it = observations.find(m.id);
        const auto w = accumulators_.find(m.id);
        const bool seen = it != observations.end() && it->second.is_reachable && w != accumulators_.end() &&
                          w->second.last_metrics && now - w->second.last_seen_at <= plan_.bake_time / 2;
        (m.is_updated ? changed : unchanged) += 1;
        if (!seen)
            (m.is_updated ? blind_changed : blind_unchanged) += 1;
        if (seen && !it->second.membership_digest.empty())
            ++views[it->second.membership_digest];
    }
    if (static_cast<double>(blind_changed) > max_unseen_fraction * static_cast<double>(changed))
        return std::to_string(blind_changed) + " changed processes are out of sight";
    if (static_cast<double>(blind_unchanged) > max_unseen_fraction * static_cast<double>(unchanged))
        return std::to_string(blind_unchanged) + " unchanged processes are out of sight";
    std::size_t all = 0, largest = 0;
    for (const auto& [view, n] : views)
        all += n, largest = std::max(largest, n);
    if (static_cast<double>(all - largest) > max_unseen_fraction * static_cast<double>(all))
        return "the processes do not see one fleet: a partition";
    return "";
}

void RolloutStateMachine::step_baking(Timestamp now, const Observations& observations,
                                      RolloutActions& actions) {
    if (reports_.empty() || reports_.back().stage_index != state_.stage_index) {  // it goes on from a file
        StageReport r;
        r.stage_index = state_.stage_index;
        r.canary_count = updated_count_after(state_.stage_index);
        r.baseline_count = state_.targets.size() - r.canary_count;
        r.started_at = r.bake_started_at = now;
        reports_.push_back(r);
    }
    std::string hold;
    if (has_excess_crashes(now, hold))
        return start_rollback(now, "the changed processes end by themselves", actions);
    if (now < next_analysis_at_)
        return;
    std::vector<ProcessMetrics> changed, unchanged;
    for (const RolloutTarget& m : state_.targets)
        if (const auto w = accumulators_.find(m.id); w != accumulators_.end() && w->second.last_metrics)
            (m.is_updated ? changed : unchanged).push_back({w->second.total(), prior_metrics_[m.id]});
    const bool last = current_report().baseline_count == 0;
    CanaryAnalysis j;
    if (last) {
        j.verdict = CanaryVerdict::pass;
        j.reason = "nobody is left to compare with";
        for (const ProcessMetrics& s : changed)
            j.canary += s.window;
    } else {
        j = analyze_canary(changed, unchanged, plan_.tolerances);
    }
    current_report().analysis = j;
    if (j.verdict == CanaryVerdict::fail)
        return start_rollback(now, j.reason, actions);
    if (hold.empty())
        hold = visibility_problem(now, observations);
    if (hold.empty() && j.verdict == CanaryVerdict::inconclusive &&
        !(j.is_suspect && suspect_wait_expired(now)))
        hold = (j.is_suspect ? "suspect: " : "") + j.reason;
    if (!hold.empty()) {
        auto& holds = current_report().wait_reasons;
        if (std::find(holds.begin(), holds.end(), hold) == holds.end()) {
            holds.push_back(hold);
            log_event(actions, "hold", {{"why", hold}});
        }
        if (now - phase_started_at_ > plan_.bake_time + plan_.max_inconclusive_time)
            return start_rollback(now, "held too long: " + hold, actions);
        next_analysis_at_ = now + plan_.bake_time / 4;
        return;
    }
    current_report().verdict = CanaryVerdict::pass;
    current_report().reason = j.reason;
    current_report().ended_at = now;
    log_event(actions, "go",
              {{"changed", current_report().canary_count},
               {"requests", std::llround(sum_over_classes(j.canary).total())}});
    if (state_.stage_index + 1 >= plan_.stages.size()) {
        enter_phase(now, Phase::completed, actions);
        return log_event(actions, "done", {{"changed", current_report().canary_count}});
    }
    ++state_.stage_index;
    enter_phase(now, Phase::updating, actions);
}

void RolloutStateMachine::step_rolling_back(Timestamp now, const Observations& observations,
                                            RolloutActions& actions) {
    std::size_t room = std::max<std::size_t>(plan_.max_concurrent_updates, state_.targets.size()),
                missing = 0;
    for (const RolloutTarget& m : state_.targets) {
        if (!m.is_updated || confirmed_targets_.count(m.id) != 0)
            continue;
        const auto it = observations.find(m.id);
        const bool seen = it != observations.end() && it->second.is_reachable;
        // What has the old one is told it all the same, once: an order of before may still be on its way to it.
        if (seen && it->second.active_spec == m.original_spec &&
            it->second.change_status != ChangeStatus::in_progress && last_update_requests_.count(m.id) != 0) {
            confirmed_targets_.insert(m.id);
            continue;
        }
        ++missing;
        request_update(now, m, m.original_spec, observations, room, actions);
    }
    if (missing > 0)
        return;
    enter_phase(now, Phase::rolled_back, actions);
    log_event(actions, "reverted", {{"why", state_.rollback_reason}});
}

}  // namespace cressledge::rollout
