#include "config/node.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cressledge::config {

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    if (in && in.peek() != std::ifstream::traits_type::eof())
        out << in.rdbuf();
    if (!in.is_open() || in.bad() || !out)
        throw ConfigError(path + ": cannot be read");
    return out.str();
}

namespace {

std::size_t line_at(const std::string& source, std::size_t offset) {
    return 1 + static_cast<std::size_t>(std::count(
                   source.begin(),
                   source.begin() + static_cast<std::ptrdiff_t>(std::min(offset, source.size())), '\n'));
}
// Of the last of these words, each in quotes and behind the one before; where one is not there, of the one before it.
std::size_t line_of(const std::string& source, std::initializer_list<std::string_view> path) {
    std::size_t offset = 0;
    for (const std::string_view word : path) {
        const std::size_t next = source.find('"' + std::string(word) + '"', offset);
        if (next == std::string::npos)
            break;
        offset = next;
    }
    return line_at(source, offset);
}

}  // namespace

NodeConfig node_from_json(const std::string& source) {
    using nlohmann::json;
    using namespace nlohmann::literals;
    json document;
    try {
        document = json::parse(source);
    } catch (const json::parse_error& e) {
        throw ConfigErrorAtLine(line_at(source, e.byte), "not a JSON object");
    }
    if (!document.is_object())
        throw ConfigErrorAtLine(1, "not a JSON object");
    const auto fail_at = [&](std::initializer_list<std::string_view> at, const std::string& what) {
        throw ConfigErrorAtLine(line_of(source, at), what);
    };
    const auto text = [&](const char* name) {
        if (!document.contains(name) || !document[name].is_string())
            fail_at({name}, std::string("missing text: ") + name);
        return document[name].get<std::string>();
    };
    NodeConfig config;
    config.name = text("name");
    config.listen_address = text("listen");
    config.engine_address = text("engine");
    config.directory_address = text("lookup");
    if (document.contains("control") && !document["control"].is_null())
        config.admin_address = text("control");
    const std::string seed = text("seed");
    if (std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16).ptr !=
        seed.data() + seed.size())
        fail_at({"seed"}, "seed: not hexadecimal");
    if (!document.contains("stop_ms") || !document["stop_ms"].is_number())
        fail_at({"stop_ms"}, "missing number: stop_ms");
    config.stop_delay = policy::Duration(std::llround(document["stop_ms"].get<double>() * 1000.0));
    if (document.contains("limits") && document["limits"].is_object()) {
        const json& limits = document["limits"];
        if (limits.contains("sockets") && limits["sockets"].is_number())
            config.max_descriptors =
                static_cast<std::size_t>(std::max(32.0, limits["sockets"].get<double>()));
    }
    if (!document.contains("settings") || !document["settings"].is_object())
        fail_at({"settings"}, "missing object: settings");
    for (const json& g : document["settings"].value("/domain/gauges"_json_pointer, json::array()))
        if (g.is_string())
            config.gauge_names.push_back(g.get<std::string>());
    // Guards the classes in force against a file that would give one no name or no time to be answered in.
    const json& classes = document["settings"].value("classes", json());
    if (!classes.is_array() || classes.empty())
        fail_at({"settings", "classes"}, "settings: no classes");
    for (const json& c : classes) {
        if (!c.is_object() || !c.contains("name") || !c["name"].is_string() ||
            c["name"].get<std::string>().empty())
            fail_at({"settings", "classes"}, "settings: a class without a name");
        const std::string name = c["name"].get<std::string>();
        if (!c.contains("deadline") || !c["deadline"].is_number() || !(c["deadline"].get<double>() > 0.0))
            fail_at({"settings", "classes", name, "deadline"},
                    "settings: class " + name + ": the deadline is not a number above 0");
        // Without one, repeats are linked for as long as the deadline.
        if (const auto window = c.find("repeat-window");
            c.value("effect", json()) == "guarded" && window != c.end() &&
            !(window->is_number() && window->get<double>() > 0.0))
            fail_at({"settings", "classes", name, "repeat-window"},
                    "settings: class " + name + ": the repeat-window is not a number above 0");
    }
    config.settings_json = document["settings"].dump();
    try {
        config.policy_settings = settings_from_json(config.settings_json);
    } catch (const ConfigError& e) {
        fail_at({"settings"}, e.what());
    }
    // Where nothing is called below there is no such address.
    if (config.policy_settings.dependency != policy::Dependency::none || document.contains("records"))
        config.records_address = text("records");
    return config;
}

NodeConfig load_node_config(const std::string& path) {
    const std::string source = read_file(path);
    try {
        return node_from_json(source);
    } catch (const ConfigErrorAtLine& e) {
        throw ConfigError(path + ':' + std::to_string(e.line) + ": " + e.what());
    }
}

}  // namespace cressledge::config
