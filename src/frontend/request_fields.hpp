/// The platform's fields of a request, whichever protocol carried them: which may be missing and what is valid.
///
/// Owns the fields of one request until they are applied. The names and ranges are those of the platform's protocol.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "request/request_manager.hpp"

namespace cressledge::frontend {

/// Values for callers that do not know the platform's fields.
class FieldDefaults {
public:
    /// `reserved_kb`: memory of a request in kilobytes.
    FieldDefaults(std::uint64_t seed, double reserved_kb) : random_(seed), reserved_kb_(reserved_kb) {}

    /// A random id of 16 hexadecimal digits.
    std::string next_request_id();
    /// Memory of a request in kilobytes.
    double reserved_kb() const { return reserved_kb_; }

private:
    std::mt19937_64 random_;
    const double reserved_kb_;
};

/// Why the fields of a request were not applied.
struct InvalidField {
    /// The field that is missing or malformed, as the log names it.
    const char* name;
};

/// The fields of one request, kept as text until its class is known.
class RequestFields {
public:
    /// Keeps a field. `name` is in lower case with dashes; unknown names are ignored.
    void set(std::string_view name, std::string_view value);

    /// Applies the fields to a request whose class is known. Returns the first field that is missing or malformed; then
    /// the request must not be used. Without `defaults` no required field may be missing. The class's idempotency in the
    /// settings in force says which of the two keys counts.
    std::optional<InvalidField> apply_to(request::IncomingRequest& incoming, FieldDefaults* defaults,
                                         request::RequestManager& server) const;

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
    /// Numbers that are converted once every field has been found valid.
    struct ParsedTimes {
        std::int64_t accepted_at_ms = 0;
        double expected_ms = 0.0;
        double max_wait_ms = 0.0;
    };

    /// Who asks, when and for how much work.
    std::optional<InvalidField> parse_work_fields(request::IncomingRequest& incoming, bool has_defaults,
                                                  ParsedTimes& times) const;
    /// How the request is to be treated.
    std::optional<InvalidField> parse_handling_fields(request::IncomingRequest& incoming,
                                                      ParsedTimes& times) const;

    std::array<std::string, field_count> values_;
    std::array<bool, field_count> present_{};
    bool has_duplicate_ = false;
};

}  // namespace cressledge::frontend
