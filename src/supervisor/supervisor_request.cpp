#include "supervisor/supervisor_request.hpp"

#include <yaml-cpp/yaml.h>

#include <optional>

namespace cressledge::supervisor {
namespace {

constexpr std::size_t max_rollout_name_length = 128;

std::optional<std::string> text_field(const nlohmann::json& json, const char* name) {
    if (!json.is_object() || !json.contains(name) || !json[name].is_string())
        return std::nullopt;
    return json[name].get<std::string>();
}

void require_mapping(const std::string& overlay) {
    if (overlay.empty())
        return;
    bool is_mapping = false;
    try {
        is_mapping = YAML::Load(overlay).IsMap();
    } catch (const YAML::Exception& error) {
        throw RequestError(status_bad_request, std::string("overlay: ") + error.what());
    }
    if (!is_mapping)
        throw RequestError(status_bad_request, "overlay: not a YAML mapping");
}

}  // namespace

SupervisorRequest::SupervisorRequest(const std::string& body)
    : json_(nlohmann::json::parse(body, nullptr, false)) {
    const std::optional<std::string> name = text_field(json_, "roll");
    if (!name || name->empty() || name->size() > max_rollout_name_length)
        throw RequestError(status_bad_request, "roll: not a string of 1 to 128 characters");
    rollout_name_ = *name;
}

bool SupervisorRequest::takes_lease() const {
    if (!json_.contains("held") || !json_["held"].is_boolean())
        throw RequestError(status_bad_request, "held: not true or false");
    return json_["held"].get<bool>();
}

ProcessSpec SupervisorRequest::spec() const {
    const std::optional<std::string> program = text_field(json_, "program");
    const std::optional<std::string> overlay = text_field(json_, "overlay");
    if (!program || program->empty() || !overlay)
        throw RequestError(status_bad_request, "program and overlay: must be strings, program not empty");
    require_mapping(*overlay);
    return {*program, *overlay};
}

}  // namespace cressledge::supervisor
