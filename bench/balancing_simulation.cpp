// The simulated fleet of servers and the events of one run.
#include "balancing_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::bench {

namespace {

using upstream_health::CallResult;

constexpr int concurrent_calls_per_server = 4;
constexpr double mean_work_seconds = 0.05;
/// Offered load as a fraction of the capacity of all servers but the black holes.
constexpr double offered_load = 0.65;
constexpr double slow_server_speed = 0.6;
constexpr Duration request_timeout{2'000'000};
constexpr Duration health_tick_interval{250'000};
constexpr Duration restart_interval{400'000};
constexpr Duration restart_duration{2'000'000};
constexpr double microseconds_per_second = 1e6;
constexpr std::uint64_t random_seed = 42;

Duration to_duration(double seconds) {
    return Duration(static_cast<std::int64_t>(seconds * microseconds_per_second));
}

double ratio(std::uint64_t part, std::uint64_t all) {
    return static_cast<double>(part) / static_cast<double>(all);
}

}  // namespace

BalancingSimulation::BalancingSimulation(const PolicyVariant& variant, std::size_t server_count,
                                         double seconds, Scenario scenario)
    : variant_(variant),
      random_(random_seed, server_count),
      end_(to_duration(seconds)),
      hosts_(health_settings(variant)),
      balancer_(hosts_, balancer_settings(variant)),
      hedge_policy_(retry_settings_),
      scenario_(scenario) {
    add_servers(server_count);
}

upstream_health::HealthSettings BalancingSimulation::health_settings(const PolicyVariant& variant) {
    upstream_health::HealthSettings settings;
    if (!variant.outlier_detection) {
        constexpr auto never = ~0U;
        settings.suspect_after_failures = never;
        settings.eject_after_failures = never;
        settings.max_failure_rate = 2.0;
        settings.max_latency_ratio = 1e9;
    }
    return settings;
}

load_balancing::BalancerSettings BalancingSimulation::balancer_settings(const PolicyVariant& variant) {
    load_balancing::BalancerSettings settings;
    settings.policy = variant.policy;
    return settings;
}

void BalancingSimulation::add_servers(std::size_t server_count) {
    std::vector<upstream_health::HostSpec> specs;
    for (std::size_t i = 0; i < server_count; ++i) {
        Server server;
        server.speed = i % 2 == 0 ? 1.0 : slow_server_speed;
        server.is_black_hole = i % 20 == 7;
        servers_.push_back(server);
        specs.push_back({"tiles-" + std::to_string(i), "127.0.0.1:" + std::to_string(1024 + i), "http", "",
                         "", 1.0, false});
        if (!server.is_black_hole)
            fleet_capacity_ += server.speed * concurrent_calls_per_server / mean_work_seconds;
    }
    hosts_.update(now_, specs, random_);
    balancer_.refresh();
}

void BalancingSimulation::run() {
    schedule(now_, EventType::request_arrival, 0);
    schedule(Timestamp(health_tick_interval), EventType::health_tick, 0);
    schedule_rolling_restart();
    if (scenario_ == Scenario::outage)
        schedule(end_ / 2, EventType::outage, 0);
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        if (now_ > end_ + request_timeout)
            break;
        handle(event);
    }
}

SimulationResult BalancingSimulation::result() {
    std::sort(latencies_.begin(), latencies_.end());
    SimulationResult result;
    result.p50_ms = latency_quantile_ms(0.5);
    result.p99_ms = latency_quantile_ms(0.99);
    result.failed_percent = 100.0 * ratio(failed_request_count_, request_count_);
    result.attempts_per_request = ratio(attempt_count_, request_count_);
    if (outage_request_count_ > 0)
        result.attempts_per_request_in_outage = ratio(outage_attempt_count_, outage_request_count_);
    return result;
}

double BalancingSimulation::latency_quantile_ms(double quantile) const {
    if (latencies_.empty())
        return 0.0;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(latencies_.size() - 1));
    return latencies_[index] * 1e3;
}

void BalancingSimulation::schedule(Timestamp time, EventType type, std::uint64_t subject_id) {
    events_.push({time, ++last_sequence_, type, subject_id});
}

// A tenth of the fleet goes down, one server after another.
void BalancingSimulation::schedule_rolling_restart() {
    for (std::size_t i = 0; i < servers_.size() / 10 + 1; ++i) {
        const std::size_t server_index = (i * 10) % servers_.size();
        schedule(end_ / 3 + static_cast<std::int64_t>(i) * restart_interval, EventType::server_restart,
                 server_index);
    }
}

