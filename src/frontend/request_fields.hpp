// The platform's fields of a request, whichever wire brought them.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include "request/request_manager.hpp"

namespace cressledge::frontend {

// What a front supplies to clients that do not know the platform's fields.
class FieldDefaults {
public:
    FieldDefaults(std::uint64_t seed, double reserved_kb) : random_(seed), reserved_kb_(reserved_kb) {}
    std::string next_request_id();
    double reserved_kb() const { return reserved_kb_; }

private:
    std::mt19937_64 random_;
    const double reserved_kb_;
};

class RequestFields {
public:
    void set(std::string_view name,
             std::string_view value);  // lower case, with dashes; others are passed over
    // For a request whose class is known. False: `wrong` names what is malformed or missing. Without a supply nothing may
    // be missing. Which of the keys counts is up to the class's effect in the settings in force.
    bool apply_to(request::IncomingRequest& arrival, FieldDefaults* defaults, request::RequestManager& server,
                  const char*& invalid_field) const;

private:
    enum Field {
        trace_id,
        accepted_at,
        client_number,
        expected_duration,
        reserved_memory,
        standing,
        lookup_key,
        idempotency_key,
        tenant,
        max_wait,
        is_retry,
        field_count
    };
    std::string values_[field_count];
    bool present_[field_count] = {}, has_duplicate_ = false;
};

}  // namespace cressledge::frontend
