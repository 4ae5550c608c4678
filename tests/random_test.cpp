// Seeded random runs against a plain model of one server: the four rules are checked after every call.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "control.hpp"

namespace {

using namespace curlewreel;
using namespace std::chrono_literals;

enum class At { held, running, waiting, calling, reusing, over };

struct Model {
    struct Entry {
        std::size_t kind = 0;
        At at = At::held;
        Time arrived{0}, due{0};
        double kb = 0.0;
        std::uint64_t key = 0;
        Id repeats = 0;
        int answers = 0;
        bool gone = false, ran = false, calls_done = false, unsure = false;
    };

    Model(Settings settings, unsigned seed)
        : s(std::move(settings)), dice(seed), control(make_controller(s, seed)) {
        send(Started{});
    }

    double roll() { return std::uniform_real_distribution<double>(0.0, 1.0)(dice); }
    Class& kind(const Entry& e) { return s.classes[e.kind]; }

    double memory() const {
        double kb = static_cast<double>(table.size()) * s.key_kb;
        for (const auto& [id, e] : all)
            if (e.at != At::over)
                kb += e.kb * (e.at == At::held || e.at == At::reusing ? 1.0 : std::max(1.0, s.run_factor));
        return kb;
    }

    void send(const Event& event) {
        std::vector<Action> actions;
        control->handle(now, event, actions);
        for (const Action& a : actions) std::visit([this](const auto& x) { apply(x); }, a);
        check();
    }
    void check() {
        ASSERT_LE(memory(), s.memory_kb);
        double running = 0.0;
        for (const auto& [id, e] : all) running += e.at == At::running;
        ASSERT_LE(running, bound() + 1e-9) << "crowd on the cores";
    }
    double bound() const {
        const double part =
            s.cold ? std::min(1.0, s.cold_from + (1.0 - s.cold_from) *
                                                     std::chrono::duration<double>(now - born).count() /
                                                     std::chrono::duration<double>(s.cold_for).count())
                   : 1.0;
        return (1.0 + (s.crowd - 1.0) * part) * s.cores;
    }

    // -- actions --
    Entry& get(Id id) {
        EXPECT_EQ(all.count(id), 1U) << "an id that was never given: " << id;
        return all[id];
    }
    void answer(Entry& e) {
        EXPECT_EQ(e.answers, 0) << "a second final answer";
        ++e.answers;
    }
    void apply(const Run& a) {
        Entry& e = get(a.id);
        ASSERT_EQ(e.at, At::held);
        if (kind(e).effect != Effect::safe) {
            EXPECT_FALSE(e.ran) << "run again";
            EXPECT_EQ(e.answers, 0);
            const auto last = runs.find(e.key);
            if (e.key != 0 && last != runs.end()) {
                EXPECT_GT(e.arrived - last->second, kind(e).window) << "a second effect within the window";
            }
            if (e.key != 0) runs[e.key] = e.arrived;
        }
        if (draining) {
            EXPECT_LE(e.arrived, drained + s.drain_grace) << "run though it came after the grace";
        }
        e.ran = true;
        e.at = At::running;
        ++begun;
    }
    void apply(const Refuse& a) {
        Entry& e = get(a.id);
        if (e.at == At::over) return;
        EXPECT_EQ(e.at, At::held);
        EXPECT_FALSE(e.ran && kind(e).effect != Effect::safe) << "turned away after it ran";
        EXPECT_LE(a.retry_after, s.max_retry_after);
        answer(e);
        e.at = At::over;
        ++refused;
    }
    void apply(const Fail& a) {
        Entry& e = get(a.id);
        if (e.at == At::over) return;
        answer(e);
        if (e.at == At::held || e.at == At::reusing) e.at = At::over;
        if (e.at == At::waiting || e.at == At::calling) ends.push_back({a.id, Outcome::cancelled});
    }
    void apply(const Halt& a) {
        ASSERT_NE(s.stop, Stop::none);
        Entry& e = get(a.id);
        if (e.at != At::running || (s.stop == Stop::pause && roll() < 0.3)) return;  // it waits for a disk
        ASSERT_TRUE(e.answers == 1 || e.gone) << "stopped work is owed an answer";
        ends.push_back({a.id, Outcome::cancelled});
    }
    void apply(const Call& a) {
        Entry& e = get(a.id);
        ASSERT_EQ(e.at, At::waiting);
        EXPECT_FALSE(e.unsure && kind(e).effect != Effect::safe) << "a call repeated that may have run";
        e.at = At::calling;
    }
    void apply(const Skip& a) {
        Entry& e = get(a.id);
        ASSERT_EQ(e.at, At::waiting);
        EXPECT_GT(kind(e).skip_worth, 0.0);
        e.at = At::running;
    }
    void apply(const Keep& a) {
        Entry& e = get(a.id);
        if (kind(e).effect == Effect::keyed) table[e.key] = {a.id, now + a.span};
    }
    void apply(const Forget& a) {
        const auto it = table.find(get(a.id).key);
        if (it != table.end() && it->second.first == a.id) table.erase(it);
    }
    void apply(const Reuse& a) {
        Entry& e = get(a.id);
        ASSERT_EQ(e.at, At::held);
        ASSERT_NE(e.repeats, 0U);
        e.at = At::reusing;
        ++reused;
    }
    void apply(const Wake& a) { wakes.insert({now + a.delay, a.token}); }
    template <class Other>
    void apply(const Other&) {}

