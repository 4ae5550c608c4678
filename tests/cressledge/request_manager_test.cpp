// The core without a wire: a scripted controller, executor and records client, and a clock set by hand.
#include "request/request_manager.hpp"

#include "support.hpp"

namespace {

using namespace cressledge::testing;
using cressledge::policy::Action, cressledge::policy::Event, cressledge::policy::Outcome;
using request::RunResult, request::ResponseStatus;

struct Script final : cressledge::policy::AdmissionController {
    std::vector<Event> seen;
    std::vector<Timestamp> times;
    std::function<void(const Event&, std::vector<Action>&)> then;
    void handle(Timestamp now, const Event& e, std::vector<Action>& out) override {
        seen.push_back(e);
        times.push_back(now);
        if (then)
            then(e, out);
    }
    template <class T>
    std::size_t count() const {
        std::size_t n = 0;
        for (const Event& e : seen)
            n += std::holds_alternative<T>(e);
        return n;
    }
    template <class T>
    T last() const {
        REQUIRE(count<T>() > 0);
        T found;
        for (const Event& e : seen)
            if (const T* t = std::get_if<T>(&e))
                found = *t;
        return found;
    }
};

struct Bench : request::Responder,
               request::Executor,
               request::DependencyClient,
               request::ConnectionSettingsSink {
    ManualClock clock;
    base::TimerQueue timers;
    Script* script = new Script;
    request::RequestManager server;
    std::vector<std::string> did;  // by executor and records client, in order
    std::vector<std::pair<ResponseStatus, std::string>> answers;
    bool gauges = true;
    std::uint64_t tag = 0;

    explicit Bench(cressledge::policy::Settings s = test_settings())
        : server(std::move(s), std::unique_ptr<cressledge::policy::AdmissionController>(script), clock,
                 timers) {
        server.attach(*this, *this, *this);
        server.start(clock.now);
    }
    void respond(std::uint64_t, const request::Response& a) override {
        answers.emplace_back(a.status, a.body);
    }
    void run(const request::Work& w) override { did.push_back("run " + std::string(w.external_id)); }
    void suspend(request::RequestId) override { did.push_back("halt"); }
    void resume(request::RequestId) override { did.push_back("resume"); }
    void deliver_call_reply(request::RequestId, std::string_view r) override {
        did.push_back("feed " + std::string(r));
    }
    void skip_call(request::RequestId, std::uint64_t n) override {
        did.push_back("skip " + std::to_string(n));
    }
    bool request_gauges(std::uint64_t t) override { return tag = t, gauges; }
    bool request_health_check(std::uint64_t t) override { return tag = t, true; }
    void release(request::RequestId) override { did.push_back("release"); }
    void call(request::RequestId, std::string_view, std::string_view b, Timestamp) override {
        did.push_back("call " + std::string(b));
    }
    void abandon(request::RequestId) override { did.push_back("abandon"); }
    void set_idle_timeout(Duration) override {}

    request::RequestId arrive(std::size_t kind = 0, const std::string& key = "") {
        request::IncomingRequest a;
        a.external_id = "r" + std::to_string(server.counts().received);
        a.class_index = kind;
        a.idempotency_key = key;
        a.reserved_kb = 10;
        a.accepted_at = clock.now - Duration(5000);
        return server.submit(std::move(a), *this, 1);
    }
    std::size_t times(const std::string& what) const {
        return static_cast<std::size_t>(std::count(did.begin(), did.end(), what));
    }
    void advance(Duration by) {
        clock.now += by;
        timers.run_due(clock.now);
    }
    // The controller answers this kind of event with these actions, once.
    template <class E>
    void on(std::function<std::vector<Action>(const E&)> what) {
        script->then = [what](const Event& e, std::vector<Action>& out) {
            if (const E* mine = std::get_if<E>(&e))
                out = what(*mine);
        };
    }
    void act(std::vector<Action> actions) {  // lets the controller do this, on a timer of its own
        on<cressledge::policy::RequestArrived>([](const auto& r) {
            return std::vector<Action>{cressledge::policy::Reject{r.id, Duration(0), false},
                                       cressledge::policy::ScheduleTimer{Duration(0), 9}};
        });
        arrive();
        answers.pop_back();
        advance(Duration(1));
        on<cressledge::policy::TimerFired>([actions](const auto&) { return actions; });
        server.gauges_received(tag, {});
        script->then = nullptr;
    }
};

TEST_CASE("a number names its slot only as long as the slot is its own") {
    base::SlotMap<int> slots;
    const auto a = slots.add(std::make_unique<int>(1));
    slots.erase(a);
    const auto b = slots.add(std::make_unique<int>(2));
    CHECK(slots.find(a) == nullptr);
    CHECK(*slots.find(b) == 2);
    slots.erase(a);
    CHECK(slots.size() == 1);
}

TEST_CASE("deadlines run in order, and none that a deadline sets runs in the same turn") {
    base::TimerQueue d;
    std::string order;
    d.schedule(Timestamp(20), [&] { order += 'b'; });
    auto gone = d.schedule(Timestamp(15), [&] { order += 'x'; });
    d.schedule(Timestamp(10), [&] {
        order += 'a';
        d.schedule(Timestamp(0), [&] { order += 'c'; });
    });
    d.cancel(gone);
    d.run_due(Timestamp(30));
    CHECK(order == "ab");
    d.run_due(Timestamp(30));
    CHECK(order == "abc");
}

TEST_CASE("an answer goes out once, and a request that ran is never refused") {
    Bench b;
    b.on<cressledge::policy::RequestArrived>(
        [](const auto& r) { return std::vector<Action>{cressledge::policy::Run{r.id}}; });
    const auto no = b.arrive();
    CHECK(b.script->last<cressledge::policy::RequestArrived>().age == Duration(5000));
    b.act({cressledge::policy::Reject{no, Duration(0), true}});
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].first == ResponseStatus::deadline_exceeded);
    b.server.run_finished(no, RunResult::succeeded, "late");
    CHECK(b.answers.size() == 1);
    CHECK(b.script->last<cressledge::policy::RunFinished>().outcome == Outcome::ok);
    CHECK(b.server.unanswered_count() == 0);
}

