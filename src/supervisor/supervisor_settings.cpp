#include <set>

#include "config/node.hpp"
#include "config/reader.hpp"
#include "config/supervise.hpp"

namespace cressledge::config {
namespace {

std::string beside(const std::string& path, const std::string& name) {
    return name.empty() || name.front() == '/' ? name : path.substr(0, path.rfind('/') + 1) + name;
}

supervisor::SupervisorSettings read(const std::string& path, const YAML::Node& doc) {
    const YamlReader reader(path);
    reader.require_known_keys(
        doc, "file", {"control", "program", "logs", "processes", "ready_ms", "drained_ms", "back_off_ms"});
    supervisor::SupervisorSettings s;
    s.admin_address = reader.address(doc, "control");
    if (s.admin_address.empty())
        reader.fail(doc, "control", "missing");
    const std::string program = reader.text(doc, "program");
    s.log_directory = beside(path, reader.text(doc, "logs", ""));
    s.policy.ready_timeout = reader.duration_ms(doc, "ready_ms", 100.0, 10'000.0);
    s.policy.drain_timeout = reader.duration_ms(doc, "drained_ms", 100.0, 10'000.0);
    s.policy.initial_backoff = reader.duration_ms(doc, "back_off_ms", 10.0, 200.0);
    const YAML::Node all = doc["processes"];
    if (!all || !all.IsSequence() || all.size() == 0)
        reader.fail(all ? all : doc, "processes", "no list");
    std::set<std::string> ids;
    for (const auto& p : all) {
        reader.require_known_keys(p, "processes", {"id", "file", "program"});
        s.processes.push_back({reader.text(p, "id"), beside(path, reader.text(p, "file")),
                               reader.text(p, "program", program.c_str())});
        if (!ids.insert(s.processes.back().id).second)
            reader.fail(p["id"], "id", "a duplicate: " + s.processes.back().id);
    }
    return s;
}

}  // namespace

supervisor::SupervisorSettings load_supervisor(const std::string& path) {
    return load_yaml(path, read);
}

}  // namespace cressledge::config
