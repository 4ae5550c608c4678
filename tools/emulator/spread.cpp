#include "emulator/spread.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <queue>
#include <set>

#include "load_balancing/subset.hpp"

namespace cressledge::emulator {
namespace {

using base::Timestamp;
using fake_upstream::CallId;
using load_balancing::LoadReport;
using upstream_health::HostId;
using upstream_health::Random;

constexpr std::int64_t figures_every = 1'000'000, tick_every = 250'000;  // microseconds

struct Call {
    std::uint32_t generation = 1;
    std::uint32_t process = 0, server = 0;
    std::uint32_t life = 0;  // of its process
    std::int64_t born = 0, sent = 0;
    bool probes_only = false, out = false;  // out: a server has it
    std::vector<HostId> tried;
    std::vector<load_balancing::ProbeAnswer> answers;  // of its own probes
};

struct Balancing {  // one process
    std::uint32_t life = 0;
    std::vector<std::uint32_t> in_hand;
    std::vector<double> turn;
    std::unique_ptr<upstream_health::HostSet> members;
    std::unique_ptr<load_balancing::Balancer> balancer;
};

enum class What : std::uint8_t { arrive, read, choose, finish, look, figures, tick, trouble, calm, back };

struct Event {
    std::int64_t at;
    std::uint64_t order;
    What what;
    std::uint64_t about;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

std::vector<std::string> names(std::size_t n) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < n; ++i)
        all.push_back("p" + std::to_string(i));
    std::sort(all.begin(), all.end());
    return all;
}

class Run {
public:
    explicit Run(const Spread& s) : s_(s), random_(s.seed, 3) {
        double places = 0.0;
        std::vector<double> capacities;
        for (std::size_t i = 0; i < s.servers; ++i) {
            const double capacity = s.capacities[i % s.capacities.size()];
            fake_upstream::ServerProfile n = s.nature;
            n.slots = std::max(1U, static_cast<unsigned>(std::lround(capacity * s.nature.slots)));
            n.probe_round_trip = s.round_trip;
            n.probes_per_call = s.choice == Choice::pool
                                    ? static_cast<unsigned>(std::lround(s.pool.probes_per_call))
                                    : s.probes;
            places += n.slots;
            capacities.push_back(capacity);
            specs_.push_back({"s" + std::to_string(i), "127.0.0.1:" + std::to_string(i + 1), "http", "", "",
                              capacity, false});
            servers_.emplace_back(n);
        }
        gone_.resize(s.servers);
        by_capacity_.build(capacities);
        rate_ = s.load * places / s.nature.mean_service_time_s;
        figures_.resize(s.servers);
        active_ = s.processes;
        for (std::size_t i = 0; i < active_; ++i)
            begin(processes_.emplace_back(), i);
    }

    Outcome go() {
        warm_ = static_cast<std::int64_t>(s_.warm_up * 1e6);
        const auto end = warm_ + static_cast<std::int64_t>(s_.seconds * 1e6);
        put(0, What::arrive, 0);
        put(warm_, What::look, 0);
        if (by_balancer())
            put(tick_every, What::tick, 0);
        if (s_.choice == Choice::stale)
            put(0, What::figures, 0);
        for (std::size_t i = 0; i < s_.troubles.size(); ++i)
            put(warm_ + static_cast<std::int64_t>(s_.troubles[i].at_s * 1e6), What::trouble, i);
        // What is out at the end is waited for: a quantile without the slowest would flatter.
        while (!events_.empty() && (events_.top().at <= end || open_ > 0)) {
            const Event e = events_.top();
            events_.pop();
            now_ = e.at;
            if (now_ <= end || (e.what != What::arrive && e.what != What::look && e.what != What::trouble))
                step(e);
        }
        std::sort(took_.begin(), took_.end());
        const auto part = [&](double p) {
            return took_.empty()
                       ? 0.0
                       : took_[static_cast<std::size_t>(p * static_cast<double>(took_.size() - 1))] / 1e3;
        };
        out_.even = observer_.result();
        out_.p50_ms = part(0.5);
        out_.p95_ms = part(0.95);
        out_.p99_ms = part(0.99);
        out_.p999_ms = part(0.999);
        out_.errors = ended_ == 0 ? 0.0 : out_.errors / static_cast<double>(ended_);
        return out_;
    }

private:
    double uniform() { return (random_() + 0.5) / 4294967296.0; }
    void put(std::int64_t at, What what, std::uint64_t about) { events_.push({at, ++order_, what, about}); }
    bool by_balancer() const {
        return s_.choice == Choice::today || s_.choice == Choice::pool || s_.choice == Choice::probed;
    }
    bool probed_first() const { return s_.choice == Choice::probed; }

