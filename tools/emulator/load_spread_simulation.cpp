#include "emulator/load_spread_simulation.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::emulator {
namespace {

using base::Timestamp;
using fake_upstream::CallId;
using upstream_health::HostId;
using upstream_health::no_host;

// Both in microseconds.
constexpr std::int64_t stale_report_interval = 1'000'000, tick_interval = 250'000;
/// A call fails when more connections than this are refused.
constexpr std::size_t max_connect_attempts = 8;
constexpr int batch_size = 10;

std::int64_t microseconds(double seconds) {
    return static_cast<std::int64_t>(seconds * 1e6);
}

}  // namespace

LoadSpreadSimulation::LoadSpreadSimulation(const LoadSpreadScenario& scenario)
    : scenario_(scenario),
      random_(scenario.seed, 3),
      servers_(scenario),
      processes_(scenario.processes),
      process_count_(scenario.processes),
      call_rate_s_(scenario.load * servers_.total_slots() / scenario.server_profile.mean_service_time_s) {
    for (std::size_t i = 0; i < process_count_; ++i)
        start_process(i);
}

LoadSpreadResult LoadSpreadSimulation::run() {
    warm_up_end_ = microseconds(scenario_.warm_up_s);
    const std::int64_t end = warm_up_end_ + microseconds(scenario_.seconds);
    schedule(0, EventType::arrival);
    schedule(warm_up_end_, EventType::sample_imbalance);
    if (uses_balancer(scenario_.choice))
        schedule(tick_interval, EventType::tick);
    if (scenario_.choice == BalancingChoice::stale_reports)
        schedule(0, EventType::refresh_stale_reports);
    for (std::size_t i = 0; i < scenario_.events.size(); ++i)
        schedule(warm_up_end_ + microseconds(scenario_.events[i].at_s), EventType::scenario_event, i);
    // Waits for the calls that are open at the end: quantiles without the slowest calls would be too low.
    while (!events_.empty() && (events_.top().at <= end || open_calls_ > 0)) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        const bool starts_anew = event.type == EventType::arrival ||
                                 event.type == EventType::sample_imbalance ||
                                 event.type == EventType::scenario_event;
        if (now_ <= end || !starts_anew)
            handle(event);
    }
    summarize();
    return result_;
}

void LoadSpreadSimulation::summarize() {
    std::sort(latencies_.begin(), latencies_.end());
    const auto quantile_ms = [&](double q) {
        if (latencies_.empty())
            return 0.0;
        return latencies_[static_cast<std::size_t>(q * static_cast<double>(latencies_.size() - 1))] / 1e3;
    };
    result_.imbalance = monitor_.result();
    result_.p50_ms = quantile_ms(0.5);
    result_.p95_ms = quantile_ms(0.95);
    result_.p99_ms = quantile_ms(0.99);
    result_.p999_ms = quantile_ms(0.999);
    // Until here error_rate holds the number of failed calls.
    result_.error_rate =
        finished_calls_ == 0 ? 0.0 : result_.error_rate / static_cast<double>(finished_calls_);
}

void LoadSpreadSimulation::handle(const Event& event) {
    switch (event.type) {
        case EventType::arrival:
            return on_arrival();
        case EventType::probes_at_servers:
            return on_probes_at_servers(event.subject);
        case EventType::probe_answers_back:
            return on_probe_answers(event.subject);
        case EventType::call_finished:
            if (const Call* call = calls_.find(event.subject); call != nullptr)
                finish_call(event.subject, servers_.model(call->server).is_failing());
            return;
        case EventType::sample_imbalance:
            schedule(now_ + fake_upstream::sample_interval.count(), EventType::sample_imbalance);
            return monitor_.sample(servers_.models());
        case EventType::refresh_stale_reports:
            servers_.refresh_stale_reports();
            return schedule(now_ + stale_report_interval, EventType::refresh_stale_reports);
        case EventType::tick:
            for (std::size_t i = 0; i < process_count_; ++i)
                processes_[i].tick(now_);
            return schedule(now_ + tick_interval, EventType::tick);
        case EventType::scenario_event:
            return apply(scenario_.events[event.subject], event.subject);
        case EventType::burst_over:
            call_rate_s_ /= scenario_.events[event.subject].factor;
            return;
        case EventType::server_restarted:
            return servers_.restart(event.subject, Timestamp(now_));
    }
}

// ---- arrivals and probes ----

