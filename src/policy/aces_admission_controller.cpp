// The controller of one server: every decision, table and tuned value of curlewreel. Interface: control.hpp.
//
// The ordinary path is ACES: each period grants a learned budget of computation quanta, reserves what the
// bands above will want, and refuses on arrival what the band's remaining room cannot pay for. docs/design.md
// tells what was kept and what was changed. In reading order:
//   constants . Price . Stall . Capacity . Predictor . Record . Hold . Budget . RunLimit . CallGuard . Keys
//   Sickness . Part (of a tenant) . Brain: arrival, dispatch, events, advice
#include "policy/admission_controller.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <numeric>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace cressledge::policy {
namespace {

using std::clamp, std::max, std::min;

// ---- constants ----
constexpr double period_objective_ratio = 0.33;  // T over the tightest target: a period waited, a run fits
constexpr double initial_price_ratio = 0.17;  // first price: targets are set at a handful of service times
constexpr double price_gain = 0.05;  // about twenty completions of memory: noise of one cost averages out
constexpr double max_outlier_ratio = 4.0;  // one completion counts for at most this many prices
constexpr double capacity_gain = 0.15;  // c follows within a few periods, and one odd period moves it little
constexpr double min_capacity_per_core = 0.3;  // of the cores: below this a server is sick rather than small
constexpr double chain_step = 0.10;  // rise and fall of the paper's three-state chain
constexpr double demand_rate_gain = 0.3;  // last period's rate is smoothed: a few arrivals must not swing it
constexpr double max_reserved_share = 0.9;  // bands above never take the whole period from the ones below
constexpr double objective_margin = 0.92;  // of the target: network and the caller's own share
constexpr double max_runnable_share = 0.8;  // of the crowd survived, as everything at a call may return at once
constexpr double max_run_memory_share = 0.93;  // of memory: running stops here
constexpr double max_queue_memory_share = 0.85;  // of memory: holding more stops here, room for what is read next
constexpr double degraded_failure_share = 0.2, failing_failure_share = 0.5, failure_gain = 0.12;  // share of own runs
constexpr double retry_share_gain = 0.03, slowed_relative_speed = 0.6;  // share of further tries; base over present price
constexpr double exhaustive_attempts = 3.0, small_budget_requests = 4.0;  // a walk along few servers ends by itself
constexpr double max_optional_call_run_share = 0.7;  // of the target: longer runs have waited for calls that may be skipped
constexpr double idle_core_share = 0.5;  // of the cores without work beside a hold: waiters for calls cost more
constexpr double min_call_share = 0.25;  // of the part of calls: a slow dependency is never left idle
constexpr double stall_window_seconds = 1.5, min_stall_ratio = 1.5;  // seconds; twenty completions scatter by less than half
constexpr double min_intake_delay_ratio = 0.12, max_intake_delay_ratio = 0.35;  // unread wait over the tightest target
constexpr int probe_objective_divisor = 4;  // a probe must be read within this part of its target
constexpr double max_stretch_utilization = 0.95, max_quota_stretch = 4.0;  // few servers see four times the mean
constexpr double tenant_rate_gain = 0.2;  // a tenant's rate over five periods
constexpr double max_pressure_level = 0.4;  // by pressure alone: most ranks stay welcome, or the drowned draw them
constexpr double retry_after_slope = 3.0;  // a third of the top band refused: the longest advice
constexpr double cpu_share_gain = 0.02, min_cpu_share = 0.25;  // some six seconds of ticks
constexpr double idle_timeout_decrease = 0.9, idle_timeout_storm_increase = 1.5, idle_timeout_recovery = 1.01;  // a tick
constexpr double hang_run_multiple = 6.0;  // nothing moves for as many mean run times: the work hangs
constexpr Duration gauge_interval{125'000}, probe_interval{200'000}, call_retry_delay{60'000}, min_hang_duration{800'000},
    min_process_pause{20'000};  // batches come within a few milliseconds of a timer
constexpr std::uint32_t gauge_timer_token = 1, request_timer_token = 2;

double to_seconds(Duration duration) { return static_cast<double>(duration.count()) * 1e-6; }
Duration from_seconds(double seconds) { return Duration(std::llround(seconds * 1e6)); }

// ---- Price: what a request of a class costs, in core seconds of this server ----
struct ClassPrice {
    explicit ClassPrice(double initial_quanta) : mean_quanta(initial_quanta), base_quanta_(initial_quanta), mean_latency(initial_quanta) {}
    void learn(double quanta, double latency) {
        ++completions;
        const double gain = max(price_gain, 1.0 / (completions + 1.0));
        mean_quanta += gain * (min(quanta, max_outlier_ratio * mean_quanta) - mean_quanta);
        mean_latency += gain * (min(latency, max_outlier_ratio * mean_latency) - mean_latency);
        // The base follows the cheapest the class has been; it drifts up, to accept a lasting change.
        base_quanta_ = completions < 20 ? mean_quanta : min(mean_quanta, base_quanta_ * 1.002);
    }
    void restore(double quanta, double latency, double confidence) {  // n_ stays 0: unlearned as soon as a first guess
        mean_quanta = base_quanta_ = mean_quanta * std::pow(quanta / mean_quanta, confidence);
        mean_latency *= std::pow(latency / mean_latency, confidence);
    }
    double quanta() const { return mean_quanta; }
    double run() const { return mean_latency; }  // latency, calls included
    double relative_speed() const { return clamp(base_quanta_ / max(mean_quanta, 1e-9), 0.2, 1.0); }

    double mean_quanta, base_quanta_, mean_latency;
    double completions = 0;
};

// ---- Stall: work delivered lately over the prices of what it completed ----
// Guards the seconds in which a server has slowed before dear runs have completed and moved the prices; as
// these follow, it returns to 1: one slowdown is counted once. Harm: a chance run of dear requests shows too.
struct StallDetector {
    void deliver(double quanta) { delivered_ += quanta; }
    void complete(double price) { completed_ += price; }
    void decay(double seconds) {
        const double kept_share = std::exp(-seconds / stall_window_seconds);
        delivered_ *= kept_share;
        completed_ *= kept_share;
    }
    double slowdown(double cores) const {  // what the cores give in half a second damps the noise
        const double ratio = (delivered_ + 0.5 * cores) / (completed_ + 0.5 * cores);
        return ratio > min_stall_ratio ? clamp(ratio, 1.0, 10.0) : 1.0;
    }

    double delivered_ = 0.0, completed_ = 0.0;
};

// ---- Capacity: c, quanta completed per second while work was held ----
struct CapacityEstimator {
    explicit CapacityEstimator(int cores) : cores_(cores), quanta_per_second(cores) {}
    void add_busy_time(double busy_seconds) { busy_seconds_ += busy_seconds; }
    void complete(double quanta, bool was_busy) {
        if (was_busy) completed_quanta_ += quanta;
    }
    void restore(double saved_rate, double confidence) {
        quanta_per_second = clamp(quanta_per_second * std::pow(saved_rate / quanta_per_second, confidence), min_capacity_per_core * cores_, cores_);
        restored_ = true;
    }
    void close_period(double period_seconds) {
        // Completions carry their own measured quanta, so a slowdown shows once: in the price.
        const bool measured = busy_seconds_ > 0.5 * period_seconds;
        if (measured)
            quanta_per_second += capacity_gain * (clamp(completed_quanta_ / busy_seconds_, min_capacity_per_core * cores_, 1.0 * cores_) - quanta_per_second);
        else if (restored_)  // guards against a restored one too low to ever hold work, and so to be measured
            quanta_per_second += capacity_gain * (cores_ - quanta_per_second);
        restored_ = restored_ && !measured;
        busy_seconds_ = completed_quanta_ = 0.0;
    }

    double cores_, quanta_per_second, busy_seconds_ = 0.0, completed_quanta_ = 0.0;
    bool restored_ = false;  // restored, and not measured yet
};

// ---- Predictor: last period's demand of a band, moved by a chain of rise, same and fall ----
struct DemandPredictor {
    void arrive(double quanta) { current_quanta += quanta; }
    void restore(double rate, const std::array<double, 3>& odds, double confidence) {
        const double total = max(1e-9, odds[0] + odds[1] + odds[2]);
        for (std::size_t i = 0; i < 3; ++i) trend_odds[i] += confidence * (3.0 * odds[i] / total - trend_odds[i]);
        quanta_per_period = confidence * rate;
        restored_ = true;
    }
    void close_period() {
        const double previous = std::exchange(restored_, false) ? 0.0 : quanta_per_period;  // a restored one stands for a period
        quanta_per_period = previous > 0.0 ? previous + demand_rate_gain * (current_quanta - previous) : current_quanta;
        const double change = previous > 0.0 ? quanta_per_period / previous - 1.0 : 0.0;
        for (double& odds : trend_odds) odds *= 0.95;
        trend_odds[change > chain_step / 2 ? 0U : change < -chain_step / 2 ? 2U : 1U] += 1.0;
        current_quanta = 0.0;
    }
    double predicted() const {
        const double total = trend_odds[0] + trend_odds[1] + trend_odds[2];
        return quanta_per_period * (1.0 + chain_step * (trend_odds[0] - trend_odds[2]) / total);
    }

    double current_quanta = 0.0, quanta_per_period = 0.0;
    bool restored_ = false;
    std::array<double, 3> trend_odds{1.0, 1.0, 1.0};
};

// ---- the request record ----
enum class RequestState {
    none,  // not known, or over
    queued,  // in the hold, never run
    running,  // on the cores (or in a silent disk wait)
    awaiting_call,  // at a call that has not been issued
    in_call,  // at a call in the hands of what lies below
    awaiting_result,  // waits for the outcome of the request it repeats
};

struct TrackedRequest {
    RequestId id = 0;
    std::size_t class_index = 0;
    RequestState state = RequestState::queued;
    std::size_t band = 0;  // higher is worthier
    bool in_backup_queue = false, answered = false, key_retained = false, call_failed = false, call_retry_pending = false, is_retry = false;
    int calls_made = 0;
    double memory_kb = 0.0, price = 0.0, used_quanta = 0.0;
    Timestamp arrived_at{0}, objective_at{0}, deadline{0}, started_at{0}, called_at{0}, timer_at{0};
};
using QueuePosition = std::tuple<std::ptrdiff_t, Timestamp, RequestId>;  // worthiest, then oldest

// ---- Hold: main by priority then age; the backup is served once main is empty ----
struct RunQueue {
    explicit RunQueue(std::size_t band_count) : band_quanta_(band_count, 0.0) {}
    static QueuePosition position(const TrackedRequest& request) { return {-static_cast<std::ptrdiff_t>(request.band), request.arrived_at, request.id}; }
    void add(TrackedRequest& request) {
        (request.in_backup_queue ? backup_queue : main_queue).insert(position(request));
        band_quanta_[request.band] += request.price;
        if (request.in_backup_queue) backup_quanta += request.price;
    }
    void remove(TrackedRequest& request) {
        (request.in_backup_queue ? backup_queue : main_queue).erase(position(request));
        band_quanta_[request.band] -= request.price;
        if (request.in_backup_queue) backup_quanta -= request.price;
    }
    bool empty() const { return main_queue.empty() && backup_queue.empty(); }
    std::size_t size() const { return main_queue.size() + backup_queue.size(); }
    RequestId lowest_priority() const {  // the one that is missed least
        if (main_queue.empty() ||
            (!backup_queue.empty() && std::get<0>(*backup_queue.rbegin()) >= std::get<0>(*main_queue.rbegin())))
            return std::get<2>(*backup_queue.rbegin());
        return std::get<2>(*main_queue.rbegin());
    }
    double quanta_at_or_above(std::size_t band) const {  // quanta held at this band and above
        double total = 0.0;
        for (std::size_t b = band; b < band_quanta_.size(); ++b) total += band_quanta_[b];
        return max(0.0, total);
    }

    std::set<QueuePosition> main_queue, backup_queue;
    std::vector<double> band_quanta_;
    double backup_quanta = 0.0;
};

// ---- Budget: the room that a band has left in this period ----
struct QuantumBudget {
    explicit QuantumBudget(std::size_t band_count) : predictors(band_count), charged_(band_count, 0.0), carried_over_(band_count, 0.0) {}
    void open_period(double quanta, const RunQueue& queue) {
        period_quanta = quanta;
        for (std::size_t b = 0; b < charged_.size(); ++b) {
            charged_[b] = 0.0;
            carried_over_[b] = queue.quanta_at_or_above(b);
        }
    }
    void close_period() {
        for (DemandPredictor& p : predictors) p.close_period();
    }
    void arrive(std::size_t band, double quanta) { predictors[band].arrive(quanta); }
    void charge(std::size_t band, double quanta) { charged_[band] += quanta; }
    // C(kT), less what the last periods left in the hold at this band or above (the paper's bound supposes
    // none pending), less the predicted quanta of higher bands, less what this band has taken.
    double remaining(std::size_t band) const { return period_quanta - carried_over_[band] - reserved(band) - charged_[band]; }
    double reserved(std::size_t band) const {
        double above = 0.0;
        for (std::size_t b = band + 1; b < predictors.size(); ++b) above += max(predictors[b].predicted(), charged_[b]);
        return min(above, max_reserved_share * period_quanta);
    }
    double demand() const {
        double total = 0.0;
        for (const DemandPredictor& p : predictors) total += p.current_quanta;
        return total;
    }

    std::vector<DemandPredictor> predictors;
    std::vector<double> charged_, carried_over_;
    double period_quanta = 0.0;
};

// ---- RunLimit: how many may be on the cores when another is started ----
struct ConcurrencyLimiter {
    explicit ConcurrencyLimiter(int cores) : min_limit_(cores), limit(cores) {}
    void restore(double saved_limit, double confidence) {
        limit = clamp(min_limit_ * std::pow(max(saved_limit, min_limit_) / min_limit_, confidence), min_limit_, 2.0 * min_limit_);
        restored_ = true;
    }
    void update(bool can_grow, double relative_speed, double max_limit) {
        restored_ = restored_ && !can_grow;  // what nobody waits for is given back as fast as it is learned
        if (restored_) limit = max(min_limit_, limit - 0.2 * limit);
        // Up while cores idle and work waits, else by base over measured: crowding makes runs dearer.
        limit += can_grow ? max(1.0, 0.2 * limit) : 0.25 * limit * (relative_speed - 1.0) - 0.05;
        limit = clamp(limit, min(min_limit_, max_limit), max_limit);
    }

    double min_limit_, limit;
    bool restored_ = false;
};

// ---- CallGuard: calls in hand, and how many what lies below takes well ----
// A part under one call is a part of the time: calls draw on seconds in hand that come back at half the part
// and fill up to half of its span. Guards a dependency that hundreds share. Harm: slow calls delay the next.
struct DependencyLimiter {
    DependencyLimiter(const Settings& settings)
        : is_shared_(settings.dependency == Dependency::shared_service), base_refill_rate_(0.45 * settings.dependency_call_quota), max_call_seconds_(base_refill_rate_ * to_seconds(settings.dependency_call_window)),
          max_limit_(is_shared_ ? max(1e-3, settings.dependency_call_quota) : 4.0 * settings.cores), available_call_seconds_(max_call_seconds_), limit_(max_limit_),
          abandoned_call_grace_(settings.abandoned_call_grace) {}
    void advance(Timestamp now) {
        while (!abandoned_until_.empty() && abandoned_until_.front() <= now) abandoned_until_.pop_front();
        available_call_seconds_ = min(max_call_seconds_, available_call_seconds_ + (refill_rate() - in_flight()) * to_seconds(now - advanced_at_));
        advanced_at_ = now;
    }
    double refill_rate() const { return base_refill_rate_ * max(min_call_share, limit_ / max_limit_); }
    bool allows_call() const {
        // Half of what the room can give is always worth a try: one lost call must not end all calls.
        const double required_seconds = min((has_fractional_share_ ? 2.0 : 1.0) * mean_call_seconds, max(0.5 * max_call_seconds_ - to_seconds(abandoned_call_grace_), 1e-3));
        return in_flight() + 1.0 <= max(1.0, limit_) && (!is_shared_ || to_seconds(call_timeout()) > required_seconds);
    }
    Duration call_timeout() const {
        return is_shared_ ? max(Duration(0), from_seconds(min(1e6, available_call_seconds_ / (outstanding_calls + 1.0))) - abandoned_call_grace_) : Duration::max();
    }

    void finish_call(Timestamp now, bool was_abandoned) {
        --outstanding_calls;
        if (was_abandoned) abandoned_until_.push_back(now + abandoned_call_grace_);
    }
    void learn(bool succeeded, double call_seconds) {
        // What was abandoned stays in hand: that is a part of what a call takes. Small parts see few calls.
        if (!succeeded) call_seconds = max(mean_call_seconds, call_seconds + to_seconds(abandoned_call_grace_));
        mean_call_seconds += max(has_fractional_share_ ? 0.15 : 0.05, 1.0 / ++completed_calls) * (call_seconds - mean_call_seconds);
        base_call_seconds_ = completed_calls < 10 ? mean_call_seconds : min(mean_call_seconds, base_call_seconds_ * 1.001);
        if (succeeded && mean_call_seconds <= 3.0 * base_call_seconds_)
            limit_ = min(max_limit_, limit_ + (has_fractional_share_ ? 0.1 * max_limit_ : 0.5 / limit_));
        else  // what is slow for others' sake gets no faster for an empty hand
            limit_ = max(has_fractional_share_ ? 0.0 : max(1.0, min_call_share * max_limit_),
                         limit_ * (succeeded ? (has_fractional_share_ ? 0.95 : 0.99) : (has_fractional_share_ ? 0.8 : 0.9)));
    }
    // Seconds until the calls that wait ahead, and those that runs ahead will yet make, are through.
    double queue_delay(std::size_t waiting_calls, double expected_calls) const {
        const double limit_delay = static_cast<double>(waiting_calls) * mean_call_seconds / max(1.0, limit_);
        return is_shared_ ? max(limit_delay, ((expected_calls + 1.0) * mean_call_seconds + to_seconds(abandoned_call_grace_) - available_call_seconds_) / max(1e-3, refill_rate())) : limit_delay;
    }

    double in_flight() const { return outstanding_calls + static_cast<double>(abandoned_until_.size()); }
    bool is_shared_;
    double base_refill_rate_, max_call_seconds_, max_limit_, available_call_seconds_, limit_, outstanding_calls = 0.0, mean_call_seconds = 0.0, base_call_seconds_ = 0.0, completed_calls = 0.0;
    bool has_fractional_share_ = is_shared_ && max_limit_ < 1.0;  // a part under one call
    Duration abandoned_call_grace_;
    Timestamp advanced_at_{0};
    std::deque<Timestamp> abandoned_until_;
};

// ---- Keys: entries kept and the memory they take ----
struct IdempotencyKeyTable {
    void retain(RequestId id, Timestamp expires_at) {
        release(id);
        expiry_by_id_[id] = expires_at;
        ids_by_expiry_.insert({expires_at, id});
    }
    void release(RequestId id) {
        if (const auto it = expiry_by_id_.find(id); it != expiry_by_id_.end()) {
            ids_by_expiry_.erase({it->second, id});
            expiry_by_id_.erase(it);
        }
    }
    void expire(Timestamp now) {
        while (!ids_by_expiry_.empty() && ids_by_expiry_.begin()->first <= now) release(ids_by_expiry_.begin()->second);
    }
    double count() const { return static_cast<double>(expiry_by_id_.size()); }

    std::unordered_map<RequestId, Timestamp> expiry_by_id_;
    std::set<std::pair<Timestamp, RequestId>> ids_by_expiry_;
};

// ---- Sickness: own runs fail, or nothing moves though work is on the cores ----
struct FailureDetector {
    void record_run(bool run_failed) {
        failure_share += failure_gain * ((run_failed ? 1.0 : 0.0) - failure_share);
        if (failure_share > failing_failure_share) is_failing = true;
        if (failure_share < degraded_failure_share) is_failing = false;
    }
    void record_progress(Timestamp now) {
        last_progress_ = now;
        is_hung = false;
    }
    void update(Timestamp now, double running_count, double mean_latency) {
        if (running_count < 1.0) last_progress_ = now;
        is_hung = now - last_progress_ > max(min_hang_duration, from_seconds(hang_run_multiple * mean_latency));
    }
    double failure_share = 0.0;
    bool is_failing = false, is_hung = false;
    Timestamp last_progress_{0};
};

// ---- Part: this server's part of a tenant's allowance ----
// Marks as many of its requests as lie beyond the part at its smoothed rate, evenly spread: chance bunches of
// a tenant that stays within its part are never marked.
struct TenantQuota {
    double per_second = 0.0, request_rate = 0.0, request_count = 0.0, first_attempt_rate = 0.0, first_attempt_count = 0.0, credit = 0.0;
    // By first tries: what is asked again was asked for before. Beyond the part all tries count, or a tenant
    // would get more of it by asking more often.
    bool try_acquire(double stretch, bool is_retry) {
        request_count += 1.0;
        first_attempt_count += is_retry ? 0.0 : 1.0;
        if (first_attempt_rate <= stretch * per_second) return true;
        credit = min(credit + min(1.0, stretch * per_second / max(request_rate, 1e-9)), 2.0);
        if (credit < 1.0) return false;
        credit -= 1.0;
        return true;
    }
    void close_period(double seconds) {
        request_rate += tenant_rate_gain * (request_count / seconds - request_rate);
        first_attempt_rate += tenant_rate_gain * (first_attempt_count / seconds - first_attempt_rate);
        request_count = first_attempt_count = 0.0;
    }
};

// ---- Brain ----
class AcesAdmissionController final : public AdmissionController {
public:
    AcesAdmissionController(const Settings& settings, std::uint64_t)
        : settings_(settings), band_weights_(make_band_weights(settings)), period_(make_period(settings)), min_objective_seconds_(to_seconds(period_) / period_objective_ratio),
          capacity_(settings.cores), run_queue_(band_weights_.size()), budget_(band_weights_.size()), concurrency_limiter_(settings.cores), dependency_limiter_(settings) {
        for (const RequestClass& c : settings_.classes) prices_.emplace_back(initial_price_ratio * to_seconds(c.latency_objective));
        for (const Tenant& t : settings_.tenants) { tenant_quotas_.push_back({t.quota_per_second / max(1, settings_.replica_count)}); }
        budget_.open_period(settings_.cores * to_seconds(period_), run_queue_);
    }

    Estimates estimates() const override {
        Estimates state;
        for (std::size_t i = 0; i < prices_.size(); ++i)
            state.classes.push_back({settings_.classes[i].name, prices_[i].mean_quanta, prices_[i].mean_latency, prices_[i].completions, 0.0});
        for (std::size_t b = 0; b < band_weights_.size(); ++b)
            state.bands.push_back({band_weights_[b], budget_.predictors[b].quanta_per_period, budget_.predictors[b].trend_odds, 0.0});
        state.capacity_quanta_per_second = capacity_.quanta_per_second;
        state.concurrency_limit = concurrency_limiter_.limit;
        state.call_seconds = dependency_limiter_.mean_call_seconds;
        state.call_count = dependency_limiter_.completed_calls;
        return state;
    }
    void restore(const Estimates& saved) override {
        if (is_started_) return;
        for (const auto& c : saved.classes)
            for (std::size_t i = 0; i < prices_.size(); ++i)
                if (settings_.classes[i].name == c.name) prices_[i].restore(c.price_seconds, c.run_seconds, c.confidence);
        for (const auto& b : saved.bands)
            for (std::size_t i = 0; i < band_weights_.size(); ++i)
                if (band_weights_[i] == b.priority_weight) budget_.predictors[i].restore(b.quanta_per_period, b.trend_odds, b.confidence);
        if (saved.capacity_confidence > 0.0) capacity_.restore(saved.capacity_quanta_per_second, saved.capacity_confidence);
        if (saved.capacity_confidence > 0.0) concurrency_limiter_.restore(saved.concurrency_limit, saved.capacity_confidence);
        dependency_limiter_.mean_call_seconds = saved.call_confidence * saved.call_seconds;  // the first call of its own replaces it
        budget_.open_period(capacity_.quanta_per_second * to_seconds(period_), run_queue_);
    }
    void handle(Timestamp now, const Event& event, std::vector<Action>& actions) override {
        actions_ = &actions;
        advance(now);
        std::visit([this](const auto& e) { on_event(e); }, event);
        dispatch();
        schedule_wakeup();
    }

private:
    // -- settings worked out once --
    static std::vector<double> make_band_weights(const Settings& settings) {
        // Distinct effective worths, near ones together: equal classes share a band in any order.
        std::vector<double> weights;
        for (const RequestClass& c : settings.classes) {
            weights.push_back(c.priority_weight);
            if (!settings.tenants.empty()) weights.push_back(c.priority_weight * settings.over_quota_weight);
        }
        std::sort(weights.begin(), weights.end());
        std::vector<double> bands;
        for (const double weight : weights)
            if (bands.empty() || weight > 1.25 * bands.back()) bands.push_back(weight);
        if (bands.empty()) bands.push_back(1.0);
        return bands;
    }
    static Duration make_period(const Settings& settings) {
        Duration min_objective{10'000'000};
        for (const RequestClass& c : settings.classes) min_objective = min(min_objective, c.latency_objective);
        return clamp(from_seconds(period_objective_ratio * to_seconds(min_objective)), Duration(50'000), Duration(2'000'000));
    }
    std::size_t find_band(double weight) const {
        const auto it = std::upper_bound(band_weights_.begin(), band_weights_.end(), weight);
        return it == band_weights_.begin() ? 0 : static_cast<std::size_t>(it - band_weights_.begin()) - 1;
    }

    // -- clock and integrals --
    void advance(Timestamp now) {
        now = max(now, now_);  // a clock that runs backwards is a breach of contract: stay at the latest
        // A timer later than any batch proves a standstill, in which no core time was given and nothing read.
        // Guards prices, capacity and advice against pauses. Harm: the part before the timer is not seen.
        const Timestamp next_timer = scheduled_wakeups_.empty() ? next_gauge_at_ : min(scheduled_wakeups_.back(), next_gauge_at_);
        if (now > now_) process_pause_ = is_started_ && now - next_timer > min_process_pause ? now - next_timer : Duration(0);
        const double elapsed_seconds = is_started_ ? max(0.0, to_seconds(now - now_ - process_pause_)) : 0.0;
        if (elapsed_seconds > 0.0) {
            const double core_seconds = elapsed_seconds * min(cpu_share_, settings_.cores / max(1.0, running_count_));
            core_seconds_per_run_ += core_seconds;
            stall_detector_.decay(elapsed_seconds);
            stall_detector_.deliver(core_seconds * running_count_);
            if (!run_queue_.empty()) capacity_.add_busy_time(elapsed_seconds);
        }
        if (now > now_) ended_before_run_.clear();
        now_ = now;
        dependency_limiter_.advance(now);
        idempotency_keys_.expire(now);
        if (!is_started_) {
            is_started_ = true;
            started_at_ = period_start_ = now;
            failure_detector_.record_progress(now);
        }
        if (now_ - period_start_ >= period_) close_period();
    }
    void close_period() {
        const double period_seconds = to_seconds(now_ - period_start_);
        capacity_.close_period(period_seconds);
        pressure_ += 0.5 * (budget_.demand() / max(1e-3, capacity_.quanta_per_second * period_seconds) - pressure_);
        rejected_share_ = arrivals_ > 0 ? rejections_ / arrivals_ : 0.0;
        top_band_rejected_share_ += 0.4 * ((top_band_arrivals_ > 0 ? top_band_rejections_ / top_band_arrivals_ : 0.0) - top_band_rejected_share_);
        arrivals_ = rejections_ = top_band_arrivals_ = top_band_rejections_ = 0.0;
        budget_.close_period();
        // Busy servers stretch all tenants' parts alike while what lies within them fits: the tenant furthest
        // over its share is the first to go without.
        quota_stretch_ =
            clamp(quota_stretch_ * (in_quota_quanta_ < max_stretch_utilization * capacity_.quanta_per_second * period_seconds ? 1.1 : 0.85), 1.0, max_quota_stretch);
        in_quota_quanta_ = 0.0;
        for (TenantQuota& p : tenant_quotas_) p.close_period(period_seconds);
        // What has waited a whole period without a start moves to the backup.
        std::vector<RequestId> overdue_ids;
        for (const QueuePosition& o : run_queue_.main_queue)
            if (now_ - std::get<1>(o) >= period_) overdue_ids.push_back(std::get<2>(o));
        for (const RequestId id : overdue_ids) {
            TrackedRequest& request = requests_.at(id);
            run_queue_.remove(request);
            request.in_backup_queue = true;
            run_queue_.add(request);
        }
        // A full backup (one period's quanta) is cleared by refusals, lowest band first.
        while (run_queue_.backup_quanta > capacity_.quanta_per_second * to_seconds(period_) && !run_queue_.backup_queue.empty())
            reject(requests_.at(std::get<2>(*run_queue_.backup_queue.rbegin())));
        period_start_ = now_;
        budget_.open_period(capacity_.quanta_per_second * to_seconds(period_), run_queue_);
        advertise_load();
    }
    double slow_start_share() const {  // lowest share of full speed that this server may have now
        if (!settings_.cold_start || settings_.warm_up_duration <= Duration(0)) return 1.0;
        return clamp(settings_.cold_start_speed + (1.0 - settings_.cold_start_speed) * to_seconds(now_ - started_at_) / to_seconds(settings_.warm_up_duration), settings_.cold_start_speed,
                     1.0);
    }
    double max_in_flight() const { return max_runnable_share * (1.0 + (settings_.max_runnable_per_core - 1.0) * slow_start_share()) * settings_.cores; }

    TrackedRequest& find_request(RequestId id) {
        const auto it = requests_.find(id);
        return it == requests_.end() ? unknown_request_ : it->second;
    }

    // -- memory --
    double memory_of(const TrackedRequest& request) const {
        return request.memory_kb * (request.state == RequestState::queued || request.state == RequestState::awaiting_result ? 1.0 : max(1.0, settings_.running_memory_factor));
    }
    double used_memory_kb() const { return request_memory_kb_ + idempotency_keys_.count() * settings_.idempotency_key_kb; }
    void set_state(TrackedRequest& request, RequestState new_state) {
        account(request, -1.0);
        request.state = new_state;
        account(request, 1.0);
    }
    void account(TrackedRequest& request, double sign) {  // enter (1) or leave (-1) all that counts records in its state
        request_memory_kb_ += sign * memory_of(request);
        if (requires_call(request.class_index) && request.calls_made == 0 && request.state < RequestState::in_call) expected_calls_[request.band] += sign;
        if (is_in_flight(request.state)) in_flight_count_ += sign;
        if (request.state == RequestState::queued) sign > 0 ? run_queue_.add(request) : run_queue_.remove(request);
        if (request.state == RequestState::awaiting_call && sign > 0) call_queue_.insert(RunQueue::position(request));
        if (request.state == RequestState::awaiting_call && sign < 0) call_queue_.erase(RunQueue::position(request));
        if (request.state != RequestState::running) return;
        running_count_ += sign;
        request.used_quanta -= sign * core_seconds_per_run_;
    }
    static bool is_in_flight(RequestState s) {
        return s == RequestState::running || s == RequestState::awaiting_call || s == RequestState::in_call;
    }

    // Whatever it waits for, no request waits beyond the stop.
    void set_timer(TrackedRequest& request, Timestamp timer_at) {
        if (is_draining_ && timer_at > Timestamp(0)) timer_at = max(now_, min(timer_at, drain_deadline_));
        if (request.timer_at > Timestamp(0)) request_timers_.erase({request.timer_at, request.id});
        request.timer_at = timer_at;
        if (timer_at > Timestamp(0)) request_timers_.insert({timer_at, request.id});
    }
    void schedule_wakeup() {
        if (request_timers_.empty()) return;
        const Timestamp next_timer = max(now_, request_timers_.begin()->first);
        if (!scheduled_wakeups_.empty() && scheduled_wakeups_.back() <= next_timer) return;
        scheduled_wakeups_.push_back(next_timer);
        emit(ScheduleTimer{next_timer - now_, request_timer_token});
    }
    template <class A>
    void emit(A a) {
        actions_->push_back(std::move(a));
    }
    void log(const char* message, double figure) {
        if (now_ - last_log_at_ < Duration(1'000'000)) return;
        last_log_at_ = now_;
        emit(WriteLog{std::string(message).append(" ").append(std::to_string(figure))});
    }

    // -- the one place for each of: may it run, may it be refused, end it --
    bool can_run(const TrackedRequest& request) const {
        if (request.state != RequestState::queued || request.answered) return false;
        if (is_draining_ && (request.arrived_at > drain_started_at_ + settings_.drain_grace || now_ >= drain_deadline_)) return false;
        const double memory_when_running = used_memory_kb() + request.memory_kb * (max(1.0, settings_.running_memory_factor) - 1.0);
        return memory_when_running <= max_run_memory_share * settings_.memory_kb && in_flight_count_ + 1.0 <= max(1.0, max_in_flight());
    }
    static bool can_reject(const TrackedRequest& request) { return request.state == RequestState::queued && !request.answered; }

    // Others refuse as well, as a rule: walking on costs each a reading in place of work. Where this server's
    // own trouble is the cause (it fails, hangs, leaves, has slowed down), another may serve. Harm: the one
    // server with room is not found, so a walk along a short list is let be while few are refused.
    bool discourages_retry() const {
        const bool is_own_fault = is_unavailable() || failure_detector_.failure_share > degraded_failure_share || relative_speed_ < slowed_relative_speed;
        return !is_own_fault && retry_share_ > exhaustive_attempts / settings_.replica_count;
    }
    void reject(TrackedRequest& request) {
        if (!can_reject(request)) return fail(request);
        emit(Reject{request.id, retry_after(), discourages_retry()});
        rejections_ += 1.0;
        top_band_rejections_ += request.band + 1 == band_weights_.size();
        remove_request(request);
    }
    void fail(TrackedRequest& request) {
        if (!request.answered) emit(Fail{request.id});
        request.answered = true;
        if (!is_in_flight(request.state)) return remove_request(request);
        set_timer(request, Timestamp(0));
        stop_work(request);
    }
    void stop_work(TrackedRequest& request) {  // answered or not wanted: give the core back where that is possible
        if (request.state == RequestState::running && settings_.preemption != Preemption::none) emit(Suspend{request.id});
        // A freeze does not reach work that waits for a disk: it is tried again until the work is over.
        if (request.state == RequestState::running && settings_.preemption == Preemption::pause && !is_draining_) set_timer(request, now_ + gauge_interval);
        if (request.state == RequestState::awaiting_call) call_queue_.erase(RunQueue::position(request));
    }
    void release_key(const TrackedRequest& request) {
        emit(ReleaseKey{request.id});
        idempotency_keys_.release(request.id);
    }
    void remove_request(TrackedRequest& request) {
        if (request.state == RequestState::queued) ended_before_run_.insert(request.id);
        if (request.key_retained && request.state == RequestState::queued) release_key(request);
        set_timer(request, Timestamp(0));
        account(request, -1.0);
        requests_.erase(request.id);
    }

    // -- estimates --
    // Where nothing is earned without the call, calls queued ahead count: work failing at its call is wasted.
    bool requires_call(std::size_t class_index) const {
        return settings_.classes[class_index].calls_dependency && settings_.classes[class_index].skipped_call_weight <= 0.0;
    }
    double expected_run_seconds(const TrackedRequest& request) const {
        const auto first_lower = call_queue_.lower_bound({1 - static_cast<std::ptrdiff_t>(request.band), Timestamp::min(), 0});
        const auto calls_ahead = static_cast<std::size_t>(std::distance(call_queue_.begin(), first_lower));
        const double expected_calls = std::accumulate(expected_calls_.begin() + request.band, expected_calls_.end(), 0.0);
        // What may go on without its call need not wait for one. Guards against a slow dependency that makes
        // all runs look too long to start, which nothing started then could correct.
        const ClassPrice& price = prices_[request.class_index];
        const bool can_skip = settings_.classes[request.class_index].skipped_call_weight > 0.0;
        const double max_run_seconds = can_skip ? max_optional_call_run_share * to_seconds(settings_.classes[request.class_index].latency_objective) : 1e6;
        return min(max_run_seconds, price.run() * stall_detector_.slowdown(settings_.cores)) +
               (requires_call(request.class_index) ? dependency_limiter_.queue_delay(calls_ahead, expected_calls) : 0.0);
    }
    double queue_delay_seconds(std::size_t band) const { return run_queue_.quanta_at_or_above(band) / max(0.1, capacity_.quanta_per_second); }
    Timestamp latest_start(const TrackedRequest& request) const {  // a later start is an answer that earns nothing
        return min(is_draining_ ? min(request.objective_at, drain_deadline_) : request.objective_at, request.deadline) - from_seconds(expected_run_seconds(request));
    }
    bool is_unavailable() const { return failure_detector_.is_failing || failure_detector_.is_hung || is_draining_; }
    // 0 to 1: how far reading is behind. Each refusal is read first: callers are asked to stay away. Guards
    // against traffic drawn here for any cause. Harm: if all are flooded, none is willing for a while.
    double intake_overload() const { return clamp((intake_delay_ratio_ - min_intake_delay_ratio) / (max_intake_delay_ratio - min_intake_delay_ratio), 0.0, 1.0); }
    Duration retry_after() const {
        return from_seconds(to_seconds(settings_.max_retry_after) *
                    (is_unavailable() ? 1.0 : max(intake_overload(), clamp(retry_after_slope * top_band_rejected_share_, 0.0, 1.0))));
    }

    // -- events --
    void on_event(const Started&) {
        emit(SetHealth{true, true});
        schedule_gauge_timer();
    }

    void schedule_gauge_timer() {
        next_gauge_at_ = now_ + gauge_interval;
        emit(ScheduleTimer{gauge_interval, gauge_timer_token});
    }

    void on_event(const RequestArrived& event) {
        arrivals_ += 1.0;
        intake_delay_ratio_ += 0.2 * (max(0.0, to_seconds(event.age - process_pause_)) / min_objective_seconds_ - intake_delay_ratio_);
        if (requests_.count(event.id) != 0) return;
        // Nothing is known of the effects of an unknown class: never run it.
        if (event.class_index >= settings_.classes.size()) return emit(Reject{event.id, Duration(0), false});
        const RequestClass& request_class = settings_.classes[event.class_index];
        TrackedRequest& request = requests_[event.id];
        request.id = event.id;
        request.class_index = event.class_index;
        request.is_retry = event.is_retry;
        request.memory_kb = event.reserved_kb;
        request.arrived_at = now_ - event.age;
        request.deadline = max(now_, event.caller_deadline.value_or(request.arrived_at + request_class.answer_deadline));
        request.objective_at = min(request.deadline, request.arrived_at + from_seconds(objective_margin * to_seconds(request_class.latency_objective)));
        request.price = prices_[event.class_index].quanta() * stall_detector_.slowdown(settings_.cores);
        const bool is_within_quota = event.tenant_index >= tenant_quotas_.size() || tenant_quotas_[event.tenant_index].try_acquire(quota_stretch_, event.is_retry);
        request.band = find_band(request_class.priority_weight * (is_within_quota ? 1.0 : settings_.over_quota_weight));
        account(request, 1.0);
        if (event.repeated_id != 0 && ended_before_run_.count(event.repeated_id) == 0 && handle_repeat(request, event.repeated_id)) return;
        if (is_within_quota) in_quota_quanta_ += request.price;
        budget_.arrive(request.band, request.price);
        top_band_arrivals_ += request.band + 1 == band_weights_.size();
        const bool is_admitted = should_admit(request);
        // Where further tries carry no mark, own refusals stand for them: servers are alike more often.
        retry_share_ += retry_share_gain * ((settings_.callers_mark_retries ? event.is_retry : !is_admitted) - retry_share_);
        if (!is_admitted) return reject(request);
        budget_.charge(request.band, request.price);
        retain_key(request, event.has_key && !event.is_write);
        set_timer(request, latest_start(request));
    }

    // A repeat takes the place of one that never ran, and shares the outcome of one that did.
    bool handle_repeat(TrackedRequest& request, RequestId original_id) {
        const RequestClass& request_class = settings_.classes[request.class_index];
        TrackedRequest& original = find_request(original_id);
        if (request_class.idempotency == Idempotency::with_key && original.state == RequestState::queued) {
            run_queue_.remove(request);
            request.band = max(request.band, original.band);
            request.in_backup_queue = original.in_backup_queue;
            run_queue_.add(request);
            retain_key(request, false);  // moves the entry
            idempotency_keys_.release(original.id);
            original.key_retained = false;
            reject(original);
            set_timer(request, latest_start(request));
            return true;
        }
        if (request_class.idempotency == Idempotency::never) return false;
        // Guards against a crowd of repeats of one run, each in memory. As that has run, a repeat is failed,
        // not turned away, where nothing lesser is held.
        if (!ensure_memory(request, 0.0, max_run_memory_share)) return fail(request), true;
        emit(ReplayResult{request.id});
        set_state(request, RequestState::awaiting_result);
        set_timer(request, request.deadline);
        return true;
    }
    void retain_key(TrackedRequest& request, bool shareable) {
        const RequestClass& request_class = settings_.classes[request.class_index];
        if (request_class.idempotency == Idempotency::with_key) {
            const Duration lifetime = request_class.idempotency_window - (now_ - request.arrived_at) + settings_.answer_slack;
            emit(RetainKey{request.id, max(lifetime, Duration(1000))});
            idempotency_keys_.retain(request.id, now_ + max(lifetime, Duration(1000)));
            request.key_retained = true;
        } else if (request_class.idempotency == Idempotency::always && shareable && settings_.result_ttl > Duration(0) &&
                   used_memory_kb() + settings_.idempotency_key_kb < 0.7 * settings_.memory_kb) {
            const Duration lifetime = (request.deadline - now_) + settings_.result_ttl;
            emit(RetainKey{request.id, lifetime});
            idempotency_keys_.retain(request.id, now_ + lifetime);
            request.key_retained = true;
        }
    }

    // What is worth least is shed when memory runs short, this one if it is that.
    bool ensure_memory(const TrackedRequest& request, double extra_kb, double max_share) {
        while (used_memory_kb() + extra_kb > max_share * settings_.memory_kb) {
            const RequestId lowest_id = run_queue_.lowest_priority();
            if (lowest_id == request.id) return false;
            log("memory: shed held, used", used_memory_kb() / settings_.memory_kb);
            reject(requests_.at(lowest_id));
        }
        return true;
    }

    // ACES at arrival, and what must hold besides.
    bool should_admit(TrackedRequest& request) {
        const RequestClass& request_class = settings_.classes[request.class_index];
        if (is_draining_ && request.arrived_at > drain_started_at_ + settings_.drain_grace) return false;
        if (failure_detector_.is_hung) return false;
        // Precious requests go elsewhere unrun; others may be tried again and stay while most runs succeed.
        if (failure_detector_.failure_share > degraded_failure_share && request_class.idempotency != Idempotency::always) return false;
        if (failure_detector_.is_failing) {
            if (now_ - last_probe_at_ < probe_interval) return false;
            last_probe_at_ = now_;
        }
        if (!ensure_memory(request, request_class.idempotency == Idempotency::with_key ? settings_.idempotency_key_kb : 0.0, max_queue_memory_share)) return false;
        // Prices may say that nothing fits: one safe request at a time finds out whether that is still so.
        if (running_count_ < 1.0 && run_queue_.size() <= 1 && request_class.idempotency == Idempotency::always &&
            (now_ - request.arrived_at) * probe_objective_divisor < request_class.latency_objective)
            return true;
        if (now_ + from_seconds(max(0.0, queue_delay_seconds(request.band) - request.price / capacity_.quanta_per_second)) > latest_start(request)) return false;
        // The cpu gauge is half a second old; what is started or held since must still fit the cores.
        const double own_load = cpu_share_ * running_count_ + static_cast<double>(run_queue_.size());
        if (cpu_utilization_ < 1.0 - 1.0 / settings_.cores && own_load <= 1.5 * settings_.cores) return true;
        if (own_load <= settings_.cores) return true;  // the same, seen at once: a core of this server has no work
        // One or two wait beside busy cores, or these run dry between arrivals; what is at a call comes back.
        // Harm: what comes next waits for one run more, which what lies beyond a tenant's part may not cause.
        const double upcoming_load = cpu_share_ * in_flight_count_ + static_cast<double>(run_queue_.size());
        if (upcoming_load <= settings_.cores + std::sqrt(settings_.cores) && band_weights_[request.band] > 0.5 * request_class.priority_weight) return true;
        // Where a period is worth few prices, what is pending tells more than what was taken: the top band is
        // not refused beside a hold that fits a period. Harm: a burst of it is held for a period at most.
        if (request.band + 1 == band_weights_.size() && budget_.period_quanta < small_budget_requests * request.price &&
            run_queue_.quanta_at_or_above(request.band) + request.price <= budget_.period_quanta)
            return true;
        return request.price <= budget_.remaining(request.band);
    }

    void on_event(const RunFinished& event) {
        TrackedRequest& request = find_request(event.id);
        if (request.state == RequestState::none) return;
        if (is_in_flight(request.state)) {
            failure_detector_.record_progress(now_);
            const bool was_busy = !run_queue_.empty();
            if (request.state == RequestState::in_call) dependency_limiter_.finish_call(now_, true);
            const bool call_failed = request.call_failed;
            set_state(request, RequestState::awaiting_result);  // off the cores: its quanta are complete
            if (event.outcome == Outcome::ok || event.outcome == Outcome::error)
                stall_detector_.complete(prices_[request.class_index].quanta());
            if (event.outcome == Outcome::ok) {
                prices_[request.class_index].learn(request.used_quanta, to_seconds(now_ - request.started_at));
                if (!request.answered) capacity_.complete(request.used_quanta, was_busy);
            }
            if (!call_failed && !request.answered && (event.outcome == Outcome::ok || event.outcome == Outcome::error))
                failure_detector_.record_run(event.outcome == Outcome::error);
            if (event.outcome == Outcome::cancelled && !request.answered) emit(Fail{request.id});
            if (event.outcome == Outcome::not_started && request.key_retained) release_key(request);
        }
        remove_request(request);
    }

    void on_event(const DependencyCallRequested& event) {
        TrackedRequest& request = find_request(event.id);
        if (request.state != RequestState::running) return;
        failure_detector_.record_progress(now_);
        set_state(request, RequestState::awaiting_call);
        if (request.answered) return emit(Fail{request.id});
        wait_for_call(request);
    }
    void wait_for_call(TrackedRequest& request) {
        const RequestClass& request_class = settings_.classes[request.class_index];
        const Timestamp skip_at = skip_deadline(request);
        if (request_class.skipped_call_weight > 0.0 && now_ >= skip_at - from_seconds(dependency_limiter_.mean_call_seconds)) return skip_call(request);
        set_timer(request, request_class.skipped_call_weight > 0.0 ? max(now_, skip_at) : give_up_at(request));
    }
    Timestamp skip_deadline(const TrackedRequest& request) const {  // what goes on without its call from here is back by its aim
        return min(request.objective_at, request.deadline) - from_seconds(0.5 * prices_[request.class_index].quanta());
    }
    Timestamp give_up_at(const TrackedRequest& request) const {
        // After the aim a late answer may still earn; without that the core is better used for another.
        const bool is_late_worthless = settings_.classes[request.class_index].late_priority_weight <= 0.0 && settings_.preemption != Preemption::none;
        return max(now_, is_late_worthless ? min(request.objective_at, request.deadline) : request.deadline);
    }
    void skip_call(TrackedRequest& request) {
        emit(SkipDependencyCall{request.id});
        set_state(request, RequestState::running);
        set_timer(request, give_up_at(request));
    }

    void on_event(const DependencyCallFinished& event) {
        TrackedRequest& request = find_request(event.id);
        if (request.state != RequestState::in_call) return;
        const RequestClass& request_class = settings_.classes[request.class_index];
        const bool succeeded = event.outcome == Outcome::ok;
        dependency_limiter_.finish_call(now_, event.outcome == Outcome::timeout);
        dependency_limiter_.learn(succeeded, to_seconds(event.duration));
        if (succeeded || request.answered) {
            set_state(request, succeeded ? RequestState::running : RequestState::awaiting_call);
            if (!succeeded) emit(Fail{request.id});
            return set_timer(request, request.answered ? Timestamp(0) : give_up_at(request));
        }
        request.call_failed = true;
        set_state(request, RequestState::awaiting_call);
        const bool never_ran = event.outcome == Outcome::rejected || event.outcome == Outcome::connect_failed;
        const bool can_retry_in_time = now_ < (request_class.skipped_call_weight > 0.0 ? skip_deadline(request) - call_retry_delay : request.objective_at);
        if ((never_ran || request_class.idempotency == Idempotency::always) && request.calls_made < 3 && can_retry_in_time) {
            call_queue_.erase(RunQueue::position(request));
            request.call_retry_pending = true;
            set_timer(request, min(give_up_at(request), now_ + call_retry_delay));
        } else if (request_class.skipped_call_weight > 0.0) {
            skip_call(request);
        } else {
            fail(request);
        }
    }

    void on_event(const Cancelled& event) {
        TrackedRequest& request = find_request(event.id);
        if (request.state == RequestState::none) return;
        if (!is_in_flight(request.state)) return remove_request(request);
        request.answered = true;
        set_timer(request, Timestamp(0));
        // A keyed run goes on: its repeat will ask for the outcome. Anything else is stopped.
        if (request.state == RequestState::awaiting_call || settings_.classes[request.class_index].idempotency != Idempotency::with_key) stop_work(request);
    }

    void on_event(const DrainStarted& event) {
        // The grace counts from the first notice, which may have come in while the process stood still.
        if (!is_draining_) drain_started_at_ = now_ - process_pause_;
        is_draining_ = true;
        drain_deadline_ = max(now_, event.deadline - Duration(100'000));
        emit(SetHealth{false, true});
        log("drain: seconds left", to_seconds(event.deadline - now_));
        std::vector<RequestId> timer_ids;
        for (const auto& [when, id] : request_timers_) timer_ids.push_back(id);
        for (const RequestId id : timer_ids) {
            TrackedRequest& request = requests_.at(id);
            set_timer(request, max(now_, request.state == RequestState::queued ? min(request.timer_at, latest_start(request)) : request.timer_at));
        }
        advertise_load();
    }

    void on_event(const TimerFired& event) {
        if (event.token == request_timer_token && !scheduled_wakeups_.empty()) scheduled_wakeups_.pop_back();
        if (event.token != gauge_timer_token) return fire_timers();
        schedule_gauge_timer();
        if (event.gauges.cpu_utilization) cpu_utilization_ = *event.gauges.cpu_utilization;
        const double class_count = static_cast<double>(prices_.size());
        double speed_sum = 0.0, max_latency = 0.0;
        mean_price_ = 0.0;
        for (const ClassPrice& p : prices_)
            speed_sum += p.relative_speed(), mean_price_ += p.quanta() / class_count, max_latency = max(max_latency, p.run());
        relative_speed_ = speed_sum / class_count;
        update_gauges(event.gauges);
        // One more run makes large ones late: only under pressure are the last parts of cores worth that.
        concurrency_limiter_.update(!run_queue_.empty() && cpu_utilization_ < (pressure_ > 1.0 ? 0.97 : 0.75), relative_speed_, max_in_flight());
        const bool was_unhealthy = is_unhealthy_;
        failure_detector_.update(now_, running_count_, max_latency);
        is_unhealthy_ = failure_detector_.is_failing || failure_detector_.is_hung;
        if (is_unhealthy_ != was_unhealthy) {
            const char* reason = failure_detector_.is_hung ? "hung: failing share" : "failing: share";
            log(is_unhealthy_ ? reason : "well: failing share", failure_detector_.failure_share);
            emit(SetHealth{!is_unhealthy_ && !is_draining_, true});
            advertise_load();
        }
        if (intake_overload() > 0.0 && settings_.load_advertisement == LoadAdvertisement::level) advertise_load();  // while somebody waits to hear it
        fire_timers();
    }
    void fire_timers() {
        while (!request_timers_.empty() && request_timers_.begin()->first <= now_) {
            TrackedRequest& request = requests_.at(request_timers_.begin()->second);
            if (request.call_retry_pending) {
                request.call_retry_pending = false;
                call_queue_.insert(RunQueue::position(request));
                wait_for_call(request);
            } else if (request.state == RequestState::queued) {
                reject(request);
            } else if (request.state == RequestState::awaiting_call && settings_.classes[request.class_index].skipped_call_weight > 0.0 && now_ < request.objective_at) {
                skip_call(request);
            } else {
                fail(request);
            }
        }
    }

    // -- starting work and calls --
    void dispatch() {
        while (!call_queue_.empty() && dependency_limiter_.allows_call()) {
            TrackedRequest& request = requests_.at(std::get<2>(*call_queue_.begin()));
            // A call that cannot be back in time would only crowd what lies below.
            const bool can_earn_late = settings_.classes[request.class_index].late_priority_weight > 0.0 || !requires_call(request.class_index);
            if (!can_earn_late && to_seconds(min(request.objective_at, request.deadline) - now_) < dependency_limiter_.mean_call_seconds) {
                fail(request);
                continue;
            }
            set_state(request, RequestState::in_call);
            request.calls_made += 1;
            // Given up in time for the answer without it. Guards against failing what could still be skipped.
            const bool can_skip = settings_.classes[request.class_index].skipped_call_weight > 0.0;
            const Timestamp give_up_time = can_skip ? min(skip_deadline(request), give_up_at(request)) : give_up_at(request);
            emit(CallDependency{request.id, max(Duration(1000), min(give_up_time - now_, dependency_limiter_.call_timeout()))});
            if (can_skip) set_timer(request, give_up_at(request));
            ++dependency_limiter_.outstanding_calls;
        }
        skip_calls_for_idle_cores();
        while (cpu_share_ * (running_count_ + 1.0) <= concurrency_limiter_.limit && !run_queue_.empty()) {
            const std::set<QueuePosition>& source = run_queue_.main_queue.empty() ? run_queue_.backup_queue : run_queue_.main_queue;
            TrackedRequest& request = requests_.at(std::get<2>(*source.begin()));
            if (!can_run(request)) break;
            emit(Run{request.id});
            set_state(request, RequestState::running);
            request.started_at = now_;
            set_timer(request, give_up_at(request));
        }
    }

    // Guards against cores that idle beside a hold while call waiters fill the crowd: the least of them go on
    // without their calls. Harm: a call that would have come soon is not made.
    void skip_calls_for_idle_cores() {
        while (!run_queue_.empty() && in_flight_count_ + 1.0 > max_in_flight() && cpu_share_ * running_count_ < idle_core_share * settings_.cores) {
            const auto lowest = std::find_if(call_queue_.rbegin(), call_queue_.rend(), [this](const QueuePosition& o) {
                return settings_.classes[requests_.at(std::get<2>(o)).class_index].skipped_call_weight > 0.0;
            });
            if (lowest == call_queue_.rend()) return;
            skip_call(requests_.at(std::get<2>(*lowest)));
        }
    }

    // -- gauges --
    // Own runs may wait for a disk unannounced: the part of them that needs a core is what the gauge shows of
    // them at once. Guards against cores left idle beside runs that use none.
    // Idle callers that fill the table turn others away unseen: beyond as many as the cores survive runs,
    // these go sooner. New ones take the cores: once others' work is over a core's worth for each core, idle
    // ones stay as long as a full table still lets in what completes here, and keeps a storm of tries unread.
    void update_gauges(const Gauges& gauges) {
        if (!gauges.runnable) return;
        if (running_count_ >= 1.0) {
            const double gain = max(cpu_share_gain, 1.0 / ++gauge_samples_);
            mean_runnable_ += gain * (min(*gauges.runnable, running_count_) - mean_runnable_);
            mean_running_ += gain * (running_count_ - mean_running_);
            cpu_share_ = clamp(mean_runnable_ / mean_running_, min_cpu_share, 1.0);
        }
        if (settings_.idle_timeout <= Duration(0) || !gauges.connections) return;
        other_runnable_ += 0.25 * (max(0.0, *gauges.runnable - cpu_share_ * running_count_) - other_runnable_);
        max_connections_seen_ = max(max_connections_seen_, *gauges.connections);
        const double idle_connections = *gauges.connections - static_cast<double>(requests_.size()), max_seconds = to_seconds(settings_.idle_timeout);
        const bool is_storm = other_runnable_ > settings_.cores;  // others are let in only where most callers are not connected
        const bool has_many_idle = idle_connections > settings_.max_runnable_per_core * settings_.cores && settings_.caller_count > 2.0 * *gauges.connections;
        const double min_seconds = min(min_objective_seconds_, max_seconds), turnover_seconds = max_connections_seen_ * mean_price_ / capacity_.quanta_per_second;
        const double limit_seconds = has_many_idle || is_storm ? clamp(turnover_seconds, min_seconds, max_seconds) : max_seconds;
        idle_timeout_seconds_ = clamp(idle_timeout_seconds_ * (is_storm ? idle_timeout_storm_increase : has_many_idle ? idle_timeout_decrease : idle_timeout_recovery), min_seconds, limit_seconds);
        if (idle_timeout_seconds_ < 0.8 * advertised_idle_seconds_ || idle_timeout_seconds_ > 1.2 * advertised_idle_seconds_) emit(SetIdleTimeout{from_seconds(advertised_idle_seconds_ = idle_timeout_seconds_)});
    }

    // -- advice --
    void advertise_load() {
        if (settings_.load_advertisement == LoadAdvertisement::none) return;
        const double excess = max(rejected_share_ > 0.05 ? pressure_ - 1.05 : 0.0,
                                settings_.load_advertisement == LoadAdvertisement::level ? 0.0 : 2.0 * intake_overload());
        // Credit: what can be answered within the tightest target, shared by the callers, in fractions too.
        const double answerable = capacity_.quanta_per_second * min_objective_seconds_ / max(1e-3, mean_price_);
        double value = is_unavailable() ? 0.02 : max(0.02, answerable / max(1, settings_.caller_count) / max(1.0, pressure_));
        if (settings_.load_advertisement == LoadAdvertisement::weight) {
            advertised_weight_ += 0.5 * (1.0 / (1.0 + max(0.0, excess)) - advertised_weight_);
            value = is_unavailable() ? 0.02 : max(0.05, advertised_weight_);
        } else if (settings_.load_advertisement == LoadAdvertisement::level) {
            const double step = excess > 0.0 ? 0.2 * excess / (1.0 + excess) * (1.0 - advertised_level_) : -0.08;
            advertised_level_ = clamp(advertised_level_ + step, 0.0, max_pressure_level);
            value = is_unavailable() ? 1.0 : max(advertised_level_, 0.95 * intake_overload());
        }
        emit(AdvertiseLoad{value});
    }

    const Settings settings_;
    const std::vector<double> band_weights_;
    const Duration period_;
    const double min_objective_seconds_;  // target, seconds
    StallDetector stall_detector_;
    CapacityEstimator capacity_;
    RunQueue run_queue_;
    QuantumBudget budget_;
    ConcurrencyLimiter concurrency_limiter_;
    DependencyLimiter dependency_limiter_;
    IdempotencyKeyTable idempotency_keys_;
    FailureDetector failure_detector_;
    std::vector<ClassPrice> prices_;
    std::vector<TenantQuota> tenant_quotas_;
    std::vector<double> expected_calls_ = std::vector<double>(band_weights_.size(), 0.0);  // first calls to come, by band
    std::unordered_map<RequestId, TrackedRequest> requests_;
    TrackedRequest unknown_request_{.state = RequestState::none};
    std::set<QueuePosition> call_queue_;  // at a call not issued yet
    std::set<std::pair<Timestamp, RequestId>> request_timers_;  // by time
    // Wakes asked for and not come yet, each earlier than the one before. Guards against asking
    // again, when one has come, for a later one still out: each such Wake would beget another for
    // as long as alarms stand.
    std::vector<Timestamp> scheduled_wakeups_;
    std::set<RequestId> ended_before_run_;  // ended unrun in this very batch
    std::vector<Action>* actions_ = nullptr;
    Timestamp now_{0}, started_at_{0}, period_start_{0}, drain_started_at_{0}, drain_deadline_{0}, last_probe_at_{0}, next_gauge_at_{0},
        last_log_at_{-10'000'000};
    Duration process_pause_{0};  // how long the process stood still before this batch
    bool is_started_ = false, is_draining_ = false, is_unhealthy_ = false;
    double core_seconds_per_run_{}, running_count_{}, in_flight_count_{}, request_memory_kb_{}, cpu_utilization_{}, pressure_{}, advertised_level_{}, in_quota_quanta_{}, retry_share_{};
    double arrivals_{}, rejections_{}, rejected_share_{}, top_band_arrivals_{}, top_band_rejections_{}, top_band_rejected_share_{};
    double idle_timeout_seconds_ = to_seconds(settings_.idle_timeout), advertised_idle_seconds_ = idle_timeout_seconds_, other_runnable_{}, max_connections_seen_{}, mean_price_{};
    double cpu_share_ = 1.0, mean_runnable_ = 1.0, mean_running_ = 1.0, gauge_samples_ = 8.0, relative_speed_ = 1.0;  // as if seen 8 times
    double intake_delay_ratio_{}, advertised_weight_ = 1.0, quota_stretch_ = 1.0;
};

}  // namespace

std::unique_ptr<AdmissionController> make_admission_controller(const Settings& settings, std::uint64_t seed) {
    return std::make_unique<AcesAdmissionController>(settings, seed);
}

}  // namespace cressledge::policy
