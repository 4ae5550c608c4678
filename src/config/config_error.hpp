/// Errors in a configuration, with file, line, field and value.
///
/// Callers distinguish errors by type. The message is for operators only.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace cressledge::config {

/// Location of an error. Members that are not known are empty or 0.
struct ConfigLocation {
    std::optional<std::string> file;
    /// Counted from 1. For a missing field, the line where it would belong.
    std::size_t line = 0;
    std::string field;
};

/// An invalid configuration. The message is `FILE:LINE: FIELD: REASON`, without the items that are not known.
class ConfigError : public std::runtime_error {
public:
    /// An error without a location, for example in the command line.
    explicit ConfigError(const std::string& reason) : ConfigError(ConfigLocation{}, reason) {}
    /// `value` is the invalid text in the file; empty if a field is missing.
    ConfigError(ConfigLocation location, const std::string& reason, std::string value = {})
        : std::runtime_error(format(location, reason)),
          location_(std::move(location)),
          reason_(reason),
          value_(std::move(value)) {}

    /// File, line and field of the error, as far as known.
    const ConfigLocation& location() const { return location_; }
    /// What is wrong, without the location.
    const std::string& reason() const { return reason_; }
    /// The invalid text in the file; empty if a field is missing.
    const std::string& value() const { return value_; }

private:
    static std::string format(const ConfigLocation& location, const std::string& reason) {
        if (!location.file)
            return reason;
        std::string text = *location.file;
        if (location.line != 0)
            text += ':' + std::to_string(location.line);
        text += ": ";
        if (!location.field.empty())
            text += location.field + ": ";
        return text + reason;
    }

    ConfigLocation location_;
    std::string reason_, value_;
};

}  // namespace cressledge::config