    void begin(Balancing& b, std::size_t number) {  // a process that knows nothing
        ++b.life;
        b.in_hand.assign(s_.servers, 0);
        if (s_.choice == Choice::round_robin) {
            b.turn.clear();
            for (std::size_t i = 0; i < s_.servers; ++i)
                b.turn.push_back(uniform() * specs_[i].weight);
        }
        if (!by_balancer())
            return;
        load_balancing::BalancerSettings rules;
        rules.policy = s_.choice == Choice::today  ? load_balancing::BalancingPolicy::power_of_two_choices
                       : s_.choice == Choice::pool ? load_balancing::BalancingPolicy::probe_pool
                                                   : load_balancing::BalancingPolicy::probe_first;
        rules.probing = s_.pool;
        if (probed_first())
            rules.probing.probes_per_call = s_.probes;
        rules.subset_size = s_.subset;
        rules.node_name = "p" + std::to_string(number);
        b.members = std::make_unique<upstream_health::HostSet>();
        b.members->update(Timestamp(now_), specs_, random_);
        b.balancer = std::make_unique<load_balancing::Balancer>(*b.members, rules);
        if (s_.subset != 0)
            b.balancer->update_peers(Timestamp(now_), names(active_));
        b.balancer->refresh();
    }

    void step(const Event& e) {
        switch (e.what) {
            case What::arrive:
                return arrive();
            case What::read:
                return read(e.about);
            case What::choose:
                return choose(e.about);
            case What::finish:
                return finish(e.about);
            case What::look:
                put(now_ + fake_upstream::sample_interval.count(), What::look, 0);
                return observer_.sample(servers_);
            case What::figures:
                for (std::size_t i = 0; i < servers_.size(); ++i)
                    figures_[i] = servers_[i].load_report();
                return put(now_ + figures_every, What::figures, 0);
            case What::tick:
                for (std::size_t p = 0; p < active_; ++p)
                    if (!processes_[p].members->tick(Timestamp(now_)).empty())
                        processes_[p].balancer->refresh();
                return put(now_ + tick_every, What::tick, 0);
            case What::trouble:
                return trouble(s_.troubles[e.about]);
            case What::calm:
                rate_ /= s_.troubles[e.about].by;
                return;
            case What::back:
                gone_[e.about] = false;
                servers_[e.about].restart(Timestamp(now_));
                return;
        }
    }

    void arrive() {
        const double n = s_.bursty ? 10.0 : 1.0;
        put(now_ + std::max<std::int64_t>(1, std::llround(-std::log(uniform()) * n / rate_ * 1e6)),
            What::arrive, 0);
        for (int k = 0; k < static_cast<int>(n); ++k) {
            const CallId no = fresh();
            Call& c = at(no);
            c.process = random_(static_cast<std::uint32_t>(active_));
            c.life = processes_[c.process].life;
            c.born = now_;
            ++open_;
            ++out_.calls;
            if (!probed_first() || !ask(no))
                send(no, pick(no));
            if (s_.choice != Choice::pool)
                continue;
            const CallId probe = fresh();  // the probes beside a call, as a call that nobody makes
            at(probe).process = at(no).process;
            at(probe).life = at(no).life;
            at(probe).probes_only = true;
            if (!ask(probe))
                release(probe);
        }
    }
    bool ask(CallId no) {
        Call& c = at(no);
        processes_[c.process].balancer->pick_probe_targets(random_, whom_);
        if (whom_.empty())
            return false;
        for (const HostId s : whom_)
            c.answers.push_back({s, {}});
        out_.probes += whom_.size();
        put(now_ + s_.round_trip.count() / 2, What::read, no);
        return true;
    }
    void read(CallId no) {
        Call* c = find(no);
        if (c == nullptr)
            return;
        std::erase_if(c->answers, [this](const auto& a) { return gone_[a.host_id]; });
        for (auto& [server, load] : c->answers)
            load =
                s_.expected ? servers_[server].answer_probe(Timestamp(now_)) : servers_[server].load_report();
        put(now_ + s_.round_trip.count() / 2, What::choose, no);
    }
    void choose(CallId no) {
        Call* c = find(no);
        if (c == nullptr)
            return;
        Balancing& b = processes_[c->process];
        if (c->probes_only) {
            if (b.life == c->life)
                for (const auto& [server, load] : c->answers)
                    b.balancer->on_load_report(Timestamp(now_), server, load);
            return release(no);
        }
        std::vector<load_balancing::ProbeAnswer> said;
        for (const auto& [server, load] : c->answers)
            if (const auto weighed = b.balancer->effective_load(Timestamp(now_), server, load))
                said.push_back({server, *weighed});
        const HostId best = load_balancing::least_loaded(said);
        send(no, best != upstream_health::no_host ? best
                                                  : b.balancer->pick(Timestamp(now_), 0, c->tried, random_));
    }

