#include "rollout/rollout_settings.hpp"

#include <cmath>
#include <set>

#include "config/file.hpp"
#include "config/node.hpp"
#include "config/reader.hpp"
#include "net/stream.hpp"

namespace cressledge::rollout {
namespace {

using config::YamlReader;

constexpr std::size_t max_name_length = 128;
constexpr double max_process_count = 1e6;
constexpr double max_duration_s = 86'400.0;
constexpr double microseconds_per_second = 1e6;

YAML::Node require_non_empty_list(const YamlReader& reader, const YAML::Node& document, const char* name) {
    const YAML::Node list = document[name];
    if (!list || !list.IsSequence() || list.size() == 0)
        reader.fail(list ? list : document, name, "must be a list with at least one entry");
    return list;
}

std::string read_name(const YamlReader& reader, const YAML::Node& document) {
    std::string name = reader.text(document, "name");
    if (name.size() > max_name_length)
        reader.fail(document["name"], "name", "longer than 128 characters");
    return name;
}

std::vector<std::string> read_supervisors(const YamlReader& reader, const YAML::Node& document) {
    std::vector<std::string> addresses;
    std::set<std::string> seen_addresses;
    for (const auto& entry : require_non_empty_list(reader, document, "supervisors")) {
        if (!entry.IsScalar() || !net::Address::parse(entry.Scalar()))
            reader.fail(entry, "supervisors", "not an address of the form HOST:PORT");
        if (!seen_addresses.insert(entry.Scalar()).second)
            reader.fail(entry, "supervisors", "duplicate supervisor: " + entry.Scalar());
        addresses.push_back(entry.Scalar());
    }
    return addresses;
}

/// Returns the contents of the settings file that `change` names; empty if it names none.
std::string read_overlay(const YamlReader& reader, const std::string& path, const YAML::Node& change) {
    const std::string file = reader.text(change, "settings", "");
    if (file.empty())
        return "";
    const std::string overlay_path = config::resolve_relative_path(path, file);
    std::string text = config::read_file(overlay_path);
    const YAML::Node overlay = YAML::Load(text);
    if (!overlay.IsMap() || overlay.size() == 0)
        reader.fail(change["settings"], "settings", "not a YAML mapping: " + overlay_path);
    return text;
}

ProcessSpec read_change(const YamlReader& reader, const std::string& path, const YAML::Node& document) {
    const YAML::Node change = document["change"];
    if (!change)
        reader.fail(document, "change", "missing");
    reader.require_known_keys(change, "change", {"program", "settings"});
    ProcessSpec spec;
    spec.program = reader.text(change, "program", "");
    if (!spec.program.empty() && spec.program.front() != '/')
        reader.fail(change["program"], "program", "not an absolute path");
    spec.overlay = read_overlay(reader, path, change);
    if (spec == ProcessSpec{})
        reader.fail(change, "change", "neither a program nor settings given");
    return spec;
}

/// Parses a whole number of processes or a percentage of the fleet.
RolloutStage read_stage(const YamlReader& reader, const YAML::Node& entry) {
    const std::string text = entry.IsScalar() ? entry.Scalar() : "";
    const bool is_percentage = !text.empty() && text.back() == '%';
    const std::string digits = is_percentage ? text.substr(0, text.size() - 1) : text;
    double number = 0.0;
    bool is_valid = YAML::convert<double>::decode(YAML::Node(digits), number) && number > 0.0;
    if (is_percentage)
        is_valid = is_valid && number <= 100.0;
    else
        is_valid = is_valid && number == std::floor(number) && number <= max_process_count;
    if (!is_valid)
        reader.fail(entry, "stages", "neither a whole number of processes nor a percentage such as 25%");
    if (is_percentage)
        return {number / 100.0, 0};
    return {0.0, static_cast<std::size_t>(number)};
}

std::vector<RolloutStage> read_stages(const YamlReader& reader, const YAML::Node& document) {
    std::vector<RolloutStage> stages;
    for (const auto& entry : require_non_empty_list(reader, document, "stages"))
        stages.push_back(read_stage(reader, entry));
    return stages;
}

Duration read_seconds(const YamlReader& reader, const YAML::Node& document, const char* name,
                      double min_seconds, double default_seconds) {
    const double seconds = reader.number(document, name, min_seconds, max_duration_s, default_seconds);
    return Duration(std::llround(seconds * microseconds_per_second));
}

Tolerances read_tolerances(const YamlReader& reader, const YAML::Node& document) {
    Tolerances tolerances;
    const YAML::Node margins = document["margins"];
    if (!margins)
        return tolerances;
    reader.require_known_keys(margins, "margins",
                              {"errors", "refusals", "late", "effect", "tail", "alpha", "least_requests"});
    const auto read = [&reader, &margins](const char* name, double min, double max, double& value) {
        value = reader.number(margins, name, min, max, value);
    };
    read("errors", 0.0, 1.0, tolerances.error_rate);
    read("refusals", 0.0, 1.0, tolerances.shed_rate);
    read("late", 0.0, 1.0, tolerances.late_rate);
    read("effect", 0.5, 1.0, tolerances.slower_probability);
    read("tail", 0.0, 1.0, tolerances.tail_rate);
    read("alpha", 1e-9, 0.5, tolerances.significance_level);
    read("least_requests", 1.0, 1e9, tolerances.min_requests);
    return tolerances;
}

RolloutSettings read_settings(const std::string& path, const YAML::Node& document) {
    const YamlReader reader(path);
    reader.require_known_keys(document, "file",
                              {"name", "supervisors", "change", "stages", "bake_s", "hold_s", "change_s",
                               "at_once", "look_ms", "margins", "seed"});
    RolloutSettings settings;
    RolloutPlan& plan = settings.plan;
    plan.name = read_name(reader, document);
    settings.supervisor_addresses = read_supervisors(reader, document);
    plan.target_spec = read_change(reader, path, document);
    plan.stages = read_stages(reader, document);
    plan.bake_time = read_seconds(reader, document, "bake_s", 0.5, 300.0);
    plan.max_inconclusive_time = read_seconds(reader, document, "hold_s", 1.0, 900.0);
    plan.update_timeout = read_seconds(reader, document, "change_s", 1.0, 120.0);
    plan.max_concurrent_updates = reader.integer(document, "at_once", 1.0, 10'000.0, 8.0);
    plan.order_seed = reader.integer(document, "seed", 0.0, 4e9, 1.0);
    settings.observation_interval = reader.duration_ms(document, "look_ms", 50.0, 1000.0);
    plan.tolerances = read_tolerances(reader, document);
    return settings;
}

}  // namespace

RolloutSettings load_rollout_settings(const std::string& path) {
    return config::load_yaml(path, read_settings);
}

}  // namespace cressledge::rollout
