/// Checks that the settings of a node configuration are complete.
///
/// The settings are the object that the simulator's wire page describes. A server rejects a configuration as a whole if a
/// key is missing, so that no default takes the place of a value that the platform meant to set.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace cressledge::config {

/// A key that is missing or has a value of the wrong kind.
struct SettingsDefect {
    /// Keys from the outermost to the defective one. An entry of `classes` or `accounts` is named by its `name`.
    std::vector<std::string> path;
    /// Names the key and says what is allowed, for example `domain.cores is not a number above 0`.
    std::string reason;
    /// The value as JSON text; empty if the key is missing.
    std::string value;
};

/// Returns the first defect of a settings object; nothing if it is complete. A null value counts as missing. Required is
/// every key of the wire page, except those that
/// - the page lets be absent: `aim-stretch`, `passes-deadline`, and the single prices of `tariffs`;
/// - describe what the server does not have: `repeat-window` of classes that are not guarded, and the keys about a
///   dependency where `domain.depends-on` is `silent`.
/// These are checked if they are present. Unknown keys are passed over.
std::optional<SettingsDefect> find_settings_defect(const nlohmann::json& settings);

}  // namespace cressledge::config