    // ---- calls ----

    CallId fresh() {
        if (free_.empty()) {
            free_.push_back(static_cast<std::uint32_t>(calls_.size()));
            calls_.emplace_back();
        }
        const std::uint32_t i = free_.back();
        free_.pop_back();
        const std::uint32_t generation = calls_[i].generation;
        calls_[i] = {};
        calls_[i].generation = generation;
        return CallId{generation} << 32U | i;
    }
    Call& at(CallId no) { return calls_[static_cast<std::uint32_t>(no)]; }
    Call* find(CallId no) { return at(no).generation == no >> 32U ? &at(no) : nullptr; }
    void release(CallId no) {
        ++at(no).generation;
        at(no).out = false;
        free_.push_back(static_cast<std::uint32_t>(no));
    }

    HostId pick(CallId no) {
        Call& c = at(no);
        Balancing& b = processes_[c.process];
        switch (s_.choice) {
            case Choice::random:
                return by_capacity_.sample(random_);
            case Choice::round_robin: {
                // Smooth weighted: each gains its weight, the foremost pays for all.
                std::uint32_t best = 0;
                double sum = 0.0;
                for (std::uint32_t i = 0; i < b.turn.size(); ++i) {
                    b.turn[i] += specs_[i].weight;
                    sum += specs_[i].weight;
                    if (b.turn[i] > b.turn[best])
                        best = i;
                }
                b.turn[best] -= sum;
                return best;
            }
            case Choice::stale:
                return static_cast<std::uint32_t>(
                    std::min_element(figures_.begin(), figures_.end(),
                                     [](const LoadReport& x, const LoadReport& y) {
                                         return x.utilization() < y.utilization();
                                     }) -
                    figures_.begin());
            case Choice::own_two: {
                const std::uint32_t x = by_capacity_.sample(random_), y = by_capacity_.sample(random_);
                return b.in_hand[x] / specs_[x].weight <= b.in_hand[y] / specs_[y].weight ? x : y;
            }
            case Choice::all_seen: {
                std::uint32_t best = 0;
                const std::uint32_t from = random_(static_cast<std::uint32_t>(servers_.size()));
                for (std::uint32_t k = 0; k < servers_.size(); ++k) {
                    const std::uint32_t i = (from + k) % static_cast<std::uint32_t>(servers_.size());
                    if (gone_[i])
                        continue;
                    if (k == 0 || servers_[i].load_report().utilization(1.0) <
                                      servers_[best].load_report().utilization(1.0))
                        best = i;
                }
                return best;
            }
            case Choice::today:
            case Choice::pool:
            case Choice::probed:
                return b.balancer->pick(Timestamp(now_), 0, c.tried, random_);
        }
        return 0;
    }

    void send(CallId no, HostId server) {
        Call& c = at(no);
        Balancing& b = processes_[c.process];
        // A refused connection proves that nothing ran, and the next server is called at once.
        while (server != upstream_health::no_host && gone_[server]) {
            c.tried.push_back(server);
            if (!by_balancer() || c.tried.size() > 8) {
                server = upstream_health::no_host;
                break;
            }
            b.balancer->on_call_started(Timestamp(now_), server);
            b.balancer->on_call_finished(Timestamp(now_), server,
                                         upstream_health::CallResult::connection_refused, Duration(0));
            if (!b.members
                     ->on_call_finished(Timestamp(now_), server,
                                        upstream_health::CallResult::connection_refused, Duration(0))
                     .empty())
                b.balancer->refresh();
            server = pick(no);
        }
        if (server == upstream_health::no_host) {
            count(c, true);
            return release(no);
        }
        c.server = server;
        c.sent = now_;
        c.out = true;
        ++b.in_hand[server];
        if (b.balancer)
            b.balancer->on_call_started(Timestamp(now_), server);
        if (const auto begun = servers_[server].arrive(Timestamp(now_), no, random_))
            put(begun->finishes_at.count(), What::finish, begun->call);
    }
    void finish(CallId no) {
        Call* c = find(no);
        if (c != nullptr)
            ended(no, servers_[c->server].is_failing());
    }
    void ended(CallId no, bool error) {
        const Call& c = at(no);
        if (const auto begun = servers_[c.server].depart(Timestamp(now_), no, random_))
            put(begun->finishes_at.count(), What::finish, begun->call);
        Balancing& b = processes_[c.process];
        if (b.life == c.life) {
            --b.in_hand[c.server];
            const auto result = error ? upstream_health::CallResult::error : upstream_health::CallResult::ok;
            if (b.balancer) {
                const Duration span(now_ - c.sent);
                b.balancer->on_call_finished(Timestamp(now_), c.server, result, span);
                if (!b.members->on_call_finished(Timestamp(now_), c.server, result, span).empty())
                    b.balancer->refresh();
            }
        }
        count(c, error);
        release(no);
    }
    void count(const Call& c, bool error) {
        --open_;
        if (c.born < warm_)
            return;
        if (!error)
            took_.push_back(static_cast<float>(now_ - c.born));
        ++ended_;
        out_.errors += error ? 1.0 : 0.0;
    }

