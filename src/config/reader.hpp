// Reads fields of a YAML document, and names file, line and field in every complaint.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cmath>
#include <initializer_list>
#include <limits>
#include <set>
#include <string>

#include "config/node.hpp"
#include "config/settings.hpp"
#include "net/stream.hpp"

namespace cressledge::config {

constexpr double required = std::numeric_limits<double>::quiet_NaN();  // as a default: there is none

class YamlReader {
public:
    explicit YamlReader(const std::string& path) : path_(path) {}

    [[noreturn]] void fail(const YAML::Node& at, const std::string& field, const std::string& reason) const {
        const int line = at.IsDefined() ? at.Mark().line : 0;
        throw ConfigError(path_ + ":" + std::to_string(std::max(0, line) + 1) + ": " + field + ": " + reason);
    }
    // Guards against a misspelt name that would quietly leave a default in force.
    void require_known_keys(const YAML::Node& map, const std::string& section,
                            std::initializer_list<const char*> known_keys) const {
        if (!map.IsMap())
            fail(map, section, "not a mapping");
        std::set<std::string> seen;
        for (const auto& entry : map) {
            const std::string key = entry.first.Scalar();
            bool known = false;
            for (const char* name : known_keys)
                known = known || key == name;
            if (!known)
                fail(entry.first, key, "no such field");
            if (!seen.insert(key).second)
                fail(entry.first, key, "a duplicate");
        }
    }
    std::string text(const YAML::Node& map, const char* name, const char* default_value = nullptr) const {
        const YAML::Node value = map[name];
        if (!value && default_value != nullptr)
            return default_value;
        if (!value)
            fail(map, name, "missing");
        if (!value.IsScalar() || value.Scalar().empty())
            fail(value, name, "not a text");
        return value.Scalar();
    }
    double number(const YAML::Node& map, const char* name, double min, double max,
                  double default_value) const {
        const YAML::Node value = map[name];
        if (!value && !std::isnan(default_value))
            return default_value;
        if (!value)
            fail(map, name, "missing");
        double result = 0.0;
        if (!YAML::convert<double>::decode(value, result) || !(result >= min && result <= max))
            fail(value, name, "not a number from " + format_number(min) + " to " + format_number(max));
        return result;
    }
    policy::Duration duration_ms(const YAML::Node& map, const char* name, double min_ms,
                                 double default_ms) const {
        return policy::Duration(std::llround(number(map, name, min_ms, 3'600'000.0, default_ms) * 1000.0));
    }
    std::uint32_t integer(const YAML::Node& map, const char* name, double min, double max,
                          double default_value) const {
        const double value = number(map, name, min, max, default_value);
        if (value != std::floor(value))
            fail(map[name], name, "not a whole number");
        return static_cast<std::uint32_t>(value);
    }
    std::string address(const YAML::Node& map, const char* name) const {
        if (!map[name])
            return {};
        const std::string text_value = text(map, name);
        if (!net::Address::parse(text_value))
            fail(map[name], name, "not an address with a port: " + text_value);
        return text_value;
    }

private:
    static std::string format_number(double n) {
        std::string s = std::to_string(n);
        s.erase(s.find_last_not_of('0') + 1);
        if (s.back() == '.')
            s.pop_back();
        return s;
    }
    const std::string& path_;
};

// What `read(path, document)` makes of a file; what the parser finds wrong is told with file and line.
template <class Read>
auto load_yaml(const std::string& path, const Read& read) {
    const std::string text = read_file(path);
    try {
        return read(path, YAML::Load(text));
    } catch (const YAML::Exception& e) {
        throw ConfigError(path + ":" + std::to_string(std::max(0, e.mark.line) + 1) + ": yaml: " + e.msg);
    }
}

}  // namespace cressledge::config
