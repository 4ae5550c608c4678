// Seeded random runs against a plain model of one server: the contract is checked after every call.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "policy/admission_controller.hpp"

namespace {

using namespace cressledge::policy;
using namespace std::chrono_literals;

enum class Phase { queued, running, awaiting_call, in_call, awaiting_result, finished };

struct ServerModel {
    struct RequestEntry {
        std::size_t class_index = 0;
        Phase phase = Phase::queued;
        Timestamp arrived_at{0}, deadline{0};
        double memory_kb = 0.0;
        std::uint64_t idempotency_key = 0;
        RequestId original_id = 0;
        int answers = 0;
        bool is_cancelled = false, has_run = false, made_call = false, may_have_called = false;
    };

    ServerModel(Settings initial_settings, unsigned seed)
        : settings(std::move(initial_settings)),
          generator(seed),
          controller(make_admission_controller(settings, seed)) {
        send(Started{});
    }

    double random_unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(generator); }
    RequestClass& class_of(const RequestEntry& e) { return settings.classes[e.class_index]; }

    double memory_kb() const {
        double total_kb = static_cast<double>(retained_keys.size()) * settings.idempotency_key_kb;
        for (const auto& [id, e] : entries)
            if (e.phase != Phase::finished)
                total_kb += e.memory_kb * (e.phase == Phase::queued || e.phase == Phase::awaiting_result
                                               ? 1.0
                                               : std::max(1.0, settings.running_memory_factor));
        return total_kb;
    }

    void send(const Event& event) {
        std::vector<Action> actions;
        controller->handle(now, event, actions);
        for (const Action& a : actions)
            std::visit([this](const auto& x) { apply(x); }, a);
        check();
    }
    void check() {
        ASSERT_LE(memory_kb(), settings.memory_kb);
        double running = 0.0;
        for (const auto& [id, e] : entries)
            running += e.phase == Phase::running;
        ASSERT_LE(running, max_running() + 1e-9) << "too many on the cores";
    }
    double max_running() const {
        const double speed =
            settings.cold_start
                ? std::min(1.0, settings.cold_start_speed +
                                    (1.0 - settings.cold_start_speed) *
                                        std::chrono::duration<double>(now - started_at).count() /
                                        std::chrono::duration<double>(settings.warm_up_duration).count())
                : 1.0;
        return (1.0 + (settings.max_runnable_per_core - 1.0) * speed) * settings.cores;
    }

    // -- actions --
    RequestEntry& entry(RequestId id) {
        EXPECT_EQ(entries.count(id), 1U) << "an id that was never given: " << id;
        return entries[id];
    }
    void answer(RequestEntry& e) {
        EXPECT_EQ(e.answers, 0) << "a second final answer";
        ++e.answers;
    }
    void apply(const Run& a) {
        RequestEntry& e = entry(a.id);
        ASSERT_EQ(e.phase, Phase::queued);
        if (class_of(e).idempotency != Idempotency::always) {
            EXPECT_FALSE(e.has_run) << "run again";
            EXPECT_EQ(e.answers, 0);
            const auto last = last_run_by_key.find(e.idempotency_key);
            if (e.idempotency_key != 0 && last != last_run_by_key.end()) {
                EXPECT_GT(e.arrived_at - last->second, class_of(e).idempotency_window)
                    << "a second effect within the window";
            }
            if (e.idempotency_key != 0)
                last_run_by_key[e.idempotency_key] = e.arrived_at;
        }
        if (is_draining) {
            EXPECT_LE(e.arrived_at, drain_started_at + settings.drain_grace)
                << "run though it came after the grace";
        }
        e.has_run = true;
        e.phase = Phase::running;
        ++run_count;
    }
    void apply(const Reject& a) {
        RequestEntry& e = entry(a.id);
        if (e.phase == Phase::finished)
            return;
        EXPECT_EQ(e.phase, Phase::queued);
        EXPECT_FALSE(e.has_run && class_of(e).idempotency != Idempotency::always) << "rejected after it ran";
        EXPECT_LE(a.retry_after, settings.max_retry_after);
        answer(e);
        e.phase = Phase::finished;
        ++rejected_count;
    }
    void apply(const Fail& a) {
        RequestEntry& e = entry(a.id);
        if (e.phase == Phase::finished)
            return;
        answer(e);
        if (e.phase == Phase::queued || e.phase == Phase::awaiting_result)
            e.phase = Phase::finished;
        if (e.phase == Phase::awaiting_call || e.phase == Phase::in_call)
            pending_results.push_back({a.id, Outcome::cancelled});
    }
    void apply(const Suspend& a) {
        ASSERT_NE(settings.preemption, Preemption::none);
        RequestEntry& e = entry(a.id);
        if (e.phase != Phase::running || (settings.preemption == Preemption::pause && random_unit() < 0.3))
            return;  // it waits for a disk
        ASSERT_TRUE(e.answers == 1 || e.is_cancelled) << "stopped work is owed an answer";
        pending_results.push_back({a.id, Outcome::cancelled});
    }
    void apply(const CallDependency& a) {
        RequestEntry& e = entry(a.id);
        ASSERT_EQ(e.phase, Phase::awaiting_call);
        EXPECT_FALSE(e.may_have_called && class_of(e).idempotency != Idempotency::always)
            << "a call repeated that may have run";
        e.phase = Phase::in_call;
    }
    void apply(const SkipDependencyCall& a) {
        RequestEntry& e = entry(a.id);
        ASSERT_EQ(e.phase, Phase::awaiting_call);
        EXPECT_GT(class_of(e).skipped_call_weight, 0.0);
        e.phase = Phase::running;
    }
    void apply(const RetainKey& a) {
        RequestEntry& e = entry(a.id);
        if (class_of(e).idempotency == Idempotency::with_key)
            retained_keys[e.idempotency_key] = {a.id, now + a.duration};
    }
    void apply(const ReleaseKey& a) {
        const auto it = retained_keys.find(entry(a.id).idempotency_key);
        if (it != retained_keys.end() && it->second.first == a.id)
            retained_keys.erase(it);
    }
    void apply(const ReplayResult& a) {
        RequestEntry& e = entry(a.id);
        ASSERT_EQ(e.phase, Phase::queued);
        ASSERT_NE(e.original_id, 0U);
        e.phase = Phase::awaiting_result;
        ++replayed_count;
    }
    void apply(const ScheduleTimer& a) { timers.insert({now + a.delay, a.token}); }
    template <class Other>
    void apply(const Other&) {}

