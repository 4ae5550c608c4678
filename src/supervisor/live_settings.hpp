/// The live settings file, which a supervised process reads: the operator's file with an overlay merged into it.
#pragma once

#include <stdexcept>
#include <string>

namespace cressledge::supervisor {

/// Thrown if a live settings file could not be written; the previous file is still in place.
class LiveSettingsError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Returns the path of the live settings file for `settings_file`.
std::string live_settings_path(const std::string& settings_file);

/// Merges `overlay` (YAML; may be empty) into `settings_file`, validates the result and replaces the live settings file
/// atomically by a rename. Mappings are merged key by key; null removes a key. Throws `LiveSettingsError`.
void write_live_settings(const std::string& settings_file, const std::string& overlay);

}  // namespace cressledge::supervisor
