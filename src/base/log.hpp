/// Logging of lines in the form "component: event key=value ..." (docs/on-call.md).
///
/// Lines are written to spdlog's default logger. The arguments are type-erased at the call, so that the formatting code
/// is compiled only once, in log.cpp.
#pragma once

#include <fmt/core.h>

#include <cstdint>
#include <utility>

namespace cressledge::base {

/// Severity of a log line, in increasing order.
enum class LogLevel : std::uint8_t { debug, info, warning, error };

/// Formats one line and writes it. A line below the logger's level is not formatted.
void write_log_line(LogLevel level, fmt::string_view format, fmt::format_args arguments);

/// Writes a line at `level`. The format is checked at compile time.
template <typename... Arguments>
void log(LogLevel level, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    write_log_line(level, format, fmt::make_format_args(arguments...));
}

/// Logs details for debugging.
template <typename... Arguments>
void log_debug(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::debug, format, std::forward<Arguments>(arguments)...);
}

/// Logs an event of normal operation.
template <typename... Arguments>
void log_info(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::info, format, std::forward<Arguments>(arguments)...);
}

/// Logs an unusual event that the program handles by itself.
template <typename... Arguments>
void log_warning(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::warning, format, std::forward<Arguments>(arguments)...);
}

/// Logs a fault that an operator has to resolve.
template <typename... Arguments>
void log_error(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::error, format, std::forward<Arguments>(arguments)...);
}

}  // namespace cressledge::base