    // -- events --
    void finish(RequestId id, Outcome outcome) {
        RequestEntry& e = entries[id];
        if (e.phase == Phase::finished)
            return;
        if (outcome != Outcome::cancelled && e.answers == 0 && !e.is_cancelled)
            ++e.answers;
        e.phase = Phase::finished;
        send(RunFinished{id, outcome});
    }
    void arrive() {
        RequestArrived r;
        r.id = ++last_id;
        r.class_index =
            static_cast<std::size_t>(random_unit() * static_cast<double>(settings.classes.size()));
        r.reserved_kb = 5.0 + 30.0 * random_unit();
        r.age = Duration(static_cast<long>(random_unit() * 60'000));
        r.is_retry = random_unit() < 0.2;
        r.expected_work_seconds = random_unit() < 0.1 ? -1.0 : random_unit() < 0.1 ? 1e9 : random_unit();
        RequestEntry e{r.class_index, Phase::queued, now - r.age, Timestamp(0), r.reserved_kb};
        const RequestClass& c = settings.classes[r.class_index];
        e.deadline = std::max(now, e.arrived_at + c.answer_deadline);
        if (random_unit() < 0.5)
            r.caller_deadline = e.deadline = now + Duration(static_cast<long>(random_unit() * 3'000'000));
        if (c.idempotency == Idempotency::with_key) {
            e.idempotency_key = ++last_key;
            auto it = retained_keys.begin();
            if (!retained_keys.empty())
                std::advance(it,
                             static_cast<long>(random_unit() * static_cast<double>(retained_keys.size())));
            if (it != retained_keys.end() && it->second.second > e.arrived_at &&
                random_unit() < 0.5) {  // a retry
                e.idempotency_key = it->first;
                r.repeated_id = e.original_id = it->second.first;
            }
        }
        entries[r.id] = e;
        send(r);
    }
    void step() {
        now += Duration(static_cast<long>(
            random_unit() * (random_unit() < 0.01 ? 400'000 : 12'000)));  // at times a standstill
        for (auto it = retained_keys.begin(); it != retained_keys.end();)
            it = it->second.second <= now ? retained_keys.erase(it) : ++it;
        while (!timers.empty() && timers.begin()->first <= now) {
            TimerFired t;
            t.token = timers.begin()->second;
            timers.erase(timers.begin());
            if (random_unit() < 0.8)
                t.gauges = {random_unit(), 6.0 * random_unit(), random_unit(), 120.0 * random_unit()};
            send(t);
        }
        for (const auto& [id, outcome] : std::exchange(pending_results, {}))
            finish(id, outcome);
        const int arrivals = random_unit() < 0.05 ? 25 : random_unit() < 0.25 ? 1 : 0;
        for (int i = 0; i < arrivals; ++i)
            arrive();
        std::vector<RequestId> open_ids;
        for (const auto& [id, e] : entries)
            if (e.phase != Phase::finished)
                open_ids.push_back(id);
        for (const RequestId id : open_ids) {
            RequestEntry& e = entries[id];
            if (e.phase == Phase::finished || random_unit() > 0.03)
                continue;
            if (e.phase == Phase::running && class_of(e).calls_dependency && !e.made_call) {
                e.made_call = true;
                if (e.answers > 0 || e.is_cancelled) {  // it ends at its call, as nobody waits for it
                    finish(id, Outcome::cancelled);
                    continue;
                }
                e.phase = Phase::awaiting_call;
                send(DependencyCallRequested{id});
            } else if (e.phase == Phase::running || (e.phase == Phase::awaiting_result &&
                                                     entries[e.original_id].phase == Phase::finished)) {
                finish(id, random_unit() < 0.1 ? Outcome::error : Outcome::ok);
            } else if (e.phase == Phase::in_call) {
                const double x = random_unit();
                const Outcome o = x < 0.6 ? Outcome::ok : x < 0.8 ? Outcome::rejected : Outcome::timeout;
                e.may_have_called = e.may_have_called || o == Outcome::timeout;
                e.phase = o == Outcome::ok ? Phase::running : Phase::awaiting_call;
                send(DependencyCallFinished{id, o, 30ms});
            } else if (random_unit() < 0.1) {
                e.is_cancelled = true;
                if (e.phase == Phase::queued || e.phase == Phase::awaiting_result)
                    e.phase = Phase::finished;
                if (e.phase == Phase::awaiting_call || e.phase == Phase::in_call)
                    pending_results.push_back({id, Outcome::cancelled});
                send(Cancelled{id});
            }
        }
        for (auto it = entries.begin(); it != entries.end();) {
            const RequestEntry& e = it->second;
            if (e.answers == 0 && !e.is_cancelled) {
                ASSERT_GE(e.deadline + settings.answer_slack + Duration(12'000), now - max_pause())
                    << "unanswered past its due time";
            }
            it = e.phase == Phase::finished && now - e.arrived_at > 30s ? entries.erase(it) : ++it;
        }
    }
    Duration max_pause() const { return Duration(400'000); }  // no timer runs while the process stands still

    Settings settings;
    std::mt19937 generator;
    std::unique_ptr<AdmissionController> controller;
    std::map<RequestId, RequestEntry> entries;
    std::map<std::uint64_t, std::pair<RequestId, Timestamp>> retained_keys;
    std::map<std::uint64_t, Timestamp> last_run_by_key;
    std::multimap<Timestamp, std::uint32_t> timers;
    std::vector<std::pair<RequestId, Outcome>> pending_results;
    Timestamp now{1s}, started_at{1s}, drain_started_at{0};
    bool is_draining = false;
    RequestId last_id = 0;
    std::uint64_t last_key = 1000;
    long run_count = 0, rejected_count = 0, replayed_count = 0;
};

Settings test_settings(Preemption preemption, bool cold_start) {
    Settings settings;
    settings.classes.resize(3);
    settings.classes[0] = {"read", Idempotency::always, 1.0, 0.0, 1s, 3s, 0s, true, 0.5};
    settings.classes[1] = {"buy", Idempotency::with_key, 3.0, 0.0, 1s, 3s, 9s, false, 0.0};
    settings.classes[2] = {"enter", Idempotency::never, 5.0, 0.0, 1s, 4s, 0s, true, 0.0};
    settings.cores = 2;
    settings.memory_kb = 2500;
    settings.running_memory_factor = 16;
    settings.idempotency_key_kb = 6;
    settings.replica_count = 30;
    settings.caller_count = 200;
    settings.dependency = Dependency::shared_service;
    settings.dependency_call_quota = 6;
    settings.abandoned_call_grace = 200ms;
    settings.idle_timeout = 30s;
    settings.preemption = preemption;
    settings.load_advertisement = LoadAdvertisement::weight;
    settings.cold_start = cold_start;
    settings.cold_start_speed = 0.2;
    settings.warm_up_duration = 10s;
    settings.drain_grace = 1800ms;
    settings.max_runnable_per_core = 5;
    settings.runnable_window = 1500ms;
    settings.answer_slack = 60ms;
    settings.max_retry_after = 1s;
    return settings;
}

class RandomScheduleTest : public testing::TestWithParam<unsigned> {};

TEST_P(RandomScheduleTest, KeepsTheContractOfAPlainModel) {
    const unsigned seed = GetParam();
    ServerModel model(test_settings(seed % 2 == 0 ? Preemption::pause : Preemption::discard, seed % 3 == 0),
                      seed);
    for (int i = 0; i < 3000 && !testing::Test::HasFatalFailure(); ++i)
        model.step();
    model.is_draining = true;
    model.drain_started_at = model.now;
    const Timestamp deadline =
        model.now + (seed % 2 == 0 ? 4s : 1s);  // the notice may be shorter than the grace
    model.send(DrainStarted{deadline});
    if (seed % 3 == 1)
        model.send(DrainStarted{deadline});  // and may come twice
    while (model.now < deadline - 450ms && !testing::Test::HasFatalFailure())
        model.step();
    for (; model.now < deadline - 20ms; model.now += 10ms) {
        while (!model.timers.empty() && model.timers.begin()->first <= model.now) {
            TimerFired t;
            t.token = model.timers.begin()->second;
            model.timers.erase(model.timers.begin());
            model.send(t);
        }
    }
    for (const auto& [id, e] : model.entries)
        if (!e.is_cancelled) {
            EXPECT_EQ(e.answers, 1) << "unanswered at the deadline: " << id;
        }
    EXPECT_GT(model.run_count, 100);
    EXPECT_GT(model.rejected_count, 300);
    EXPECT_GT(model.replayed_count, 10);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomScheduleTest, testing::Range(1U, 7U));

}  // namespace
