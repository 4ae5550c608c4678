#include "supervisor/supervisor_settings.hpp"

#include <set>

#include "config/file.hpp"
#include "config/node.hpp"
#include "config/reader.hpp"

namespace cressledge::supervisor {
namespace {

void read_policy(const config::YamlReader& reader, const YAML::Node& document, SupervisionPolicy& policy) {
    policy.ready_timeout = reader.duration_ms(document, "ready_ms", 100.0, 10'000.0);
    policy.drain_timeout = reader.duration_ms(document, "drained_ms", 100.0, 10'000.0);
    policy.initial_backoff = reader.duration_ms(document, "back_off_ms", 10.0, 200.0);
}

std::vector<ProcessSettings> read_processes(const config::YamlReader& reader, const std::string& path,
                                            const YAML::Node& document, const std::string& default_program) {
    const YAML::Node list = document["processes"];
    if (!list || !list.IsSequence() || list.size() == 0)
        reader.fail(list ? list : document, "processes", "must be a list with at least one entry");
    std::vector<ProcessSettings> processes;
    std::set<std::string> ids;
    for (const auto& entry : list) {
        reader.require_known_keys(entry, "processes", {"id", "file", "program"});
        const std::string id = reader.text(entry, "id");
        const std::string settings_file = config::resolve_relative_path(path, reader.text(entry, "file"));
        const std::string program = reader.text(entry, "program", default_program.c_str());
        if (!ids.insert(id).second)
            reader.fail(entry["id"], "id", "duplicate process id: " + id);
        processes.push_back({id, settings_file, program});
    }
    return processes;
}

SupervisorSettings read_settings(const std::string& path, const YAML::Node& document) {
    const config::YamlReader reader(path);
    reader.require_known_keys(
        document, "file",
        {"control", "program", "logs", "processes", "ready_ms", "drained_ms", "back_off_ms"});
    SupervisorSettings settings;
    settings.admin_address = reader.address(document, "control");
    if (settings.admin_address.empty())
        reader.fail(document, "control", "missing");
    const std::string default_program = reader.text(document, "program");
    settings.log_directory = config::resolve_relative_path(path, reader.text(document, "logs", ""));
    read_policy(reader, document, settings.policy);
    settings.processes = read_processes(reader, path, document, default_program);
    return settings;
}

}  // namespace

SupervisorSettings load_supervisor_settings(const std::string& path) {
    return config::load_yaml(path, read_settings);
}

}  // namespace cressledge::supervisor
