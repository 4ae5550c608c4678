// The admission controller of one server, after ACES (Chen, Chen and Mohapatra): each period grants a learned
// budget of quanta, reserves what higher bands will need, and rejects what the rest of it cannot pay for.
// It owns the requests and their states. README.md has the reason for each tuned value and safeguard.
#include <numeric>

#include "policy/limiters.hpp"
#include "policy/load_advertiser.hpp"

namespace cressledge::policy {
using namespace aces;
namespace {

constexpr double period_ratio = 0.33, price_ratio = 0.17, objective_margin = 0.92, max_skippable_run = 0.7;
constexpr double band_width = 1.25, runnable_margin = 0.8, idle_core_share = 0.5;
constexpr double max_run_memory = 0.93, max_queue_memory = 0.85, max_result_memory = 0.7;
constexpr double retry_share_gain = 0.03, slowed_speed = 0.6, exhaustive_attempts = 3.0;
constexpr double small_budget_prices = 4.0, max_free_core_load = 1.5, min_short_queue_weight = 0.5;
constexpr double intake_gain = 0.2, min_intake_delay = 0.12, max_intake_delay = 0.35;
constexpr double pressure_gain = 0.5, top_gain = 0.4, retry_after_slope = 3.0;
constexpr double stretch_fit = 0.95, max_stretch = 4.0, stretch_rise = 1.1, stretch_fall = 0.85;
constexpr double full_utilization = 0.97, free_utilization = 0.75;
constexpr double storm_factor = 1.5, many_idle_factor = 0.9, rest_factor = 1.01, min_callers_ratio = 2.0;
constexpr double others_gain = 0.25, min_change = 0.8, max_change = 1.2;
constexpr Duration min_period{50'000}, max_period{2'000'000}, gauge_interval{125'000};
constexpr Duration probe_interval{200'000}, log_interval{1'000'000}, drain_margin{100'000}, min_pause{20'000};
constexpr Duration call_retry_delay{60'000}, min_call_timeout{1'000}, min_key_lifetime{1'000};
constexpr int max_calls = 3, probe_divisor = 4;
constexpr std::uint32_t gauge_timer_token = 1, request_timer_token = 2;

/// Distinct weights in rising order, near ones together, so that equal classes share a band in any order.
std::vector<double> make_bands(const Settings& settings) {
    std::vector<double> weights, bands;
    for (const RequestClass& c : settings.classes) {
        weights.push_back(c.priority_weight);
        if (!settings.tenants.empty())
            weights.push_back(c.priority_weight * settings.over_quota_weight);
    }
    std::sort(weights.begin(), weights.end());
    for (const double weight : weights)
        if (bands.empty() || weight > band_width * bands.back())
            bands.push_back(weight);
    if (bands.empty())
        bands.push_back(1.0);
    return bands;
}

Duration make_period(const Settings& settings) {
    Duration tightest{10'000'000};
    for (const RequestClass& c : settings.classes)
        tightest = min(tightest, c.latency_objective);
    return clamp(from_seconds(period_ratio * to_seconds(tightest)), min_period, max_period);
}

class AcesAdmissionController final : public AdmissionController {
public:
    explicit AcesAdmissionController(const Settings& settings)
        : settings_(settings),
          bands_(make_bands(settings)),
          period_(make_period(settings)),
          min_objective_(to_seconds(period_) / period_ratio),
          capacity_(settings.cores),
          queue_(bands_.size()),
          budget_(bands_.size()),
          concurrency_(settings.cores),
          dependency_(settings) {
        for (const RequestClass& c : settings_.classes)
            prices_.emplace_back(price_ratio * to_seconds(c.latency_objective));
        for (const Tenant& t : settings_.tenants)
            quotas_.push_back({t.quota_per_second / max(1, settings_.replica_count)});
        budget_.open_period(settings_.cores * to_seconds(period_), queue_);
    }

    Estimates estimates() const override {
        Estimates result;
        for (std::size_t i = 0; i < prices_.size(); ++i) {
            const ClassPrice& p = prices_[i];
            result.classes.push_back({settings_.classes[i].name, p.quanta, p.run_seconds, p.completions});
        }
        for (std::size_t b = 0; b < bands_.size(); ++b) {
            const DemandPredictor& demand = budget_.predictors[b];
            result.bands.push_back({bands_[b], demand.quanta_per_period, demand.trend_odds});
        }
        result.capacity_quanta_per_second = capacity_.quanta_per_second;
        result.concurrency_limit = concurrency_.limit;
        result.call_seconds = dependency_.call_seconds;
        result.call_count = dependency_.call_count;
        return result;
    }
    void restore(const Estimates& saved) override {
        if (started_)
            return;
        for (const auto& c : saved.classes)
            for (std::size_t i = 0; i < prices_.size(); ++i)
                if (settings_.classes[i].name == c.name)
                    prices_[i].restore(c.price_seconds, c.run_seconds, c.confidence);
        for (const auto& b : saved.bands)
            for (std::size_t i = 0; i < bands_.size(); ++i)
                if (bands_[i] == b.priority_weight)
                    budget_.predictors[i].restore(b.quanta_per_period, b.trend_odds, b.confidence);
        if (saved.capacity_confidence > 0.0) {
            capacity_.restore(saved.capacity_quanta_per_second, saved.capacity_confidence);
            concurrency_.restore(saved.concurrency_limit, saved.capacity_confidence);
        }
        dependency_.call_seconds = saved.call_confidence * saved.call_seconds;
        budget_.open_period(period_capacity(), queue_);
    }
    void handle(Timestamp now, const Event& event, std::vector<Action>& actions) override {
        actions_ = &actions;
        advance(now);
        std::visit([this](const auto& e) { on_event(e); }, event);
        dispatch_calls();
        skip_calls_for_idle_cores();
        dispatch_runs();
        schedule_wakeup();
    }

private:
    using enum RequestState;

    // -- clock and periods --
    void advance(Timestamp now) {
        now = max(now, now_);  // a clock that runs backwards is a breach of contract: stay at the latest
        // A timer later than any batch proves a pause of the process, in which no core time was given.
        const Timestamp next_timer = wakeups_.empty() ? next_gauge_at_ : min(wakeups_.back(), next_gauge_at_);
        if (now > now_)
            ended_unrun_.clear();
        if (now > now_)
            pause_ = started_ && now - next_timer > min_pause ? now - next_timer : Duration(0);
        const double elapsed = started_ ? max(0.0, to_seconds(now - now_ - pause_)) : 0.0;
        if (elapsed > 0.0) {
            const double core_seconds = elapsed * min(cpu_.share, settings_.cores / max(1.0, running_));
            core_seconds_per_run_ += core_seconds;
            stall_.decay(elapsed);
            stall_.delivered += core_seconds * running_;
            if (!queue_.empty())
                capacity_.busy_seconds += elapsed;
        }
        now_ = now;
        dependency_.advance(now);
        while (keys_.has_due(now))
            keys_.erase(keys_.entries.begin()->id);
        if (!std::exchange(started_, true)) {
            started_at_ = period_start_ = now;
            failures_.record_progress(now);
        }
        if (now_ - period_start_ >= period_)
            close_period();
    }
    double period_capacity() const { return capacity_.quanta_per_second * to_seconds(period_); }
    void close_period() {
        const double seconds = to_seconds(now_ - period_start_);
        capacity_.close_period(seconds);
        blend(pressure_, budget_.demand() / max(1e-3, capacity_.quanta_per_second * seconds), pressure_gain);
        rejected_share_ = arrivals_ > 0 ? rejections_ / arrivals_ : 0.0;
        blend(top_rejected_share_, top_arrivals_ > 0 ? top_rejections_ / top_arrivals_ : 0.0, top_gain);
        arrivals_ = rejections_ = top_arrivals_ = top_rejections_ = 0.0;
        for (DemandPredictor& predictor : budget_.predictors)
            predictor.close_period();
        const bool quotas_fit = in_quota_quanta_ < stretch_fit * capacity_.quanta_per_second * seconds;
        quota_stretch_ = clamp(quota_stretch_ * (quotas_fit ? stretch_rise : stretch_fall), 1.0, max_stretch);
        in_quota_quanta_ = 0.0;
        for (TenantQuota& quota : quotas_)
            quota.close_period(seconds);
        // What has waited a whole period moves to the backup queue, of which a period's quanta are kept.
        for (const QueuePosition& position : std::set(queue_.main_queue)) {
            if (now_ - position.arrived_at < period_)
                continue;
            TrackedRequest& request = requests_.at(position.id);
            queue_.remove(request);
            request.in_backup_queue = true;
            queue_.add(request);
        }
        while (queue_.backup_quanta > period_capacity() && !queue_.backup_queue.empty())
            reject(requests_.at(queue_.backup_queue.rbegin()->id));
        period_start_ = now_;
        budget_.open_period(period_capacity(), queue_);
        advertise_load();
    }
    double max_in_flight() const {
        double speed = 1.0;  // the share of full speed that this server surely has while it warms up
        if (settings_.cold_start && settings_.warm_up_duration > Duration(0)) {
            const double first = settings_.cold_start_speed, age = to_seconds(now_ - started_at_);
            speed = clamp(first + (1.0 - first) * age / to_seconds(settings_.warm_up_duration), first, 1.0);
        }
        return runnable_margin * (1.0 + (settings_.max_runnable_per_core - 1.0) * speed) * settings_.cores;
    }

    TrackedRequest& find(RequestId id) {
        const auto it = requests_.find(id);
        return it == requests_.end() ? unknown_request_ : it->second;
    }
    const RequestClass& class_of(const TrackedRequest& r) const { return settings_.classes[r.class_index]; }
    const ClassPrice& price_of(const TrackedRequest& r) const { return prices_[r.class_index]; }
    bool needs_key(const TrackedRequest& r) const { return class_of(r).idempotency == Idempotency::with_key; }
    bool can_run_again(const TrackedRequest& r) const {
        return class_of(r).idempotency == Idempotency::always;
    }
    bool can_skip_call(const TrackedRequest& r) const { return class_of(r).skipped_call_weight > 0.0; }
    bool requires_call(const TrackedRequest& r) const {
        return class_of(r).calls_dependency && !can_skip_call(r);
    }
    bool in_top_band(const TrackedRequest& r) const { return r.band + 1 == bands_.size(); }
    static bool in_flight(const TrackedRequest& r) { return r.state >= running && r.state <= in_call; }
    double used_memory_kb() const { return requests_kb_ + keys_.size() * settings_.idempotency_key_kb; }
    void set_state(TrackedRequest& request, RequestState state) {
        account(request, -1.0);
        request.state = state;
        account(request, 1.0);
    }
    // Enters (1) or leaves (-1) all that counts requests by state.
    void account(TrackedRequest& r, double sign) {
        requests_kb_ +=
            sign * (r.memory_kb * (in_flight(r) ? max(1.0, settings_.running_memory_factor) : 1.0));
        if (requires_call(r) && r.calls_made == 0 && r.state < in_call)
            expected_calls_[r.band] += sign;
        if (in_flight(r))
            in_flight_ += sign;
        if (r.state == queued)
            sign > 0 ? queue_.add(r) : queue_.remove(r);
        if (r.state == awaiting_call && sign > 0)
            call_queue_.insert(r.position());
        if (r.state == awaiting_call && sign < 0)
            call_queue_.erase(r.position());
        if (r.state != running)
            return;
        running_ += sign;
        r.used_quanta -= sign * core_seconds_per_run_;
    }

    // -- timers: whatever it waits for, no request waits beyond the drain deadline --
    void set_timer(const TrackedRequest& request, Timestamp at) {
        if (at <= Timestamp(0))
            return timers_.erase(request.id);
        timers_.set(request.id, draining_ ? max(now_, min(at, drain_deadline_)) : at);
    }
    void schedule_wakeup() {
        if (timers_.entries.empty())
            return;
        const Timestamp next = max(now_, timers_.entries.begin()->at);
        if (!wakeups_.empty() && wakeups_.back() <= next)
            return;
        wakeups_.push_back(next);
        emit(ScheduleTimer{next - now_, request_timer_token});
    }
    void schedule_gauges() {
        next_gauge_at_ = now_ + gauge_interval;
        emit(ScheduleTimer{gauge_interval, gauge_timer_token});
    }
    void emit(Action action) { actions_->push_back(std::move(action)); }
    void log(const char* message, double figure) {
        if (now_ - last_log_at_ < log_interval)
            return;
        last_log_at_ = now_;
        emit(WriteLog{std::string(message).append(" ").append(std::to_string(figure))});
    }

    // -- ends of requests, one place for each --
    bool discourages_retry() const {
        const bool own_fault = is_unavailable() || failures_.degraded() || relative_speed_ < slowed_speed;
        return !own_fault && retry_share_ > exhaustive_attempts / settings_.replica_count;
    }
    void reject(TrackedRequest& request) {
        if (request.state != queued || request.answered)
            return fail(request);
        emit(Reject{request.id, retry_after(), discourages_retry()});
        rejections_ += 1.0;
        top_rejections_ += in_top_band(request);
        remove(request);
    }
    void fail(TrackedRequest& request) {
        if (!request.answered)
            emit(Fail{request.id});
        request.answered = true;
        if (!in_flight(request))
            return remove(request);
        timers_.erase(request.id);
        stop_work(request);
    }
    void stop_work(TrackedRequest& r) {
        if (r.state == awaiting_call)
            call_queue_.erase(r.position());
        if (r.state != running || settings_.preemption == Preemption::none)
            return;
        emit(Suspend{r.id});
        // A pause does not reach work that waits for a disk: it is tried again until the work is over.
        if (settings_.preemption == Preemption::pause && !draining_)
            set_timer(r, now_ + gauge_interval);
    }
    void release_key(const TrackedRequest& request) {
        emit(ReleaseKey{request.id});
        keys_.erase(request.id);
    }
    void remove(TrackedRequest& request) {
        if (request.state == queued)
            ended_unrun_.insert(request.id);
        if (request.state == queued && request.key_retained)
            release_key(request);
        timers_.erase(request.id);
        account(request, -1.0);
        requests_.erase(request.id);
    }

    // The latency of a run, with the calls that are queued ahead where it fails without its call.
    double expected_run_seconds(const TrackedRequest& r) const {
        const double objective = to_seconds(class_of(r).latency_objective);
        const double longest = can_skip_call(r) ? max_skippable_run * objective : 1e6;
        const double run = min(longest, price_of(r).run_seconds * stall_.slowdown(settings_.cores));
        if (!requires_call(r))
            return run;
        const QueuePosition next_band{r.position().negative_band + 1, Timestamp::min(), 0};
        const auto ahead = std::distance(call_queue_.begin(), call_queue_.lower_bound(next_band));
        const double calls = std::accumulate(expected_calls_.begin() + r.band, expected_calls_.end(), 0.0);
        return run + dependency_.queue_delay(static_cast<double>(ahead), calls);
    }
    Timestamp latest_start(const TrackedRequest& request) const {
        const Timestamp end = request.full_weight_until();
        return (draining_ ? min(end, drain_deadline_) : end) - from_seconds(expected_run_seconds(request));
    }
    // What goes on without its call from here is back by its objective.
    Timestamp skip_by(const TrackedRequest& request) const {
        return request.full_weight_until() - from_seconds(0.5 * price_of(request).quanta);
    }
    // After the objective a late answer may still earn; without that the core is better used for another.
    Timestamp give_up_at(const TrackedRequest& request) const {
        const bool earns_late = class_of(request).late_priority_weight > 0.0;
        const bool runs_on = earns_late || settings_.preemption == Preemption::none;
        return max(now_, runs_on ? request.deadline : request.full_weight_until());
    }
    bool is_unavailable() const { return failures_.unhealthy() || draining_; }
    double intake_overload() const {
        return clamp((intake_delay_ - min_intake_delay) / (max_intake_delay - min_intake_delay), 0.0, 1.0);
    }
    Duration retry_after() const {
        const double rejected = clamp(retry_after_slope * top_rejected_share_, 0.0, 1.0);
        const double share = is_unavailable() ? 1.0 : max(intake_overload(), rejected);
        return from_seconds(to_seconds(settings_.max_retry_after) * share);
    }

    void on_event(const RequestArrived& event) {
        arrivals_ += 1.0;
        blend(intake_delay_, max(0.0, to_seconds(event.age - pause_)) / min_objective_, intake_gain);
        if (requests_.count(event.id) != 0)
            return;
        // Whether an unknown class may run again is not known: never run it.
        if (event.class_index >= settings_.classes.size())
            return emit(Reject{event.id, Duration(0), false});
        const bool in_quota = event.tenant_index >= quotas_.size() ||
                              quotas_[event.tenant_index].try_acquire(quota_stretch_, event.is_retry);
        TrackedRequest& request = track(event, in_quota);
        const bool is_repeat = event.repeated_id != 0 && ended_unrun_.count(event.repeated_id) == 0;
        if (is_repeat && join_original(request, find(event.repeated_id)))
            return;
        if (in_quota)
            in_quota_quanta_ += request.price;
        budget_.predictors[request.band].current_quanta += request.price;
        top_arrivals_ += in_top_band(request);
        const bool admitted = admit(request);
        blend(retry_share_, settings_.callers_mark_retries ? event.is_retry : !admitted, retry_share_gain);
        if (!admitted)
            return reject(request);
        budget_.charged[request.band] += request.price;
        retain_key(request, event.has_key && !event.is_write);
        set_timer(request, latest_start(request));
    }
    TrackedRequest& track(const RequestArrived& event, bool in_quota) {
        const RequestClass& request_class = settings_.classes[event.class_index];
        TrackedRequest& request = requests_[event.id];
        request.id = event.id;
        request.class_index = event.class_index;
        request.memory_kb = event.reserved_kb;
        request.arrived_at = now_ - event.age;
        const Timestamp deadline = request.arrived_at + request_class.answer_deadline;
        request.deadline = max(now_, event.caller_deadline.value_or(deadline));
        const double objective = objective_margin * to_seconds(request_class.latency_objective);
        request.objective_at = min(request.deadline, request.arrived_at + from_seconds(objective));
        request.price = price_of(request).quanta * stall_.slowdown(settings_.cores);
        const double weight = request_class.priority_weight * (in_quota ? 1.0 : settings_.over_quota_weight);
        const auto above = std::upper_bound(bands_.begin(), bands_.end(), weight) - bands_.begin();
        request.band = static_cast<std::size_t>(max(above, std::ptrdiff_t{1}) - 1);
        account(request, 1.0);
        return request;
    }
    // A repeat takes the place of a request that never ran, and shares the result of one that did.
    bool join_original(TrackedRequest& request, TrackedRequest& original) {
        if (class_of(request).idempotency == Idempotency::never)
            return false;
        if (needs_key(request) && original.state == queued) {
            queue_.remove(request);
            request.band = max(request.band, original.band);
            request.in_backup_queue = original.in_backup_queue;
            queue_.add(request);
            retain_key(request, false);  // moves the entry
            keys_.erase(original.id);
            original.key_retained = false;
            reject(original);
            set_timer(request, latest_start(request));
        } else if (make_room(request, 0.0, max_run_memory)) {
            emit(ReplayResult{request.id});
            set_state(request, awaiting_result);
            set_timer(request, request.deadline);
        } else {
            fail(request);  // the original has run: not rejected
        }
        return true;
    }
    // Retains the key of what must run once, and the result of what may be shared.
    void retain_key(TrackedRequest& request, bool shareable) {
        const Duration window = class_of(request).idempotency_window - (now_ - request.arrived_at);
        Duration lifetime = max(window + settings_.answer_slack, min_key_lifetime);
        if (!needs_key(request)) {
            if (!can_run_again(request) || !shareable || settings_.result_ttl <= Duration(0))
                return;
            const double memory_kb = used_memory_kb() + settings_.idempotency_key_kb;
            if (memory_kb >= max_result_memory * settings_.memory_kb)
                return;
            lifetime = request.deadline - now_ + settings_.result_ttl;
        }
        emit(RetainKey{request.id, lifetime});
        keys_.set(request.id, now_ + lifetime);
        request.key_retained = true;
    }
    // Sheds what is queued and missed least while memory is short; false if that is `request`.
    bool make_room(const TrackedRequest& request, double extra_kb, double max_share) {
        while (used_memory_kb() + extra_kb > max_share * settings_.memory_kb) {
            const RequestId last = queue_.last();
            if (last == request.id)
                return false;
            log("memory: shed held, used", used_memory_kb() / settings_.memory_kb);
            reject(requests_.at(last));
        }
        return true;
    }
    bool came_after_grace(const TrackedRequest& request) const {
        return draining_ && request.arrived_at > drain_started_at_ + settings_.drain_grace;
    }
    // ACES at arrival, and what must hold besides.
    bool admit(const TrackedRequest& request) {
        if (came_after_grace(request) || failures_.hung)
            return false;
        // What may not run again goes elsewhere unrun; the rest stays while most runs succeed.
        if (failures_.degraded() && !can_run_again(request))
            return false;
        if (failures_.failing) {
            if (now_ - last_probe_at_ < probe_interval)
                return false;
            last_probe_at_ = now_;
        }
        const double key_kb = needs_key(request) ? settings_.idempotency_key_kb : 0.0;
        if (!make_room(request, key_kb, max_queue_memory))
            return false;
        // Prices may say that nothing fits: one request at a time finds out whether that is still so.
        const bool fresh = (now_ - request.arrived_at) * probe_divisor < class_of(request).latency_objective;
        if (running_ < 1.0 && queue_.size() <= 1.0 && can_run_again(request) && fresh)
            return true;
        const double pending = queue_.quanta_at_or_above(request.band);
        const double delay = pending / max(0.1, capacity_.quanta_per_second);
        const double own = request.price / capacity_.quanta_per_second;
        if (now_ + from_seconds(max(0.0, delay - own)) > latest_start(request))
            return false;
        // The CPU gauge is half a second old; what was started or queued since must still fit the cores.
        const double cores = settings_.cores, load = cpu_.share * running_ + queue_.size();
        if (cpu_utilization_ < 1.0 - 1.0 / cores && load <= max_free_core_load * cores)
            return true;
        if (load <= cores)
            return true;
        // One or two may wait beside busy cores, or these run dry between arrivals.
        const double coming = cpu_.share * in_flight_ + queue_.size();
        const double min_band_weight = min_short_queue_weight * class_of(request).priority_weight;
        if (coming <= cores + std::sqrt(cores) && bands_[request.band] > min_band_weight)
            return true;
        const bool is_small = budget_.period_quanta < small_budget_prices * request.price;
        if (in_top_band(request) && is_small && pending + request.price <= budget_.period_quanta)
            return true;
        return request.price <= budget_.remaining(request.band);
    }

    // -- runs and their calls --
    void on_event(const RunFinished& event) {
        TrackedRequest& request = find(event.id);
        if (request.state == none)
            return;
        if (!in_flight(request))
            return remove(request);
        const bool succeeded = event.outcome == Outcome::ok;
        const bool completed = succeeded || event.outcome == Outcome::error;
        const bool was_busy = !queue_.empty();
        failures_.record_progress(now_);
        if (request.state == in_call)
            dependency_.finish_call(now_, true);
        set_state(request, awaiting_result);  // off the cores: its quanta are complete
        ClassPrice& price = prices_[request.class_index];
        if (completed)
            stall_.completed += price.quanta;
        if (succeeded)
            price.learn(request.used_quanta, to_seconds(now_ - request.started_at));
        if (succeeded && !request.answered && was_busy)
            capacity_.completed_quanta += request.used_quanta;
        if (completed && !request.call_failed && !request.answered)
            failures_.record_run(!succeeded);
        if (event.outcome == Outcome::cancelled && !request.answered)
            emit(Fail{request.id});
        if (event.outcome == Outcome::not_started && request.key_retained)
            release_key(request);
        remove(request);
    }
    void on_event(const DependencyCallRequested& event) {
        TrackedRequest& request = find(event.id);
        if (request.state != running)
            return;
        failures_.record_progress(now_);
        set_state(request, awaiting_call);
        if (request.answered)
            return emit(Fail{request.id});
        wait_for_call(request);
    }
    void wait_for_call(TrackedRequest& request) {
        if (!can_skip_call(request))
            return set_timer(request, give_up_at(request));
        const Timestamp skip_at = skip_by(request);
        if (now_ >= skip_at - from_seconds(dependency_.call_seconds))
            return skip_call(request);
        set_timer(request, max(now_, skip_at));
    }
    void skip_call(TrackedRequest& request) {
        emit(SkipDependencyCall{request.id});
        set_state(request, running);
        set_timer(request, give_up_at(request));
    }
    void on_event(const DependencyCallFinished& event) {
        TrackedRequest& request = find(event.id);
        if (request.state != in_call)
            return;
        const bool succeeded = event.outcome == Outcome::ok;
        dependency_.finish_call(now_, event.outcome == Outcome::timeout);
        dependency_.learn(succeeded, to_seconds(event.duration));
        set_state(request, succeeded ? running : awaiting_call);
        if (request.answered && !succeeded)
            emit(Fail{request.id});
        if (request.answered)
            return timers_.erase(request.id);
        if (succeeded)
            return set_timer(request, give_up_at(request));
        request.call_failed = true;
        if (can_retry_call(request, event.outcome)) {
            call_queue_.erase(request.position());
            request.call_retry_pending = true;
            set_timer(request, min(give_up_at(request), now_ + call_retry_delay));
        } else {
            can_skip_call(request) ? skip_call(request) : fail(request);
        }
    }
    bool can_retry_call(const TrackedRequest& r, Outcome outcome) const {
        const bool never_ran = outcome == Outcome::rejected || outcome == Outcome::connect_failed;
        const Timestamp until = can_skip_call(r) ? skip_by(r) - call_retry_delay : r.objective_at;
        return (never_ran || can_run_again(r)) && r.calls_made < max_calls && now_ < until;
    }
    void dispatch_calls() {
        while (!call_queue_.empty() && dependency_.allows_call()) {
            TrackedRequest& request = requests_.at(call_queue_.begin()->id);
            const bool earns_late = class_of(request).late_priority_weight > 0.0 || !requires_call(request);
            if (!earns_late && to_seconds(request.full_weight_until() - now_) < dependency_.call_seconds) {
                fail(request);
                continue;
            }
            set_state(request, in_call);
            request.calls_made += 1;
            const Timestamp give_up = give_up_at(request);
            const Timestamp until = can_skip_call(request) ? min(skip_by(request), give_up) : give_up;
            const Duration timeout = max(min_call_timeout, min(until - now_, dependency_.call_timeout()));
            emit(CallDependency{request.id, timeout});
            if (can_skip_call(request))
                set_timer(request, give_up);
            dependency_.start_call();
        }
    }
    // Where waiters for calls are all that may be in flight, the lowest go on without: cores would idle.
    void skip_calls_for_idle_cores() {
        const auto skips = [this](const QueuePosition& p) { return can_skip_call(requests_.at(p.id)); };
        while (!queue_.empty() && in_flight_ + 1.0 > max_in_flight() &&
               cpu_.share * running_ < idle_core_share * settings_.cores) {
            const auto lowest = std::find_if(call_queue_.rbegin(), call_queue_.rend(), skips);
            if (lowest == call_queue_.rend())
                return;
            skip_call(requests_.at(lowest->id));
        }
    }
    void dispatch_runs() {
        while (cpu_.share * (running_ + 1.0) <= concurrency_.limit && !queue_.empty()) {
            TrackedRequest& request = requests_.at(queue_.first());
            if (!can_run(request))
                break;
            emit(Run{request.id});
            set_state(request, running);
            request.started_at = now_;
            set_timer(request, give_up_at(request));
        }
    }
    bool can_run(const TrackedRequest& r) const {
        if (r.answered || came_after_grace(r) || (draining_ && now_ >= drain_deadline_))
            return false;
        const double growth_kb = r.memory_kb * (max(1.0, settings_.running_memory_factor) - 1.0);
        if (used_memory_kb() + growth_kb > max_run_memory * settings_.memory_kb)
            return false;
        return in_flight_ + 1.0 <= max(1.0, max_in_flight());
    }

    void on_event(const Started&) {
        emit(SetHealth{true, true});
        schedule_gauges();
    }
    void on_event(const Cancelled& event) {
        TrackedRequest& request = find(event.id);
        if (request.state == none)
            return;
        if (!in_flight(request))
            return remove(request);
        request.answered = true;
        timers_.erase(request.id);
        // A run with a key goes on: its repeat will ask for the outcome.
        if (request.state == awaiting_call || !needs_key(request))
            stop_work(request);
    }
    void on_event(const DrainStarted& event) {
        // The grace counts from the first notice, which may have come in while the process was paused.
        if (!std::exchange(draining_, true))
            drain_started_at_ = now_ - pause_;
        drain_deadline_ = max(now_, event.deadline - drain_margin);
        emit(SetHealth{false, true});
        log("drain: seconds left", to_seconds(event.deadline - now_));
        for (const TimeTable::Entry& timer : std::set(timers_.entries)) {
            const TrackedRequest& r = requests_.at(timer.id);
            set_timer(r, max(now_, r.state == queued ? min(timer.at, latest_start(r)) : timer.at));
        }
        advertise_load();
    }
    void on_event(const TimerFired& event) {
        if (event.token == request_timer_token && !wakeups_.empty())
            wakeups_.pop_back();
        if (event.token == gauge_timer_token)
            update_gauges(event.gauges);
        while (timers_.has_due(now_)) {
            TrackedRequest& r = requests_.at(timers_.entries.begin()->id);
            if (std::exchange(r.call_retry_pending, false)) {
                call_queue_.insert(r.position());
                wait_for_call(r);
            } else if (r.state == awaiting_call && can_skip_call(r) && now_ < r.objective_at) {
                skip_call(r);
            } else {
                reject(r);  // fails what is not queued
            }
        }
    }
    void update_gauges(const Gauges& gauges) {
        schedule_gauges();
        cpu_utilization_ = gauges.cpu_utilization.value_or(cpu_utilization_);
        const double class_count = static_cast<double>(prices_.size());
        double speeds = 0.0, longest_run = 0.0;
        mean_price_ = 0.0;
        for (const ClassPrice& price : prices_) {
            speeds += price.relative_speed();
            mean_price_ += price.quanta / class_count;
            longest_run = max(longest_run, price.run_seconds);
        }
        relative_speed_ = speeds / class_count;
        if (gauges.runnable && running_ >= 1.0)
            cpu_.update(*gauges.runnable, running_);
        if (gauges.runnable && gauges.connections)
            update_idle_timeout(*gauges.runnable, *gauges.connections);
        const double max_utilization = pressure_ > 1.0 ? full_utilization : free_utilization;
        const bool can_grow = !queue_.empty() && cpu_utilization_ < max_utilization;
        concurrency_.update(can_grow, relative_speed_, max_in_flight());
        failures_.update(now_, running_, longest_run);
        const bool was_unhealthy = std::exchange(unhealthy_, failures_.unhealthy());
        if (unhealthy_ != was_unhealthy) {
            const char* fault = failures_.hung ? "hung: failing share" : "failing: share";
            log(unhealthy_ ? fault : "well: failing share", failures_.failure_share);
            emit(SetHealth{!unhealthy_ && !draining_, true});
            advertise_load();
        }
        const bool is_level = settings_.load_advertisement == LoadAdvertisement::level;
        if (is_level && intake_overload() > 0.0)
            advertise_load();
    }

    // -- what callers are told of the load --
    void update_idle_timeout(double runnable, double connections) {
        const double longest = to_seconds(settings_.idle_timeout), shortest = min(min_objective_, longest);
        if (longest <= 0.0)
            return;
        blend(other_runnable_, max(0.0, runnable - cpu_.share * running_), others_gain);
        max_connections_ = max(max_connections_, connections);
        const double idle = connections - static_cast<double>(requests_.size());
        const bool is_storm = other_runnable_ > settings_.cores;
        const bool has_many_idle = idle > settings_.max_runnable_per_core * settings_.cores &&
                                   settings_.caller_count > min_callers_ratio * connections;
        const double turnover = max_connections_ * mean_price_ / capacity_.quanta_per_second;
        const double limit = has_many_idle || is_storm ? clamp(turnover, shortest, longest) : longest;
        const double factor = is_storm ? storm_factor : has_many_idle ? many_idle_factor : rest_factor;
        idle_timeout_ = clamp(idle_timeout_ * factor, shortest, limit);
        if (idle_timeout_ >= min_change * advertised_idle_ && idle_timeout_ <= max_change * advertised_idle_)
            return;
        advertised_idle_ = idle_timeout_;
        emit(SetIdleTimeout{from_seconds(advertised_idle_)});
    }
    void advertise_load() {
        const LoadReading reading{.unavailable = is_unavailable(),
                                  .pressure = pressure_,
                                  .rejected_share = rejected_share_,
                                  .intake_overload = intake_overload(),
                                  .capacity_quanta_per_second = capacity_.quanta_per_second,
                                  .min_objective_seconds = min_objective_,
                                  .mean_price_quanta = mean_price_};
        if (const std::optional<double> load = load_advertiser_.advertise(reading))
            emit(AdvertiseLoad{*load});
    }

    const Settings settings_;
    const std::vector<double> bands_;  // priority weights in rising order
    const Duration period_;
    const double min_objective_;  // seconds
    StallDetector stall_;
    CapacityEstimator capacity_;
    RunQueue queue_;
    QuantumBudget budget_;
    ConcurrencyLimiter concurrency_;
    DependencyLimiter dependency_;
    FailureDetector failures_;
    CpuShareEstimator cpu_;
    LoadAdvertiser load_advertiser_{settings_.load_advertisement, settings_.caller_count};
    std::vector<ClassPrice> prices_;  // by class
    std::vector<TenantQuota> quotas_;  // by tenant
    std::vector<double> expected_calls_ = std::vector<double>(bands_.size(), 0.0);
    std::unordered_map<RequestId, TrackedRequest> requests_;
    TrackedRequest unknown_request_{.state = none};
    std::set<QueuePosition> call_queue_;  // at a call not issued yet
    TimeTable timers_, keys_;  // next timer of each request; expiry of each retained key
    std::vector<Timestamp> wakeups_;  // asked for and not come yet, each earlier than the one before
    std::set<RequestId> ended_unrun_;  // in this very batch
    std::vector<Action>* actions_ = nullptr;  // of the event in hand
    Timestamp now_{0}, started_at_{0}, period_start_{0}, drain_started_at_{0}, drain_deadline_{0};
    Timestamp last_probe_at_{0}, next_gauge_at_{0}, last_log_at_{-10'000'000};
    Duration pause_{0};  // how long the process stood still before this batch
    bool started_ = false, draining_ = false, unhealthy_ = false;
    double core_seconds_per_run_{}, running_{}, in_flight_{}, requests_kb_{}, cpu_utilization_{};
    double arrivals_{}, rejections_{}, rejected_share_{}, retry_share_{}, intake_delay_{}, pressure_{};
    double top_arrivals_{}, top_rejections_{}, top_rejected_share_{}, quota_stretch_ = 1.0,
                                                                      in_quota_quanta_{};
    double mean_price_{}, relative_speed_ = 1.0;
    double idle_timeout_ = to_seconds(settings_.idle_timeout), advertised_idle_ = idle_timeout_;  // seconds
    double other_runnable_{}, max_connections_{};
};

}  // namespace

std::unique_ptr<AdmissionController> make_admission_controller(const Settings& settings, std::uint64_t) {
    return std::make_unique<AcesAdmissionController>(settings);
}

}  // namespace cressledge::policy