    // ---- troubles ----

    void trouble(const Trouble& t) {
        switch (t.what) {
            case Trouble::slow:
                for (const std::size_t s : t.servers)
                    servers_[s].set_slowdown(t.by);
                return;
            case Trouble::fail:
            case Trouble::mend:
                for (const std::size_t s : t.servers)
                    servers_[s].set_failing(t.what == Trouble::fail);
                return;
            case Trouble::restart_servers:
                for (const std::size_t s : t.servers) {
                    gone_[s] = true;
                    lose([s](const Call& c) { return c.server == s; });
                    put(now_ + static_cast<std::int64_t>(t.for_s * 1e6), What::back, s);
                }
                return;
            case Trouble::restart_processes:
                lose([](const Call&) { return true; });
                for (std::size_t p = 0; p < active_; ++p)
                    begin(processes_[p], p);
                return;
            case Trouble::processes: {
                const std::size_t before = active_;
                active_ = static_cast<std::size_t>(t.by);
                if (processes_.size() < active_)
                    processes_.resize(active_);
                for (std::size_t p = before; p < active_; ++p)
                    begin(processes_[p], p);
                if (s_.subset == 0 || !by_balancer())
                    return;
                const auto now = names(active_);
                for (std::size_t p = 0; p < active_; ++p)
                    processes_[p].balancer->update_peers(Timestamp(now_), now);
                moved(before);
                return;
            }
            case Trouble::burst:
                rate_ *= t.by;
                put(now_ + static_cast<std::int64_t>(t.for_s * 1e6), What::calm,
                    static_cast<std::uint64_t>(&t - s_.troubles.data()));
                return;
        }
    }
    template <class Which>
    void lose(const Which& which) {  // calls in hand whose connection breaks
        for (std::uint32_t i = 0; i < calls_.size(); ++i)
            if (calls_[i].out && which(calls_[i]))
                ended(CallId{calls_[i].generation} << 32U | i, true);
    }
    void moved(std::size_t before) {
        std::vector<std::string> all;
        for (const auto& s : specs_)
            all.push_back(s.name);
        const auto of_before = names(before), of_now = names(active_);
        const auto a = load_balancing::assign_subsets(of_before, all, s_.subset),
                   b = load_balancing::assign_subsets(of_now, all, s_.subset);
        double changed = 0.0, places = 0.0;
        for (std::size_t i = 0; i < of_before.size(); ++i) {
            const auto it = std::lower_bound(of_now.begin(), of_now.end(), of_before[i]);
            if (it == of_now.end() || *it != of_before[i])
                continue;
            const auto& row = b[static_cast<std::size_t>(it - of_now.begin())];
            const std::set<std::uint32_t> had(a[i].begin(), a[i].end());
            for (const std::uint32_t s : row)
                changed += had.count(s) == 0 ? 1.0 : 0.0;
            places += static_cast<double>(row.size());
        }
        out_.moved = std::max(out_.moved, changed / std::max(1.0, places));
    }

    const Spread s_;
    Random random_;
    std::vector<upstream_health::HostSpec> specs_;
    std::vector<fake_upstream::ServerModel> servers_;
    std::vector<bool> gone_;
    std::vector<Balancing> processes_;
    std::size_t active_ = 0;
    load_balancing::WeightedSampler by_capacity_;
    std::vector<HostId> whom_;
    std::vector<LoadReport> figures_;
    std::vector<Call> calls_;
    std::vector<std::uint32_t> free_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0, ended_ = 0, open_ = 0;
    std::int64_t now_ = 0, warm_ = 0;
    double rate_ = 0.0;
    std::vector<float> took_;
    fake_upstream::LoadImbalanceMonitor observer_;
    Outcome out_;
};

}  // namespace

const char* word(Choice choice) {
    switch (choice) {
        case Choice::random:
            return "random";
        case Choice::round_robin:
            return "round robin";
        case Choice::stale:
            return "least loaded, 1 s old";
        case Choice::own_two:
            return "two choices, own calls";
        case Choice::today:
            return "two-choices (today)";
        case Choice::pool:
            return "probe-pool";
        case Choice::probed:
            return "probe-first";
        case Choice::all_seen:
            return "all seen (JSQ)";
    }
    return "";
}

Outcome run(const Spread& spread) {
    return Run(spread).go();
}

}  // namespace cressledge::emulator
