#include "experiment/trial.hpp"

#include <cmath>
#include <csignal>
#include <stdexcept>

#include "experiment/fake_upstream_process.hpp"
#include "experiment/report.hpp"
#include "fault_injection/process_cluster.hpp"
#include "gossip/transport.hpp"
#include "load_generator/driver.hpp"

namespace cressledge::experiment {
namespace {

using emulator::ScenarioEvent;
using load_generator::OutcomeStats;
using nlohmann::ordered_json;

constexpr double progress_interval_s = 5.0, drain_timeout_s = 30.0, ready_timeout_s = 60.0;
constexpr Duration poll_interval{50'000}, wait_step{250'000};
constexpr std::size_t max_seeds = 3, max_connections = 20'000;
constexpr unsigned burst_size = 10;
constexpr int gossip_probe_ms = 500;

Duration duration(double seconds) {
    return Duration(std::llround(seconds * 1e6));
}

/// The settings common to all operator's files. Capacity is ample, so that no request is rejected for lack of it.
std::string operator_settings(const Experiment& experiment) {
    std::string text =
        "cores: 1024\nmemory_kb: 1000000\nrequest_kb: 1\nstop_ms: 3000\nconnections: 1000\nadmission: "
        "{descriptors: 4096}\n"
        "routing: " +
        experiment.routing + "\nclasses:\n";
    // Deadlines are long, because the experiment measures the distribution of load and not cancelled requests.
    for (const load_generator::RequestClass& request_class : experiment.classes)
        text += "  - {name: " + request_class.name +
                ", effect: " + (request_class.at_most_once ? "unsafe" : "safe") +
                ", target_ms: 30000, deadline_ms: 60000}\n";
    return text;
}

fault_injection::ClusterSpec cluster_spec(const Experiment& experiment, const TrialEnvironment& environment,
                                          const std::vector<std::string>& server_addresses) {
    fault_injection::ClusterSpec spec;
    spec.program = environment.program;
    spec.directory = environment.directory;
    spec.fleet = "lab";
    spec.probe_ms = gossip_probe_ms;
    spec.seed = experiment.seed;
    spec.has_relay = experiment.gossip_loss > 0.0;
    spec.has_known_http_ports = true;
    spec.operator_settings = operator_settings(experiment);
    spec.inventory = "name,address,protocol,group,weight\n";
    for (std::size_t i = 0; i < experiment.servers; ++i)
        spec.inventory += "s" + std::to_string(i) + ',' + server_addresses[i] + ",http,maps," +
                          std::to_string(experiment.capacities[i % experiment.capacities.size()]) + '\n';
    return spec;
}

/// One run with real processes.
class Trial {
public:
    Trial(const Experiment& experiment, const TrialEnvironment& environment)
        : experiment_(experiment),
          environment_(environment),
          servers_(loop_, timers_, environment.lab_program, environment.experiment_file),
          cluster_(loop_, timers_, cluster_spec(experiment, environment, servers_.addresses())),
          driver_(
              loop_, timers_,
              load_generator::ArrivalProcess(experiment.request_rate_s(), experiment.bursty ? burst_size : 1,
                                             experiment.classes, experiment.seed),
              max_connections) {}

