/// Keeps a rollout's state and its reports in a directory, so that a controller that was killed can be continued.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "rollout/rollout_state.hpp"
#include "store/posix_file_system.hpp"
#include "store/store.hpp"

namespace cressledge::rollout {

/// The directory cannot be used, or belongs to another rollout.
class RolloutStoreError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A rollout as an earlier run left it.
struct StoredRollout {
    RolloutState state;
    /// JSON array of the reports of stages that earlier runs ended.
    nlohmann::ordered_json stage_reports;
};

/// Holds the lock of its directory for as long as it lives. A save is one commit: it is read whole or not at all.
class RolloutStore {
public:
    /// Throws `RolloutStoreError`, also where another process has the directory open.
    explicit RolloutStore(const std::string& directory);

    /// The rollout of the plan with `plan_digest`; none where there is none, or only an earlier one that has finished.
    /// Throws `RolloutStoreError` where the rollout of another plan is in progress, and `InvalidRolloutState`.
    std::optional<StoredRollout> load(const std::string& plan_digest) const;

    /// Returns once the rollout is durable. Throws `RolloutStoreError`.
    void save(const RolloutState& state, const nlohmann::ordered_json& stage_reports);

private:
    const std::string directory_;
    store::PosixFileSystem files_;
    store::Store store_;
};

}  // namespace cressledge::rollout
