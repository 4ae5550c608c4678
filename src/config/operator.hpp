// The operator's file, which sets up the second front.
#pragma once

#include <cstdint>
#include <string>

#include "config/settings.hpp"

namespace cressledge::config {

struct Operator {
    std::string path;  // of the file itself
    std::string scgi, http;  // where to listen; empty: not at all
    std::string inventory, group;  // empty group: all servers
    curlewreel::Span stop{3'000'000}, whole{5'000'000};
    std::size_t connections = 256;
    double request_kb = 24.0;
    curlewreel::Settings settings;
};

Operator load_operator(const std::string& path);  // throws Invalid with file, line and field

}  // namespace cressledge::config
