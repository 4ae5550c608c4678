// Writes actions of the admission controller as the simulator's JSON.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <string>

#include "simulator_adapter/json_fields.hpp"

namespace cressledge::simulator_adapter {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes the actions of one instance. Visitor of policy::Action.
class ActionWriter {
public:
    /// Both must outlive the writer.
    ActionWriter(JsonWriter& writer, const std::string& instance_name)
        : writer_(writer), instance_name_(instance_name) {}

    void operator()(const policy::Run& action) const { write_request("take", action.id); }
    void operator()(const policy::Fail& action) const { write_request("respond-error", action.id); }
    void operator()(const policy::Suspend& action) const { write_request("take-off", action.id); }
    void operator()(const policy::SkipDependencyCall& action) const { write_request("fall-back", action.id); }
    void operator()(const policy::ReleaseKey& action) const { write_request("unpin", action.id); }
    void operator()(const policy::ReplayResult& action) const { write_request("replay", action.id); }
    void operator()(const policy::CallDependency& action) const {
        open_request("invoke", action.id);
        write_duration("patience", action.timeout);
        close();
    }
    void operator()(const policy::RetainKey& action) const {
        open_request("store-key", action.id);
        write_duration("span", action.duration);
        close();
    }
    void operator()(const policy::Reject& action) const {
        open_request("turn-away", action.id);
        write_duration("retry-in", action.retry_after);
        write_flag("dont-retry", action.do_not_retry);
        close();
    }
    void operator()(const policy::SetHealth& action) const {
        open("health");
        write_flag("active", action.healthy);
        write_flag("cheap", action.from_cache);
        close();
    }
    void operator()(const policy::SetIdleTimeout& action) const {
        open("idle-limit");
        write_duration("span", action.timeout);
        close();
    }
    void operator()(const policy::AdvertiseLoad& action) const {
        open("hint-out");
        writer_.Key("x");
        writer_.Double(action.value);
        close();
    }
    void operator()(const policy::ScheduleTimer& action) const {
        open("sleep");
        write_duration("offset", action.delay);
        write_text("label", std::to_string(action.token));
        close();
    }
    void operator()(const policy::WriteLog& action) const {
        open("trace");
        write_text("note-text", action.text);
        close();
    }

private:
    void open(const char* name) const {
        writer_.StartObject();
        writer_.Key(name);
        writer_.StartObject();
        write_text("who", instance_name_);
    }
    void open_request(const char* name, policy::RequestId id) const {
        open(name);
        writer_.Key("txn");
        writer_.Uint64(id);
    }
    void close() const {
        writer_.EndObject();
        writer_.EndObject();
    }
    void write_request(const char* name, policy::RequestId id) const {
        open_request(name, id);
        close();
    }
    void write_duration(const char* field, policy::Duration duration) const {
        writer_.Key(field);
        writer_.Double(to_milliseconds(duration));
    }
    void write_flag(const char* field, bool value) const {
        writer_.Key(field);
        writer_.Bool(value);
    }
    void write_text(const char* field, const std::string& text) const {
        writer_.Key(field);
        writer_.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    }

    JsonWriter& writer_;
    const std::string& instance_name_;
};

}  // namespace cressledge::simulator_adapter
