/// Log lines of the program, in the form "component: event key=value ..." (docs/on-call.md).
///
/// The lines go to spdlog's default logger. The arguments are type-erased at the call, so that the formatting of numbers
/// is compiled once, in log.cpp, and not again in each file that logs.
#pragma once

#include <fmt/core.h>

#include <cstdint>
#include <utility>

namespace cressledge::base {

/// How urgent a line is, rising.
enum class LogLevel : std::uint8_t { debug, info, warning, error };

/// Formats one line and writes it. A line below the logger's level is not formatted.
void write_log_line(LogLevel level, fmt::string_view format, fmt::format_args arguments);

/// Writes a line at `level`. The format is checked when the call is compiled.
template <typename... Arguments>
void log(LogLevel level, fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    write_log_line(level, format, fmt::make_format_args(arguments...));
}

/// Writes a line for those who look for a fault in the program.
template <typename... Arguments>
void log_debug(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::debug, format, std::forward<Arguments>(arguments)...);
}

/// Writes a line on the normal course of the program.
template <typename... Arguments>
void log_info(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::info, format, std::forward<Arguments>(arguments)...);
}

/// Writes a line on something unusual that the program deals with by itself.
template <typename... Arguments>
void log_warning(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::warning, format, std::forward<Arguments>(arguments)...);
}

/// Writes a line on a fault that an operator has to see to.
template <typename... Arguments>
void log_error(fmt::format_string<Arguments...> format, Arguments&&... arguments) {
    log(LogLevel::error, format, std::forward<Arguments>(arguments)...);
}

}  // namespace cressledge::base
