#include "emulator/roll.hpp"

#include <cmath>
#include <random>

namespace cressledge::emulator {
namespace {

using base::Duration;
using base::Timestamp;
using rollout::ClassMetrics;
using rollout::MetricsByClass;

struct Kind {
    const char* name;
    double share, median_ms, sigma, target_ms;
};
constexpr Kind kinds[] = {{"trail-sheet", 0.46, 450.0, 0.6, 2900.0},
                          {"route-profile", 0.46, 250.0, 0.5, 1500.0},
                          {"map-order", 0.08, 700.0, 0.5, 3500.0}};
constexpr double change_takes_s = 1.5, comes_back_s = 0.5, longest_s = 7200.0;

struct Process {
    double speed = 1.0, fault = 1.0;  // of its machine: times, and errors
    rollout::ProcessSpec spec, wanted;
    double changes_at = -1.0, born = 0.0, back_at = -1.0;
    std::uint64_t generation = 1, crashes = 0;
    MetricsByClass figures;
    bool fresh = false, cut = false;
};

class Run {
public:
    explicit Run(const RollCase& c) : c_(c), random_(c.seed, 23) {
        std::vector<rollout::ProcessAssignment> fleet;
        for (std::size_t i = 0; i < c.processes; ++i) {
            Process p;
            p.speed = std::exp(std::normal_distribution<>(0.0, c.machines)(random_));
            p.fault = std::exp(std::normal_distribution<>(0.0, 0.4)(random_));
            p.spec = p.wanted = {"old", ""};
            processes_.push_back(p);
            ids_.push_back("p" + std::to_string(i));
            numbers_[ids_.back()] = i;
            fleet.push_back({ids_.back(), p.spec});
        }
        rollout::RolloutPlan plan = c.plan;
        plan.target_spec = {"new", ""};
        plan.order_seed = c.seed;
        roll_.emplace(plan, fleet);
    }

    RollOutcome go() {
        RollOutcome out;
        for (now_ = 0.0; now_ < longest_s; now_ += c_.looks_s) {
            if (now_ > 0.0)
                live(c_.looks_s);
            const auto looks = look();
            auto orders = roll_->step(at(), looks);
            if (orders.must_save_state)
                orders = roll_->step(at(), looks);  // it lasts: on at once
            for (const auto& [id, spec] : orders.spec_updates) {
                Process& p = processes_[numbers_[id]];
                if (p.wanted == spec)
                    continue;
                p.wanted = spec;
                p.changes_at = now_ + change_takes_s;
            }
            if (orders.is_finished)
                break;
        }
        out.done = roll_->state().phase == rollout::Phase::completed;
        out.reverted = roll_->state().phase == rollout::Phase::rolled_back;
        out.stage = roll_->state().stage_index;
        out.seconds = now_;
        out.met = met_ / std::max(1.0, all_);
        out.why = roll_->state().rollback_reason;
        return out;
    }

private:
    Timestamp at() const { return Timestamp(static_cast<std::int64_t>(now_ * 1e6) + 1); }
    bool chance(double p) { return std::bernoulli_distribution(std::min(1.0, p))(random_); }

    void live(double seconds) {
        weather_ += -weather_ * seconds / 60.0 +
                    c_.weather * std::sqrt(2.0 * seconds / 60.0) * std::normal_distribution<>()(random_);
        for (Process& p : processes_) {
            if (p.changes_at >= 0.0 && p.changes_at <= now_)
                start(p);
            if (p.back_at >= 0.0 && p.back_at <= now_)
                start(p);
            if (p.back_at >= 0.0)
                continue;
            serve(p, seconds);
            const bool own =
                p.fresh && c_.fresh.crash_after_s > 0.0 && now_ - p.born >= c_.fresh.crash_after_s;
            if (!own && !chance(c_.deaths_an_hour * seconds / 3600.0))
                continue;
            ++p.crashes;
            p.back_at = now_ + comes_back_s;
        }
        const bool cut =
            c_.cut_off && roll_->state().stage_index == 1 && roll_->state().phase == rollout::Phase::baking;
        if (cut && cut_at_ < 0.0)
            cut_at_ = now_;
        for (std::size_t i = 0; i < processes_.size(); ++i)
            processes_[i].cut = cut_at_ >= 0.0 && now_ < cut_at_ + 40.0 && i % 5 == 0;
    }
    void start(Process& p) {
        p.spec = p.wanted;
        p.fresh = p.spec.program == "new";
        p.changes_at = p.back_at = -1.0;
        p.born = now_;
        ++p.generation;
        p.figures.clear();
    }
    void serve(Process& p, double seconds) {
        const Version ok;
        const Version& v = p.fresh ? c_.fresh : ok;
        for (const Kind& k : kinds) {
            const int n = std::poisson_distribution<>(c_.rate_s * seconds * k.share)(random_);
            ClassMetrics& f = p.figures[k.name];
            all_ += n;
            met_ += p.fresh ? n : 0;
            const double bad = std::min(0.5, c_.errors * p.fault) + (&k == &kinds[1] ? v.errors : 0.0);
            std::lognormal_distribution<> took(
                std::log(k.median_ms * p.speed * v.slower * std::exp(weather_)), k.sigma);
            for (int i = 0; i < n; ++i) {
                const double what = std::generate_canonical<double, 32>(random_);
                if (what < bad) {
                    f.errors += 1.0;
                } else if (what < bad + c_.refusals * p.fault + v.refusals) {
                    f.shed += 1.0;
                } else {
                    const double ms =
                        took(random_) + (v.slow_share > 0.0 && chance(v.slow_share) ? v.slow_ms : 0.0);
                    f.ok += 1.0;
                    f.late += ms > k.target_ms ? 1.0 : 0.0;
                    f.latency_counts[base::LatencyHistogram::bucket_index(
                        Duration(static_cast<std::int64_t>(ms * 1e3)))] += 1.0;
                }
            }
        }
    }
    rollout::Observations look() {
        rollout::Observations all;
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            const Process& p = processes_[i];
            rollout::ProcessObservation& l = all[ids_[i]];
            if (p.cut || chance(c_.lost_looks))
                continue;
            l.is_reachable = true;
            l.active_spec = p.spec;
            l.change_status = p.wanted == p.spec ? supervisor::ChangeStatus::succeeded
                                                 : supervisor::ChangeStatus::in_progress;
            l.serving_generation = p.back_at >= 0.0 ? 0 : p.generation;
            l.crash_count = p.crashes;
            if (p.back_at < 0.0)
                l.metrics = p.figures;
        }
        return all;
    }

    const RollCase c_;
    pcg32 random_;
    std::vector<Process> processes_;
    std::vector<std::string> ids_;
    std::map<std::string, std::size_t> numbers_;
    std::optional<rollout::RolloutStateMachine> roll_;
    double now_ = 0.0, weather_ = 0.0, cut_at_ = -1.0, all_ = 0.0, met_ = 0.0;
};

}  // namespace

RollOutcome run(const RollCase& c) {
    return Run(c).go();
}

}  // namespace cressledge::emulator
