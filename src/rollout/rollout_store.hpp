/// Stores a rollout's state and reports in a directory, so that the rollout can continue after its controller was
/// killed.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

#include "rollout/rollout_state.hpp"
#include "store/posix_file_system.hpp"
#include "store/store.hpp"

namespace cressledge::rollout {

/// Thrown if the directory cannot be used or belongs to another rollout.
class RolloutStoreError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// A rollout as stored by an earlier run.
struct StoredRollout {
    RolloutState state;
    /// JSON array of the reports of stages that ended in earlier runs.
    nlohmann::ordered_json stage_reports;
};

/// Stores one rollout. Holds the lock of its directory during its lifetime. Each save is one atomic commit.
class RolloutStore {
public:
    /// Opens and locks `directory`. Throws `RolloutStoreError`, also if another process has it open.
    explicit RolloutStore(const std::string& directory);

    /// Returns the stored rollout of the plan with `plan_digest`; none if there is none or only a finished one of
    /// another plan. Throws `RolloutStoreError` if a rollout of another plan is unfinished, and
    /// `InvalidRolloutState`.
    std::optional<StoredRollout> load(const std::string& plan_digest) const;

    /// Saves the rollout; it is durable on return. Throws `RolloutStoreError`.
    void save(const RolloutState& state, const nlohmann::ordered_json& stage_reports);

private:
    const std::string directory_;
    store::PosixFileSystem files_;
    store::Store store_;
};

}  // namespace cressledge::rollout
