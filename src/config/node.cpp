#include "config/node.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/settings_check.hpp"

namespace cressledge::config {
namespace {

using nlohmann::json;

constexpr double min_descriptors = 32.0;

/// Keys from the outermost to the innermost.
using KeyPath = std::vector<std::string>;

std::size_t line_at(const std::string& source, std::size_t offset) {
    const auto end = source.begin() + static_cast<std::ptrdiff_t>(std::min(offset, source.size()));
    return 1 + static_cast<std::size_t>(std::count(source.begin(), end, '\n'));
}

/// Returns the line of the last key of the path; each key is searched for after the one before it. If a key is missing,
/// returns the line of the key before it.
std::size_t line_of_key(const std::string& source, const KeyPath& path) {
    std::size_t offset = 0;
    for (const std::string& key : path) {
        const std::size_t next = source.find('"' + key + '"', offset);
        if (next == std::string::npos)
            break;
        offset = next;
    }
    return line_at(source, offset);
}

std::string dump_value(const json& value) {
    return value.is_null() ? std::string() : value.dump();
}

class NodeConfigReader {
public:
    explicit NodeConfigReader(const std::string& source) : source_(source), document_(parse(source)) {}

    NodeConfig read() const {
        NodeConfig config;
        read_addresses(config);
        read_process_settings(config);
        read_settings(config);
        // The address may be missing if requests call no dependency.
        if (config.policy_settings.dependency != policy::Dependency::none || document_.contains("records"))
            config.records_address = required_text("records");
        return config;
    }

private:
    static json parse(const std::string& source) {
        try {
            json document = json::parse(source);
            if (document.is_object())
                return document;
        } catch (const json::parse_error& error) {
            throw ConfigError({{}, line_at(source, error.byte), {}}, "not a JSON object");
        }
        throw ConfigError({{}, 1, {}}, "not a JSON object");
    }

    [[noreturn]] void fail(const KeyPath& path, const std::string& reason, std::string value = {}) const {
        throw ConfigError({{}, line_of_key(source_, path), {}}, reason, std::move(value));
    }

    std::string required_text(const char* name) const {
        const json value = document_.value(name, json());
        if (!value.is_string())
            fail({name}, std::string(name) + ": missing or not a string", dump_value(value));
        return value.get<std::string>();
    }

    void read_addresses(NodeConfig& config) const {
        config.name = required_text("name");
        config.listen_address = required_text("listen");
        config.engine_address = required_text("engine");
        config.directory_address = required_text("lookup");
        if (document_.contains("control") && !document_["control"].is_null())
            config.admin_address = required_text("control");
    }

    void read_process_settings(NodeConfig& config) const {
        const std::string seed = required_text("seed");
        const char* seed_end = seed.data() + seed.size();
        if (std::from_chars(seed.data(), seed_end, config.seed, 16).ptr != seed_end)
            fail({"seed"}, "seed: not a hexadecimal number: " + seed, seed);
        const json stop_ms = document_.value("stop_ms", json());
        if (!stop_ms.is_number())
            fail({"stop_ms"}, "stop_ms: missing or not a number", dump_value(stop_ms));
        config.stop_delay = policy::Duration(std::llround(stop_ms.get<double>() * 1000.0));
        required_limit("cores");
        required_limit("memory_mb");
        config.max_descriptors =
            static_cast<std::size_t>(std::max(min_descriptors, required_limit("sockets")));
    }

    double required_limit(const char* name) const {
        const json limits = document_.value("limits", json());
        const json limit = limits.is_object() ? limits.value(name, json()) : json();
        if (!limit.is_number())
            fail({"limits", name}, std::string("limits.") + name + ": missing or not a number",
                 dump_value(limit));
        return limit.get<double>();
    }

    void read_settings(NodeConfig& config) const {
        const json settings = document_.value("settings", json());
        if (!settings.is_object())
            fail({"settings"}, "settings: missing or not an object", dump_value(settings));
        config.settings_json = settings.dump();
        try {
            config.policy_settings = settings_from_json(config.settings_json);
        } catch (const ConfigError& error) {
            fail({"settings"}, error.reason(), error.value());
        }
        check_settings(settings);
        settings["domain"]["gauges"].get_to(config.gauge_names);
    }

    // Rejects incomplete settings, so that a reload keeps those in force.
    void check_settings(const json& settings) const {
        const std::optional<SettingsDefect> defect = find_settings_defect(settings);
        if (!defect)
            return;
        KeyPath path{"settings"};
        path.insert(path.end(), defect->path.begin(), defect->path.end());
        fail(path, "settings: " + defect->reason, defect->value);
    }

    const std::string& source_;
    const json document_;
};

}  // namespace

NodeConfig node_from_json(const std::string& source) {
    return NodeConfigReader(source).read();
}

NodeConfig load_node_config(const std::string& path) {
    const std::string source = read_file(path);
    try {
        return node_from_json(source);
    } catch (const ConfigError& error) {
        throw ConfigError({path, error.location().line, {}}, error.reason(), error.value());
    }
}

}  // namespace cressledge::config
