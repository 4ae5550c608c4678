/// The event loop of an emulated load balancing run (emulator/load_spread.hpp), on simulated time.
#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "emulator/balancing_process.hpp"
#include "emulator/call_table.hpp"
#include "emulator/emulated_servers.hpp"

namespace cressledge::emulator {

/// Type of an event of the simulation.
enum class EventType : std::uint8_t {
    arrival,
    probes_at_servers,
    probe_answers_back,
    call_finished,
    sample_imbalance,
    refresh_stale_reports,
    tick,
    scenario_event,
    burst_over,
    server_restarted,
};

/// An event of the simulation. Ordered for std::priority_queue, so that the earliest event is on top.
struct Event {
    /// Microseconds since the start of the run.
    std::int64_t at;
    /// Events at the same time are handled in the order in which they were scheduled.
    std::uint64_t sequence;
    EventType type;
    /// Id of a call or index of a server or scenario event, depending on the type.
    std::uint64_t subject;
    bool operator<(const Event& other) const {
        return at != other.at ? at > other.at : sequence > other.sequence;
    }
};

/// One run of a scenario: an event loop on simulated time.
class LoadSpreadSimulation {
public:
    /// Creates the servers and starts the processes of the scenario.
    explicit LoadSpreadSimulation(const LoadSpreadScenario& scenario);
    /// Runs until the configured time has passed and every call has finished. Must be called only once.
    LoadSpreadResult run();

private:
    double uniform() { return (random_() + 0.5) / 4294967296.0; }
    void schedule(std::int64_t at, EventType type, std::uint64_t subject = 0) {
        events_.push({at, ++last_sequence_, type, subject});
    }
    void handle(const Event& event);
    void start_process(std::size_t index) {
        processes_[index].start(scenario_, servers_.specs(), index, process_count_, now_, random_);
    }

    void on_arrival();
    fake_upstream::CallId create_call();
    void send_pool_probes(fake_upstream::CallId for_call);
    bool send_probes(fake_upstream::CallId id);
    void on_probes_at_servers(fake_upstream::CallId id);
    void on_probe_answers(fake_upstream::CallId id);

    upstream_health::HostId pick(fake_upstream::CallId id);
    upstream_health::HostId pick_local_two_choices(const BalancingProcess& process);
    void send(fake_upstream::CallId id, upstream_health::HostId server);
    upstream_health::HostId connect(fake_upstream::CallId id, upstream_health::HostId server);
    void schedule_finish(const std::optional<fake_upstream::ServerModel::ServiceStart>& start);
    void finish_call(fake_upstream::CallId id, bool is_error);
    void count_result(const Call& call, bool is_error);

    void apply(const ScenarioEvent& event, std::size_t index);
    void restart_servers(const ScenarioEvent& event);
    void resize_fleet(std::size_t process_count);
    template <class Predicate>
    void fail_calls_at_server(const Predicate& predicate) {
        calls_.for_each_at_server(predicate, [this](fake_upstream::CallId id) { finish_call(id, true); });
    }
    void summarize();

    const LoadSpreadScenario scenario_;
    upstream_health::Random random_;
    EmulatedServers servers_;
    std::vector<BalancingProcess> processes_;
    /// Number of running processes; those in `processes_` from this index on are stopped.
    std::size_t process_count_ = 0;
    std::vector<upstream_health::HostId> probe_targets_;
    CallTable calls_;
    std::priority_queue<Event> events_;
    std::uint64_t last_sequence_ = 0, finished_calls_ = 0, open_calls_ = 0;
    /// Microseconds since the start of the run.
    std::int64_t now_ = 0, warm_up_end_ = 0;
    double call_rate_s_ = 0.0;
    /// Latencies of successful calls, in microseconds.
    std::vector<float> latencies_;
    fake_upstream::LoadImbalanceMonitor monitor_;
    LoadSpreadResult result_;
};

}  // namespace cressledge::emulator
