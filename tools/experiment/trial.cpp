#include "experiment/trial.hpp"

#include <csignal>
#include <stdexcept>

#include "experiment/servers.hpp"
#include "fault_injection/process_cluster.hpp"
#include "gossip/transport.hpp"
#include "load_generator/driver.hpp"

namespace cressledge::experiment {
namespace {

using nlohmann::ordered_json;

constexpr double say_every_s = 5.0, drain_s = 30.0;
constexpr std::size_t seeds = 3;

Duration span(double s) {
    return Duration(std::llround(s * 1e6));
}
double brief(double x) {
    return std::round(x * 1e4) / 1e4;
}

ordered_json about(const Experiment& e, const char* how) {
    std::vector<unsigned> places;
    for (std::size_t i = 0; i < e.servers; ++i)
        places.push_back(e.places(i));
    return {{"experiment", e.name},
            {"how", how},
            {"seed", e.seed},
            {"processes", e.processes},
            {"servers", e.servers},
            {"places", places},
            {"policy", e.policy},
            {"load", e.load},
            {"rate_s", std::round(e.rate_s())},
            {"arrivals", e.bursty ? "bursty" : "poisson"},
            {"seconds", e.seconds}};
}

ordered_json figures(const ordered_json& even, double p50, double p95, double p99, double p999,
                     double errors) {
    return {{"worst_p99", even["worst_p99"]},
            {"worst_mean", even["worst_mean"]},
            {"variation", even["variation"]},
            {"idle", even["idle"]},
            {"longest_over_2_s", even["longest_over_2_s"]},
            {"p50_ms", brief(p50)},
            {"p95_ms", brief(p95)},
            {"p99_ms", brief(p99)},
            {"p999_ms", brief(p999)},
            {"errors", errors}};
}

class Trial {
public:
    Trial(const Experiment& e, const Where& where)
        : e_(e),
          where_(where),
          servers_(loop_, timers_, where.self, where.file),
          cluster_(loop_, timers_, plan()),
          driver_(loop_, timers_,
                  load_generator::ArrivalProcess(e.rate_s(), e.bursty ? 10 : 1, e.kinds, e.seed), 20'000) {}

    ordered_json run() {
        // Told to end, it takes the processes that it has started with it.
        for (const int signal : {SIGINT, SIGTERM})
            loop_.on_signal(signal, [this] { stopped_ = true; });
        while (cluster_.size() < e_.processes)
            add();
        settle();
        if (e_.gossip_loss > 0.0)
            cluster_.relay().set_faults({e_.gossip_loss, 0.0, Duration(0), Duration(0)});
        doors();
        driver_.start();
        wait(e_.warm_up_s, "warming up");
        servers_.ask({{"do", "observe"}, {"on", true}});
        driver_.reset_counts();
        std::vector<base::TimerQueue::Handle> handles;
        for (const emulator::ScenarioEvent& t : e_.troubles)
            handles.push_back(timers_.schedule(loop_.unix_now() + span(t.at_s), [this, &t] { meet(t); }));
        const auto probes_before = cluster_.metric_sum("upstream.load_probes");
        wait(e_.seconds, "measuring");
        servers_.ask({{"do", "observe"}, {"on", false}});
        const auto probes = cluster_.metric_sum("upstream.load_probes") - probes_before;
        driver_.stop();
        const Timestamp end = loop_.unix_now() + span(drain_s);
        while (driver_.in_flight() > 0 && loop_.unix_now() < end)
            cluster_.run(loop_.unix_now() + Duration(50'000));
        const auto seen = servers_.ask({{"do", "report"}});
        if (!seen.is_object())
            throw std::runtime_error("no report from the stand-in servers");
        ordered_json j = about(e_, "real processes");
        const load_generator::OutcomeStats all = driver_.total_stats();
        const ordered_json even = seen["evenness"];
        const double n = std::max(1.0, static_cast<double>(all.total()));
        j["figures"] = figures(even, all.quantile_ms(0.5), all.quantile_ms(0.95), all.quantile_ms(0.99),
                               all.quantile_ms(0.999),
                               brief(1.0 - static_cast<double>(all.count(load_generator::Outcome::ok)) / n));
        j["figures"]["probes_a_call"] = brief(static_cast<double>(probes) / n);
        j["requests"] = {
            {"sent", driver_.sent()}, {"unsent", driver_.unsent()}, {"open_at_end", driver_.in_flight()}};
        for (std::size_t k = 0; k < driver_.classes().size(); ++k)
            j["classes"][driver_.classes()[k].name] = driver_.stats_by_class()[k].to_json();
        j["servers_saw"] = {{"calls", seen["calls"]},       {"answers", seen["answers"]},
                            {"errors", seen["errors"]},     {"probes", seen["probes"]},
                            {"given_up", seen["given_up"]}, {"bad", seen["bad"]},
                            {"doubled", seen["doubled"]}};
        j["calls_by_server"] = seen["calls_by_server"];
        j["crashes"] = cluster_.crashes();
        j["evenness"] = even;
        return j;
    }

private:
    fault_injection::ClusterSpec plan() {
        fault_injection::ClusterSpec p;
        p.program = where_.program;
        p.directory = where_.folder;
        p.fleet = "lab";
        p.probe_ms = 500;
        p.seed = e_.seed;
        p.has_relay = e_.gossip_loss > 0.0;
        p.has_known_http_ports = true;
        p.operator_settings = general_settings(e_);
        p.inventory = "name,address,protocol,group,weight\n";
        for (std::size_t i = 0; i < e_.servers; ++i)
            p.inventory += "s" + std::to_string(i) + ',' + servers_.addresses()[i] + ",http,maps," +
                           std::to_string(e_.capacities[i % e_.capacities.size()]) + '\n';
        return p;
    }
    void add() {
        std::vector<std::size_t> at;
        for (std::size_t s = 0; s < std::min(seeds, cluster_.size()); ++s)
            at.push_back(s);
        cluster_.add(at);
    }
    void settle() {
        if (!cluster_.wait_for_agreement(span(60.0)))
            throw std::runtime_error("the processes do not see each other within a minute");
    }
    void doors() {
        std::vector<net::Address> all;
        for (const std::size_t no : cluster_.running_processes())
            all.push_back(gossip::to_address(cluster_.http_endpoint(no)));
        driver_.set_targets(std::move(all));
    }
    void wait(double seconds, const char* what) {
        const Timestamp end = loop_.unix_now() + span(seconds);
        while (loop_.unix_now() < end) {
            cluster_.run(std::min(end, loop_.unix_now() + span(0.25)));
            if (stopped_)
                throw std::runtime_error("told to end");
            if (!where_.progress || (loop_.unix_now() < next_line_ && loop_.unix_now() < end))
                continue;
            next_line_ = loop_.unix_now() + span(say_every_s);
            const load_generator::OutcomeStats all = driver_.total_stats();
            where_.progress(e_.name + ": " + what + ", " +
                            std::to_string((end - loop_.unix_now()).count() / 1'000'000) + " s left, " +
                            std::to_string(all.total()) + " ended, " + std::to_string(driver_.in_flight()) +
                            " open, p99 " + std::to_string(std::lround(all.quantile_ms(0.99))) + " ms");
        }
    }
    void meet(const emulator::ScenarioEvent& t) {
        using T = emulator::ScenarioEvent;
        switch (t.type) {
            case T::Type::slow_down:
                return servers_.tell({{"do", "slow"}, {"servers", t.servers}, {"by", t.factor}});
            case T::Type::fail:
                return servers_.tell({{"do", "fail"}, {"servers", t.servers}});
            case T::Type::recover:
                return servers_.tell({{"do", "mend"}, {"servers", t.servers}});
            case T::Type::restart_servers:
                return servers_.tell({{"do", "restart"}, {"servers", t.servers}, {"for_s", t.duration_s}});
            case T::Type::restart_processes:
                for (const std::size_t no : cluster_.running_processes())
                    cluster_.restart(no);
                return;
            case T::Type::resize_fleet: {
                const auto running = cluster_.running_processes();
                const auto want = static_cast<std::size_t>(t.factor);
                for (std::size_t i = want; i < running.size(); ++i)
                    cluster_.send_signal(running[i], SIGTERM);
                for (std::size_t i = running.size(); i < want; ++i)
                    add();
                return doors();
            }
            case T::Type::load_burst:
                driver_.set_rate_s(driver_.rate_s() * t.factor);
                timers_.schedule(loop_.unix_now() + span(t.duration_s),
                                 [this, by = t.factor] { driver_.set_rate_s(driver_.rate_s() / by); });
                return;
        }
    }

    const Experiment e_;
    const Where where_;
    base::TimerQueue timers_;
    net::Loop loop_{timers_};
    Servers servers_;
    fault_injection::ProcessCluster cluster_;
    load_generator::Driver driver_;
    bool stopped_ = false;
    Timestamp next_line_{0};
};

}  // namespace

std::string general_settings(const Experiment& e) {
    std::string text =
        "cores: 1024\nmemory_kb: 1000000\nrequest_kb: 1\nstop_ms: 3000\nconnections: 1000\nadmission: "
        "{descriptors: 4096}\n"
        "routing: " +
        e.routing + "\nclasses:\n";
    // As much time as it takes: what is looked at is the spread, not what is given up.
    for (const load_generator::RequestClass& k : e.kinds)
        text += "  - {name: " + k.name + ", effect: " + (k.at_most_once ? "unsafe" : "safe") +
                ", target_ms: 30000, deadline_ms: 60000}\n";
    return text;
}

ordered_json trial(const Experiment& e, const Where& where) {
    return Trial(e, where).run();
}

ordered_json emulate(const Experiment& e) {
    const emulator::LoadSpreadResult o = emulator::emulate_load_spread(emulated(e));
    ordered_json j = about(e, "emulated");
    const ordered_json even = json_of(o.imbalance);
    j["figures"] = figures(even, o.p50_ms, o.p95_ms, o.p99_ms, o.p999_ms, brief(o.error_rate));
    j["figures"]["probes_a_call"] =
        brief(static_cast<double>(o.probes) / static_cast<double>(std::max<std::uint64_t>(1, o.calls)));
    if (o.subset_churn > 0.0)
        j["figures"]["moved"] = brief(o.subset_churn);
    j["requests"] = {{"sent", o.calls}};
    j["evenness"] = even;
    return j;
}

}  // namespace cressledge::experiment
