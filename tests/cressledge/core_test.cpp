// The core without a wire: a scripted controller, executor and records client, and a clock set by hand.
#include "core/server.hpp"
#include "support.hpp"

namespace {

using namespace story;
using core::End, core::Verdict;
using curlewreel::Action, curlewreel::Event, curlewreel::Outcome;

struct Script final : curlewreel::Controller {
    std::vector<Event> seen;
    std::vector<Time> times;
    std::function<void(const Event&, std::vector<Action>&)> then;
    void handle(Time now, const Event& e, std::vector<Action>& out) override {
        seen.push_back(e);
        times.push_back(now);
        if (then) then(e, out);
    }
    template <class T>
    std::size_t count() const {
        std::size_t n = 0;
        for (const Event& e : seen) n += std::holds_alternative<T>(e);
        return n;
    }
    template <class T>
    T last() const {
        REQUIRE(count<T>() > 0);
        T found;
        for (const Event& e : seen)
            if (const T* t = std::get_if<T>(&e)) found = *t;
        return found;
    }
};

struct Bench : core::Responder, core::Executor, core::Records, core::Surroundings {
    ManualClock clock;
    core::Deadlines deadlines;
    Script* script = new Script;
    core::Server server;
    std::vector<std::string> did;  // by executor and records client, in order
    std::vector<std::pair<Verdict, std::string>> answers;
    bool gauges = true;
    std::uint64_t tag = 0;

    explicit Bench(curlewreel::Settings s = settings())
        : server(std::move(s), std::unique_ptr<curlewreel::Controller>(script), clock, deadlines) {
        server.attach(*this, *this, *this);
        server.start(clock.now);
    }
    void answer(std::uint64_t, const core::Answer& a) override { answers.emplace_back(a.verdict, a.body); }
    void run(const core::Work& w) override { did.push_back("run " + std::string(w.name)); }
    void halt(core::RequestNo) override { did.push_back("halt"); }
    void resume(core::RequestNo) override { did.push_back("resume"); }
    void feed(core::RequestNo, std::string_view r) override { did.push_back("feed " + std::string(r)); }
    void skip(core::RequestNo, std::uint64_t n) override { did.push_back("skip " + std::to_string(n)); }
    bool sample(std::uint64_t t) override { return tag = t, gauges; }
    bool test(std::uint64_t t) override { return tag = t, true; }
    void release(core::RequestNo) override { did.push_back("release"); }
    void call(core::RequestNo, std::string_view, std::string_view b, Time) override {
        did.push_back("call " + std::string(b));
    }
    void abandon(core::RequestNo) override { did.push_back("abandon"); }
    void idle_limit(Span) override {}

