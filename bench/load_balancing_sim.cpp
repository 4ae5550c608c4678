// Simulates a fleet of servers under the real decision code of src/membership and src/routing, on a scripted clock.
// Half of the servers run at 0.6 of the speed, one in twenty is a black hole, a rolling deploy restarts a tenth; with
// "fail", every server fails from the middle on. Prints one table. Seeded: the same numbers on every machine.
// Use: load_balancing_sim [SECONDS]
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <queue>

#include "load_balancing/balancer.hpp"
#include "retry/retry_policy.hpp"

namespace {

using namespace cressledge;
using namespace cressledge::load_balancing;
using namespace cressledge::retry;
using upstream_health::CallResult;

constexpr int slots = 4;  // of a server
constexpr double mean_work = 0.05, load = 0.65;  // seconds; of what all but the black holes do
constexpr Duration patience{2'000'000};

struct Design {
    const char* name;
    BalancingPolicy policy;
    bool members, retries, hedges;  // outliers are ejected; budgeted extra tries
};

struct Server {
    double speed = 1.0;
    bool hole = false, down = false;
    int busy = 0;
    std::deque<std::uint64_t> waiting;  // tries
};
struct Try {
    std::uint64_t request = 0;
    HostId server = no_host;
    Timestamp sent{0}, deadline{0};
    double work = 0.0;
    bool over = false;  // for its caller
    bool hedge = false;
};
struct Request {
    Timestamp born{0}, due{0};
    std::uint32_t tries = 0, out = 0;
    std::vector<HostId> tried;
    bool done = false;
};
enum class What { arrive, finish, expire, retry, hedge, tick, deploy, fail };
struct Event {
    Timestamp at;
    std::uint64_t order;
    What what;
    std::uint64_t about;
    bool operator<(const Event& o) const { return std::tie(o.at, o.order) < std::tie(at, order); }
};

class Sim {
public:
    Sim(const Design& d, std::size_t n, double seconds, bool all_fail)
        : design_(d),
          random_(42, n),
          seconds_(seconds),
          members_(rules(d)),
          balancer_(members_, balancing(d)),
          hedge_(attempts_),
          all_fail_(all_fail) {
        for (std::size_t i = 0; i < n; ++i) {
            Server s;
            s.speed = i % 2 == 0 ? 1.0 : 0.6;
            s.hole = i % 20 == 7 || (n < 20 && i == 7);
            servers_.push_back(s);
            specs_.push_back({"tiles-" + std::to_string(i), "127.0.0.1:" + std::to_string(1024 + i), "http",
                              "", "", 1.0, false});
            capacity_ += s.hole ? 0.0 : s.speed * slots / mean_work;
        }
        members_.update(now_, specs_, random_);
        balancer_.refresh();
    }
    void run() {
        const Timestamp end(static_cast<std::int64_t>(seconds_ * 1e6));
        at(now_, What::arrive, 0);
        at(Timestamp(250'000), What::tick, 0);
        // A tenth of the fleet goes down for 2 s, one after another.
        for (std::size_t i = 0; i < servers_.size() / 10 + 1; ++i)
            at(end / 3 + Duration(static_cast<std::int64_t>(i) * 400'000), What::deploy,
               (i * 10) % servers_.size());
        if (all_fail_)
            at(end / 2, What::fail, 0);
        while (!events_.empty()) {
            const Event e = events_.top();
            events_.pop();
            now_ = e.at;
            if (now_ > end + patience)
                break;
            step(e, end);
        }
    }
    void row(std::size_t n) {
        std::sort(took_.begin(), took_.end());
        const auto at_part = [&](double p) {
            return took_.empty()
                       ? 0.0
                       : took_[static_cast<std::size_t>(p * static_cast<double>(took_.size() - 1))] * 1e3;
        };
        const double failing = asked_failing_ == 0
                                   ? 0.0
                                   : static_cast<double>(sent_failing_) / static_cast<double>(asked_failing_);
        std::printf("%-6s %5zu  %-26s %7.1f %8.1f %8.3f%%  %10.3f  %10.3f\n", all_fail_ ? "fail" : "usual", n,
                    design_.name, at_part(0.5), at_part(0.99),
                    100.0 * static_cast<double>(failed_) / static_cast<double>(asked_),
                    static_cast<double>(sent_) / static_cast<double>(asked_), failing);
    }

private:
    static upstream_health::HealthSettings rules(const Design& d) {
        upstream_health::HealthSettings r;
        if (!d.members)
            r.suspect_after_failures = r.eject_after_failures = ~0U, r.max_failure_rate = 2.0,
            r.max_latency_ratio = 1e9;
        return r;
    }
    static BalancerSettings balancing(const Design& d) {
        BalancerSettings r;
        r.policy = d.policy;
        return r;
    }
    void at(Timestamp when, What what, std::uint64_t about) { events_.push({when, ++order_, what, about}); }
    double uniform() { return (random_() + 0.5) / 4294967296.0; }
    void told(const std::vector<upstream_health::HostStateChange>& changes) {
        if (!changes.empty())
            balancer_.refresh();
    }

    void step(const Event& e, Timestamp end) {
        switch (e.what) {
            case What::arrive: {
                if (now_ >= end)
                    return;
                at(now_ +
                       Duration(static_cast<std::int64_t>(-std::log(uniform()) / (load * capacity_) * 1e6)),
                   What::arrive, 0);
                const std::uint64_t no = ++last_request_;
                requests_[no] = {now_, now_ + patience, 0, 0, {}, false};
                ++asked_;
                asked_failing_ += failing_ ? 1 : 0;
                budget_.on_first_attempt();
                send(no, false);
                return;
            }
            case What::finish: {
                Try& t = tries_.at(e.about);
                Server& s = servers_[specs_of(t.server)];
                --s.busy;
                if (!s.waiting.empty()) {
                    const std::uint64_t next = s.waiting.front();
                    s.waiting.pop_front();
                    serve(s, next);
                }
                if (!t.over)
                    conclude(e.about, failing_ ? CallResult::error : CallResult::ok);
                tries_.erase(e.about);
                return;
            }
            case What::expire:
                if (const auto it = tries_.find(e.about); it != tries_.end() && !it->second.over) {
                    const bool hole = servers_[specs_of(it->second.server)].hole;
                    conclude(e.about, CallResult::timeout);
                    if (hole)
                        tries_.erase(e.about);  // elsewhere it runs on, and nobody waits for it
                }
                return;
            case What::retry:
                if (const auto it = requests_.find(e.about); it != requests_.end() && !it->second.done)
                    send(e.about, false);
                return;
            case What::hedge: {
                const auto it = requests_.find(e.about);
                if (it != requests_.end() && !it->second.done && it->second.tries == 1 &&
                    it->second.out == 1 && !breaker_.is_open() && budget_.try_acquire())
                    send(e.about, true);
                return;
            }
            case What::tick:
                told(members_.tick(now_));
                for (const HostId no : members_.take_due_health_checks(now_, random_)) {
                    const Server& s = servers_[specs_of(no)];
                    if (design_.members)
                        told(members_.on_health_check(
                            now_, no, s.hole || s.down || failing_ ? CallResult::timeout : CallResult::ok));
                }
                if (now_ < end)
                    at(now_ + Duration(250'000), What::tick, 0);
                return;
            case What::deploy: {
                Server& s = servers_[e.about];
                s.down = !s.down;
                if (s.down)
                    at(now_ + Duration(2'000'000), What::deploy, e.about);
                return;
            }
            case What::fail:
                failing_ = true;
                return;
        }
    }
    std::size_t specs_of(HostId no) const { return no; }  // the first inventory numbers them in its order

    void send(std::uint64_t no, bool hedge) {
        Request& r = requests_.at(no);
        const HostId server = balancer_.pick(now_, 0, r.tried, random_);
        if (server == no_host) {
            if (r.out == 0)
                end(no, false);
            return;
        }
        ++r.tries;
        ++r.out;
        ++sent_;
        sent_failing_ += failing_ ? 1 : 0;
        r.tried.push_back(server);
        balancer_.on_call_started(now_, server);
        const std::uint64_t id = ++last_try_;
        const Timestamp deadline =
            design_.retries ? attempt_deadline(now_, r.due, r.tries, attempts_) : r.due;
        tries_[id] = {no, server, now_, deadline, -std::log(uniform()) * mean_work, false, hedge};
        if (design_.hedges && r.tries == 1)
            if (const Duration after = hedge_.delay(); after != Duration::max())
                at(now_ + after, What::hedge, no);
        Server& s = servers_[specs_of(server)];
        if (s.down)
            return conclude(id, CallResult::connection_refused), void(tries_.erase(id));
        at(deadline, What::expire, id);
        if (s.hole)
            return;
        if (failing_) {  // each fails at once
            conclude(id, CallResult::error);
            tries_.erase(id);
            return;
        }
        if (s.busy < slots)
            serve(s, id);
        else
            s.waiting.push_back(id);
    }
    void serve(Server& s, std::uint64_t id) {
        ++s.busy;
        const auto it = tries_.find(id);
        at(now_ + Duration(static_cast<std::int64_t>(it->second.work / s.speed * 1e6)), What::finish, id);
    }
    void conclude(std::uint64_t id, CallResult result) {
        Try& t = tries_.at(id);
        t.over = true;
        balancer_.on_call_finished(now_, t.server, result, now_ - t.sent);
        told(members_.on_call_finished(now_, t.server, result, now_ - t.sent));
        breaker_.record(result == CallResult::ok);
        if (result == CallResult::ok)
            hedge_.record(now_ - t.sent);
        const auto it = requests_.find(t.request);
        if (it == requests_.end())
            return;
        Request& r = it->second;
        --r.out;
        if (r.done)
            return;
        if (result == CallResult::ok)
            return end(t.request, true);
        if (r.out > 0)
            return;  // the other one may still answer
        // Nothing ran at a server that refused: trying the next costs no budget, as before this module.
        const bool free =
            result == CallResult::connection_refused && r.tries < members_.listed_hosts().size();
        if (!free && (!design_.retries || r.tries >= attempts_.max_attempts || breaker_.is_open() ||
                      !budget_.try_acquire()))
            return end(t.request, false);
        const Timestamp when = free ? now_ : next_retry_time(now_, r.tries, Duration(0), attempts_, random_);
        if (when >= r.due)
            return end(t.request, false);
        at(when, What::retry, t.request);
    }
    void end(std::uint64_t no, bool good) {
        Request& r = requests_.at(no);
        r.done = true;
        if (good)
            took_.push_back(static_cast<double>((now_ - r.born).count()) * 1e-6);
        else
            ++failed_;
        if (r.out == 0)
            requests_.erase(no);
    }

    const Design design_;
    Random random_;
    const double seconds_;
    const RetrySettings attempts_;
    upstream_health::HostSet members_;
    Balancer balancer_;
    RetryBudget budget_;
    CircuitBreaker breaker_;
    HedgePolicy hedge_;
    const bool all_fail_;
    bool failing_ = false;
    std::vector<Server> servers_;
    std::vector<upstream_health::HostSpec> specs_;
    double capacity_ = 0.0;
    std::priority_queue<Event> events_;
    std::map<std::uint64_t, Request> requests_;
    std::map<std::uint64_t, Try> tries_;
    std::uint64_t order_ = 0, last_request_ = 0, last_try_ = 0, asked_ = 0, failed_ = 0, sent_ = 0;
    std::uint64_t asked_failing_ = 0, sent_failing_ = 0;  // since every server fails
    Timestamp now_{0};
    std::vector<double> took_;
};

}  // namespace

int main(int argc, char** argv) {
    const double seconds = argc > 1 ? std::atof(argv[1]) : 30.0;
    const Design designs[] = {
        {"fewest in hand (before)", BalancingPolicy::least_in_flight, false, false, false},
        {"round robin, all rules", BalancingPolicy::round_robin, true, true, true},
        {"fewest in hand, all rules", BalancingPolicy::least_in_flight, true, true, true},
        {"two choices, no extra tries", BalancingPolicy::power_of_two_choices, true, false, false},
        {"two choices, retries", BalancingPolicy::power_of_two_choices, true, true, false},
        {"two choices, all rules", BalancingPolicy::power_of_two_choices, true, true, true},
    };
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    std::printf(
        "day    servers policy                       p50 ms   p99 ms   failed   tries a request, and once "
        "all fail\n");
    for (const bool fail : {false, true})
        for (const std::size_t n : {std::size_t{10}, std::size_t{100}, std::size_t{1000}})
            for (const Design& d : designs) {
                Sim sim(d, n, n == 1000 ? seconds / 4.0 : seconds, fail);
                sim.run();
                sim.row(n);
            }
    // What a pick costs, by servers.
    std::printf("\nservers  fewest in hand, ns  two choices, ns\n");
    for (const std::size_t n : {std::size_t{10}, std::size_t{1000}, std::size_t{10'000}}) {
        std::printf("%7zu", n);
        for (const BalancingPolicy policy :
             {BalancingPolicy::least_in_flight, BalancingPolicy::power_of_two_choices}) {
            Random random(1, 1);
            upstream_health::HostSet members;
            std::vector<upstream_health::HostSpec> specs;
            for (std::size_t i = 0; i < n; ++i)
                specs.push_back({"tiles-" + std::to_string(i), "127.0.0.1:" + std::to_string(i), "http", "",
                                 "", 1.0, false});
            members.update(Timestamp(0), specs, random);
            BalancerSettings rules;
            rules.policy = policy;
            Balancer balancer(members, rules);
            balancer.refresh();
            const int picks = n >= 1000 && policy == BalancingPolicy::least_in_flight ? 2'000 : 200'000;
            const auto from = std::chrono::steady_clock::now();
            for (int i = 0; i < picks; ++i) {
                const Timestamp now(1'000 + i);
                const HostId no = balancer.pick(now, 0, {}, random);
                balancer.on_call_started(now, no);
                if (i % 2 == 1)
                    balancer.on_call_finished(now, no, CallResult::ok, Duration(50)),
                        members.on_call_finished(now, no, CallResult::ok, Duration(50));
            }
            const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - from;
            std::printf("  %18.0f", took.count() / picks);
        }
        std::printf("\n");
    }
    return 0;
}
