// What the platform tells one server: NODE_CONFIG.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/settings.hpp"

namespace cressledge::config {

struct Node {
    std::string name, listen, engine, lookup;
    std::string records;  // empty: the settings name nothing that is called
    std::string control;  // the control address; empty: none
    std::uint64_t seed = 0;
    curlewreel::Span stop{3'000'000};  // between the notice to leave and the stop
    std::size_t sockets = 1024;
    std::size_t held = 0;  // descriptors that the process holds at the start
    int inherited = -1;  // the clients' listening socket, handed down by the platform; -1: bind `listen`
    std::vector<std::string> gauges;  // in the order in which the engine says them
    curlewreel::Settings settings;
    std::string source;  // of the settings, as read: a retune is due where it differs
};

std::string read_file(const std::string& path);  // throws Invalid
struct InvalidAt final : Invalid {
    InvalidAt(std::size_t at, const std::string& what) : Invalid(what), line(at) {}
    const std::size_t line;  // from 1: where the fault stands; of what is missing, where it would belong
};
Node node_from_json(const std::string& source);  // throws InvalidAt
Node load_node(const std::string& path);  // throws Invalid with file and line

}  // namespace cressledge::config