void LoadSpreadSimulation::on_arrival() {
    const int count = scenario_.bursty ? batch_size : 1;
    const double gap_s = -std::log(uniform()) * count / call_rate_s_;
    schedule(now_ + std::max<std::int64_t>(1, std::llround(gap_s * 1e6)), EventType::arrival);
    for (int i = 0; i < count; ++i) {
        const CallId id = create_call();
        if (scenario_.choice != BalancingChoice::probe_first || !send_probes(id))
            send(id, pick(id));
        if (scenario_.choice == BalancingChoice::probe_pool)
            send_pool_probes(id);
    }
}

CallId LoadSpreadSimulation::create_call() {
    const CallId id = calls_.create();
    Call& call = calls_.at(id);
    call.process = random_(static_cast<std::uint32_t>(process_count_));
    call.incarnation = processes_[call.process].incarnation();
    call.created_at = now_;
    ++open_calls_;
    ++result_.calls;
    return id;
}

void LoadSpreadSimulation::send_pool_probes(CallId for_call) {
    const CallId probes = calls_.create();
    calls_.at(probes).process = calls_.at(for_call).process;
    calls_.at(probes).incarnation = calls_.at(for_call).incarnation;
    calls_.at(probes).is_probe_only = true;
    if (!send_probes(probes))
        calls_.erase(probes);
}

bool LoadSpreadSimulation::send_probes(CallId id) {
    Call& call = calls_.at(id);
    processes_[call.process].balancer().pick_probe_targets(random_, probe_targets_);
    if (probe_targets_.empty())
        return false;
    for (const HostId server : probe_targets_)
        call.probe_answers.push_back({server, {}});
    result_.probes += probe_targets_.size();
    schedule(now_ + scenario_.round_trip.count() / 2, EventType::probes_at_servers, id);
    return true;
}

void LoadSpreadSimulation::on_probes_at_servers(CallId id) {
    Call* call = calls_.find(id);
    if (call == nullptr)
        return;
    std::erase_if(call->probe_answers,
                  [this](const auto& answer) { return servers_.is_down(answer.host_id); });
    for (auto& [server, load] : call->probe_answers)
        load = scenario_.reports_expected_calls ? servers_.model(server).answer_probe(Timestamp(now_))
                                                : servers_.model(server).load_report();
    schedule(now_ + scenario_.round_trip.count() / 2, EventType::probe_answers_back, id);
}

void LoadSpreadSimulation::on_probe_answers(CallId id) {
    const Call* call = calls_.find(id);
    if (call == nullptr)
        return;
    BalancingProcess& process = processes_[call->process];
    if (call->is_probe_only) {
        if (process.incarnation() == call->incarnation)
            for (const auto& [server, load] : call->probe_answers)
                process.balancer().on_load_report(Timestamp(now_), server, load);
        return calls_.erase(id);
    }
    std::vector<load_balancing::ProbeAnswer> answers;
    for (const auto& [server, load] : call->probe_answers)
        if (const auto effective_load = process.balancer().effective_load(Timestamp(now_), server, load))
            answers.push_back({server, *effective_load});
    const HostId best = load_balancing::least_loaded(answers);
    send(id,
         best != no_host ? best : process.balancer().pick(Timestamp(now_), 0, call->tried_servers, random_));
}

// ---- choice of a server ----

HostId LoadSpreadSimulation::pick(CallId id) {
    const Call& call = calls_.at(id);
    BalancingProcess& process = processes_[call.process];
    switch (scenario_.choice) {
        case BalancingChoice::random:
            return servers_.pick_random(random_);
        case BalancingChoice::round_robin:
            return process.next_round_robin(servers_.specs());
        case BalancingChoice::stale_reports:
            return servers_.pick_by_stale_reports();
        case BalancingChoice::local_two_choices:
            return pick_local_two_choices(process);
        case BalancingChoice::join_shortest_queue:
            return servers_.pick_shortest_queue(random_);
        case BalancingChoice::two_choices:
        case BalancingChoice::probe_pool:
        case BalancingChoice::probe_first:
            break;
    }
    return process.balancer().pick(Timestamp(now_), 0, call.tried_servers, random_);
}

HostId LoadSpreadSimulation::pick_local_two_choices(const BalancingProcess& process) {
    const HostId first = servers_.pick_random(random_);
    const HostId second = servers_.pick_random(random_);
    const auto relative_load = [&](HostId server) {
        return process.in_flight(server) / servers_.specs()[server].weight;
    };
    return relative_load(first) <= relative_load(second) ? first : second;
}

