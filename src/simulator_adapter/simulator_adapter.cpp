#include "simulator_adapter/simulator_adapter.hpp"

#include <iostream>
#include <optional>
#include <utility>
#include <vector>

#include "config/settings.hpp"
#include "simulator_adapter/action_writer.hpp"
#include "simulator_adapter/event_reader.hpp"

namespace cressledge::simulator_adapter {
namespace {

/// Distinct warnings printed by one adapter.
constexpr std::size_t max_warnings = 100;

// Uses the server's own mapping so that both decide by the same settings.
policy::Settings read_settings(const rapidjson::Value& info) {
    rapidjson::StringBuffer json;
    JsonWriter writer(json);
    info.Accept(writer);
    try {
        return config::settings_from_json({json.GetString(), json.GetSize()});
    } catch (const config::ConfigError& error) {
        throw MalformedBatch(error.what());
    }
}

}  // namespace

/// A JSON object with one member, whose name is the event's name and whose value is its body.
struct SimulatorAdapter::Message {
    explicit Message(const rapidjson::Value& message) : body(single_member(message).value) {
        name = single_member(message).name.GetString();
        instance_name = text_or_empty(body, "who");
        if (instance_name.empty())
            throw MalformedBatch("message " + name + ": who: missing or empty");
    }

    const rapidjson::Value& body;
    std::string name;
    std::string instance_name;

private:
    static const rapidjson::Value::Member& single_member(const rapidjson::Value& message) {
        if (!message.IsObject() || message.MemberCount() != 1)
            throw MalformedBatch("a message is not an object with exactly one member");
        return *message.MemberBegin();
    }
};

void SimulatorAdapter::warn_once(const std::string& warning) {
    if (warnings_.size() < max_warnings && warnings_.insert(warning).second)
        std::cerr << "cressledge_simulator_adapter: " << warning << '\n';
}

void SimulatorAdapter::start_instance(const Message& message) {
    const rapidjson::Value* info = find_field(message.body, "info");
    if (info == nullptr)
        throw MalformedBatch("message born: info: missing");
    const policy::Settings settings = read_settings(*info);
    Instance instance;
    for (std::size_t i = 0; i < settings.classes.size(); ++i)
        instance.class_indexes[settings.classes[i].name] = i;
    for (std::size_t i = 0; i < settings.tenants.size(); ++i)
        instance.tenant_indexes[settings.tenants[i].name] = i;
    const rapidjson::Value* salt = find_field(message.body, "salt");
    const std::uint64_t seed = salt != nullptr && salt->IsUint64() ? salt->GetUint64() : 0;
    instance.controller = policy::make_admission_controller(settings, seed);
    instances_[message.instance_name] = std::move(instance);
}

std::vector<policy::Action> SimulatorAdapter::handle_message(policy::Timestamp now, const Message& message) {
    if (message.name == "detach") {
        instances_.erase(message.instance_name);
        return {};
    }
    if (message.name == "born")
        start_instance(message);
    const auto it = instances_.find(message.instance_name);
    if (it == instances_.end()) {
        warn_once("event for an unknown instance: " + message.name);
        return {};
    }
    const Instance& instance = it->second;
    const std::optional<policy::Event> event =
        read_event(message.name, message.body, instance.class_indexes, instance.tenant_indexes);
    if (!event) {
        warn_once("unknown event: " + message.name);
        return {};
    }
    const auto* request = std::get_if<policy::RequestArrived>(&*event);
    if (request != nullptr && request->class_index == policy::unknown_index)
        warn_once("request of an unknown class");
    std::vector<policy::Action> actions;
    instance.controller->handle(now, *event, actions);
    return actions;
}

std::string SimulatorAdapter::handle_batch(const std::string& batch) {
    rapidjson::Document document;
    document.Parse(batch.data(), batch.size());
    if (document.HasParseError() || !document.IsObject())
        throw MalformedBatch("the line is not a batch: not a JSON object");
    const rapidjson::Value* messages = find_field(document, "msgs");
    if (messages == nullptr || !messages->IsArray())
        throw MalformedBatch("batch: msgs: missing or not an array");
    const policy::Timestamp now = from_milliseconds(required_number(document, "time"));
    rapidjson::StringBuffer reply;
    JsonWriter writer(reply);
    writer.StartObject();
    writer.Key("actions");
    writer.StartArray();
    for (const rapidjson::Value& value : messages->GetArray()) {
        const Message message(value);
        for (const policy::Action& action : handle_message(now, message))
            std::visit(ActionWriter(writer, message.instance_name), action);
    }
    writer.EndArray();
    writer.EndObject();
    return {reply.GetString(), reply.GetSize()};
}

}  // namespace cressledge::simulator_adapter