double BalancingSimulation::random_unit() {
    return (random_() + 0.5) / 4294967296.0;
}

double BalancingSimulation::random_exponential(double mean) {
    return -std::log(random_unit()) * mean;
}

void BalancingSimulation::refresh_balancer_after(
    const std::vector<upstream_health::HostStateChange>& changes) {
    if (!changes.empty())
        balancer_.refresh();
}

void BalancingSimulation::handle(const Event& event) {
    switch (event.type) {
        case EventType::request_arrival:
            return on_request_arrival();
        case EventType::call_completion:
            return on_call_completion(event.subject_id);
        case EventType::attempt_deadline:
            return on_attempt_deadline(event.subject_id);
        case EventType::retry:
            return on_retry(event.subject_id);
        case EventType::hedge:
            return on_hedge(event.subject_id);
        case EventType::health_tick:
            return on_health_tick();
        case EventType::server_restart:
            return on_server_restart(event.subject_id);
        case EventType::outage:
            in_outage_ = true;
            return;
    }
}

void BalancingSimulation::on_request_arrival() {
    if (now_ >= end_)
        return;
    const double seconds_to_next = -std::log(random_unit()) / (offered_load * fleet_capacity_);
    schedule(now_ + to_duration(seconds_to_next), EventType::request_arrival, 0);
    const std::uint64_t request_id = ++last_request_id_;
    Request& request = requests_[request_id];
    request.arrived_at = now_;
    request.deadline = now_ + request_timeout;
    ++request_count_;
    if (in_outage_)
        ++outage_request_count_;
    retry_budget_.on_first_attempt();
    start_attempt(request_id);
}

void BalancingSimulation::on_call_completion(std::uint64_t attempt_id) {
    const Attempt& attempt = attempts_.at(attempt_id);
    Server& server = server_of(attempt.host_id);
    --server.running_calls;
    if (!server.queue.empty()) {
        const std::uint64_t next_id = server.queue.front();
        server.queue.pop_front();
        run_call(server, next_id);
    }
    if (!attempt.is_concluded)
        conclude_attempt(attempt_id, in_outage_ ? CallResult::error : CallResult::ok);
    attempts_.erase(attempt_id);
}

void BalancingSimulation::on_attempt_deadline(std::uint64_t attempt_id) {
    const auto it = attempts_.find(attempt_id);
    if (it == attempts_.end() || it->second.is_concluded)
        return;
    const bool is_black_hole = server_of(it->second.host_id).is_black_hole;
    conclude_attempt(attempt_id, CallResult::timeout);
    // Any other server completes the call even if its caller has stopped waiting.
    if (is_black_hole)
        attempts_.erase(attempt_id);
}

void BalancingSimulation::on_retry(std::uint64_t request_id) {
    const auto it = requests_.find(request_id);
    if (it != requests_.end() && !it->second.is_done)
        start_attempt(request_id);
}

void BalancingSimulation::on_hedge(std::uint64_t request_id) {
    const auto it = requests_.find(request_id);
    if (it == requests_.end())
        return;
    const Request& request = it->second;
    const bool awaits_first_attempt =
        !request.is_done && request.attempts == 1 && request.attempts_in_flight == 1;
    if (awaits_first_attempt && !circuit_breaker_.is_open() && retry_budget_.try_acquire())
        start_attempt(request_id);
}

void BalancingSimulation::on_health_tick() {
    refresh_balancer_after(hosts_.tick(now_));
    for (const HostId host_id : hosts_.take_due_health_checks(now_, random_)) {
        if (!variant_.outlier_detection)
            continue;
        const Server& server = server_of(host_id);
        const bool answers = !server.is_black_hole && !server.is_down && !in_outage_;
        refresh_balancer_after(
            hosts_.on_health_check(now_, host_id, answers ? CallResult::ok : CallResult::timeout));
    }
    if (now_ < end_)
        schedule(now_ + health_tick_interval, EventType::health_tick, 0);
}

void BalancingSimulation::on_server_restart(std::size_t server_index) {
    Server& server = servers_[server_index];
    server.is_down = !server.is_down;
    if (server.is_down)
        schedule(now_ + restart_duration, EventType::server_restart, server_index);
}