TEST_CASE("a write makes a second call only when the first one provably never ran") {
    for (const auto& [outcome, calls] : {std::pair{Outcome::rejected, 2U},
                                         {Outcome::connect_failed, 2U},
                                         {Outcome::error, 1U},
                                         {Outcome::timeout, 1U},
                                         {Outcome::reset, 1U}}) {
        Bench b;
        b.on<cressledge::policy::RequestArrived>(
            [](const auto& r) { return std::vector<Action>{cressledge::policy::Run{r.id}}; });
        const auto no = b.arrive(2);
        b.on<cressledge::policy::DependencyCallRequested>([](const auto& n) {
            return std::vector<Action>{cressledge::policy::CallDependency{n.id, Duration(0)}};
        });
        b.server.dependency_call_requested(no, 1, "pay");
        int asked = 0;
        b.on<cressledge::policy::DependencyCallFinished>([&](const auto& k) {
            return ++asked == 1 ? std::vector<Action>{cressledge::policy::CallDependency{k.id, Duration(0)}}
                                : std::vector<Action>();
        });
        b.server.dependency_call_finished(no, outcome, {});
        CHECK(b.times("call pay") == calls);
    }
}

TEST_CASE("a call that outlasts its deadline is given up and told as timed out") {
    Bench b;
    b.on<cressledge::policy::RequestArrived>(
        [](const auto& r) { return std::vector<Action>{cressledge::policy::Run{r.id}}; });
    const auto no = b.arrive();
    b.on<cressledge::policy::DependencyCallRequested>([](const auto& n) {
        return std::vector<Action>{cressledge::policy::CallDependency{n.id, Duration(50'000)}};
    });
    b.server.dependency_call_requested(no, 1, "q");
    b.advance(Duration(49'000));
    CHECK(b.times("abandon") == 0);
    b.advance(Duration(1'000));
    CHECK(b.times("abandon") == 1);
    CHECK(b.script->last<cressledge::policy::DependencyCallFinished>().outcome == Outcome::timeout);
    b.server.dependency_call_finished(no, Outcome::ok, "too late");
    CHECK(b.script->count<cressledge::policy::DependencyCallFinished>() == 1);
}

TEST_CASE("paused is not over") {
    auto s = test_settings();
    s.preemption = cressledge::policy::Preemption::pause;
    Bench b(s);
    b.on<cressledge::policy::RequestArrived>(
        [](const auto& r) { return std::vector<Action>{cressledge::policy::Run{r.id}}; });
    const auto no = b.arrive();
    b.act({cressledge::policy::Suspend{no}});
    b.server.run_finished(no, RunResult::killed, {});
    CHECK(b.answers.empty());
    b.act({cressledge::policy::Run{no}});
    CHECK(b.times("resume") == 1);
    b.server.run_finished(no, RunResult::succeeded, "all of it");
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].second == "all of it");
}

TEST_CASE("a request that came to nothing is still answered") {
    Bench b;
    b.on<cressledge::policy::RequestArrived>(
        [](const auto& r) { return std::vector<Action>{cressledge::policy::Run{r.id}}; });
    const auto no = b.arrive();
    b.server.run_finished(no, RunResult::noop, {});
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].first == ResponseStatus::failed);
    CHECK(b.times("release") == 1);
}

TEST_CASE("each wake gets one timer, never early, without gauges if the executor is silent") {
    Bench b;
    b.on<cressledge::policy::RequestArrived>([](const auto& r) {
        return std::vector<Action>{cressledge::policy::Reject{r.id, Duration(0), false},
                                   cressledge::policy::ScheduleTimer{Duration(10'000), 7}};
    });
    b.arrive();
    b.advance(Duration(9'999));
    CHECK(b.tag == 0);
    b.advance(Duration(1));
    REQUIRE(b.tag != 0);
    CHECK(b.script->count<cressledge::policy::TimerFired>() == 0);  // waits for fresh gauges
    b.advance(Duration(15'000));
    CHECK(b.script->count<cressledge::policy::TimerFired>() == 1);
    b.server.gauges_received(b.tag, {});  // too late: it has had its timer
    CHECK(b.script->count<cressledge::policy::TimerFired>() == 1);
}

TEST_CASE("the controller's clock stands still when the Unix clock is set back") {
    Bench b;
    b.arrive();
    b.clock.now -= Duration(60'000'000);
    b.arrive();
    REQUIRE(b.script->times.size() == 3);
    CHECK(b.script->times[2] == b.script->times[1]);
}

TEST_CASE("what may run once is refused, never run, where no key can be remembered any more") {
    auto s = test_settings();
    s.classes[2].idempotency = cressledge::policy::Idempotency::with_key;
    Bench b(s);
    b.on<cressledge::policy::RequestArrived>([](const auto& r) {
        return std::vector<Action>{cressledge::policy::RetainKey{r.id, Duration(5'000'000)},
                                   cressledge::policy::Run{r.id}};
    });
    for (std::size_t n = 0; n < 65'536; ++n)
        b.server.run_finished(b.arrive(2, "k" + std::to_string(n)), RunResult::succeeded, "");
    const std::size_t runs = b.did.size();
    b.answers.clear();
    CHECK(b.arrive(2, "one more") == 0);
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].first == ResponseStatus::rejected);
    CHECK(b.did.size() == runs);
    CHECK(b.arrive(0, "a read") != 0);  // what needs no memory of it goes on
    CHECK(b.arrive(2, "k7") != 0);  // and so does what is known
    b.advance(Duration(20'000'000));
    CHECK(b.arrive(2, "one more") != 0);
}

TEST_CASE("a kept read shares its result, and what shared it ends with it") {
    auto s = test_settings();
    s.result_ttl = Duration(1'000'000);
    Bench b(s);
    b.on<cressledge::policy::RequestArrived>([](const auto& r) {
        if (r.repeated_id != 0)
            return std::vector<Action>{cressledge::policy::ReplayResult{r.id}};
        return std::vector<Action>{cressledge::policy::RetainKey{r.id, Duration(5'000'000)},
                                   cressledge::policy::Run{r.id}};
    });
    const auto first = b.arrive(0, "k");
    b.arrive(0, "k");
    CHECK(b.times("run r0") + b.times("run r1") == 1);
    b.server.run_finished(first, RunResult::succeeded, "map");
    REQUIRE(b.answers.size() == 2);
    CHECK(b.answers[1] == std::pair(ResponseStatus::served, std::string("map")));
    b.arrive(0, "k");  // ended well a moment ago: answered from the result
    CHECK(b.answers.size() == 3);
    b.advance(Duration(1'000'001));
    b.arrive(0, "k");  // no longer fresh
    CHECK(b.answers.size() == 3);
}

TEST_CASE("a caller that leaves ends what is held, and stays with what runs until that is over") {
    Bench b;
    const auto held = b.arrive();
    b.server.cancel(held);
    CHECK(b.times("release") == 1);
    b.on<cressledge::policy::RequestArrived>(
        [](const auto& r) { return std::vector<Action>{cressledge::policy::Run{r.id}}; });
    const auto running = b.arrive();
    b.server.cancel(running);
    CHECK(b.times("release") == 1);
    b.server.run_finished(running, RunResult::succeeded, "nobody reads it");
    CHECK(b.times("release") == 2);
    CHECK(b.answers.empty());
}

}  // namespace
