#include "config/operator.hpp"

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <set>

#include "config/admission.hpp"
#include "config/yaml_reader.hpp"
#include "net/stream.hpp"

namespace cressledge::config {
namespace {

/// Running requests per core that a server survives, averaged over `runnable_window`.
constexpr double max_runnable_per_core = 5.0;
constexpr policy::Duration runnable_window{2'000'000};

policy::Idempotency read_idempotency(const YamlReader& reader, const YAML::Node& section) {
    const std::string effect = reader.text(section, "effect");
    if (effect == "safe")
        return policy::Idempotency::always;
    if (effect == "unsafe")
        return policy::Idempotency::never;
    reader.fail(section["effect"], "effect", "neither safe nor unsafe: " + effect);
}

policy::RequestClass read_class(const YamlReader& reader, const YAML::Node& section) {
    reader.require_known_keys(section, "classes",
                              {"name", "effect", "worth", "late_worth", "target_ms", "deadline_ms"});
    policy::RequestClass request_class;
    request_class.name = reader.text(section, "name");
    request_class.idempotency = read_idempotency(reader, section);
    request_class.priority_weight = reader.number(section, "worth", 0.0, 1e6, 1.0);
    request_class.late_priority_weight = reader.number(section, "late_worth", 0.0, 1.0, 0.0);
    request_class.latency_objective = reader.duration_ms(section, "target_ms", 1.0, required);
    request_class.answer_deadline = reader.duration_ms(section, "deadline_ms", 1.0, required);
    if (request_class.answer_deadline < request_class.latency_objective)
        reader.fail(section["deadline_ms"], "deadline_ms", "must not be less than target_ms");
    return request_class;
}

void read_classes(const YamlReader& reader, const YAML::Node& document, policy::Settings& settings) {
    const YAML::Node classes = document["classes"];
    if (!classes || !classes.IsSequence() || classes.size() == 0)
        reader.fail(classes ? classes : document, "classes", "must be a list with at least one entry");
    std::set<std::string> names;
    for (const auto& section : classes) {
        settings.classes.push_back(read_class(reader, section));
        const std::string& name = settings.classes.back().name;
        if (!names.insert(name).second)
            reader.fail(section, "name", "duplicate class name: " + name);
    }
}

void read_listen(const YamlReader& reader, const YAML::Node& document, OperatorConfig& config) {
    const YAML::Node listen = document["listen"];
    if (!listen)
        reader.fail(document, "listen", "missing");
    reader.require_known_keys(listen, "listen", {"scgi", "http", "control"});
    config.scgi_address = reader.address(listen, "scgi");
    config.http_address = reader.address(listen, "http");
    config.admin_address = reader.address(listen, "control");
    if (config.scgi_address.empty() && config.http_address.empty())
        reader.fail(listen, "listen", "requires an address in scgi, in http or in both");
}

void read_process_settings(const YamlReader& reader, const YAML::Node& document, OperatorConfig& config) {
    config.inventory_path = resolve_relative_path(reader.path(), reader.text(document, "inventory"));
    config.server_group = reader.text(document, "group", "");
    config.stop_delay = reader.duration_ms(document, "stop_ms", 200.0, 3000.0);
    config.request_timeout = reader.duration_ms(document, "header_ms", 1.0, 2500.0);
    config.admission.max_connections =
        static_cast<std::uint32_t>(reader.number(document, "connections", 1.0, 10'000.0, 256.0));
    config.request_kb = reader.number(document, "request_kb", 0.001, 1999.0, 24.0);
}

void read_policy_settings(const YamlReader& reader, const YAML::Node& document, policy::Settings& settings) {
    settings.cores = static_cast<int>(reader.number(document, "cores", 1.0, 1024.0, required));
    settings.memory_kb = reader.number(document, "memory_kb", 1.0, 1e9, 65536.0);
    settings.running_memory_factor = reader.number(document, "run_factor", 1.0, 1000.0, 1.0);
    settings.max_retry_after = reader.duration_ms(document, "hold_off_ms", 0.0, 1000.0);
    settings.drain_grace = reader.duration_ms(document, "drain_grace_ms", 0.0, 2000.0);
    settings.max_runnable_per_core = max_runnable_per_core;
    settings.runnable_window = runnable_window;
    // A call can only be stopped by closing it, and its work is then lost.
    settings.preemption = policy::Preemption::discard;
}

void read_learned_state(const YamlReader& reader, const YAML::Node& document, LearnedStateConfig& config) {
    const YAML::Node section = document["learning"];
    if (!section)
        return;
    reader.require_known_keys(section, "learning",
                              {"folder", "node", "period_s", "half_life_h", "max_age_h"});
    const auto read_hours = [&](const char* name, double max, double default_value) {
        const double value = reader.number(section, name, 0.01, max, default_value);
        return policy::Duration(std::llround(value * 3600.0 * 1e6));
    };
    config.directory = resolve_relative_path(reader.path(), reader.text(section, "folder"));
    config.node_name = reader.text(section, "node");
    config.save_interval =
        policy::Duration(std::llround(reader.number(section, "period_s", 0.1, 3600.0, 30.0) * 1e6));
    config.half_life = read_hours("half_life_h", 8760.0, 24.0);
    config.max_age = read_hours("max_age_h", 87'600.0, 336.0);
    if (config.max_age < config.half_life)
        reader.fail(section["max_age_h"], "max_age_h", "must not be less than half_life_h");
}

/// Returns the document as text, without the fields that a reload may change.
std::string dump_restart_only(const YAML::Node& document) {
    YAML::Node restart_only = YAML::Clone(document);
    for (const char* name : {"inventory", "group", "connections", "admission", "routing", "fleet"})
        restart_only.remove(name);
    return YAML::Dump(restart_only);
}

OperatorConfig read_operator_config(const std::string& path, const YAML::Node& document) {
    const YamlReader reader(path);
    reader.require_known_keys(document, "file",
                              {"listen", "inventory", "group", "stop_ms", "drain_grace_ms", "header_ms",
                               "connections", "request_kb", "cores", "memory_kb", "run_factor", "hold_off_ms",
                               "classes", "admission", "learning", "routing", "fleet"});
    OperatorConfig config;
    config.path = path;
    config.restart_only_yaml = dump_restart_only(document);
    if (document["routing"])
        config.routing_yaml = YAML::Dump(document["routing"]);
    read_listen(reader, document, config);
    read_process_settings(reader, document, config);
    read_policy_settings(reader, document, config.policy_settings);
    read_admission(reader, document, config);
    read_routing(reader, document, config.routing);
    config.gossip = read_fleet(reader, document);
    read_learned_state(reader, document, config.learned_state);
    read_classes(reader, document, config.policy_settings);
    return config;
}

}  // namespace

InheritedSockets inherited_sockets() {
    return {net::inherited_listening_socket("CRESSLEDGE_SCGI_FD"),
            net::inherited_listening_socket("CRESSLEDGE_HTTP_FD"),
            net::inherited_listening_socket("CRESSLEDGE_CONTROL_FD")};
}

OperatorConfig load_operator_config(const std::string& path) {
    return load_yaml(path, read_operator_config);
}

}  // namespace cressledge::config
