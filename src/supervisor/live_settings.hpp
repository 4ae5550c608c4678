/// The settings file that a supervised process reads: the operator's file with an overlay merged into it.
#pragma once

#include <stdexcept>
#include <string>

namespace cressledge::supervisor {

/// A live settings file that was not written; the one before is still in place.
class LiveSettingsError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// Path of the live settings file that belongs to `settings_file`.
std::string live_settings_path(const std::string& settings_file);

/// Merges `overlay` (YAML; empty: none) into `settings_file`, checks the result as a whole and puts it in place of the
/// live settings file in one rename, so that a reader sees the old file or the new one. Mappings are merged key by key;
/// null removes a key. Throws `LiveSettingsError`.
void write_live_settings(const std::string& settings_file, const std::string& overlay);

}  // namespace cressledge::supervisor
