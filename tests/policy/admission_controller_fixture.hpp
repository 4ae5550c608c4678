// Fixture of the policy tests: settings of a small server, and a host that records what the controller asks for. Time is
// a fake clock that the test moves.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::testing {

using namespace cressledge::policy;
using namespace std::chrono_literals;
using Take = cressledge::policy::Run;  // Test::Run hides the plain name

inline Settings test_settings() {
    Settings s;
    s.classes.resize(3);
    s.classes[0] = {"read", Idempotency::always, 1.0, 0.0, 1s, 4s, 0s, true, 0.5};
    s.classes[1] = {"buy", Idempotency::with_key, 1.0, 0.0, 1s, 4s, 20s, true, 0.0};
    s.classes[2] = {"enter", Idempotency::never, 10.0, 0.0, 1s, 4s, 0s, true, 0.0};
    s.cores = 2;
    s.memory_kb = 4000;
    s.running_memory_factor = 4;
    s.idempotency_key_kb = 2;
    s.replica_count = 4;
    s.caller_count = 2;
    s.dependency = Dependency::shared_service;
    s.dependency_call_quota = 6;
    s.abandoned_call_grace = 200ms;
    s.preemption = Preemption::discard;
    s.cold_start_speed = 0.2;
    s.warm_up_duration = 10s;
    s.drain_grace = 2s;
    s.max_runnable_per_core = 6;
    s.answer_slack = 60ms;
    s.max_retry_after = 1s;
    return s;
}

struct RecordingHost {  // carries out nothing: it records what the controller asks for
    explicit RecordingHost(const Settings& s) : controller(make_admission_controller(s, 1)) {
        send(Started{});
    }
    std::vector<Action> send(const Event& e) {
        std::vector<Action> actions;
        controller->handle(now, e, actions);
        recorded_actions.insert(recorded_actions.end(), actions.begin(), actions.end());
        for (const Action& a : actions)
            if (const auto* w = std::get_if<ScheduleTimer>(&a))
                wakes.push_back({now + w->delay, w->token});
        return actions;
    }
    std::vector<Action> send_at(Timestamp t, const Event& e) {
        now = t;
        return send(e);
    }
    std::vector<Action> request(RequestId id, std::size_t class_index, RequestId repeated_id = 0,
                                Duration age = 0s) {
        RequestArrived r;
        r.id = id;
        r.class_index = class_index;
        r.repeated_id = repeated_id;
        r.reserved_kb = 20;
        r.age = age;
        return send(r);
    }
    void advance_until(Timestamp until, double cpu = 1.0, std::optional<double> runnable = {},
                       std::optional<double> connections = {}) {  // delivers the timers that were asked for
        for (;;) {
            const auto next = std::min_element(wakes.begin(), wakes.end());
            if (next == wakes.end() || next->first > until)
                break;
            const auto [when, token] = *next;
            wakes.erase(next);
            now = std::max(now, when);
            TimerFired t;
            t.token = token;
            t.gauges.cpu_utilization = cpu;
            t.gauges.runnable = runnable;
            t.gauges.connections = connections;
            send(t);
        }
        now = until;
    }
    template <class A>
    long count(RequestId id) const {
        return std::count_if(recorded_actions.begin(), recorded_actions.end(), [&](const Action& a) {
            const auto* x = std::get_if<A>(&a);
            return x != nullptr && x->id == id;
        });
    }
    template <class A>
    const A* last() const {
        for (auto it = recorded_actions.rbegin(); it != recorded_actions.rend(); ++it)
            if (const auto* x = std::get_if<A>(&*it))
                return x;
        return nullptr;
    }
    long answer_count(RequestId id) const { return count<Reject>(id) + count<Fail>(id); }

    std::unique_ptr<AdmissionController> controller;
    std::vector<Action> recorded_actions;
    std::vector<std::pair<Timestamp, std::uint32_t>> wakes;
    Timestamp now{1s};
};

}  // namespace cressledge::testing