    ordered_json run() {
        // On a signal, wait() throws and the destructors end the started processes.
        for (const int signal : {SIGINT, SIGTERM})
            loop_.on_signal(signal, [this] { is_interrupted_ = true; });
        start_cluster();
        driver_.start();
        wait(experiment_.warm_up_s, "warming up");
        servers_.request({{"do", "observe"}, {"on", true}});
        driver_.reset_counts();
        schedule_events();
        const auto probes_before = cluster_.metric_sum("upstream.load_probes");
        wait(experiment_.seconds, "measuring");
        servers_.request({{"do", "observe"}, {"on", false}});
        const auto probes = cluster_.metric_sum("upstream.load_probes") - probes_before;
        drain();
        return report(probes);
    }

private:
    void start_cluster() {
        while (cluster_.size() < experiment_.processes)
            add_process();
        if (!cluster_.wait_for_agreement(duration(ready_timeout_s)))
            throw std::runtime_error("the processes did not agree on the membership within 60 s");
        if (experiment_.gossip_loss > 0.0)
            cluster_.relay().set_faults({experiment_.gossip_loss, 0.0, Duration(0), Duration(0)});
        update_targets();
    }
    void add_process() {
        std::vector<std::size_t> seeds;
        for (std::size_t seed = 0; seed < std::min(max_seeds, cluster_.size()); ++seed)
            seeds.push_back(seed);
        cluster_.add(seeds);
    }
    void update_targets() {
        std::vector<net::Address> targets;
        for (const std::size_t process : cluster_.running_processes())
            targets.push_back(gossip::to_address(cluster_.http_endpoint(process)));
        driver_.set_targets(std::move(targets));
    }
    void schedule_events() {
        for (const ScenarioEvent& event : experiment_.events)
            timers_.schedule_detached(loop_.unix_now() + duration(event.at_s),
                                      [this, &event] { apply(event); });
    }
    void drain() {
        driver_.stop();
        const Timestamp deadline = loop_.unix_now() + duration(drain_timeout_s);
        while (driver_.in_flight() > 0 && loop_.unix_now() < deadline)
            cluster_.run(loop_.unix_now() + poll_interval);
    }
    void wait(double seconds, const char* activity) {
        const Timestamp end = loop_.unix_now() + duration(seconds);
        while (loop_.unix_now() < end) {
            cluster_.run(std::min(end, loop_.unix_now() + wait_step));
            if (is_interrupted_)
                throw std::runtime_error("interrupted by SIGINT or SIGTERM");
            if (!environment_.on_progress || (loop_.unix_now() < next_progress_at_ && loop_.unix_now() < end))
                continue;
            next_progress_at_ = loop_.unix_now() + duration(progress_interval_s);
            print_progress(activity, end - loop_.unix_now());
        }
    }
    void print_progress(const char* activity, Duration remaining) {
        const OutcomeStats stats = driver_.total_stats();
        environment_.on_progress(
            experiment_.name + ": " + activity + ", " + std::to_string(remaining.count() / 1'000'000) +
            " s left, " + std::to_string(stats.total()) + " ended, " + std::to_string(driver_.in_flight()) +
            " open, p99 " + std::to_string(std::lround(stats.quantile_ms(0.99))) + " ms");
    }
    void apply(const ScenarioEvent& event) {
        using Type = ScenarioEvent::Type;
        switch (event.type) {
            case Type::slow_down:
                return servers_.send({{"do", "slow"}, {"servers", event.servers}, {"by", event.factor}});
            case Type::fail:
                return servers_.send({{"do", "fail"}, {"servers", event.servers}});
            case Type::recover:
                return servers_.send({{"do", "mend"}, {"servers", event.servers}});
            case Type::restart_servers:
                return servers_.send(
                    {{"do", "restart"}, {"servers", event.servers}, {"for_s", event.duration_s}});
            case Type::restart_processes:
                for (const std::size_t process : cluster_.running_processes())
                    cluster_.restart(process);
                return;
            case Type::resize_fleet:
                return resize_fleet(static_cast<std::size_t>(event.factor));
            case Type::load_burst:
                driver_.set_rate_s(driver_.rate_s() * event.factor);
                timers_.schedule_detached(
                    loop_.unix_now() + duration(event.duration_s),
                    [this, factor = event.factor] { driver_.set_rate_s(driver_.rate_s() / factor); });
                return;
        }
    }
    void resize_fleet(std::size_t process_count) {
        const auto running = cluster_.running_processes();
        for (std::size_t i = process_count; i < running.size(); ++i)
            cluster_.send_signal(running[i], SIGTERM);
        for (std::size_t i = running.size(); i < process_count; ++i)
            add_process();
        update_targets();
    }
    ordered_json report(std::uint64_t probes) {
        const auto service = servers_.request({{"do", "report"}});
        if (!service.is_object())
            throw std::runtime_error("the fake upstream service did not answer the command \"report\"");
        ordered_json json = report_header(experiment_, "real processes");
        const OutcomeStats stats = driver_.total_stats();
        const ordered_json imbalance = service["evenness"];
        const double requests = std::max(1.0, static_cast<double>(stats.total()));
        const auto ok = static_cast<double>(stats.count(load_generator::Outcome::ok));
        json["figures"] = report_figures(
            imbalance, {stats.quantile_ms(0.5), stats.quantile_ms(0.95), stats.quantile_ms(0.99),
                        stats.quantile_ms(0.999), rounded(1.0 - ok / requests)});
        json["figures"]["probes_a_call"] = rounded(static_cast<double>(probes) / requests);
        json["requests"] = {
            {"sent", driver_.sent()}, {"unsent", driver_.unsent()}, {"open_at_end", driver_.in_flight()}};
        for (std::size_t i = 0; i < driver_.classes().size(); ++i)
            json["classes"][driver_.classes()[i].name] = driver_.stats_by_class()[i].to_json();
        for (const char* key : {"calls", "answers", "errors", "probes", "given_up", "bad", "doubled"})
            json["servers_saw"][key] = service[key];
        json["calls_by_server"] = service["calls_by_server"];
        json["crashes"] = cluster_.crashes();
        json["evenness"] = imbalance;
        return json;
    }

    const Experiment experiment_;
    const TrialEnvironment environment_;
    base::TimerQueue timers_;
    net::Loop loop_{timers_};
    FakeUpstreamProcess servers_;
    fault_injection::ProcessCluster cluster_;
    load_generator::Driver driver_;
    bool is_interrupted_ = false;
    Timestamp next_progress_at_{0};
};

}  // namespace

ordered_json run_trial(const Experiment& experiment, const TrialEnvironment& environment) {
    return Trial(experiment, environment).run();
}

ordered_json emulate(const Experiment& experiment) {
    const emulator::LoadSpreadResult result = emulator::emulate_load_spread(emulated_scenario(experiment));
    ordered_json json = report_header(experiment, "emulated");
    const ordered_json imbalance = to_json(result.imbalance);
    json["figures"] = report_figures(
        imbalance, {result.p50_ms, result.p95_ms, result.p99_ms, result.p999_ms, rounded(result.error_rate)});
    const auto calls = static_cast<double>(std::max<std::uint64_t>(1, result.calls));
    json["figures"]["probes_a_call"] = rounded(static_cast<double>(result.probes) / calls);
    if (result.subset_churn > 0.0)
        json["figures"]["moved"] = rounded(result.subset_churn);
    json["requests"] = {{"sent", result.calls}};
    json["evenness"] = imbalance;
    return json;
}

}  // namespace cressledge::experiment
