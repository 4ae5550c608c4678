#include "base/log.hpp"

#include <spdlog/spdlog.h>

#include <iterator>

namespace cressledge::base {
namespace {

spdlog::level::level_enum to_spdlog_level(LogLevel level) {
    switch (level) {
        case LogLevel::debug:
            return spdlog::level::debug;
        case LogLevel::info:
            return spdlog::level::info;
        case LogLevel::warning:
            return spdlog::level::warn;
        case LogLevel::error:
            return spdlog::level::err;
    }
    return spdlog::level::info;
}

}  // namespace

void write_log_line(LogLevel level, fmt::string_view format, fmt::format_args arguments) {
    spdlog::logger& logger = *spdlog::default_logger_raw();
    const spdlog::level::level_enum spdlog_level = to_spdlog_level(level);
    if (!logger.should_log(spdlog_level))
        return;
    fmt::memory_buffer line;
    fmt::vformat_to(std::back_inserter(line), format, arguments);
    logger.log(spdlog_level, spdlog::string_view_t(line.data(), line.size()));
}

}  // namespace cressledge::base
