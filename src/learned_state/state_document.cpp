#include "learned_state/state_document.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::learned_state {

using nlohmann::json;

DocumentKey parse_key(const std::string& key) {
    const std::string type = key.substr(0, key.find('/'));
    const std::size_t name_begin = std::min(key.size(), type.size() + 1);
    return {type, key.substr(name_begin)};
}

std::string make_key(const char* type, const std::string& name) {
    return std::string(type) + '/' + name;
}

std::string encode_document(const json& document) {
    const auto bytes = json::to_cbor(document);
    return {bytes.begin(), bytes.end()};
}

std::optional<json> decode_document(const std::string& bytes) {
    constexpr bool whole_input = true;
    constexpr bool allow_exceptions = false;
    json document = json::from_cbor(bytes, whole_input, allow_exceptions);
    if (!document.is_object())
        return std::nullopt;
    return document;
}

bool read_number(const json& document, const char* name, Range range, double& value) {
    const auto found = document.find(name);
    if (found == document.end() || !found->is_number())
        return false;
    const auto number = found->get<double>();
    if (!std::isfinite(number) || number < range.min || number > range.max)
        return false;
    value = number;
    return true;
}

std::string read_text(const json& document, const char* name) {
    const auto found = document.find(name);
    if (found == document.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

}  // namespace cressledge::learned_state
