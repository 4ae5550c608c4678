// Runs the tests and keeps the program's log in memory for `take_log`.
#define CATCH_CONFIG_RUNNER
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "support.hpp"

namespace {
std::ostringstream log_stream;
}

std::string cressledge::testing::take_log() {
    std::string log = log_stream.str();
    log_stream.str({});
    return log;
}

int main(int argc, char** argv) {
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(log_stream);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    return Catch::Session().run(argc, argv);
}
