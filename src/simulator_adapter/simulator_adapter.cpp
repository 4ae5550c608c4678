#include "simulator_adapter/simulator_adapter.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <charconv>
#include <cmath>
#include <iostream>

#include "config/settings.hpp"

namespace cressledge::simulator_adapter {
namespace {

using namespace policy;

using rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

const Value* find_field(const Value& object, const char* name) {
    if (!object.IsObject())
        return nullptr;
    const auto it = object.FindMember(name);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
double number_or(const Value& object, const char* name, double fallback) {
    const Value* value = find_field(object, name);
    return value != nullptr && value->IsNumber() ? value->GetDouble() : fallback;
}
double required_number(const Value& object, const char* name) {
    const Value* value = find_field(object, name);
    if (value == nullptr || !value->IsNumber())
        throw MalformedBatch(std::string("missing number: ") + name);
    return value->GetDouble();
}
bool flag_or(const Value& object, const char* name, bool fallback = false) {
    const Value* value = find_field(object, name);
    return value != nullptr && value->IsBool() ? value->GetBool() : fallback;
}
std::string string_or_empty(const Value& object, const char* name) {
    const Value* value = find_field(object, name);
    return value != nullptr && value->IsString() ? std::string(value->GetString(), value->GetStringLength())
                                                 : std::string();
}
RequestId required_id(const Value& object, const char* name) {
    const Value* value = find_field(object, name);
    if (value == nullptr || !value->IsUint64())
        throw MalformedBatch(std::string("missing id: ") + name);
    return value->GetUint64();
}
Timestamp from_milliseconds(double milliseconds) {
    return Timestamp(std::llround(milliseconds * 1000.0));
}
Duration duration_or(const Value& object, const char* name, Duration fallback) {
    const Value* value = find_field(object, name);
    return value != nullptr && value->IsNumber() ? from_milliseconds(value->GetDouble()) : fallback;
}

template <class T>
T parse_choice(const std::string& text, std::initializer_list<std::pair<const char*, T>> choices,
               T fallback) {
    for (const auto& [name, value] : choices)
        if (text == name)
            return value;
    return fallback;
}

Outcome parse_outcome(const std::string& code) {
    return parse_choice<Outcome>(code,
                                 {{"delivered", Outcome::ok},
                                  {"shed", Outcome::rejected},
                                  {"expired", Outcome::timeout},
                                  {"dial_failed", Outcome::connect_failed},
                                  {"dropped", Outcome::reset},
                                  {"revoked", Outcome::cancelled},
                                  {"unused", Outcome::not_started}},
                                 Outcome::error);
}

// The mapping is the real server's: both decide by the same settings.
Settings parse_settings(const Value& info) {
    rapidjson::StringBuffer json;
    Writer writer(json);
    info.Accept(writer);
    try {
        return cressledge::config::settings_from_json({json.GetString(), json.GetSize()});
    } catch (const cressledge::config::ConfigError& e) {
        throw MalformedBatch(e.what());
    }
}

std::uint32_t parse_timer_token(const std::string& label) {
    std::uint32_t token = 0;
    std::from_chars(label.data(), label.data() + label.size(), token);
    return token;
}

struct ActionWriter {  // writes one action
    Writer& writer;
    const std::string& instance_name;

    void open_action(const char* name) const {
        writer.StartObject();
        writer.Key(name);
        writer.StartObject();
        writer.Key("who");
        writer.String(instance_name.data(), static_cast<rapidjson::SizeType>(instance_name.size()));
    }
    void close_action() const {
        writer.EndObject();
        writer.EndObject();
    }
    void write_request_action(const char* name, RequestId id) const {
        open_action(name);
        writer.Key("txn");
        writer.Uint64(id);
        close_action();
    }
    void write_timed_action(const char* name, RequestId id, const char* field, Duration span) const {
        open_action(name);
        writer.Key("txn");
        writer.Uint64(id);
        writer.Key(field);
        writer.Double(static_cast<double>(span.count()) / 1000.0);
        close_action();
    }
    void operator()(const Run& action) const { write_request_action("take", action.id); }
    void operator()(const Fail& action) const { write_request_action("respond-error", action.id); }
    void operator()(const Suspend& action) const { write_request_action("take-off", action.id); }
    void operator()(const SkipDependencyCall& action) const { write_request_action("fall-back", action.id); }
    void operator()(const ReleaseKey& action) const { write_request_action("unpin", action.id); }
    void operator()(const ReplayResult& action) const { write_request_action("replay", action.id); }
    void operator()(const CallDependency& action) const {
        write_timed_action("invoke", action.id, "patience", action.timeout);
    }
    void operator()(const RetainKey& action) const {
        write_timed_action("store-key", action.id, "span", action.duration);
    }
    void operator()(const Reject& action) const {
        open_action("turn-away");
        writer.Key("txn");
        writer.Uint64(action.id);
        writer.Key("retry-in");
        writer.Double(static_cast<double>(action.retry_after.count()) / 1000.0);
        writer.Key("dont-retry");
        writer.Bool(action.do_not_retry);
        close_action();
    }
    void operator()(const SetHealth& action) const {
        open_action("health");
        writer.Key("active");
        writer.Bool(action.healthy);
        writer.Key("cheap");
        writer.Bool(action.from_cache);
        close_action();
    }
    void operator()(const SetIdleTimeout& action) const {
        open_action("idle-limit");
        writer.Key("span");
        writer.Double(static_cast<double>(action.timeout.count()) / 1000.0);
        close_action();
    }
    void operator()(const AdvertiseLoad& action) const {
        open_action("hint-out");
        writer.Key("x");
        writer.Double(action.value);
        close_action();
    }
    void operator()(const ScheduleTimer& action) const {
        open_action("sleep");
        writer.Key("offset");
        writer.Double(static_cast<double>(action.delay.count()) / 1000.0);
        writer.Key("label");
        const std::string token = std::to_string(action.token);
        writer.String(token.data(), static_cast<rapidjson::SizeType>(token.size()));
        close_action();
    }
    void operator()(const WriteLog& action) const {
        open_action("trace");
        writer.Key("note-text");
        writer.String(action.text.data(), static_cast<rapidjson::SizeType>(action.text.size()));
        close_action();
    }
};

}  // namespace

void SimulatorAdapter::warn_once(const std::string& message) {
    if (warnings_.size() < 100 && warnings_.insert(message).second)
        std::cerr << "curlewreel: " << message << '\n';
}

std::string SimulatorAdapter::handle_batch(const std::string& batch) {
    rapidjson::Document document;
    document.Parse(batch.data(), batch.size());
    if (document.HasParseError() || !document.IsObject())
        throw MalformedBatch("a line that is not a batch");
    const Value* messages = find_field(document, "msgs");
    if (messages == nullptr || !messages->IsArray())
        throw MalformedBatch("a batch without msgs");
    const Timestamp now = from_milliseconds(required_number(document, "time"));
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("actions");
    writer.StartArray();
    std::vector<Action> actions;
    for (const Value& message : messages->GetArray()) {
        if (!message.IsObject() || message.MemberCount() != 1)
            throw MalformedBatch("a message without a single name");
        const std::string name = message.MemberBegin()->name.GetString();
        const Value& body = message.MemberBegin()->value;
        const std::string instance_name = string_or_empty(body, "who");
        if (instance_name.empty())
            throw MalformedBatch("a message without who: " + name);
        actions.clear();
        if (name == "born") {
            const Value* info = find_field(body, "info");
            if (info == nullptr)
                throw MalformedBatch("born without info");
            const Settings settings = parse_settings(*info);
            Instance new_instance;
            for (std::size_t i = 0; i < settings.classes.size(); ++i)
                new_instance.class_indexes[settings.classes[i].name] = i;
            for (std::size_t i = 0; i < settings.tenants.size(); ++i)
                new_instance.tenant_indexes[settings.tenants[i].name] = i;
            const Value* seed = find_field(body, "salt");
            new_instance.controller = make_admission_controller(
                settings, seed != nullptr && seed->IsUint64() ? seed->GetUint64() : 0);
            instances_[instance_name] = std::move(new_instance);
        } else if (name == "detach") {
            instances_.erase(instance_name);
            continue;
        }
        const auto entry = instances_.find(instance_name);
        if (entry == instances_.end()) {
            warn_once("an event for an instance that was not born: " + name);
            continue;
        }
        Instance& instance = entry->second;
        const auto deliver = [&](const Event& event) { instance.controller->handle(now, event, actions); };
        if (name == "born") {
            deliver(Started{});
        } else if (name == "inbound") {
            RequestArrived request;
            request.id = required_id(body, "txn");
            const auto lookup = [](const auto& table, const std::string& key) {
                const auto it = table.find(key);
                return it == table.end() ? unknown_index : it->second;
            };
            request.class_index = lookup(instance.class_indexes, string_or_empty(body, "type"));
            request.tenant_index = lookup(instance.tenant_indexes, string_or_empty(body, "account"));
            if (request.class_index == unknown_index)
                warn_once("a request of an unknown class");
            request.caller_id = static_cast<std::uint64_t>(number_or(body, "by", 0.0));
            request.repeated_id = static_cast<RequestId>(number_or(body, "repeats", 0.0));
            request.has_key = find_field(body, "resource") != nullptr;
            request.is_retry = flag_or(body, "repeat");
            request.is_write = flag_or(body, "mutates");
            request.expected_work_seconds = number_or(body, "weight-hint", 0.0) / 1000.0;
            request.rank = number_or(body, "place", request.rank);
            request.reserved_kb = number_or(body, "held-kb", 0.0);
            request.age = duration_or(body, "lay", Duration(0));
            const double deadline_ms = number_or(body, "client-deadline", 0.0);
            if (deadline_ms > 0.0)
                request.caller_deadline = from_milliseconds(deadline_ms);
            deliver(request);
        } else if (name == "finished") {
            deliver(RunFinished{required_id(body, "txn"), parse_outcome(string_or_empty(body, "code"))});
        } else if (name == "needs-dep") {
            deliver(DependencyCallRequested{required_id(body, "txn")});
        } else if (name == "downstream") {
            deliver(DependencyCallFinished{required_id(body, "txn"),
                                           parse_outcome(string_or_empty(body, "code")),
                                           duration_or(body, "wait-time", Duration(0))});
        } else if (name == "expired") {
            deliver(Cancelled{required_id(body, "txn")});
        } else if (name == "terminate-soon") {
            deliver(DrainStarted{from_milliseconds(required_number(body, "client-deadline"))});
        } else if (name == "wake") {
            TimerFired timer;
            timer.token = parse_timer_token(string_or_empty(body, "label"));
            if (const Value* usage = find_field(body, "usage"); usage != nullptr && usage->IsObject()) {
                const auto read_gauge = [&](const char* key, std::optional<double>& to) {
                    if (const Value* v = find_field(*usage, key); v != nullptr && v->IsNumber())
                        to = v->GetDouble();
                };
                read_gauge("cpu_busy", timer.gauges.cpu_utilization);
                read_gauge("runnable", timer.gauges.runnable);
                read_gauge("mem_used", timer.gauges.memory_used);
                read_gauge("sockets", timer.gauges.connections);
            }
            deliver(timer);
        } else {
            warn_once("an unknown kind of event: " + name);
        }
        for (const Action& action : actions)
            std::visit(ActionWriter{writer, instance_name}, action);
    }
    writer.EndArray();
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace cressledge::simulator_adapter
