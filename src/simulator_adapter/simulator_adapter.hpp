// The bench's wire: batches of JSON events in, replies of JSON actions out. Translation only; no decisions.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>

#include "policy/admission_controller.hpp"

namespace cressledge::simulator_adapter {

struct MalformedBatch : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class SimulatorAdapter {
public:
    std::string handle_batch(const std::string& batch);  // one line in, one line out, without the newline

private:
    struct Instance {
        std::unique_ptr<policy::AdmissionController> controller;
        std::unordered_map<std::string, std::size_t> class_indexes, tenant_indexes;
    };
    void warn_once(const std::string& message);  // on stderr, once for each text
    std::map<std::string, Instance> instances_;
    std::set<std::string> warnings_;
};

}  // namespace cressledge::simulator_adapter
