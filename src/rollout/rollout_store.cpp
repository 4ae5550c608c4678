#include "rollout/rollout_store.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

namespace cressledge::rollout {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr const char* state_key = "state";
constexpr const char* reports_key = "history";

/// Throws `RolloutStoreError` if `error`, an errno value returned by the store, is not 0.
void require_success(int error, const std::string& subject) {
    if (error == 0)
        return;
    // Another process holds the lock of the directory.
    if (error == EWOULDBLOCK)
        throw RolloutStoreError(subject + ": in use by another rollout process");
    throw RolloutStoreError(subject + ": " + std::strerror(error));
}

}  // namespace

RolloutStore::RolloutStore(const std::string& directory)
    : directory_(directory), files_(directory), store_(files_) {
    require_success(store_.open(), directory);
}

std::optional<StoredRollout> RolloutStore::load(const std::string& plan_digest) const {
    const auto& entries = store_.entries();
    const auto state_entry = entries.find(state_key);
    if (state_entry == entries.end())
        return std::nullopt;
    RolloutState state = from_json(json::parse(state_entry->second, nullptr, false));
    if (state.plan_digest != plan_digest) {
        if (is_final(state.phase))
            return std::nullopt;
        throw RolloutStoreError(directory_ + ": rollout " + state.name + " is unfinished here");
    }
    StoredRollout stored{std::move(state), ordered_json::array()};
    const auto reports_entry = entries.find(reports_key);
    if (reports_entry == entries.end())
        return stored;
    ordered_json reports = ordered_json::parse(reports_entry->second, nullptr, false);
    if (reports.is_array())
        stored.stage_reports = std::move(reports);
    return stored;
}

void RolloutStore::save(const RolloutState& state, const ordered_json& stage_reports) {
    store::Changes changes;
    changes[state_key] = to_json(state).dump();
    changes[reports_key] = stage_reports.dump();
    require_success(store_.commit(changes), "cannot save the rollout state");
}

}  // namespace cressledge::rollout