    core::RequestNo arrive(std::size_t kind = 0, const std::string& key = "") {
        core::Arrival a;
        a.name = "r" + std::to_string(server.counts().read);
        a.kind = kind;
        a.key = key;
        a.held_kb = 10;
        a.accepted = clock.now - Span(5000);
        return server.arrive(std::move(a), *this, 1);
    }
    std::size_t times(const std::string& what) const {
        return static_cast<std::size_t>(std::count(did.begin(), did.end(), what));
    }
    void advance(Span by) {
        clock.now += by;
        deadlines.run(clock.now);
    }
    // The controller answers this kind of event with these actions, once.
    template <class E>
    void on(std::function<std::vector<Action>(const E&)> what) {
        script->then = [what](const Event& e, std::vector<Action>& out) {
            if (const E* mine = std::get_if<E>(&e)) out = what(*mine);
        };
    }
    void act(std::vector<Action> actions) {  // lets the controller do this, on a timer of its own
        on<curlewreel::Request>([](const auto& r) {
            return std::vector<Action>{curlewreel::Refuse{r.id, Span(0), false},
                                       curlewreel::Wake{Span(0), 9}};
        });
        arrive();
        answers.pop_back();
        advance(Span(1));
        on<curlewreel::Timer>([actions](const auto&) { return actions; });
        server.sampled(tag, {});
        script->then = nullptr;
    }
};

TEST_CASE("a number names its slot only as long as the slot is its own") {
    core::Slots<int> slots;
    const auto a = slots.add(std::make_unique<int>(1));
    slots.erase(a);
    const auto b = slots.add(std::make_unique<int>(2));
    CHECK(slots.find(a) == nullptr);
    CHECK(*slots.find(b) == 2);
    slots.erase(a);
    CHECK(slots.size() == 1);
}

TEST_CASE("deadlines run in order, and none that a deadline sets runs in the same turn") {
    core::Deadlines d;
    std::string order;
    d.at(Time(20), [&] { order += 'b'; });
    auto gone = d.at(Time(15), [&] { order += 'x'; });
    d.at(Time(10), [&] {
        order += 'a';
        d.at(Time(0), [&] { order += 'c'; });
    });
    d.cancel(gone);
    d.run(Time(30));
    CHECK(order == "ab");
    d.run(Time(30));
    CHECK(order == "abc");
}

TEST_CASE("an answer goes out once, and a request that ran is never refused") {
    Bench b;
    b.on<curlewreel::Request>([](const auto& r) { return std::vector<Action>{curlewreel::Run{r.id}}; });
    const auto no = b.arrive();
    CHECK(b.script->last<curlewreel::Request>().age == Span(5000));
    b.act({curlewreel::Refuse{no, Span(0), true}});
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].first == Verdict::out_of_time);
    b.server.ended(no, End::pass, "late");
    CHECK(b.answers.size() == 1);
    CHECK(b.script->last<curlewreel::Finished>().outcome == Outcome::ok);
    CHECK(b.server.unanswered() == 0);
}

TEST_CASE("a write makes a second call only when the first one provably never ran") {
    for (const auto& [outcome, calls] : {std::pair{Outcome::full, 2U},
                                         {Outcome::connect_failed, 2U},
                                         {Outcome::error, 1U},
                                         {Outcome::timeout, 1U},
                                         {Outcome::reset, 1U}}) {
        Bench b;
        b.on<curlewreel::Request>([](const auto& r) { return std::vector<Action>{curlewreel::Run{r.id}}; });
        const auto no = b.arrive(2);
        b.on<curlewreel::Needs>([](const auto& n) {
            return std::vector<Action>{curlewreel::Call{n.id, Span(0)}};
        });
        b.server.needs(no, 1, "pay");
        int asked = 0;
        b.on<curlewreel::Called>([&](const auto& k) {
            return ++asked == 1 ? std::vector<Action>{curlewreel::Call{k.id, Span(0)}}
                                : std::vector<Action>();
        });
        b.server.called(no, outcome, {});
        CHECK(b.times("call pay") == calls);
    }
}

