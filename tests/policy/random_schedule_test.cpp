// Random event schedules, by seed, against a simple model of one server. The model checks the contract of the
// admission controller after every call.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "policy/admission_controller.hpp"

namespace {

using namespace cressledge::policy;
using namespace std::chrono_literals;

enum class Phase { queued, running, awaiting_call, in_call, awaiting_result, finished };

/// A host of one controller that models the state of each request and checks the contract.
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
    RequestClass& class_of(const RequestEntry& entry) { return settings.classes[entry.class_index]; }

    double memory_kb() const {
        double total_kb = static_cast<double>(retained_keys.size()) * settings.idempotency_key_kb;
        for (const auto& [id, entry] : entries)
            if (entry.phase != Phase::finished)
                total_kb +=
                    entry.memory_kb * (entry.phase == Phase::queued || entry.phase == Phase::awaiting_result
                                           ? 1.0
                                           : std::max(1.0, settings.running_memory_factor));
        return total_kb;
    }

    void send(const Event& event) {
        std::vector<Action> actions;
        controller->handle(now, event, actions);
        for (const Action& action : actions)
            std::visit([this](const auto& typed_action) { apply(typed_action); }, action);
        check();
    }
    void check() {
        ASSERT_LE(memory_kb(), settings.memory_kb);
        double running = 0.0;
        for (const auto& [id, entry] : entries)
            running += entry.phase == Phase::running;
        ASSERT_LE(running, max_running() + 1e-9) << "too many running requests";
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

    // Actions.
    RequestEntry& entry_of(RequestId id) {
        EXPECT_EQ(entries.count(id), 1U) << "action for an unknown request id: " << id;
        return entries[id];
    }
    void answer(RequestEntry& entry) {
        EXPECT_EQ(entry.answers, 0) << "second final answer for one request";
        ++entry.answers;
    }
    void apply(const Run& action) {
        RequestEntry& entry = entry_of(action.id);
        ASSERT_EQ(entry.phase, Phase::queued);
        if (class_of(entry).idempotency != Idempotency::always) {
            EXPECT_FALSE(entry.has_run) << "a request that may run once was run again";
            EXPECT_EQ(entry.answers, 0);
            const auto last = last_run_by_key.find(entry.idempotency_key);
            if (entry.idempotency_key != 0 && last != last_run_by_key.end()) {
                EXPECT_GT(entry.arrived_at - last->second, class_of(entry).idempotency_window)
                    << "a second run with the same key within its window";
            }
            if (entry.idempotency_key != 0)
                last_run_by_key[entry.idempotency_key] = entry.arrived_at;
        }
        if (is_draining) {
            EXPECT_LE(entry.arrived_at, drain_started_at + settings.drain_grace)
                << "a request that arrived after the drain grace was run";
        }
        entry.has_run = true;
        entry.phase = Phase::running;
        ++run_count;
    }
    void apply(const Reject& action) {
        RequestEntry& entry = entry_of(action.id);
        if (entry.phase == Phase::finished)
            return;
        EXPECT_EQ(entry.phase, Phase::queued);
        EXPECT_FALSE(entry.has_run && class_of(entry).idempotency != Idempotency::always)
            << "request rejected after it ran";
        EXPECT_LE(action.retry_after, settings.max_retry_after);
        answer(entry);
        entry.phase = Phase::finished;
        ++rejected_count;
    }
    void apply(const Fail& action) {
        RequestEntry& entry = entry_of(action.id);
        if (entry.phase == Phase::finished)
            return;
        answer(entry);
        if (entry.phase == Phase::queued || entry.phase == Phase::awaiting_result)
            entry.phase = Phase::finished;
        if (entry.phase == Phase::awaiting_call || entry.phase == Phase::in_call)
            pending_results.push_back({action.id, Outcome::cancelled});
    }
    void apply(const Suspend& action) {
        ASSERT_NE(settings.preemption, Preemption::none);
        RequestEntry& entry = entry_of(action.id);
        if (entry.phase != Phase::running ||
            (settings.preemption == Preemption::pause && random_unit() < 0.3))
            return;  // not running, or waiting for a disk
        ASSERT_TRUE(entry.answers == 1 || entry.is_cancelled)
            << "a run was suspended before its request was answered or cancelled";
        pending_results.push_back({action.id, Outcome::cancelled});
    }
    void apply(const CallDependency& action) {
        RequestEntry& entry = entry_of(action.id);
        ASSERT_EQ(entry.phase, Phase::awaiting_call);
        EXPECT_FALSE(entry.may_have_called && class_of(entry).idempotency != Idempotency::always)
            << "a call that may have run was repeated";
        EXPECT_TRUE(entry.answers == 0 && !entry.is_cancelled) << "a call for a request that is over";
        entry.phase = Phase::in_call;
    }
    void apply(const SkipDependencyCall& action) {
        RequestEntry& entry = entry_of(action.id);
        ASSERT_EQ(entry.phase, Phase::awaiting_call);
        EXPECT_GT(class_of(entry).skipped_call_weight, 0.0);
        entry.phase = Phase::running;
    }
    void apply(const RetainKey& action) {
        RequestEntry& entry = entry_of(action.id);
        if (class_of(entry).idempotency == Idempotency::with_key)
            retained_keys[entry.idempotency_key] = {action.id, now + action.duration};
    }
    void apply(const ReleaseKey& action) {
        const auto it = retained_keys.find(entry_of(action.id).idempotency_key);
        if (it != retained_keys.end() && it->second.first == action.id)
            retained_keys.erase(it);
    }
    void apply(const ReplayResult& action) {
        RequestEntry& entry = entry_of(action.id);
        ASSERT_EQ(entry.phase, Phase::queued);
        ASSERT_NE(entry.original_id, 0U);
        entry.phase = Phase::awaiting_result;
        ++replayed_count;
    }
    void apply(const ScheduleTimer& action) { timers.insert({now + action.delay, action.token}); }
    template <class Other>
    void apply(const Other&) {}

    // Events.
    void finish(RequestId id, Outcome outcome) {
        RequestEntry& entry = entries[id];
        if (entry.phase == Phase::finished)
            return;
        if (outcome != Outcome::cancelled && entry.answers == 0 && !entry.is_cancelled)
            ++entry.answers;
        entry.phase = Phase::finished;
        send(RunFinished{id, outcome});
    }
    void cancel(RequestId id) {
        RequestEntry& entry = entries[id];
        entry.is_cancelled = true;
        if (entry.phase == Phase::queued || entry.phase == Phase::awaiting_result)
            entry.phase = Phase::finished;
        if (entry.phase == Phase::awaiting_call || entry.phase == Phase::in_call)
            pending_results.push_back({id, Outcome::cancelled});
        send(Cancelled{id});
    }
    void arrive() {
        RequestArrived arrival;
        arrival.id = ++last_id;
        arrival.class_index =
            static_cast<std::size_t>(random_unit() * static_cast<double>(settings.classes.size()));
        arrival.reserved_kb = 5.0 + 30.0 * random_unit();
        arrival.age = Duration(static_cast<long>(random_unit() * 60'000));
        arrival.is_retry = random_unit() < 0.2;
        arrival.expected_work_seconds = random_unit() < 0.1   ? -1.0
                                        : random_unit() < 0.1 ? 1e9
                                                              : random_unit();
        RequestEntry entry{arrival.class_index, Phase::queued, now - arrival.age, Timestamp(0),
                           arrival.reserved_kb};
        const RequestClass& request_class = settings.classes[arrival.class_index];
        entry.deadline = std::max(now, entry.arrived_at + request_class.answer_deadline);
        if (random_unit() < 0.5)
            arrival.caller_deadline = entry.deadline =
                now + Duration(static_cast<long>(random_unit() * 3'000'000));
        if (request_class.idempotency == Idempotency::with_key) {
            entry.idempotency_key = ++last_key;
            auto it = retained_keys.begin();
            if (!retained_keys.empty())
                std::advance(it,
                             static_cast<long>(random_unit() * static_cast<double>(retained_keys.size())));
            if (it != retained_keys.end() && it->second.second > entry.arrived_at &&
                random_unit() < 0.5) {  // a retry
                entry.idempotency_key = it->first;
                arrival.repeated_id = entry.original_id = it->second.first;
            }
        }
        entries[arrival.id] = entry;
        send(arrival);
    }
    void step() {
        now += Duration(static_cast<long>(
            random_unit() * (random_unit() < 0.01 ? 400'000 : 12'000)));  // sometimes a pause of the process
        for (auto it = retained_keys.begin(); it != retained_keys.end();)
            it = it->second.second <= now ? retained_keys.erase(it) : ++it;
        while (!timers.empty() && timers.begin()->first <= now) {
            TimerFired timer;
            timer.token = timers.begin()->second;
            timers.erase(timers.begin());
            if (random_unit() < 0.8)
                timer.gauges = {random_unit(), 6.0 * random_unit(), random_unit(), 120.0 * random_unit()};
            send(timer);
        }
        // The end of a run may be reported after that of its call.
        for (const auto& [id, outcome] : std::exchange(pending_results, {}))
            if (random_unit() < 0.5)
                finish(id, outcome);
            else
                pending_results.push_back({id, outcome});
        const int arrivals = random_unit() < 0.05 ? 25 : random_unit() < 0.25 ? 1 : 0;
        for (int i = 0; i < arrivals; ++i)
            arrive();
        std::vector<RequestId> open_ids;
        for (const auto& [id, entry] : entries)
            if (entry.phase != Phase::finished)
                open_ids.push_back(id);
        for (const RequestId id : open_ids) {
            RequestEntry& entry = entries[id];
            const bool ends_soon = entry.phase == Phase::in_call && entry.is_cancelled;
            if (entry.phase == Phase::finished || random_unit() > (ends_soon ? 0.3 : 0.03))
                continue;
            const double cancel_probability = entry.phase == Phase::in_call ? 0.3 : 0.05;
            if (entry.answers == 0 && !entry.is_cancelled && random_unit() < cancel_probability) {
                cancel(id);
            } else if (entry.phase == Phase::running && class_of(entry).calls_dependency &&
                       !entry.made_call) {
                entry.made_call = true;
                if (entry.answers > 0 || entry.is_cancelled) {  // nobody waits for it, so it ends at its call
                    finish(id, Outcome::cancelled);
                    continue;
                }
                entry.phase = Phase::awaiting_call;
                send(DependencyCallRequested{id});
            } else if (entry.phase == Phase::running ||
                       (entry.phase == Phase::awaiting_result &&
                        entries[entry.original_id].phase == Phase::finished)) {
                finish(id, random_unit() < 0.1 ? Outcome::error : Outcome::ok);
            } else if (entry.phase == Phase::in_call) {
                const double roll = random_unit();
                const Outcome call_outcome = roll < 0.6   ? Outcome::ok
                                             : roll < 0.8 ? Outcome::rejected
                                                          : Outcome::timeout;
                entry.may_have_called = entry.may_have_called || call_outcome == Outcome::timeout;
                entry.phase = call_outcome == Outcome::ok ? Phase::running : Phase::awaiting_call;
                failed_calls_after_cancel += entry.is_cancelled && call_outcome != Outcome::ok;
                send(DependencyCallFinished{id, call_outcome, 30ms});
            }
        }
        for (auto it = entries.begin(); it != entries.end();) {
            const RequestEntry& entry = it->second;
            if (entry.answers == 0 && !entry.is_cancelled) {
                ASSERT_GE(entry.deadline + settings.answer_slack + Duration(12'000), now - max_pause())
                    << "no answer by the deadline plus the slack";
            }
            it = entry.phase == Phase::finished && now - entry.arrived_at > 30s ? entries.erase(it) : ++it;
        }
    }
    Duration max_pause() const { return Duration(400'000); }  // no timer fires during a pause of the process

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
    long run_count = 0, rejected_count = 0, replayed_count = 0, failed_calls_after_cancel = 0;
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

TEST_P(RandomScheduleTest, KeepsTheContractOfTheModel) {
    const unsigned seed = GetParam();
    ServerModel model(test_settings(seed % 2 == 0 ? Preemption::pause : Preemption::discard, seed % 3 == 0),
                      seed);
    for (int i = 0; i < 3000 && !testing::Test::HasFatalFailure(); ++i)
        model.step();
    model.is_draining = true;
    model.drain_started_at = model.now;
    const Timestamp deadline =
        model.now + (seed % 2 == 0 ? 4s : 1s);  // with odd seeds the notice is shorter than the grace
    model.send(DrainStarted{deadline});
    if (seed % 3 == 1)
        model.send(DrainStarted{deadline});  // the notice may come twice
    while (model.now < deadline - 450ms && !testing::Test::HasFatalFailure())
        model.step();
    for (; model.now < deadline - 20ms; model.now += 10ms) {
        while (!model.timers.empty() && model.timers.begin()->first <= model.now) {
            TimerFired timer;
            timer.token = model.timers.begin()->second;
            model.timers.erase(model.timers.begin());
            model.send(timer);
        }
    }
    for (const auto& [id, entry] : model.entries)
        if (!entry.is_cancelled) {
            EXPECT_EQ(entry.answers, 1) << "no single answer by the drain deadline, request " << id;
        }
    EXPECT_GT(model.run_count, 100);
    EXPECT_GT(model.rejected_count, 300);
    EXPECT_GT(model.replayed_count, 10);
    EXPECT_GT(model.failed_calls_after_cancel, 0);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomScheduleTest, testing::Range(1U, 7U));

}  // namespace
