#include "config/node.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace cressledge::config {
namespace {

using nlohmann::json;

constexpr double min_descriptors = 32.0;

/// Keys from the outermost to the innermost.
using KeyPath = std::initializer_list<std::string_view>;

std::size_t line_at(const std::string& source, std::size_t offset) {
    const auto end = source.begin() + static_cast<std::ptrdiff_t>(std::min(offset, source.size()));
    return 1 + static_cast<std::size_t>(std::count(source.begin(), end, '\n'));
}

/// Returns the line of the last key of the path; each key is searched for after the one before it. If a key is missing,
/// returns the line of the key before it.
std::size_t line_of_key(const std::string& source, KeyPath path) {
    std::size_t offset = 0;
    for (const std::string_view key : path) {
        const std::size_t next = source.find('"' + std::string(key) + '"', offset);
        if (next == std::string::npos)
            break;
        offset = next;
    }
    return line_at(source, offset);
}

bool is_positive_number(const json& value) {
    return value.is_number() && value.get<double>() > 0.0;
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

    [[noreturn]] void fail(KeyPath path, const std::string& reason, std::string value = {}) const {
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
        const json limits = document_.value("limits", json());
        const json sockets = limits.is_object() ? limits.value("sockets", json()) : json();
        if (sockets.is_number())
            config.max_descriptors =
                static_cast<std::size_t>(std::max(min_descriptors, sockets.get<double>()));
    }

    void read_settings(NodeConfig& config) const {
        using namespace nlohmann::literals;
        const json settings = document_.value("settings", json());
        if (!settings.is_object())
            fail({"settings"}, "settings: missing or not an object", dump_value(settings));
        for (const json& gauge : settings.value("/domain/gauges"_json_pointer, json::array()))
            if (gauge.is_string())
                config.gauge_names.push_back(gauge.get<std::string>());
        check_classes(settings.value("classes", json()));
        config.settings_json = settings.dump();
        try {
            config.policy_settings = settings_from_json(config.settings_json);
        } catch (const ConfigError& error) {
            fail({"settings"}, error.reason(), error.value());
        }
    }

    // Rejects classes without a name or without a positive deadline, so that a reload keeps the settings in force.
    void check_classes(const json& classes) const {
        if (!classes.is_array() || classes.empty())
            fail({"settings", "classes"}, "settings: classes must be a list with at least one entry");
        for (const json& request_class : classes)
            check_class(request_class);
    }

    void check_class(const json& request_class) const {
        const json name_value = request_class.is_object() ? request_class.value("name", json()) : json();
        if (!name_value.is_string() || name_value.get<std::string>().empty())
            fail({"settings", "classes"}, "settings: a class has no name", dump_value(name_value));
        const std::string name = name_value.get<std::string>();
        const std::string prefix = "settings: class " + name + ": ";
        const json deadline = request_class.value("deadline", json());
        if (!is_positive_number(deadline))
            fail({"settings", "classes", name, "deadline"}, prefix + "deadline is not a number above 0",
                 dump_value(deadline));
        // Without a window, repeated requests are recognised for the length of the deadline.
        const auto window = request_class.find("repeat-window");
        const bool has_window =
            request_class.value("effect", json()) == "guarded" && window != request_class.end();
        if (has_window && !is_positive_number(*window))
            fail({"settings", "classes", name, "repeat-window"},
                 prefix + "repeat-window is not a number above 0", dump_value(*window));
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
