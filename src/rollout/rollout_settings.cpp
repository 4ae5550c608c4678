#include "rollout/rollout_settings.hpp"

#include <set>

#include "config/node.hpp"
#include "config/reader.hpp"

namespace cressledge::config {
namespace {

rollout::RolloutStage read_stage(const YamlReader& r, const YAML::Node& at) {
    const std::string text = at.IsScalar() ? at.Scalar() : "";
    const bool share = !text.empty() && text.back() == '%';
    double n = 0.0;
    if (!YAML::convert<double>::decode(YAML::Node(share ? text.substr(0, text.size() - 1) : text), n) ||
        !(n > 0.0) || (share ? n > 100.0 : n != std::floor(n) || n > 1e6))
        r.fail(at, "stages", "neither a whole number of processes nor a share such as 25%");
    if (share)
        return {n / 100.0, 0};
    return {0.0, static_cast<std::size_t>(n)};
}

RolloutSettings read(const std::string& path, const YAML::Node& doc) {
    const YamlReader reader(path);
    reader.require_known_keys(doc, "file",
                              {"name", "supervisors", "change", "stages", "bake_s", "hold_s", "change_s",
                               "at_once", "look_ms", "margins", "seed"});
    RolloutSettings p;
    p.plan.name = reader.text(doc, "name");
    if (p.plan.name.size() > 128)
        reader.fail(doc["name"], "name", "over 128 characters");
    const YAML::Node supervisors = doc["supervisors"];
    if (!supervisors || !supervisors.IsSequence() || supervisors.size() == 0)
        reader.fail(supervisors ? supervisors : doc, "supervisors", "no list");
    std::set<std::string> seen;
    for (const auto& s : supervisors) {
        if (!s.IsScalar() || !net::Address::parse(s.Scalar()))
            reader.fail(s, "supervisors", "not an address with a port");
        if (!seen.insert(s.Scalar()).second)
            reader.fail(s, "supervisors", "a duplicate: " + s.Scalar());
        p.supervisor_addresses.push_back(s.Scalar());
    }
    const YAML::Node change = doc["change"];
    if (!change)
        reader.fail(doc, "change", "missing");
    reader.require_known_keys(change, "change", {"program", "settings"});
    p.plan.target_spec.program = reader.text(change, "program", "");
    if (!p.plan.target_spec.program.empty() && p.plan.target_spec.program.front() != '/')
        reader.fail(change["program"], "program", "not a whole path");
    if (const std::string file = reader.text(change, "settings", ""); !file.empty()) {
        const std::string at = file.front() == '/' ? file : path.substr(0, path.rfind('/') + 1) + file;
        p.plan.target_spec.overlay = read_file(at);
        const YAML::Node overlay = YAML::Load(p.plan.target_spec.overlay);
        if (!overlay.IsMap() || overlay.size() == 0)
            reader.fail(change["settings"], "settings", "not a mapping: " + at);
    }
    if (p.plan.target_spec == supervisor::ProcessSpec{})
        reader.fail(change, "change", "neither a program nor settings");
    const YAML::Node stages = doc["stages"];
    if (!stages || !stages.IsSequence() || stages.size() == 0)
        reader.fail(stages ? stages : doc, "stages", "no list");
    for (const auto& s : stages)
        p.plan.stages.push_back(read_stage(reader, s));
    const auto seconds = [&](const char* name, double least, double otherwise) {
        return policy::Duration(std::llround(reader.number(doc, name, least, 86'400.0, otherwise) * 1e6));
    };
    p.plan.bake_time = seconds("bake_s", 0.5, 300.0);
    p.plan.max_inconclusive_time = seconds("hold_s", 1.0, 900.0);
    p.plan.update_timeout = seconds("change_s", 1.0, 120.0);
    p.plan.max_concurrent_updates = reader.integer(doc, "at_once", 1.0, 10'000.0, 8.0);
    p.plan.order_seed = reader.integer(doc, "seed", 0.0, 4e9, 1.0);
    p.observation_interval = reader.duration_ms(doc, "look_ms", 50.0, 1000.0);
    if (const YAML::Node m = doc["margins"]) {
        reader.require_known_keys(
            m, "margins", {"errors", "refusals", "late", "effect", "tail", "alpha", "least_requests"});
        rollout::Tolerances& k = p.plan.tolerances;
        k.error_rate = reader.number(m, "errors", 0.0, 1.0, k.error_rate);
        k.shed_rate = reader.number(m, "refusals", 0.0, 1.0, k.shed_rate);
        k.late_rate = reader.number(m, "late", 0.0, 1.0, k.late_rate);
        k.slower_probability = reader.number(m, "effect", 0.5, 1.0, k.slower_probability);
        k.tail_rate = reader.number(m, "tail", 0.0, 1.0, k.tail_rate);
        k.significance_level = reader.number(m, "alpha", 1e-9, 0.5, k.significance_level);
        k.min_requests = reader.number(m, "least_requests", 1.0, 1e9, k.min_requests);
    }
    return p;
}

}  // namespace

RolloutSettings load_rollout(const std::string& path) {
    return load_yaml(path, read);
}

}  // namespace cressledge::config
