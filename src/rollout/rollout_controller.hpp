// Carries out a roll: asks the supervisors and the processes, keeps its state in a folder that is never half written, and
// tells the supervisors what rollout::Roll orders. It decides nothing.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "rollout/rollout_settings.hpp"
#include "store/posix_file_system.hpp"
#include "store/store.hpp"

namespace cressledge::rollout {

enum class RolloutResult { completed = 0, rolled_back = 1, rejected = 3, interrupted = 4 };

class RolloutController {
public:
    static constexpr base::Duration request_timeout{1'500'000};
    // Throws std::runtime_error where the folder cannot be used, is another roll's, or another process works in it.
    RolloutController(net::Loop& loop, base::TimerQueue& timers, config::RolloutSettings plan,
                      const std::string& folder);

    // Until the roll is over, or interrupt(). A roll that the folder has begun goes on where it was.
    RolloutResult run();
    void interrupt() { is_interrupted_ = true; }  // what has been done stays; another run goes on from it
    void request_rollback(const std::string& reason) { rollback_request_ = reason; }
    nlohmann::ordered_json report() const;

private:
    struct ProcessLocation {
        std::size_t supervisor_index = 0;
        std::string admin_address;  // of the process itself; empty: none is up
    };
    bool observe_fleet();  // at all; false: no supervisor answered
    void wait_for_replies();  // until every question has its answer, or its time is over
    bool update_leases(bool held);
    void release_leases();
    void save_state();
    void send_spec_updates(const std::vector<ProcessAssignment>& set);
    void sleep_until(base::Timestamp until);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const config::RolloutSettings plan_;
    std::vector<net::Address> supervisor_addresses_;
    net::HttpClient http_client_;
    store::PosixFileSystem state_files_;
    store::Store state_store_;
    std::optional<rollout::RolloutStateMachine> state_machine_;
    rollout::Observations observations_;
    std::map<std::string, ProcessLocation> process_locations_;
    nlohmann::ordered_json earlier_reports_ =
        nlohmann::ordered_json::array();  // of stages that earlier runs ended
    std::vector<bool> has_lease_;  // by supervisor: it has said so
    std::string lease_conflict_;
    bool is_interrupted_ = false;
    std::string rollback_request_;
    base::Timestamp started_at_{0};
};

}  // namespace cressledge::rollout
