#include "supervisor/live_settings.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdio>
#include <fstream>

#include "config/node.hpp"
#include "config/operator.hpp"

namespace cressledge::supervisor {
namespace {

YAML::Node merge_overlay(const YAML::Node& base, const YAML::Node& overlay) {
    if (!base.IsMap() || !overlay.IsMap())
        return overlay;
    YAML::Node merged = YAML::Clone(base);
    for (const auto& entry : overlay) {
        const std::string key = entry.first.Scalar();
        if (entry.second.IsNull())
            merged.remove(key);
        else
            merged[key] = merged[key] ? merge_overlay(merged[key], entry.second) : entry.second;
    }
    return merged;
}

void write_validated(const std::string& settings_file, const std::string& overlay, const std::string& path) {
    YAML::Node settings = YAML::Load(config::read_file(settings_file));
    if (!overlay.empty())
        settings = merge_overlay(settings, YAML::Load(overlay));
    std::ofstream out(path);
    out << settings << '\n';
    out.close();
    if (!out)
        throw LiveSettingsError(path + ": cannot be written");
    // Validated before the file replaces the current one, so that no process reloads a file that it would reject.
    config::load_operator_config(path);
}

}  // namespace

std::string live_settings_path(const std::string& settings_file) {
    return settings_file + ".live";
}

void write_live_settings(const std::string& settings_file, const std::string& overlay) {
    const std::string live_path = live_settings_path(settings_file);
    const std::string temporary_path = live_path + ".new";
    try {
        write_validated(settings_file, overlay, temporary_path);
    } catch (const std::exception& error) {
        std::remove(temporary_path.c_str());
        throw LiveSettingsError(error.what());
    }
    if (std::rename(temporary_path.c_str(), live_path.c_str()) != 0)
        throw LiveSettingsError(live_path + ": cannot be replaced");
}

}  // namespace cressledge::supervisor
