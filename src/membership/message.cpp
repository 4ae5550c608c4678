#include "membership/message.hpp"

#include <algorithm>

namespace cressledge::membership {
namespace {

bool is_id_character(char c) {
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool is_digit = c >= '0' && c <= '9';
    return is_letter || is_digit || c == '.' || c == '-' || c == '_';
}

}  // namespace

const char* to_string(MemberState state) {
    static constexpr const char* names[] = {"alive", "suspect", "dead", "left"};
    return names[static_cast<std::size_t>(state)];
}

bool is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= max_id_length && std::all_of(id.begin(), id.end(), is_id_character);
}

}  // namespace cressledge::membership
