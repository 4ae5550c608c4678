#include "membership/message.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cressledge::membership {
namespace {

using nlohmann::json;

// Walks what came in before anything is built of it. Guards against nesting that runs the stack out, and against
// lengths that no bytes stand behind.
class StructureValidator final : public json::json_sax_t {
public:
    explicit StructureValidator(std::size_t bytes) : bytes_(bytes) {}
    bool null() override { return false; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(std::size_t n) override {
        return ++depth_ <= max_depth && (n == ~std::size_t{0} || n <= bytes_);
    }
    bool end_array() override { return depth_-- > 0; }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

private:
    static constexpr std::size_t max_depth = 4;
    const std::size_t bytes_;
    std::size_t depth_ = 0;
};

std::uint64_t pack_endpoint(const Endpoint& p) {
    return std::uint64_t{p.ip} << 16U | p.port;
}

json to_json(const MemberUpdate& u) {
    json j = json::array(
        {u.id, pack_endpoint(u.endpoint), u.start_time_us, u.incarnation, static_cast<unsigned>(u.state)});
    if (u.state == MemberState::suspect)
        j.push_back(u.accuser_id);
    return j;
}

bool read(const json& j, std::uint64_t most, std::uint64_t& to) {
    if (!j.is_number_unsigned() || j.get<std::uint64_t>() > most)
        return false;
    to = j.get<std::uint64_t>();
    return true;
}
bool read(const json& j, std::string& to) {
    if (!j.is_string() || !is_valid_id(j.get_ref<const std::string&>()))
        return false;
    to = j.get_ref<const std::string&>();
    return true;
}
bool read(const json& j, Endpoint& to) {
    std::uint64_t n = 0;
    if (!read(j, (std::uint64_t{1} << 48U) - 1, n))
        return false;
    to = {static_cast<std::uint32_t>(n >> 16U), static_cast<std::uint16_t>(n & 0xFFFFU)};
    return true;
}
bool read(const json& j, MemberUpdate& to) {
    if (!j.is_array() || j.size() < 5)
        return false;
    std::uint64_t incarnation = 0, state = 0;
    if (!read(j[0], to.id) || !read(j[1], to.endpoint) || !read(j[2], max_start_time_us, to.start_time_us) ||
        !read(j[3], max_incarnation, incarnation) || !read(j[4], 3, state))
        return false;
    if (to.endpoint.ip == 0 || to.endpoint.port == 0)
        return false;
    to.incarnation = static_cast<std::uint32_t>(incarnation);
    to.state = static_cast<MemberState>(state);
    return to.state != MemberState::suspect || (j.size() >= 6 && read(j[5], to.accuser_id));
}

std::size_t max_encoded_string_size(std::string_view s) {
    return s.size() + (s.size() < 32 ? 1 : 2);
}

}  // namespace

std::string to_string(const Endpoint& p) {
    std::string s;
    for (unsigned shift = 24;; shift -= 8) {
        s += std::to_string(p.ip >> shift & 0xFFU);
        if (shift == 0)
            break;
        s += '.';
    }
    return s + ':' + std::to_string(p.port);
}

const char* to_string(MemberState state) {
    static constexpr const char* words[] = {"alive", "suspect", "dead", "left"};
    return words[static_cast<std::size_t>(state)];
}
const char* to_string(DropReason drop) {
    static constexpr const char* words[drop_reason_count] = {"oversized", "malformed", "unknown_version",
                                                             "other_fleet"};
    return words[static_cast<std::size_t>(drop)];
}

bool is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= max_id_length && std::all_of(id.begin(), id.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '-' || c == '_';
    });
}

std::size_t max_encoded_size(const MemberUpdate& u) {
    // Head of the array, address and birth (9 each), incarnation (5), state (1).
    return 25 + max_encoded_string_size(u.id) +
           (u.state == MemberState::suspect ? max_encoded_string_size(u.accuser_id) : 0);
}
std::size_t max_encoded_size(const Message& m, std::size_t fleet_name_length) {
    // Heads (1 and 3 for the updates), version and kind (1 each), sequence (5), address (9).
    return 22 + fleet_name_length + max_encoded_string_size(m.target_id) + max_encoded_size(m.sender);
}

std::string encode(const Message& m, std::string_view fleet_name) {
    const bool datagram = m.type < MessageType::exchange;
    std::size_t room =
        datagram ? max_datagram_bytes - max_encoded_size(m, fleet_name.size()) : max_exchange_bytes;
    json updates = json::array();
    for (const MemberUpdate& u : m.updates) {
        const std::size_t n = max_encoded_size(u);
        if (n > room)
            break;
        room -= n;
        updates.push_back(to_json(u));
    }
    const json all =
        json::array({protocol_version, fleet_name, static_cast<unsigned>(m.type), m.sequence,
                     to_json(m.sender), m.target_id, pack_endpoint(m.target_endpoint), std::move(updates)});
    std::string bytes;
    json::to_msgpack(all, bytes);
    return bytes;
}

std::variant<Message, DropReason> decode(std::string_view bytes, std::string_view fleet_name,
                                         std::size_t max_bytes) {
    if (bytes.size() > max_bytes)
        return DropReason::oversized;
    StructureValidator guard(bytes.size());
    if (!json::sax_parse(bytes.begin(), bytes.end(), &guard, json::input_format_t::msgpack))
        return DropReason::malformed;
    const json j = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!j.is_array() || j.size() < 2 || !j[0].is_number_unsigned() || !j[1].is_string())
        return DropReason::malformed;
    if (j[0].get<std::uint64_t>() != protocol_version)
        return DropReason::unknown_version;
    if (j[1].get_ref<const std::string&>() != fleet_name)
        return DropReason::other_fleet;
    Message m;
    std::uint64_t kind = 0, sequence = 0;
    if (j.size() < 8 || !read(j[2], static_cast<std::uint64_t>(MessageType::exchange_reply), kind) ||
        !read(j[3], ~std::uint32_t{0}, sequence) || !read(j[4], m.sender) || !j[5].is_string() ||
        !read(j[6], m.target_endpoint) || !j[7].is_array())
        return DropReason::malformed;
    m.type = static_cast<MessageType>(kind);
    m.sequence = static_cast<std::uint32_t>(sequence);
    m.target_id = j[5].get<std::string>();
    const bool aimed = m.type == MessageType::ping || m.type == MessageType::ping_request;
    if (aimed ? !is_valid_id(m.target_id) : !m.target_id.empty())
        return DropReason::malformed;
    if (m.type == MessageType::ping_request && (m.target_endpoint.ip == 0 || m.target_endpoint.port == 0))
        return DropReason::malformed;
    if (m.sender.state != MemberState::alive && m.sender.state != MemberState::left)
        return DropReason::malformed;
    m.updates.resize(j[7].size());
    for (std::size_t i = 0; i < m.updates.size(); ++i)
        if (!read(j[7][i], m.updates[i]))
            return DropReason::malformed;
    return m;
}

}  // namespace cressledge::membership
