/// Reads fields of a YAML document and checks their ranges. Every error names file, line and field.
///
/// Every function that reads a field throws ConfigError.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <string>
#include <utility>

#include "config/config_error.hpp"
#include "config/file.hpp"
#include "policy/admission_controller.hpp"

namespace cressledge::config {

/// Passed as the default value of a number: the field is required.
constexpr double required = std::numeric_limits<double>::quiet_NaN();

/// Reads the fields of one file. A default value is returned if the field is missing.
class YamlReader {
public:
    /// `path` names the file in error messages.
    explicit YamlReader(std::string path) : path_(std::move(path)) {}

    /// Path of the file.
    const std::string& path() const { return path_; }

    /// Throws a ConfigError with the line of `at`, or line 1 if `at` is not defined.
    [[noreturn]] void fail(const YAML::Node& at, const std::string& field, const std::string& reason) const;
    /// Rejects unknown and duplicate keys. A misspelt key would otherwise leave a default in force unnoticed.
    void require_known_keys(const YAML::Node& map, const std::string& section,
                            std::initializer_list<const char*> known_keys) const;
    /// Reads a non-empty string. Without a default value the field is required.
    std::string text(const YAML::Node& map, const char* name, const char* default_value = nullptr) const;
    /// Reads `true` or `false`.
    bool flag(const YAML::Node& map, const char* name, bool default_value) const;
    /// Reads a number from `min` to `max`.
    double number(const YAML::Node& map, const char* name, double min, double max,
                  double default_value) const;
    /// Reads a whole number from `min` to `max`.
    std::uint32_t integer(const YAML::Node& map, const char* name, double min, double max,
                          double default_value) const;
    /// Reads a duration in milliseconds, up to an hour.
    policy::Duration duration_ms(const YAML::Node& map, const char* name, double min_ms,
                                 double default_ms) const;
    /// Reads a duration in seconds, up to a day.
    policy::Duration duration_s(const YAML::Node& map, const char* name, double min_s,
                                double default_s) const;
    /// Reads an address with a port; empty if the field is missing.
    std::string address(const YAML::Node& map, const char* name) const;

private:
    const std::string path_;
};

/// Returns the line of a node, counted from 1; 1 if the node is not defined.
std::size_t line_of(const YAML::Node& node);

/// Converts an error of the YAML parser.
ConfigError yaml_error(const std::string& path, const YAML::Exception& error);

/// Parses the file and returns `read(path, document)`. Throws ConfigError, also for invalid YAML.
template <class Read>
auto load_yaml(const std::string& path, const Read& read) {
    const std::string text = read_file(path);
    try {
        return read(path, YAML::Load(text));
    } catch (const YAML::Exception& error) {
        throw yaml_error(path, error);
    }
}

}  // namespace cressledge::config