    // -- events --
    void finish(Id id, Outcome outcome) {
        Entry& e = all[id];
        if (e.at == At::over) return;
        if (outcome != Outcome::cancelled && e.answers == 0 && !e.gone) ++e.answers;
        e.at = At::over;
        send(Finished{id, outcome});
    }
    void arrive() {
        Request r;
        r.id = ++last_id;
        r.kind = static_cast<std::size_t>(roll() * static_cast<double>(s.classes.size()));
        r.held_kb = 5.0 + 30.0 * roll();
        r.age = Span(static_cast<long>(roll() * 60'000));
        r.retry = roll() < 0.2;
        r.hint = roll() < 0.1 ? -1.0 : roll() < 0.1 ? 1e9 : roll();
        Entry e{r.kind, At::held, now - r.age, Time(0), r.held_kb};
        const Class& c = s.classes[r.kind];
        e.due = std::max(now, e.arrived + c.deadline);
        if (roll() < 0.5) r.due = e.due = now + Span(static_cast<long>(roll() * 3'000'000));
        if (c.effect == Effect::keyed) {
            e.key = ++fresh_key;
            auto it = table.begin();
            if (!table.empty())
                std::advance(it, static_cast<long>(roll() * static_cast<double>(table.size())));
            if (it != table.end() && it->second.second > e.arrived && roll() < 0.5) {  // a further try
                e.key = it->first;
                r.repeats = e.repeats = it->second.first;
            }
        }
        all[r.id] = e;
        send(r);
    }
    void step() {
        now += Span(static_cast<long>(roll() * (roll() < 0.01 ? 400'000 : 12'000)));  // at times a standstill
        for (auto it = table.begin(); it != table.end();)
            it = it->second.second <= now ? table.erase(it) : ++it;
        while (!wakes.empty() && wakes.begin()->first <= now) {
            Timer t;
            t.token = wakes.begin()->second;
            wakes.erase(wakes.begin());
            if (roll() < 0.8) t.gauges = {roll(), 6.0 * roll(), roll(), 120.0 * roll()};
            send(t);
        }
        for (const auto& [id, outcome] : std::exchange(ends, {})) finish(id, outcome);
        const int come = roll() < 0.05 ? 25 : roll() < 0.25 ? 1 : 0;
        for (int i = 0; i < come; ++i) arrive();
        std::vector<Id> open;
        for (const auto& [id, e] : all)
            if (e.at != At::over) open.push_back(id);
        for (const Id id : open) {
            Entry& e = all[id];
            if (e.at == At::over || roll() > 0.03) continue;
            if (e.at == At::running && kind(e).calls && !e.calls_done) {
                e.calls_done = true;
                if (e.answers > 0 || e.gone) {  // it ends at its call, as nobody waits for it
                    finish(id, Outcome::cancelled);
                    continue;
                }
                e.at = At::waiting;
                send(Needs{id});
            } else if (e.at == At::running || (e.at == At::reusing && all[e.repeats].at == At::over)) {
                finish(id, roll() < 0.1 ? Outcome::error : Outcome::ok);
            } else if (e.at == At::calling) {
                const double x = roll();
                const Outcome o = x < 0.6 ? Outcome::ok : x < 0.8 ? Outcome::full : Outcome::timeout;
                e.unsure = e.unsure || o == Outcome::timeout;
                e.at = o == Outcome::ok ? At::running : At::waiting;
                send(Called{id, o, 30ms});
            } else if (roll() < 0.1) {
                e.gone = true;
                if (e.at == At::held || e.at == At::reusing) e.at = At::over;
                if (e.at == At::waiting || e.at == At::calling) ends.push_back({id, Outcome::cancelled});
                send(Gone{id});
            }
        }
        for (auto it = all.begin(); it != all.end();) {
            const Entry& e = it->second;
            if (e.answers == 0 && !e.gone) {
                ASSERT_GE(e.due + s.answer_slack + Span(12'000), now - stood())
                    << "unanswered past its due time";
            }
            it = e.at == At::over && now - e.arrived > 30s ? all.erase(it) : ++it;
        }
    }
    Span stood() const { return Span(400'000); }  // no timer runs while the process stands still

    Settings s;
    std::mt19937 dice;
    std::unique_ptr<Controller> control;
    std::map<Id, Entry> all;
    std::map<std::uint64_t, std::pair<Id, Time>> table;
    std::map<std::uint64_t, Time> runs;
    std::multimap<Time, std::uint32_t> wakes;
    std::vector<std::pair<Id, Outcome>> ends;
    Time now{1s}, born{1s}, drained{0};
    bool draining = false;
    Id last_id = 0;
    std::uint64_t fresh_key = 1000;
    long begun = 0, refused = 0, reused = 0;
};

Settings site(Stop stop, bool cold) {
    Settings s;
    s.classes.resize(3);
    s.classes[0] = {"read", Effect::safe, 1.0, 0.0, 1s, 3s, 0s, true, 0.5};
    s.classes[1] = {"buy", Effect::keyed, 3.0, 0.0, 1s, 3s, 9s, false, 0.0};
    s.classes[2] = {"enter", Effect::unsafe, 5.0, 0.0, 1s, 4s, 0s, true, 0.0};
    s.cores = 2;
    s.memory_kb = 2500;
    s.run_factor = 16;
    s.key_kb = 6;
    s.replicas = 30;
    s.callers = 200;
    s.below = Below::shared;
    s.calls_share = 6;
    s.linger = 200ms;
    s.idle = 30s;
    s.stop = stop;
    s.advert = Advert::weight;
    s.cold = cold;
    s.cold_from = 0.2;
    s.cold_for = 10s;
    s.drain_grace = 1800ms;
    s.crowd = 5;
    s.crowd_over = 1500ms;
    s.answer_slack = 60ms;
    s.max_retry_after = 1s;
    return s;
}

class Random : public testing::TestWithParam<unsigned> {};

TEST_P(Random, TheFourRulesHoldAgainstAPlainModel) {
    const unsigned seed = GetParam();
    Model m(site(seed % 2 == 0 ? Stop::pause : Stop::discard, seed % 3 == 0), seed);
    for (int i = 0; i < 3000 && !testing::Test::HasFatalFailure(); ++i) m.step();
    m.draining = true;
    m.drained = m.now;
    const Time stop = m.now + (seed % 2 == 0 ? 4s : 1s);  // the notice may be shorter than the grace
    m.send(Drain{stop});
    if (seed % 3 == 1) m.send(Drain{stop});  // and may come twice
    while (m.now < stop - 450ms && !testing::Test::HasFatalFailure()) m.step();
    for (; m.now < stop - 20ms; m.now += 10ms) {
        while (!m.wakes.empty() && m.wakes.begin()->first <= m.now) {
            Timer t;
            t.token = m.wakes.begin()->second;
            m.wakes.erase(m.wakes.begin());
            m.send(t);
        }
    }
    for (const auto& [id, e] : m.all)
        if (!e.gone) { EXPECT_EQ(e.answers, 1) << "unanswered at the stop: " << id; }
    EXPECT_GT(m.begun, 100);
    EXPECT_GT(m.refused, 300);
    EXPECT_GT(m.reused, 10);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Random, testing::Range(1U, 7U));

}  // namespace
