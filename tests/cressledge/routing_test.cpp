// Membership, balancing and repeated attempts on a scripted clock, and the same on sockets against stand-ins that fail.
#include <cmath>
#include <map>
#include <set>

#include "load_balancing/balancer.hpp"
#include "retry/retry_policy.hpp"
#include "support.hpp"
#include "system_call_faults.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::upstream_health;
using namespace cressledge::load_balancing;
using namespace cressledge::retry;

constexpr Duration ms(std::int64_t n) {
    return Duration(n * 1000);
}

struct Fleet {
    Timestamp now{1'764'576'000'000'000};
    Random random{7, 7};
    HostSet members;
    BalancerSettings rules;
    std::unique_ptr<Balancer> made;
    std::vector<HostSpec> specs;

    explicit Fleet(std::size_t n, HealthSettings r = {}) : members(r) {
        for (std::size_t i = 0; i < n; ++i)
            specs.push_back({"tiles-" + std::to_string(i) + (i % 2 == 0 ? ".thies" : ".plateau"),
                             "127.0.0.1:" + std::to_string(4000 + i), "http",
                             i % 2 == 0 ? "thies" : "plateau", "", 1.0, false});
        members.update(now, specs, random);
    }
    Balancer& balancer() {
        if (!made) {
            made = std::make_unique<Balancer>(members, rules);
            made->refresh();
        }
        return *made;
    }
    void told(const std::vector<HostStateChange>& changes) {
        if (!changes.empty())
            balancer().refresh();
    }
    void use() { told(members.update(now, specs, random)); }
    // A call from its pick to its end.
    HostId call(CallResult result, Duration took, HostId only = no_host) {
        const HostId no = only != no_host ? only : balancer().pick(now, 0, {}, random);
        balancer().on_call_started(now, no);
        now += took;
        balancer().on_call_finished(now, no, result, took);
        told(members.on_call_finished(now, no, result, took));
        return no;
    }
    HostState state(HostId no) const { return members.at(no).state; }
};

TEST_CASE(
    "a server that fails is suspect, then out for longer each time, and comes back through slow start") {
    Fleet f(10);
    for (int i = 0; i < 2; ++i)
        f.call(CallResult::error, ms(1), 3);
    CHECK(f.state(3) == HostState::suspect);
    CHECK(f.members.traffic_fraction(f.now, 3) == Approx(0.05));
    for (int i = 0; i < 3; ++i)
        f.call(CallResult::error, ms(1), 3);
    CHECK(f.state(3) == HostState::ejected);
    CHECK(f.members.traffic_fraction(f.now, 3) == 0.0);
    Duration length{0};
    for (int flap = 1; flap <= 6; ++flap) {  // it fails again each time that it comes back
        const Duration out = f.members.at(3).ejected_until - f.now;
        CHECK(out >= length);
        length = out;
        f.now = f.members.at(3).ejected_until;
        f.told(f.members.tick(f.now));
        CHECK(f.state(3) == HostState::suspect);
        for (int i = 0; i < 3; ++i)
            f.call(CallResult::timeout, ms(1), 3);
        CHECK(f.state(3) == HostState::ejected);
    }
    CHECK(length == Duration(60'000'000));
    f.now = f.members.at(3).ejected_until;
    f.told(f.members.tick(f.now));
    f.told(f.members.on_health_check(f.now, 3, CallResult::ok));
    CHECK(f.state(3) == HostState::warming_up);
    const double begins = f.members.traffic_fraction(f.now, 3);
    f.now += ms(5'000);
    CHECK(f.members.traffic_fraction(f.now, 3) > begins);
    f.now += ms(5'000);
    f.told(f.members.tick(f.now));
    CHECK(f.state(3) == HostState::ready);
}

TEST_CASE("never more than its part of the fleet is out, and when most look bad all are used") {
    Fleet f(10);
    for (HostId no = 0; no < 10; ++no)
        for (int i = 0; i < 6; ++i)
            f.call(CallResult::error, ms(1), no);
    std::size_t out = 0;
    for (HostId no = 0; no < 10; ++no)
        out += f.state(no) == HostState::ejected ? 1 : 0;
    CHECK(out == 3);
    CHECK(f.members.in_panic_mode());
    std::set<HostId> picked;
    for (int i = 0; i < 500; ++i)
        picked.insert(f.balancer().pick(f.now, 0, {}, f.random));
    CHECK(f.balancer().candidates().size() == 10);
    CHECK(picked.size() > 7);
    Fleet slow(10);  // far slower than its peers
    for (int i = 0; i < 20; ++i)
        for (HostId no = 0; no < 10; ++no)
            slow.call(CallResult::ok, ms(no == 4 ? 400 : 50), no);
    slow.told(slow.members.tick(slow.now));
    CHECK(slow.state(4) == HostState::ejected);
    Fleet same(10);  // all of them slow at once: nobody's fault
    for (int i = 0; i < 20; ++i)
        for (HostId no = 0; no < 10; ++no)
            same.call(CallResult::ok, ms(i < 10 ? 50 : 500), no);
    same.told(same.members.tick(same.now));
    for (HostId no = 0; no < 10; ++no)
        CHECK(same.state(no) == HostState::ready);
}

TEST_CASE("the inventory changes: joins, drains, swapped addresses, and a restart under the same one") {
    Fleet f(4);
    f.balancer().on_call_started(f.now, 1);
    std::swap(f.specs[1].address, f.specs[2].address);  // two swap theirs: both are others now
    f.use();
    CHECK(f.state(1) == HostState::draining);  // its call ends where it is
    CHECK(f.state(2) == HostState::removed);
    CHECK(f.members.listed_hosts().size() == 4);
    std::set<std::string> addresses;
    for (const HostId no : f.members.listed_hosts()) {
        addresses.insert(f.members.at(no).spec.address);
        CHECK(f.state(no) != HostState::draining);
    }
    CHECK(addresses.size() == 4);
    f.told(f.members.on_call_finished(f.now, 1, CallResult::ok, ms(5)));
    CHECK(f.state(1) == HostState::removed);
    f.specs[0].drain_requested = true;
    f.use();
    CHECK(f.state(0) == HostState::draining);
    for (int i = 0; i < 200; ++i)
        CHECK(f.balancer().pick(f.now, 0, {}, f.random) != 0);
    f.specs[0].drain_requested = false;
    f.specs[0].weight = 2.0;
    f.use();
    CHECK(f.state(0) == HostState::warming_up);  // same server, another weight
    // A restart: refused, then back. It had done well, and does so again after slow start.
    for (int i = 0; i < 2; ++i)
        f.call(CallResult::connection_refused, ms(1), 3);
    CHECK(f.state(3) == HostState::suspect);
    f.call(CallResult::ok, ms(20), 3);
    CHECK(f.state(3) == HostState::warming_up);
    f.specs.clear();
    f.use();
    CHECK(f.balancer().pick(f.now, 0, {}, f.random) == no_host);
}

TEST_CASE(
    "who fails fast draws no traffic, a black hole shows before its time-out, and a slow one gets less") {
    HealthSettings blind;  // the balancer alone, nobody is ejected
    blind.suspect_after_failures = blind.eject_after_failures = ~0U, blind.max_failure_rate = 2.0,
    blind.max_latency_ratio = 1e9;
    Fleet f(10, blind);
    std::map<HostId, int> calls;
    for (int i = 0; i < 2'000; ++i) {
        const HostId no = f.balancer().pick(f.now, 0, {}, f.random);
        ++calls[no];
        f.call(no == 6 ? CallResult::error : CallResult::ok, ms(no == 6 ? 1 : no == 2 ? 90 : 50), no);
        if (i % 20 == 0)
            f.told(f.members.tick(f.now));
    }
    CHECK(calls[6] < 2'000 / 20);
    CHECK(calls[2] < calls[3]);
    Fleet hole(10, blind);
    for (int i = 0; i < 200; ++i)
        hole.call(CallResult::ok, ms(50));
    for (int i = 0; i < 3; ++i)
        hole.balancer().on_call_started(hole.now, 5);  // and nothing comes back
    hole.now += ms(1'000);
    CHECK(hole.balancer().cost(hole.now, 5) > 20.0 * hole.balancer().cost(hole.now, 4));
}

TEST_CASE(
    "the near ones first, and the others when those are full; a subset and a key's server stay what they "
    "are") {
    Fleet f(10);
    f.rules.local_data_centre = "thies";
    for (int i = 0; i < 7; ++i) {  // 1.5 for each of five
        const HostId no = f.balancer().pick(f.now, 0, {}, f.random);
        CHECK(f.members.at(no).spec.data_centre == "thies");
        f.balancer().on_call_started(f.now, no);
    }
    f.balancer().on_call_started(f.now, 0);
    std::set<std::string> places;
    for (int i = 0; i < 50; ++i)
        places.insert(f.members.at(f.balancer().pick(f.now, 0, {}, f.random)).spec.data_centre);
    CHECK(places.size() == 2);
    std::vector<std::string> names;
    for (int i = 0; i < 200; ++i)
        names.push_back("tiles-" + std::to_string(i));
    const auto before = rendezvous_subset("n3", names, 20);
    CHECK(before.size() == 20);
    CHECK(rendezvous_subset("n4", names, 20) != before);
    std::set<std::string> was;
    for (const auto i : before)
        was.insert(names[i]);
    names.erase(names.begin() + before[0]);
    int same = 0;
    for (const auto i : rendezvous_subset("n3", names, 20))
        same += was.count(names[i]) != 0 ? 1 : 0;
    CHECK(same == 19);
    MaglevTable m, less;
    m.build(names);
    std::vector<int> share(names.size());
    for (const auto i : m.table())
        ++share[i];
    const auto [low, high] = std::minmax_element(share.begin(), share.end());
    CHECK(*high - *low <= 1);
    auto fewer = names;
    fewer.pop_back();
    less.build(fewer);
    int moved = 0;
    for (std::uint64_t key = 1; key <= 10'000; ++key)
        moved += names[m.find(key)] != fewer[less.find(key)] ? 1 : 0;
    CHECK(moved < 10'000 / 20);  // one server of 199 went
    Fleet keyed(10);
    const HostId own = keyed.balancer().pick(keyed.now, 77, {}, keyed.random);
    CHECK(keyed.balancer().pick(keyed.now, 77, {}, keyed.random) == own);
    for (int i = 0; i < 3; ++i)
        keyed.balancer().on_call_started(keyed.now, own);
    CHECK(keyed.balancer().pick(keyed.now, 77, {}, keyed.random) != own);  // over 1.25 times the mean
}

TEST_CASE("extra tries stay within their share, whatever fails, also over three tiers") {
    double load = 1.0;
    for (int tier = 0; tier < 3; ++tier) {
        RetryBudget b(0.1);
        double calls = 0.0;
        const double firsts = load * 10'000;
        for (int i = 0; i < static_cast<int>(firsts); ++i) {  // everything fails
            b.on_first_attempt();
            for (calls += 1.0; b.try_acquire();)
                calls += 1.0;
        }
        CHECK(calls / firsts <= 1.1 + 0.001);
        load = calls / 10'000;
    }
    CHECK(load < 1.34);
    RetrySettings rules;
    Random random(3, 3);
    for (std::uint32_t tries = 1; tries < 9; ++tries) {
        Timestamp least = Timestamp::max(), most{0};
        for (int i = 0; i < 500; ++i) {
            const Timestamp t = next_retry_time(Timestamp(0), tries, Duration(0), rules, random);
            least = std::min(least, t), most = std::max(most, t);
        }
        const Duration bound = std::min(ms(25 * (1 << (tries - 1))), ms(1'000));
        CHECK(most <= bound);
        CHECK(most > bound * 9 / 10);
        CHECK(least < bound / 10);
    }
    CHECK(next_retry_time(Timestamp(0), 1, ms(3'000), rules, random) == ms(3'000));
    CHECK(attempt_deadline(Timestamp(0), ms(1'000), 1, rules) == ms(500));
    CHECK(attempt_deadline(Timestamp(0), ms(1'000), 3, rules) == ms(1'000));
    HedgePolicy h(rules);
    CHECK(h.delay() == Duration::max());
    for (int i = 1; i <= 1'000; ++i)
        h.record(ms(i % 100 + 1));
    CHECK(h.delay() > ms(85));
    CHECK(h.delay() < ms(101));
    CircuitBreaker breaker;
    for (int i = 0; i < 200; ++i)
        breaker.record(false);
    CHECK(breaker.is_open());
    for (int i = 0; i < 50; ++i)
        breaker.record(true);
    CHECK_FALSE(breaker.is_open());
}

// ---- on sockets ----

struct Act {  // what a stand-in does with a call
    enum How {
        answer,
        reset_at_once,
        reset_in_request,
        reset_after_request,
        reset_in_answer,
        say_status,
        nothing
    } how = answer;
    int status = 200;
    std::string more;
};
struct RecordingHost {  // an HTTP stand-in
    struct Call final : net::Stream::Owner {
        RecordingHost& of;
        net::Stream* stream = nullptr;
        std::string got;
        int calls = 0;  // on this connection
        explicit Call(RecordingHost& h) : of(h) {}
        ~Call() override { hang_up(); }
        void hang_up() {
            if (stream != nullptr)
                std::exchange(stream, nullptr)->close();
        }
        void on_bytes(std::string_view b) override {
            got.append(b);
            const Act act = of.next;
            if (act.how == Act::reset_in_request && got.size() > 20)
                return hang_up();
            const std::size_t head = got.find("\r\n\r\n");
            const std::string load = of.load.empty() ? "" : "Endpoint-Load-Metrics: " + of.load + "\r\n";
            if (head != std::string::npos && got.rfind("GET /healthz ", 0) == 0) {
                got.clear();
                ++of.probes;
                if (of.hangs)
                    return;
                stream->write("HTTP/1.1 200 x\r\n" + load + "Content-Length: 2\r\n\r\nok");
                return;
            }
            if (head == std::string::npos || got.back() != '.')
                return;
            ++of.ran[got.substr(head + 4)];
            of.last = std::exchange(got, {});
            of.reused += calls++ > 0 ? 1 : 0;
            if (act.how == Act::reset_after_request)
                return hang_up();
            if (act.how == Act::nothing)
                return;
            std::string answer = "HTTP/1.1 " + std::to_string(act.status) + " x\r\n" + act.more + load +
                                 "Content-Length: 2\r\n\r\nok";
            if (act.how == Act::reset_in_answer)
                answer.resize(answer.size() / 2);
            stream->write(answer);
            if (act.how == Act::reset_in_answer)
                hang_up();
        }
        void on_end(bool) override { stream = nullptr; }
    };
    Act next;
    std::map<std::string, int> ran;  // by body: whole requests read
    std::string last, load;  // load: what it says of itself
    int connections = 0, reused = 0, probes = 0;
    bool hangs = false;  // says nothing to probes
    std::vector<std::unique_ptr<Call>> calls;
    std::unique_ptr<net::Listener> listener;
    int port = 0;
    explicit RecordingHost(TestLoop& w) { listen(w); }
    void listen(TestLoop& w) {
        listener = std::make_unique<net::Listener>(w.loop.uv(), loopback_address(port), [this] {
            std::erase_if(calls, [](const auto& c) { return c->stream == nullptr; });
            auto made = std::make_unique<Call>(*this);
            made->stream = net::Stream::accept(*listener, *made);
            if (made->stream == nullptr)
                return;
            ++connections;
            if (next.how == Act::reset_at_once)
                return made->hang_up();
            calls.push_back(std::move(made));
        });
        port = listener->port();
    }
};

struct Town {
    TestLoop w;
    TemporaryDirectory folder;
    std::vector<std::unique_ptr<RecordingHost>> hosts;
    config::OperatorConfig o;
    std::unique_ptr<upstream::UpstreamGateway> gateway;
    std::unique_ptr<StreamPeer> client;
    explicit Town(std::size_t n) {
        for (std::size_t i = 0; i < n; ++i)
            hosts.push_back(std::make_unique<RecordingHost>(w));
        o.scgi_address = o.http_address = "127.0.0.1:0";
        o.inventory_path = folder.path + "/s.csv";
        write(rows());
        o.policy_settings = test_settings();
        o.policy_settings.cores = 16;
        o.routing.inventory_poll_interval = Duration(0);
        o.routing.health_checks_enabled = false;
    }
    std::string row(std::size_t i) const {
        return "tiles-" + std::to_string(i) + ",127.0.0.1:" + std::to_string(hosts[i]->port) +
               ",http,maps,thies,1\n";
    }
    std::string rows() const {
        std::string all = "name,address,protocol,group,data_centre,weight\n";
        for (std::size_t i = 0; i < hosts.size(); ++i)
            all += row(i);
        return all;
    }
    void write(const std::string& text) { folder.write_file("s.csv", text); }
    void start() { gateway = std::make_unique<upstream::UpstreamGateway>(w.loop, w.timers, w.loop, o, 7); }
    std::string ask(const std::string& kind, const std::string& body, const std::string& more = "") {
        if (!client || client->is_closed)
            client = connect_peer(w, gateway->http_port());
        client->received.clear();
        client->send("POST /v1/" + kind + " HTTP/1.1\r\n" + more +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        w.run_until([&] { return client->has_received("\r\n\r\n") || client->is_closed; });
        return client->received.substr(9, 3);
    }
    int runs() const {
        int all = 0;
        for (const auto& h : hosts)
            for (const auto& [body, n] : h->ran)
                all += n;
        return all;
    }
};

struct Always final
    : cressledge::policy::
          AdmissionController {  // runs whatever comes: the program's own controller would spare a sick fleet
    void handle(Timestamp, const cressledge::policy::Event& event,
                std::vector<cressledge::policy::Action>& actions) override {
        if (const auto* r = std::get_if<cressledge::policy::RequestArrived>(&event))
            actions.push_back(cressledge::policy::Run{r->id});
    }
};
struct Desk final : request::Responder, request::ConnectionSettingsSink {
    std::vector<request::ResponseStatus> verdicts;
    void respond(std::uint64_t, const request::Response& a) override { verdicts.push_back(a.status); }
    void set_idle_timeout(Duration) override {}
};

TEST_CASE(
    "10,000 orders under resets at every point of the exchange: none runs twice, none is called twice") {
    TestLoop w;
    std::vector<std::unique_ptr<RecordingHost>> hosts;
    std::vector<config::Upstream> all;
    for (int i = 0; i < 3; ++i) {
        hosts.push_back(std::make_unique<RecordingHost>(w));
        config::Upstream u;
        u.name = "tiles-" + std::to_string(i);
        u.address = "127.0.0.1:" + std::to_string(hosts.back()->port);
        u.protocol = "http";
        all.push_back(u);
    }
    connection_admission::DescriptorDemand needs;
    needs.upstream = 100;
    connection_admission::FileDescriptorBudget descriptors(
        connection_admission::plan_descriptors(1'000, 0, needs, 100));
    request::RequestManager server(test_settings(), std::make_unique<Always>(), w.loop, w.timers);
    upstream::NullRecordsClient records;
    Desk desk;
    upstream::UpstreamExecutor up(w.loop, w.timers, server, w.loop, descriptors, config::RoutingConfig{}, 7);
    up.set_servers(all);
    server.attach(up, records, desk);
    server.start(wall_clock_now());
    std::mt19937 random(9);
    static const Act acts[] = {{Act::answer, 200, ""},          {Act::reset_at_once, 0, ""},
                               {Act::reset_in_request, 0, ""},  {Act::reset_after_request, 0, ""},
                               {Act::reset_in_answer, 200, ""}, {Act::say_status, 503, "Retry-After: 0\r\n"},
                               {Act::say_status, 500, ""}};
    int refused = 0;
    for (int i = 0; i < 10'000; ++i) {
        const Act act = acts[random() % 7];
        for (auto& h : hosts)
            h->next = act;
        if (i % 100 == 50)
            hosts[0]->listener->close();  // refused: the next is called
        if (i % 100 == 60)
            hosts[0]->listen(w);
        request::IncomingRequest a;
        a.external_id = std::to_string(i);
        a.class_index = 2;
        a.reserved_kb = 1.0;
        a.accepted_at = wall_clock_now();
        a.body = std::to_string(i) + '.';
        server.submit(a, desk, 1);
        w.run_until([&] { return desk.verdicts.size() == static_cast<std::size_t>(i) + 1; });
        if (act.how == Act::answer)
            REQUIRE(desk.verdicts.back() == request::ResponseStatus::served);
        if (act.how != Act::answer)
            REQUIRE(desk.verdicts.back() == request::ResponseStatus::failed);
    }
    std::map<std::string, int> ran;
    std::uint64_t connections = 0;
    for (const auto& h : hosts) {
        connections += static_cast<std::uint64_t>(h->connections);
        for (const auto& [body, n] : h->ran)
            ran[body] += n, refused += n > 1 ? 1 : 0;
    }
    for (const auto& [body, n] : ran)
        REQUIRE(n == 1);
    CHECK(refused == 0);
    CHECK(ran.size() > 6'000);
    CHECK(connections == 10'000);  // one each, and never a second once one stood
    CHECK(up.counters().attempts >= 10'000);
    CHECK(up.counters().retries == 0);
    CHECK(up.counters().hedges == 0);
}

TEST_CASE(
    "a safe call is tried again elsewhere within its budget, on kept connections, and a stale one costs "
    "nothing") {
    Town t(3);
    t.start();
    t.hosts[1]->next = {Act::reset_in_answer, 200, ""};
    t.hosts[2]->next = {Act::say_status, 500, ""};
    for (int i = 0; i < 40; ++i)
        t.ask("route-profile", std::to_string(i) + '.');
    const auto& n = t.gateway->executor().counters();
    CHECK(n.retries > 0);
    CHECK(n.retries <= 40 * 0.1 + 5);
    CHECK(n.attempts == n.requests + n.retries);
    CHECK(t.hosts[0]->reused > 5);
    // The server closes what was kept: the next call finds it out, and is made anew on another connection.
    for (auto& h : t.hosts) {
        h->next = {};
        for (auto& c : h->calls)
            c->hang_up();
    }
    CHECK(t.ask("route-profile", "stale.") == "200");
    // Nothing left in the budget is told at once.
    for (auto& h : t.hosts)
        h->next = {Act::say_status, 500, ""};
    for (int i = 0; i < 60; ++i)
        CHECK(t.ask("trail-sheet", "f" + std::to_string(i) + '.') != "200");
    CHECK(n.retry_budget_exhausted + n.retries > 0);
    CHECK(n.attempts <= n.requests * 11 / 10 + 6);
    t.gateway->log_report();
    CHECK(take_log().find("on kept connections") != std::string::npos);
}

TEST_CASE(
    "a server's Retry-After keeps calls away from it, and a black hole costs part of a request's time") {
    Town t(2);
    t.o.policy_settings.classes[1].answer_deadline =
        Duration(800'000);  // a route-profile, and its try gets half of it
    t.o.policy_settings.classes[1].latency_objective = Duration(700'000);
    t.start();
    t.hosts[0]->next = {Act::say_status, 503, "Retry-After: 60\r\n"};
    for (int i = 0; i < 30; ++i)
        CHECK(t.ask("route-profile", std::to_string(i) + '.') == "200");
    CHECK(t.hosts[0]->ran.size() <= 1);
    Town hole(2);
    hole.o.policy_settings.classes[1] = t.o.policy_settings.classes[1];
    hole.start();
    hole.hosts[0]->next = {Act::nothing, 0, ""};
    for (int i = 0; i < 6; ++i)
        CHECK(hole.ask("route-profile", std::to_string(i) + '.') == "200");
}

TEST_CASE(
    "calls go where servers say they are idle, on kept connections; nonsense and fast failures draw none") {
    Town t(4);
    t.o.routing.policy = BalancingPolicy::probe_pool;
    for (auto& h : t.hosts)
        h->load = "TEXT named_metrics.in_flight=6, named_metrics.capacity=8";
    t.hosts[2]->load = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    t.start();
    int n = 0;
    const auto served = [&](int calls) {
        const int before = static_cast<int>(t.hosts[2]->ran.size());
        for (int i = 0; i < calls; ++i)
            t.ask("trail-sheet", "b" + std::to_string(++n) + '.');
        return static_cast<int>(t.hosts[2]->ran.size()) - before;
    };
    served(10);  // until some have been heard
    CHECK(served(60) >= 40);
    CHECK(t.gateway->executor().counters().load_probes >= 100);
    CHECK(t.gateway->executor().counters().load_reports >= 100);
    int probes = 0, connections = 0;
    for (const auto& h : t.hosts)
        probes += h->probes, connections += h->connections;
    CHECK(probes >= 100);
    CHECK(connections <= 40);  // probes and calls share those that are kept
    t.hosts[2]->load = "TEXT named_metrics.in_flight=-5, named_metrics.capacity=0";
    served(10);
    CHECK(t.gateway->executor().counters().malformed_load_reports > 0);
    CHECK(served(60) <= 30);
    t.hosts[2]->load = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    t.hosts[2]->next = {Act::say_status, 500, ""};
    served(20);
    CHECK(served(60) <= 10);
}

TEST_CASE(
    "a call whose probes go out first goes where it is least loaded, and is not held up by one that hangs") {
    Town t(5);
    t.o.routing.policy = BalancingPolicy::probe_first;
    t.o.routing.probing.probes_per_call = 4.0;
    t.o.routing.probe_timeout = ms(200);
    for (auto& h : t.hosts)
        h->load = "TEXT named_metrics.in_flight=6, named_metrics.capacity=8";
    t.hosts[2]->load = "TEXT named_metrics.in_flight=1, named_metrics.capacity=8";
    t.hosts[4]->hangs = true;
    t.start();
    for (int i = 0; i < 40; ++i)
        CHECK(t.ask(i % 4 == 0 ? "map-order" : "trail-sheet", "b" + std::to_string(i) + '.') == "200");
    CHECK(t.hosts[2]->ran.size() >= 25);  // wherever it was among those that were asked
    CHECK(t.hosts[4]->ran.size() <= 2);
    CHECK(t.runs() == 40);
    // None that can be heard: the calls are made all the same, by two choices.
    for (auto& h : t.hosts)
        h->load.clear();
    t.hosts[4]->hangs = false;
    for (int i = 40; i < 60; ++i)
        CHECK(t.ask("trail-sheet", "b" + std::to_string(i) + '.') == "200");
    CHECK(t.runs() == 60);
}

TEST_CASE("a reload takes other rules of routing whole or not at all, with calls under way") {
    Town t(4);
    const auto file = [&](const std::string& routing) {
        return t.folder.write_file(
            "o.yaml",
            "listen: {http: \"127.0.0.1:0\"}\ninventory: s.csv\ncores: 16\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\nrouting: {" +
                routing + "}\n");
    };
    t.o = config::load_operator_config(file("probes: false, watch_ms: 0"));
    for (auto& h : t.hosts)
        h->load = "TEXT named_metrics.in_flight=6, named_metrics.capacity=8";
    t.hosts[1]->load = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    t.start();
    t.hosts[2]->hangs = true;
    for (int i = 0; i < 10; ++i)
        CHECK(t.ask("trail-sheet", "a" + std::to_string(i) + '.') == "200");
    CHECK(t.gateway->executor().counters().load_probes == 0);
    const auto open = connect_peer(t.w, t.gateway->http_port());
    for (auto& h : t.hosts)
        h->next = {Act::nothing, 200, ""};
    open->send("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 3\r\n\r\nold");
    open->send(".");
    t.w.run_until([&] { return t.gateway->request_manager().unanswered_count() == 1; });
    for (auto& h : t.hosts)
        h->next = {};
    take_log();
    file("policy: probe-first, probing: {per_call: 0}, probes: false, watch_ms: 0, subset: 2");
    t.gateway->reload();
    CHECK(take_log().find("o.yaml:6: subset: needs a node") != std::string::npos);
    CHECK(t.gateway->executor().candidate_count() == 4);
    file("policy: probe-first, probing: {per_call: 4, patience_ms: 200}, probes: false, watch_ms: 0");
    t.gateway->reload();
    CHECK(take_log().find("stays in force") == std::string::npos);
    const std::size_t before = t.hosts[1]->ran.size();
    for (int i = 0; i < 20; ++i)
        CHECK(t.ask("trail-sheet", "b" + std::to_string(i) + '.') == "200");
    CHECK(t.hosts[1]->ran.size() - before >= 15);  // where it is idle
    CHECK(t.gateway->request_manager().unanswered_count() == 1);
    file("policy: round-robin, probes: false, watch_ms: 0, subset: 2, node: n1");
    t.gateway->reload();
    CHECK(t.gateway->executor().candidate_count() == 2);
    const auto probes = t.gateway->executor().counters().load_probes;
    for (int i = 0; i < 10; ++i)
        CHECK(t.ask("trail-sheet", "c" + std::to_string(i) + '.') == "200");
    CHECK(t.gateway->executor().counters().load_probes == probes);
}

TEST_CASE("requests of one key go to one server where affinity is on") {
    Town t(4);
    t.o.routing.key_affinity_enabled = true;
    t.start();
    for (int key = 0; key < 8; ++key) {
        std::size_t before[4], at = 0;
        for (std::size_t h = 0; h < 4; ++h)
            before[h] = t.hosts[h]->ran.size();
        for (int i = 0; i < 5; ++i)
            CHECK(t.ask("route-profile", std::to_string(key * 10 + i) + '.',
                        "Lookup-Key: 000000000000000" + std::to_string(key) + "\r\n") == "200");
        for (std::size_t h = 0; h < 4; ++h)
            at += t.hosts[h]->ran.size() != before[h] ? 1 : 0;
        CHECK(at == 1);
    }
}

TEST_CASE("a hedge goes out for a safe call only, within the budget") {
    Town t(2);
    t.o.routing.hedging_enabled = true;
    t.start();
    for (int i = 0; i < 80; ++i)
        CHECK(t.ask("route-profile", std::to_string(i) + '.') == "200");
    RecordingHost& busy = *t.hosts[t.hosts[0]->ran.size() > t.hosts[1]->ran.size() ? 0 : 1];
    busy.next = {Act::nothing, 0, ""};
    for (int i = 0; i < 6; ++i)
        CHECK(t.ask("route-profile", "h" + std::to_string(i) + '.') == "200");
    const auto hedges = t.gateway->executor().counters().hedges;
    CHECK(hedges > 0);
    CHECK(hedges <= 13);
    busy.next = {};
    t.ask("map-order", "one.");
    CHECK(t.hosts[0]->ran["one."] + t.hosts[1]->ran["one."] == 1);
}

TEST_CASE(
    "100 edited inventories under load: no request is lost, and each rejected line is told by its number") {
    Town t(6);
    t.start();
    std::mt19937 random(4);
    std::vector<std::unique_ptr<StreamPeer>> clients;
    int asked = 0, told = 0, refused_files = 0;
    for (int i = 0; i < 100; ++i) {
        for (int k = 0; k < 4; ++k, ++asked) {  // on their way while the file changes
            clients.push_back(connect_peer(t.w, t.gateway->http_port()));
            const std::string body = std::to_string(asked) + '.';
            clients.back()->send("POST /v1/route-profile HTTP/1.1\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        std::string text = t.rows();
        std::vector<std::string> wrong;
        switch (i % 8) {
            case 0:
                text += t.row(0), wrong = {"s.csv:8: name: a duplicate: tiles-0"};
                break;
            case 1:
                text += "x,127.0.0.1:9,ftp,maps,,1\ny,nowhere,http,maps,,1\nz,127.0.0.1:9,http,maps,,heavy\n";
                wrong = {"s.csv:8: protocol: ", "s.csv:9: address: ", "s.csv:10: weight: "};
                break;
            case 2:
                text.resize(text.size() / 2), wrong = {"s.csv:"};
                break;  // halfway through a row
            case 3:
                text = text.substr(0, text.find('\n') + 1), wrong = {"no servers"};
                break;
            case 4:
                text = "name,address,protocol,group,data_centre,weight\n" + t.row(0) + t.row(1),
                wrong = {"4 of 6 servers gone"};
                break;
            case 5:
                text = "", wrong = {"no header row"};
                break;
            case 6:
                text = text.substr(0, text.size() - t.row(5).size());
                break;  // one goes, and comes back
            default:
                break;
        }
        t.write(text);
        take_log();
        t.gateway->reload();
        const std::string log = take_log();
        for (const std::string& w : wrong) {
            INFO(i << ' ' << w << "\n" << log);
            CHECK(log.find(w) != std::string::npos);
            ++told;
        }
        refused_files += log.find("the old one stays in force") != std::string::npos ? 1 : 0;
        CHECK(wrong.empty() == (log.find("servers in force, version") != std::string::npos));
        t.w.loop.run_once(false);
    }
    CHECK(refused_files == 76);
    t.w.run_until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& c) { return c->has_received("\r\n\r\nok"); });
    });
    CHECK(t.gateway->request_manager().counts().served == static_cast<std::uint64_t>(asked));
    CHECK(t.runs() == asked);
}

TEST_CASE("a file that is replaced is picked up without a signal") {
    Town t(2);
    t.o.routing.inventory_poll_interval = ms(20);
    t.write("name,address,protocol,group,data_centre,weight\n" + t.row(0));
    t.start();
    t.folder.write_file("next", t.rows());
    bool replaced = false;
    t.w.run_until([&] {  // once it has been looked at, whenever that is
        if (!replaced)
            replaced = std::rename((t.folder.path + "/next").c_str(), t.o.inventory_path.c_str()) == 0;
        return t.gateway->executor().hosts().listed_hosts().size() == 2;
    });
    CHECK(take_log().find("2 servers in force, version 2: +1 (tiles-1)") != std::string::npos);
}

}  // namespace
