// Fields of the simulator's JSON objects. A field that is absent, null or of another type counts as not given.
#pragma once

#include <rapidjson/document.h>

#include <chrono>
#include <cmath>
#include <string>

#include "policy/admission_controller.hpp"
#include "simulator_adapter/malformed_batch.hpp"

namespace cressledge::simulator_adapter {

inline constexpr double microseconds_per_millisecond = 1000.0;

/// Null if `object` is no object, or has no such field.
inline const rapidjson::Value* find_field(const rapidjson::Value& object, const char* name) {
    if (!object.IsObject())
        return nullptr;
    const auto it = object.FindMember(name);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

/// The number, or `fallback` if the field is not given.
inline double number_or(const rapidjson::Value& object, const char* name, double fallback) {
    const rapidjson::Value* value = find_field(object, name);
    return value != nullptr && value->IsNumber() ? value->GetDouble() : fallback;
}

/// Throws MalformedBatch if the field is not given.
inline double required_number(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    if (value == nullptr || !value->IsNumber())
        throw MalformedBatch(std::string("missing number: ") + name);
    return value->GetDouble();
}

/// Whether the field is given and true.
inline bool flag_or_false(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    return value != nullptr && value->IsBool() && value->GetBool();
}

/// The string, or an empty one if the field is not given.
inline std::string text_or_empty(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    if (value == nullptr || !value->IsString())
        return {};
    return {value->GetString(), value->GetStringLength()};
}

/// Throws MalformedBatch if the field is not given.
inline policy::RequestId required_id(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    if (value == nullptr || !value->IsUint64())
        throw MalformedBatch(std::string("missing id: ") + name);
    return value->GetUint64();
}

/// Rounded to whole microseconds.
inline policy::Duration from_milliseconds(double milliseconds) {
    return policy::Duration(std::llround(milliseconds * microseconds_per_millisecond));
}

/// With fractions of a millisecond.
inline double to_milliseconds(policy::Duration duration) {
    return static_cast<double>(duration.count()) / microseconds_per_millisecond;
}

/// A field in milliseconds; 0 if it is not given.
inline policy::Duration duration_or_zero(const rapidjson::Value& object, const char* name) {
    return from_milliseconds(number_or(object, name, 0.0));
}

}  // namespace cressledge::simulator_adapter
