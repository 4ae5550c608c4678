// Runs the tests with the program's log kept in memory.
#define CATCH_CONFIG_RUNNER
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "support.hpp"

namespace {
std::ostringstream log_lines;
}

std::string cressledge::testing::take_log() {
    std::string all = log_lines.str();
    log_lines.str({});
    return all;
}

int main(int argc, char** argv) {
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(log_lines);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    return Catch::Session().run(argc, argv);
}