// ---- calls ----

HostId LoadSpreadSimulation::connect(CallId id, HostId server) {
    Call& call = calls_.at(id);
    // After a refused connection the call has not been executed, so the next server is tried immediately.
    while (server != no_host && servers_.is_down(server)) {
        call.tried_servers.push_back(server);
        if (!uses_balancer(scenario_.choice) || call.tried_servers.size() > max_connect_attempts)
            return no_host;
        processes_[call.process].on_connection_refused(now_, server);
        server = pick(id);
    }
    return server;
}

void LoadSpreadSimulation::send(CallId id, HostId server) {
    Call& call = calls_.at(id);
    server = connect(id, server);
    if (server == no_host) {
        count_result(call, true);
        return calls_.erase(id);
    }
    call.server = server;
    call.sent_at = now_;
    call.is_at_server = true;
    processes_[call.process].on_call_started(now_, server);
    schedule_finish(servers_.model(server).arrive(Timestamp(now_), id, random_));
}

void LoadSpreadSimulation::schedule_finish(
    const std::optional<fake_upstream::ServerModel::ServiceStart>& start) {
    if (start)
        schedule(start->finishes_at.count(), EventType::call_finished, start->call);
}

void LoadSpreadSimulation::finish_call(CallId id, bool is_error) {
    const Call& call = calls_.at(id);
    schedule_finish(servers_.model(call.server).depart(Timestamp(now_), id, random_));
    BalancingProcess& process = processes_[call.process];
    if (process.incarnation() == call.incarnation) {
        const auto result = is_error ? upstream_health::CallResult::error : upstream_health::CallResult::ok;
        process.on_call_finished(now_, call.server, result, Duration(now_ - call.sent_at));
    }
    count_result(call, is_error);
    calls_.erase(id);
}

void LoadSpreadSimulation::count_result(const Call& call, bool is_error) {
    --open_calls_;
    if (call.created_at < warm_up_end_)
        return;
    if (!is_error)
        latencies_.push_back(static_cast<float>(now_ - call.created_at));
    ++finished_calls_;
    result_.error_rate += is_error ? 1.0 : 0.0;
}

// ---- scenario events ----

void LoadSpreadSimulation::apply(const ScenarioEvent& event, std::size_t index) {
    switch (event.type) {
        case ScenarioEvent::Type::slow_down:
            for (const std::size_t server : event.servers)
                servers_.model(server).set_slowdown(event.factor);
            return;
        case ScenarioEvent::Type::fail:
        case ScenarioEvent::Type::recover:
            for (const std::size_t server : event.servers)
                servers_.model(server).set_failing(event.type == ScenarioEvent::Type::fail);
            return;
        case ScenarioEvent::Type::restart_servers:
            return restart_servers(event);
        case ScenarioEvent::Type::restart_processes:
            fail_calls_at_server([](const Call&) { return true; });
            for (std::size_t i = 0; i < process_count_; ++i)
                start_process(i);
            return;
        case ScenarioEvent::Type::resize_fleet:
            return resize_fleet(static_cast<std::size_t>(event.factor));
        case ScenarioEvent::Type::load_burst:
            call_rate_s_ *= event.factor;
            return schedule(now_ + microseconds(event.duration_s), EventType::burst_over, index);
    }
}

void LoadSpreadSimulation::restart_servers(const ScenarioEvent& event) {
    for (const std::size_t server : event.servers) {
        servers_.set_down(server);
        fail_calls_at_server([server](const Call& call) { return call.server == server; });
        schedule(now_ + microseconds(event.duration_s), EventType::server_restarted, server);
    }
}

void LoadSpreadSimulation::resize_fleet(std::size_t process_count) {
    const std::size_t old_count = process_count_;
    process_count_ = process_count;
    if (processes_.size() < process_count_)
        processes_.resize(process_count_);
    for (std::size_t i = old_count; i < process_count_; ++i)
        start_process(i);
    if (scenario_.subset_size == 0 || !uses_balancer(scenario_.choice))
        return;
    const auto names = process_names(process_count_);
    for (std::size_t i = 0; i < process_count_; ++i)
        processes_[i].balancer().update_peers(Timestamp(now_), names);
    result_.subset_churn =
        std::max(result_.subset_churn,
                 subset_churn(old_count, process_count_, servers_.names(), scenario_.subset_size));
}

}  // namespace cressledge::emulator
