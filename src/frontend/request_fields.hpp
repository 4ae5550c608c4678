/// The platform's request fields, independent of the protocol: names, valid ranges and defaults.
///
/// Names and ranges are those of the platform's protocol.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "request/request_manager.hpp"

namespace cressledge::frontend {

/// Default values for requests without the platform's fields.
class FieldDefaults {
public:
    /// `seed`: of the generator of request ids. `reserved_kb`: memory of a request in kilobytes.
    FieldDefaults(std::uint64_t seed, double reserved_kb) : random_(seed), reserved_kb_(reserved_kb) {}

    /// Generates a random id of 16 hexadecimal digits.
    std::string next_request_id();
    /// Memory of a request in kilobytes.
    double reserved_kb() const { return reserved_kb_; }

private:
    std::mt19937_64 random_;
    const double reserved_kb_;
};

/// The reason why the fields of a request were not applied.
struct InvalidField {
    /// The name of the missing or malformed field, or "duplicate field". Used in log lines.
    const char* name;
};

/// The fields of one request, stored as text until its request class is known.
class RequestFields {
public:
    /// Stores a field. `name` is in lower case with dashes. Unknown names are ignored.
    void set(std::string_view name, std::string_view value);

    /// Applies the fields to `incoming`, whose class index must be set. Returns the first missing or malformed
    /// field; `incoming` must not be used then. Without `defaults`, all required fields must be present. The
    /// idempotency of the class in the current settings determines whether the idempotency key or the lookup key is applied.
    std::optional<InvalidField> apply_to(request::IncomingRequest& incoming, FieldDefaults* defaults,
                                         request::RequestManager& request_manager) const;

private:
    enum Field {
        trace_id,
        accepted_at,
        caller_id,
        expected_work,
        reserved_memory,
        rank,
        lookup_key,
        idempotency_key,
        tenant,
        max_wait,
        is_retry,
        field_count
    };
    /// Parsed numbers, which are converted once all fields are known to be valid.
    struct ParsedTimes {
        std::int64_t accepted_at_ms = 0;
        double expected_ms = 0.0;
        double max_wait_ms = 0.0;
    };

    /// Parses the fields on the caller, the time of acceptance and the amount of work.
    std::optional<InvalidField> parse_work_fields(request::IncomingRequest& incoming, bool has_defaults,
                                                  ParsedTimes& times) const;
    /// Parses the fields on priority, keys, maximum wait and retry.
    std::optional<InvalidField> parse_handling_fields(request::IncomingRequest& incoming,
                                                      ParsedTimes& times) const;

    std::array<std::string, field_count> values_;
    std::array<bool, field_count> present_{};
    bool has_duplicate_ = false;
};

}  // namespace cressledge::frontend
