/// Reads fields of a YAML document within their ranges; every error names file, line and field.
///
/// Owns the path of the file for its errors, and nothing of the document. Every function throws ConfigError.
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

/// As a default value of a number: there is none, and the field must be there.
constexpr double required = std::numeric_limits<double>::quiet_NaN();

/// Reads one file. Where a function takes a default value, it stands for a missing field.
class YamlReader {
public:
    /// `path`: the file that is read, for the text of errors.
    explicit YamlReader(std::string path) : path_(std::move(path)) {}

    /// The file that is read.
    const std::string& path() const { return path_; }

    /// Throws a ConfigError at the place of `at`, or at the file's first line where that is not defined.
    [[noreturn]] void fail(const YAML::Node& at, const std::string& field, const std::string& reason) const;
    /// Guards against a misspelt name that would quietly leave a default in force, and against duplicates.
    void require_known_keys(const YAML::Node& map, const std::string& section,
                            std::initializer_list<const char*> known_keys) const;
    /// A text that is not empty. Without a default the field must be there.
    std::string text(const YAML::Node& map, const char* name, const char* default_value = nullptr) const;
    /// true or false.
    bool flag(const YAML::Node& map, const char* name, bool default_value) const;
    /// A number from `min` to `max`.
    double number(const YAML::Node& map, const char* name, double min, double max,
                  double default_value) const;
    /// A whole number from `min` to `max`.
    std::uint32_t integer(const YAML::Node& map, const char* name, double min, double max,
                          double default_value) const;
    /// A field in milliseconds, up to an hour.
    policy::Duration duration_ms(const YAML::Node& map, const char* name, double min_ms,
                                 double default_ms) const;
    /// A field in seconds, up to a day.
    policy::Duration duration_s(const YAML::Node& map, const char* name, double min_s,
                                double default_s) const;
    /// An address with a port; empty where the field is missing.
    std::string address(const YAML::Node& map, const char* name) const;

private:
    const std::string path_;
};

/// The line of a node, from 1.
std::size_t line_of(const YAML::Node& node);

/// The ConfigError of a fault that the YAML parser found.
ConfigError yaml_error(const std::string& path, const YAML::Exception& error);

/// What `read(path, document)` makes of a file. Throws ConfigError, also for what the YAML parser finds wrong.
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