void BalancingSimulation::start_attempt(std::uint64_t request_id) {
    Request& request = requests_.at(request_id);
    const HostId host_id = balancer_.pick(now_, 0, request.tried_hosts, random_);
    if (host_id == upstream_health::no_host) {
        if (request.attempts_in_flight == 0)
            finish_request(request_id, false);
        return;
    }
    const std::uint64_t attempt_id = record_attempt(request_id, request, host_id);
    if (variant_.hedging && request.attempts == 1) {
        const Duration delay = hedge_policy_.delay();
        if (delay != Duration::max())
            schedule(now_ + delay, EventType::hedge, request_id);
    }
    deliver(attempt_id);
}

std::uint64_t BalancingSimulation::record_attempt(std::uint64_t request_id, Request& request,
                                                  HostId host_id) {
    ++request.attempts;
    ++request.attempts_in_flight;
    request.tried_hosts.push_back(host_id);
    ++attempt_count_;
    if (in_outage_)
        ++outage_attempt_count_;
    balancer_.on_call_started(now_, host_id);
    const std::uint64_t attempt_id = ++last_attempt_id_;
    Attempt& attempt = attempts_[attempt_id];
    attempt.request_id = request_id;
    attempt.host_id = host_id;
    attempt.started_at = now_;
    attempt.deadline =
        variant_.retries ? retry::attempt_deadline(now_, request.deadline, request.attempts, retry_settings_)
                         : request.deadline;
    attempt.work_seconds = random_exponential(mean_work_seconds);
    return attempt_id;
}

void BalancingSimulation::deliver(std::uint64_t attempt_id) {
    const Attempt& attempt = attempts_.at(attempt_id);
    Server& server = server_of(attempt.host_id);
    if (server.is_down) {
        conclude_attempt(attempt_id, CallResult::connection_refused);
        attempts_.erase(attempt_id);
        return;
    }
    schedule(attempt.deadline, EventType::attempt_deadline, attempt_id);
    if (server.is_black_hole)
        return;
    if (in_outage_) {
        conclude_attempt(attempt_id, CallResult::error);
        attempts_.erase(attempt_id);
        return;
    }
    if (server.running_calls < concurrent_calls_per_server)
        run_call(server, attempt_id);
    else
        server.queue.push_back(attempt_id);
}

void BalancingSimulation::run_call(Server& server, std::uint64_t attempt_id) {
    ++server.running_calls;
    const Attempt& attempt = attempts_.at(attempt_id);
    schedule(now_ + to_duration(attempt.work_seconds / server.speed), EventType::call_completion, attempt_id);
}

void BalancingSimulation::conclude_attempt(std::uint64_t attempt_id, CallResult result) {
    Attempt& attempt = attempts_.at(attempt_id);
    attempt.is_concluded = true;
    const Duration latency = now_ - attempt.started_at;
    balancer_.on_call_finished(now_, attempt.host_id, result, latency);
    refresh_balancer_after(hosts_.on_call_finished(now_, attempt.host_id, result, latency));
    circuit_breaker_.record(result == CallResult::ok);
    if (result == CallResult::ok)
        hedge_policy_.record(latency);
    const auto it = requests_.find(attempt.request_id);
    if (it == requests_.end())
        return;
    Request& request = it->second;
    --request.attempts_in_flight;
    if (request.is_done)
        return;
    if (result == CallResult::ok)
        finish_request(attempt.request_id, true);
    else if (request.attempts_in_flight == 0)  // otherwise the hedged request may still succeed
        retry_or_fail(attempt.request_id, request, result);
}

void BalancingSimulation::retry_or_fail(std::uint64_t request_id, Request& request, CallResult result) {
    // A server that refused the connection ran nothing, so the next attempt is not charged to the retry budget.
    const bool is_free =
        result == CallResult::connection_refused && request.attempts < hosts_.listed_hosts().size();
    if (!is_free && (!variant_.retries || request.attempts >= retry_settings_.max_attempts ||
                     circuit_breaker_.is_open() || !retry_budget_.try_acquire()))
        return finish_request(request_id, false);
    const Timestamp retry_time =
        is_free ? now_
                : retry::next_retry_time(now_, request.attempts, Duration(0), retry_settings_, random_);
    if (retry_time >= request.deadline)
        return finish_request(request_id, false);
    schedule(retry_time, EventType::retry, request_id);
}

void BalancingSimulation::finish_request(std::uint64_t request_id, bool succeeded) {
    Request& request = requests_.at(request_id);
    request.is_done = true;
    if (succeeded)
        latencies_.push_back(static_cast<double>((now_ - request.arrived_at).count()) * 1e-6);
    else
        ++failed_request_count_;
    if (request.attempts_in_flight == 0)
        requests_.erase(request_id);
}

}  // namespace cressledge::bench
