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
          driver_(loop_, timers_, load_generator::Arrivals(e.rate_s(), e.bursty ? 10 : 1, e.kinds, e.seed),
                  20'000) {}

    ordered_json run() {
        // Told to end, it takes the processes that it has started with it.
        for (const int signal : {SIGINT, SIGTERM})
            loop_.on_signal(signal, [this] { stopped_ = true; });
        while (cluster_.size() < e_.processes)
            add();
        settle();
        if (e_.gossip_loss > 0.0)
            cluster_.relay().harm({e_.gossip_loss, 0.0, Duration(0), Duration(0)});
        doors();
        driver_.start();
        wait(e_.warm_up_s, "warming up");
        servers_.ask({{"do", "observe"}, {"on", true}});
        driver_.forget();
        std::vector<base::TimerHandle> troubles;
        for (const emulator::Trouble& t : e_.troubles)
            troubles.push_back(timers_.schedule(loop_.unix_now() + span(t.at_s), [this, &t] { meet(t); }));
        const auto probes_before = cluster_.sum("upstream.load_probes");
        wait(e_.seconds, "measuring");
        servers_.ask({{"do", "observe"}, {"on", false}});
        const auto probes = cluster_.sum("upstream.load_probes") - probes_before;
        driver_.stop();
        const Timestamp end = loop_.unix_now() + span(drain_s);
        while (driver_.open() > 0 && loop_.unix_now() < end)
            cluster_.run(loop_.unix_now() + Duration(50'000));
        const auto seen = servers_.ask({{"do", "report"}});
        if (!seen.is_object())
            throw std::runtime_error("no report from the stand-in servers");
        ordered_json j = about(e_, "real processes");
        const load_generator::Record all = driver_.total();
        const ordered_json even = seen["evenness"];
        const double n = std::max(1.0, static_cast<double>(all.all()));
        j["figures"] = figures(even, all.quantile_ms(0.5), all.quantile_ms(0.95), all.quantile_ms(0.99),
                               all.quantile_ms(0.999),
                               brief(1.0 - static_cast<double>(all.count(load_generator::End::ok)) / n));
        j["figures"]["probes_a_call"] = brief(static_cast<double>(probes) / n);
        j["requests"] = {
            {"sent", driver_.sent()}, {"unsent", driver_.unsent()}, {"open_at_end", driver_.open()}};
        for (std::size_t k = 0; k < driver_.kinds().size(); ++k)
            j["classes"][driver_.kinds()[k].name] = driver_.records()[k].json();
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
    fault_injection::Plan plan() {
        fault_injection::Plan p;
        p.program = where_.program;
        p.folder = where_.folder;
        p.fleet = "lab";
        p.probe_ms = 500;
        p.seed = e_.seed;
        p.relay = e_.gossip_loss > 0.0;
        p.doors = true;
        p.general = general_settings(e_);
        p.servers = "name,address,protocol,group,weight\n";
        for (std::size_t i = 0; i < e_.servers; ++i)
            p.servers += "s" + std::to_string(i) + ',' + servers_.addresses()[i] + ",http,maps," +
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
        if (!cluster_.agreed(span(60.0)))
            throw std::runtime_error("the processes do not see each other within a minute");
    }
    void doors() {
        std::vector<net::Address> all;
        for (const std::size_t no : cluster_.all_running())
            all.push_back(gossip::to_address(cluster_.door(no)));
        driver_.doors(std::move(all));
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
            const load_generator::Record all = driver_.total();
            where_.progress(e_.name + ": " + what + ", " +
                            std::to_string((end - loop_.unix_now()).count() / 1'000'000) + " s left, " +
                            std::to_string(all.all()) + " ended, " + std::to_string(driver_.open()) +
                            " open, p99 " + std::to_string(std::lround(all.quantile_ms(0.99))) + " ms");
        }
    }
    void meet(const emulator::Trouble& t) {
        using T = emulator::Trouble;
        switch (t.what) {
            case T::slow:
                return servers_.tell({{"do", "slow"}, {"servers", t.servers}, {"by", t.by}});
            case T::fail:
                return servers_.tell({{"do", "fail"}, {"servers", t.servers}});
            case T::mend:
                return servers_.tell({{"do", "mend"}, {"servers", t.servers}});
            case T::restart_servers:
                return servers_.tell({{"do", "restart"}, {"servers", t.servers}, {"for_s", t.for_s}});
            case T::restart_processes:
                for (const std::size_t no : cluster_.all_running())
                    cluster_.restart(no);
                return;
            case T::processes: {
                const auto running = cluster_.all_running();
                const auto want = static_cast<std::size_t>(t.by);
                for (std::size_t i = want; i < running.size(); ++i)
                    cluster_.signal(running[i], SIGTERM);
                for (std::size_t i = running.size(); i < want; ++i)
                    add();
                return doors();
            }
            case T::burst:
                driver_.rate(driver_.rate() * t.by);
                timers_.schedule_detached(loop_.unix_now() + span(t.for_s),
                                          [this, by = t.by] { driver_.rate(driver_.rate() / by); });
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
    for (const load_generator::Kind& k : e.kinds)
        text += "  - {name: " + k.name + ", effect: " + (k.once ? "unsafe" : "safe") +
                ", target_ms: 30000, deadline_ms: 60000}\n";
    return text;
}

ordered_json trial(const Experiment& e, const Where& where) {
    return Trial(e, where).run();
}

ordered_json emulate(const Experiment& e) {
    const emulator::Outcome o = emulator::run(emulated(e));
    ordered_json j = about(e, "emulated");
    const ordered_json even = json_of(o.even);
    j["figures"] = figures(even, o.p50_ms, o.p95_ms, o.p99_ms, o.p999_ms, brief(o.errors));
    j["figures"]["probes_a_call"] =
        brief(static_cast<double>(o.probes) / static_cast<double>(std::max<std::uint64_t>(1, o.calls)));
    if (o.moved > 0.0)
        j["figures"]["moved"] = brief(o.moved);
    j["requests"] = {{"sent", o.calls}};
    j["evenness"] = even;
    return j;
}

}  // namespace cressledge::experiment
