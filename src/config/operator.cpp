#include "config/operator.hpp"

#include <yaml-cpp/yaml.h>

#include <set>

#include "config/admission.hpp"
#include "config/node.hpp"

namespace cressledge::config {
namespace {

policy::RequestClass read_class(const YamlReader& r, const YAML::Node& source) {
    r.require_known_keys(source, "classes",
                         {"name", "effect", "worth", "late_worth", "target_ms", "deadline_ms"});
    policy::RequestClass request_class;
    request_class.name = r.text(source, "name");
    const std::string effect = r.text(source, "effect");
    if (effect != "safe" && effect != "unsafe")
        r.fail(source["effect"], "effect", "neither safe nor unsafe: " + effect);
    request_class.idempotency = effect == "safe" ? policy::Idempotency::always : policy::Idempotency::never;
    request_class.priority_weight = r.number(source, "worth", 0.0, 1e6, 1.0);
    request_class.late_priority_weight = r.number(source, "late_worth", 0.0, 1.0, 0.0);
    request_class.latency_objective = r.duration_ms(source, "target_ms", 1.0, required);
    request_class.answer_deadline = r.duration_ms(source, "deadline_ms", 1.0, required);
    if (request_class.answer_deadline < request_class.latency_objective)
        r.fail(source["deadline_ms"], "deadline_ms", "before target_ms");
    return request_class;
}

OperatorConfig read(const std::string& path, const YAML::Node& doc) {
    const YamlReader reader(path);
    reader.require_known_keys(doc, "file",
                              {"listen", "inventory", "group", "stop_ms", "drain_grace_ms", "header_ms",
                               "connections", "request_kb", "cores", "memory_kb", "run_factor", "hold_off_ms",
                               "classes", "admission", "learning", "routing", "fleet"});
    OperatorConfig operator_config;
    operator_config.path = path;
    YAML::Node fixed = YAML::Clone(doc);
    for (const char* name : {"inventory", "group", "connections", "admission", "routing", "fleet"})
        fixed.remove(name);
    operator_config.restart_only_yaml = YAML::Dump(fixed);
    if (doc["routing"])
        operator_config.routing_yaml = YAML::Dump(doc["routing"]);
    const YAML::Node listen = doc["listen"];
    if (!listen)
        reader.fail(doc, "listen", "missing");
    reader.require_known_keys(listen, "listen", {"scgi", "http", "control"});
    operator_config.scgi_address = reader.address(listen, "scgi");
    operator_config.http_address = reader.address(listen, "http");
    operator_config.admin_address = reader.address(listen, "control");
    if (operator_config.scgi_address.empty() && operator_config.http_address.empty())
        reader.fail(listen, "listen", "neither scgi nor http");
    operator_config.inventory_path = reader.text(doc, "inventory");
    if (operator_config.inventory_path.front() != '/')
        operator_config.inventory_path.insert(0, path.substr(0, path.rfind('/') + 1));
    operator_config.server_group = reader.text(doc, "group", "");
    operator_config.stop_delay = reader.duration_ms(doc, "stop_ms", 200.0, 3000.0);
    operator_config.request_timeout = reader.duration_ms(doc, "header_ms", 1.0, 2500.0);
    operator_config.admission.max_connections =
        static_cast<std::uint32_t>(reader.number(doc, "connections", 1.0, 10'000.0, 256.0));
    operator_config.request_kb = reader.number(doc, "request_kb", 0.001, 1999.0, 24.0);
    policy::Settings& s = operator_config.policy_settings;
    s.cores = static_cast<int>(reader.number(doc, "cores", 1.0, 1024.0, required));
    s.memory_kb = reader.number(doc, "memory_kb", 1.0, 1e9, 65536.0);
    s.running_memory_factor = reader.number(doc, "run_factor", 1.0, 1000.0, 1.0);
    s.max_retry_after = reader.duration_ms(doc, "hold_off_ms", 0.0, 1000.0);
    s.drain_grace = reader.duration_ms(doc, "drain_grace_ms", 0.0, 2000.0);
    s.max_runnable_per_core = 5.0;
    s.runnable_window = policy::Duration(2'000'000);
    s.preemption =
        policy::Preemption::discard;  // a call that nobody waits for is closed, and its work is lost
    read_admission(reader, doc, operator_config);
    read_routing(reader, doc, operator_config.routing);
    operator_config.gossip = read_fleet(reader, doc);
    if (const YAML::Node l = doc["learning"]) {
        reader.require_known_keys(l, "learning", {"folder", "node", "period_s", "half_life_h", "max_age_h"});
        const auto seconds = [&](const char* name, double least, double most, double otherwise, double unit) {
            return policy::Duration(
                std::llround(reader.number(l, name, least, most, otherwise) * unit * 1e6));
        };
        operator_config.learned_state.directory = reader.text(l, "folder");
        if (operator_config.learned_state.directory.front() != '/')
            operator_config.learned_state.directory.insert(0, path.substr(0, path.rfind('/') + 1));
        operator_config.learned_state.node_name = reader.text(l, "node");
        operator_config.learned_state.save_interval = seconds("period_s", 0.1, 3600.0, 30.0, 1.0);
        operator_config.learned_state.half_life = seconds("half_life_h", 0.01, 8760.0, 24.0, 3600.0);
        operator_config.learned_state.max_age = seconds("max_age_h", 0.01, 87'600.0, 336.0, 3600.0);
        if (operator_config.learned_state.max_age < operator_config.learned_state.half_life)
            reader.fail(l["max_age_h"], "max_age_h", "below half_life_h");
    }
    const YAML::Node classes = doc["classes"];
    if (!classes || !classes.IsSequence() || classes.size() == 0)
        reader.fail(classes ? classes : doc, "classes", "no list");
    std::set<std::string> names;
    for (const auto& c : classes) {
        s.classes.push_back(read_class(reader, c));
        if (!names.insert(s.classes.back().name).second)
            reader.fail(c, "name", "a duplicate: " + s.classes.back().name);
    }
    return operator_config;
}

}  // namespace

OperatorConfig::InheritedSockets inherited_sockets() {
    return {net::inherited_listening_socket("CRESSLEDGE_SCGI_FD"),
            net::inherited_listening_socket("CRESSLEDGE_HTTP_FD"),
            net::inherited_listening_socket("CRESSLEDGE_CONTROL_FD")};
}

OperatorConfig load_operator_config(const std::string& path) {
    return load_yaml(path, read);
}

}  // namespace cressledge::config
