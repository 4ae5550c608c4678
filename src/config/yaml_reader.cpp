#include "config/yaml_reader.hpp"

#include <algorithm>
#include <cmath>
#include <set>

#include "net/stream.hpp"

namespace cressledge::config {
namespace {

constexpr double max_duration_ms = 3'600'000.0;
constexpr double max_duration_s = 86'400.0;

/// Formats a number without trailing zeros.
std::string format_number(double number) {
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

/// Converts a mark of the YAML parser, which counts lines from 0 and is negative if there is no location.
std::size_t line_of_mark(const YAML::Mark& mark) {
    return static_cast<std::size_t>(std::max(0, mark.line)) + 1;
}

/// Returns ": VALUE" for an error message; empty if the node is not defined or not a scalar.
std::string value_suffix(const YAML::Node& node) {
    return node.IsDefined() && node.IsScalar() ? ": " + node.Scalar() : std::string();
}

}  // namespace

std::size_t line_of(const YAML::Node& node) {
    return node.IsDefined() ? line_of_mark(node.Mark()) : 1;
}

ConfigError yaml_error(const std::string& path, const YAML::Exception& error) {
    return {{path, line_of_mark(error.mark), "yaml"}, error.msg};
}

void YamlReader::fail(const YAML::Node& at, const std::string& field, const std::string& reason) const {
    const bool has_value = at.IsDefined() && at.IsScalar();
    throw ConfigError({path_, line_of(at), field}, reason, has_value ? at.Scalar() : std::string());
}

void YamlReader::require_known_keys(const YAML::Node& map, const std::string& section,
                                    std::initializer_list<const char*> known_keys) const {
    if (!map.IsMap())
        fail(map, section, "not a YAML mapping");
    std::set<std::string> seen;
    for (const auto& entry : map) {
        const std::string key = entry.first.Scalar();
        if (std::find(known_keys.begin(), known_keys.end(), key) == known_keys.end())
            fail(entry.first, key, "no such field");
        if (!seen.insert(key).second)
            fail(entry.first, key, "duplicate field");
    }
}

std::string YamlReader::text(const YAML::Node& map, const char* name, const char* default_value) const {
    const YAML::Node value = map[name];
    if (!value && default_value != nullptr)
        return default_value;
    if (!value)
        fail(map, name, "missing");
    if (!value.IsScalar() || value.Scalar().empty())
        fail(value, name, "must be a non-empty string");
    return value.Scalar();
}

bool YamlReader::flag(const YAML::Node& map, const char* name, bool default_value) const {
    const YAML::Node value = map[name];
    bool result = default_value;
    if (value && !YAML::convert<bool>::decode(value, result))
        fail(value, name, "neither true nor false" + value_suffix(value));
    return result;
}

double YamlReader::number(const YAML::Node& map, const char* name, double min, double max,
                          double default_value) const {
    const YAML::Node value = map[name];
    if (!value && !std::isnan(default_value))
        return default_value;
    if (!value)
        fail(map, name, "missing");
    double result = 0.0;
    if (!YAML::convert<double>::decode(value, result) || !(result >= min && result <= max))
        fail(value, name,
             "not a number from " + format_number(min) + " to " + format_number(max) + value_suffix(value));
    return result;
}

std::uint32_t YamlReader::integer(const YAML::Node& map, const char* name, double min, double max,
                                  double default_value) const {
    const double value = number(map, name, min, max, default_value);
    if (value != std::floor(value))
        fail(map[name], name, "not a whole number" + value_suffix(map[name]));
    return static_cast<std::uint32_t>(value);
}

policy::Duration YamlReader::duration_ms(const YAML::Node& map, const char* name, double min_ms,
                                         double default_ms) const {
    return policy::Duration(std::llround(number(map, name, min_ms, max_duration_ms, default_ms) * 1000.0));
}

policy::Duration YamlReader::duration_s(const YAML::Node& map, const char* name, double min_s,
                                        double default_s) const {
    return policy::Duration(std::llround(number(map, name, min_s, max_duration_s, default_s) * 1e6));
}

std::string YamlReader::address(const YAML::Node& map, const char* name) const {
    if (!map[name])
        return {};
    std::string value = text(map, name);
    if (!net::Address::parse(value))
        fail(map[name], name, "not an address with a port: " + value);
    return value;
}

}  // namespace cressledge::config
