// The bench's wire: batches of JSON events in, replies of JSON actions out. Translation only; no decisions.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>

#include "control.hpp"

namespace curlewreel::wire {

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Adapter {
public:
    std::string reply(const std::string& batch);  // one line in, one line out, without the newline

private:
    struct Instance {
        std::unique_ptr<Controller> controller;
        std::unordered_map<std::string, std::size_t> kinds, tenants;
    };
    void note(const std::string& what);  // on stderr, once for each text
    std::map<std::string, Instance> instances_;
    std::set<std::string> noted_;
};

}  // namespace curlewreel::wire
