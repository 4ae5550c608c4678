// Reads fields of the simulator's JSON objects. A field that is null or of the wrong type counts as missing.
#pragma once

#include <rapidjson/document.h>

#include <chrono>
#include <cmath>
#include <string>

#include "policy/admission_controller.hpp"
#include "simulator_adapter/malformed_batch.hpp"

namespace cressledge::simulator_adapter {

inline constexpr double microseconds_per_millisecond = 1000.0;

/// Returns the field; null if `object` is not an object or the field is missing or null.
inline const rapidjson::Value* find_field(const rapidjson::Value& object, const char* name) {
    if (!object.IsObject())
        return nullptr;
    const auto it = object.FindMember(name);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

/// Returns the number, or `default_value` if the field is missing.
inline double number_or(const rapidjson::Value& object, const char* name, double default_value) {
    const rapidjson::Value* value = find_field(object, name);
    return value != nullptr && value->IsNumber() ? value->GetDouble() : default_value;
}

/// Returns the number. Throws MalformedBatch if the field is missing.
inline double required_number(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    if (value == nullptr || !value->IsNumber())
        throw MalformedBatch(std::string(name) + ": missing or not a number");
    return value->GetDouble();
}

/// Returns whether the field is present and true.
inline bool flag_or_false(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    return value != nullptr && value->IsBool() && value->GetBool();
}

/// Returns the string; empty if the field is missing.
inline std::string text_or_empty(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    if (value == nullptr || !value->IsString())
        return {};
    return {value->GetString(), value->GetStringLength()};
}

/// Returns the id. Throws MalformedBatch if the field is missing or not an unsigned integer.
inline policy::RequestId required_id(const rapidjson::Value& object, const char* name) {
    const rapidjson::Value* value = find_field(object, name);
    if (value == nullptr || !value->IsUint64())
        throw MalformedBatch(std::string(name) + ": missing or not an unsigned integer");
    return value->GetUint64();
}

/// Converts milliseconds to a duration, rounded to whole microseconds.
inline policy::Duration from_milliseconds(double milliseconds) {
    return policy::Duration(std::llround(milliseconds * microseconds_per_millisecond));
}

/// Converts a duration to milliseconds, with fractions.
inline double to_milliseconds(policy::Duration duration) {
    return static_cast<double>(duration.count()) / microseconds_per_millisecond;
}

/// Reads a duration in milliseconds; 0 if the field is missing.
inline policy::Duration duration_or_zero(const rapidjson::Value& object, const char* name) {
    return from_milliseconds(number_or(object, name, 0.0));
}

}  // namespace cressledge::simulator_adapter
