/// The errors of this module: what is wrong with a configuration, in which file, on which line and with which value.
///
/// Callers catch the types; the text is for operators and is never compared.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace cressledge::config {

/// Where a fault stands. Parts that are not known are empty or 0.
struct ConfigLocation {
    std::optional<std::string> file;
    /// From 1; of something that is missing, where it would belong.
    std::size_t line = 0;
    std::string field;
};

/// A configuration that cannot be used. The text is `FILE:LINE: FIELD: REASON`, without the parts that are not known.
class ConfigError : public std::runtime_error {
public:
    /// A reason without a place, such as an error of the command line.
    explicit ConfigError(const std::string& reason) : ConfigError(ConfigLocation{}, reason) {}
    /// `value`: the text that was found there; empty where something is missing.
    ConfigError(ConfigLocation location, const std::string& reason, std::string value = {})
        : std::runtime_error(format(location, reason)),
          location_(std::move(location)),
          reason_(reason),
          value_(std::move(value)) {}

    /// Where the error is: file, line and field, as far as known.
    const ConfigLocation& location() const { return location_; }
    /// What is wrong, without the place.
    const std::string& reason() const { return reason_; }
    /// The text that was found there; empty where something is missing.
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