TEST_CASE("a call that outlasts its deadline is given up and told as timed out") {
    Bench b;
    b.on<curlewreel::Request>([](const auto& r) { return std::vector<Action>{curlewreel::Run{r.id}}; });
    const auto no = b.arrive();
    b.on<curlewreel::Needs>([](const auto& n) {
        return std::vector<Action>{curlewreel::Call{n.id, Span(50'000)}};
    });
    b.server.needs(no, 1, "q");
    b.advance(Span(49'000));
    CHECK(b.times("abandon") == 0);
    b.advance(Span(1'000));
    CHECK(b.times("abandon") == 1);
    CHECK(b.script->last<curlewreel::Called>().outcome == Outcome::timeout);
    b.server.called(no, Outcome::ok, "too late");
    CHECK(b.script->count<curlewreel::Called>() == 1);
}

TEST_CASE("paused is not over") {
    auto s = settings();
    s.stop = curlewreel::Stop::pause;
    Bench b(s);
    b.on<curlewreel::Request>([](const auto& r) { return std::vector<Action>{curlewreel::Run{r.id}}; });
    const auto no = b.arrive();
    b.act({curlewreel::Halt{no}});
    b.server.ended(no, End::killed, {});
    CHECK(b.answers.empty());
    b.act({curlewreel::Run{no}});
    CHECK(b.times("resume") == 1);
    b.server.ended(no, End::pass, "all of it");
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].second == "all of it");
}

TEST_CASE("a request that came to nothing is still answered") {
    Bench b;
    b.on<curlewreel::Request>([](const auto& r) { return std::vector<Action>{curlewreel::Run{r.id}}; });
    const auto no = b.arrive();
    b.server.ended(no, End::noop, {});
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].first == Verdict::failed);
    CHECK(b.times("release") == 1);
}

TEST_CASE("each wake gets one timer, never early, without gauges if the executor is silent") {
    Bench b;
    b.on<curlewreel::Request>([](const auto& r) {
        return std::vector<Action>{curlewreel::Refuse{r.id, Span(0), false},
                                   curlewreel::Wake{Span(10'000), 7}};
    });
    b.arrive();
    b.advance(Span(9'999));
    CHECK(b.tag == 0);
    b.advance(Span(1));
    REQUIRE(b.tag != 0);
    CHECK(b.script->count<curlewreel::Timer>() == 0);  // waits for fresh gauges
    b.advance(Span(15'000));
    CHECK(b.script->count<curlewreel::Timer>() == 1);
    b.server.sampled(b.tag, {});  // too late: it has had its timer
    CHECK(b.script->count<curlewreel::Timer>() == 1);
}

TEST_CASE("the controller's clock stands still when the Unix clock is set back") {
    Bench b;
    b.arrive();
    b.clock.now -= Span(60'000'000);
    b.arrive();
    REQUIRE(b.script->times.size() == 3);
    CHECK(b.script->times[2] == b.script->times[1]);
}

TEST_CASE("what may run once is refused, never run, where no key can be remembered any more") {
    auto s = settings();
    s.classes[2].effect = curlewreel::Effect::keyed;
    Bench b(s);
    b.on<curlewreel::Request>([](const auto& r) {
        return std::vector<Action>{curlewreel::Keep{r.id, Span(5'000'000)}, curlewreel::Run{r.id}};
    });
    for (std::size_t n = 0; n < 65'536; ++n) b.server.ended(b.arrive(2, "k" + std::to_string(n)), End::pass, "");
    const std::size_t runs = b.did.size();
    b.answers.clear();
    CHECK(b.arrive(2, "one more") == 0);
    REQUIRE(b.answers.size() == 1);
    CHECK(b.answers[0].first == Verdict::refused);
    CHECK(b.did.size() == runs);
    CHECK(b.arrive(0, "a read") != 0);  // what needs no memory of it goes on
    CHECK(b.arrive(2, "k7") != 0);  // and so does what is known
    b.advance(Span(20'000'000));
    CHECK(b.arrive(2, "one more") != 0);
}

TEST_CASE("a kept read shares its result, and what shared it ends with it") {
    auto s = settings();
    s.fresh = Span(1'000'000);
    Bench b(s);
    b.on<curlewreel::Request>([](const auto& r) {
        if (r.repeats != 0) return std::vector<Action>{curlewreel::Reuse{r.id}};
        return std::vector<Action>{curlewreel::Keep{r.id, Span(5'000'000)}, curlewreel::Run{r.id}};
    });
    const auto first = b.arrive(0, "k");
    b.arrive(0, "k");
    CHECK(b.times("run r0") + b.times("run r1") == 1);
    b.server.ended(first, End::pass, "map");
    REQUIRE(b.answers.size() == 2);
    CHECK(b.answers[1] == std::pair(Verdict::served, std::string("map")));
    b.arrive(0, "k");  // ended well a moment ago: answered from the result
    CHECK(b.answers.size() == 3);
    b.advance(Span(1'000'001));
    b.arrive(0, "k");  // no longer fresh
    CHECK(b.answers.size() == 3);
}

TEST_CASE("a caller that leaves ends what is held, and stays with what runs until that is over") {
    Bench b;
    const auto held = b.arrive();
    b.server.gone(held);
    CHECK(b.times("release") == 1);
    b.on<curlewreel::Request>([](const auto& r) { return std::vector<Action>{curlewreel::Run{r.id}}; });
    const auto running = b.arrive();
    b.server.gone(running);
    CHECK(b.times("release") == 1);
    b.server.ended(running, End::pass, "nobody reads it");
    CHECK(b.times("release") == 2);
    CHECK(b.answers.empty());
}

}  // namespace
