// The documents in which learned state is stored: CBOR (RFC 8949) objects under keys of the form TYPE or
// TYPE/NAME. Only the encoder and the decoder include this. The names here are stored on disk and must not change.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "store/format.hpp"

namespace cressledge::learned_state {

/// The types of entries: the first component of a key.
namespace entry_type {
constexpr const char* header = "about";
constexpr const char* request_class = "class";
constexpr const char* band = "band";
constexpr const char* controller = "controller";
constexpr const char* upstream = "server";
}  // namespace entry_type

/// The fields of documents. Times are Unix times in milliseconds; durations are in seconds.
namespace field {
constexpr const char* schema = "schema";
constexpr const char* node = "node";
constexpr const char* settings_fingerprint = "site";
constexpr const char* cores = "cores";
constexpr const char* saved_at = "saved_ms";
constexpr const char* observed_at = "at_ms";
constexpr const char* price = "quanta";
constexpr const char* run_time = "run";
constexpr const char* completions = "count";
constexpr const char* priority_weight = "worth";
constexpr const char* quanta_per_period = "rate";
constexpr const char* odds_of_rise = "rise";
constexpr const char* odds_of_no_change = "same";
constexpr const char* odds_of_fall = "fall";
constexpr const char* capacity = "capacity";
constexpr const char* concurrency_limit = "limit";
constexpr const char* call_time = "call";
constexpr const char* call_count = "calls";
constexpr const char* mean_latency = "seconds";
constexpr const char* failure_ratio = "failed";
}  // namespace field

/// The components of a key; the name is empty if the key has none.
struct DocumentKey {
    std::string type;
    std::string name;
};

/// Splits a key at its first slash.
DocumentKey parse_key(const std::string& key);
/// Returns TYPE/NAME.
std::string make_key(const char* type, const std::string& name);

/// Encodes a document as CBOR.
std::string encode_document(const nlohmann::json& document);
/// Returns std::nullopt if the bytes are not a CBOR object.
std::optional<nlohmann::json> decode_document(const std::string& bytes);

/// A range of numbers; both bounds are inclusive.
struct Range {
    double min;
    double max;
};

/// Reads a number into `value`. Returns false, with `value` unchanged, if the field is missing, not a finite
/// number, or out of range.
bool read_number(const nlohmann::json& document, const char* name, Range range, double& value);
/// Returns an empty string if the field is missing or not a string.
std::string read_text(const nlohmann::json& document, const char* name);

}  // namespace cressledge::learned_state
