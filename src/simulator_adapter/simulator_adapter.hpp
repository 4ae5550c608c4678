// Translates between the simulator's protocol (batches of JSON events in, JSON actions out) and the admission controller.
// Makes no decisions of its own.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "policy/admission_controller.hpp"
#include "simulator_adapter/malformed_batch.hpp"

namespace cressledge::simulator_adapter {

/// Runs one admission controller for each instance that the simulator has started. Instances share no state.
class SimulatorAdapter {
public:
    /// Handles one line of input and returns one line of output, both without the newline. Throws MalformedBatch.
    std::string handle_batch(const std::string& batch);

private:
    struct Instance {
        std::unique_ptr<policy::AdmissionController> controller;
        std::unordered_map<std::string, std::size_t> class_indexes, tenant_indexes;
    };
    struct Message;

    void start_instance(const Message& message);
    std::vector<policy::Action> handle_message(policy::Timestamp now, const Message& message);
    void warn_once(const std::string& warning);

    std::map<std::string, Instance> instances_;
    std::set<std::string> warnings_;
};

}  // namespace cressledge::simulator_adapter
