#include "membership/codec.hpp"

#include <nlohmann/json.hpp>

namespace cressledge::membership {
namespace {

using nlohmann::json;

/// Indices of the elements of an encoded message.
enum MessageField : std::size_t {
    version_field,
    fleet_field,
    type_field,
    sequence_field,
    sender_field,
    target_id_field,
    target_endpoint_field,
    updates_field,
    message_field_count
};

/// Indices of the elements of an encoded update.
enum UpdateField : std::size_t {
    id_field,
    endpoint_field,
    start_time_field,
    incarnation_field,
    state_field,
    accuser_field,
    update_field_count
};

constexpr std::uint64_t max_packed_endpoint = (std::uint64_t{1} << 48U) - 1;
constexpr std::uint64_t max_sequence = ~std::uint32_t{0};

/// Array header (1 byte), endpoint and start time (9 each), incarnation (5), state (1).
constexpr std::size_t max_update_overhead_bytes = 25;
/// Array headers (1, and 3 for the updates), version and type (1 each), fleet name header (2), sequence (5),
/// endpoint (9).
constexpr std::size_t max_message_overhead_bytes = 22;
/// MessagePack strings shorter than this have a header of one byte; strings of up to 255 bytes have one of two bytes.
constexpr std::size_t short_string_limit = 32;

/// Validates the structure of received bytes before a document is built from them. Rejects nesting that would exhaust
/// the stack, and array lengths larger than the number of received bytes.
class StructureValidator final : public json::json_sax_t {
public:
    explicit StructureValidator(std::size_t input_bytes) : input_bytes_(input_bytes) {}
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
    bool start_array(std::size_t length) override {
        return ++depth_ <= max_depth && (length == unknown_length || length <= input_bytes_);
    }
    bool end_array() override { return depth_-- > 0; }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

private:
    static constexpr std::size_t max_depth = 4;
    static constexpr std::size_t unknown_length = ~std::size_t{0};
    const std::size_t input_bytes_;
    std::size_t depth_ = 0;
};

std::uint64_t pack_endpoint(const Endpoint& endpoint) {
    return std::uint64_t{endpoint.ip} << 16U | endpoint.port;
}

json to_json(const MemberUpdate& update) {
    json array = json::array({update.id, pack_endpoint(update.endpoint), update.start_time_us,
                              update.incarnation, static_cast<unsigned>(update.state)});
    if (update.state == MemberState::suspect)
        array.push_back(update.accuser_id);
    return array;
}

bool read_number(const json& value, std::uint64_t max, std::uint64_t& result) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
        return false;
    result = value.get<std::uint64_t>();
    return true;
}

bool read_id(const json& value, std::string& result) {
    if (!value.is_string() || !is_valid_id(value.get_ref<const std::string&>()))
        return false;
    result = value.get_ref<const std::string&>();
    return true;
}

bool read_endpoint(const json& value, Endpoint& result) {
    std::uint64_t packed = 0;
    if (!read_number(value, max_packed_endpoint, packed))
        return false;
    result = {static_cast<std::uint32_t>(packed >> 16U), static_cast<std::uint16_t>(packed & 0xFFFFU)};
    return true;
}

bool read_update(const json& value, MemberUpdate& result) {
    if (!value.is_array() || value.size() < accuser_field)
        return false;
    std::uint64_t incarnation = 0;
    std::uint64_t state = 0;
    if (!read_id(value[id_field], result.id) || !read_endpoint(value[endpoint_field], result.endpoint) ||
        !read_number(value[start_time_field], max_start_time_us, result.start_time_us) ||
        !read_number(value[incarnation_field], max_incarnation, incarnation) ||
        !read_number(value[state_field], static_cast<std::uint64_t>(MemberState::left), state))
        return false;
    if (!result.endpoint.is_reachable())
        return false;
    result.incarnation = static_cast<std::uint32_t>(incarnation);
    result.state = static_cast<MemberState>(state);
    if (result.state != MemberState::suspect)
        return true;
    return value.size() >= update_field_count && read_id(value[accuser_field], result.accuser_id);
}

/// Parses the document and checks version and fleet name. These are the first elements, so that messages of other
/// versions and fleets can be told apart from malformed ones.
std::variant<json, DropReason> read_envelope(std::string_view bytes, std::string_view fleet_name) {
    StructureValidator validator(bytes.size());
    if (!json::sax_parse(bytes.begin(), bytes.end(), &validator, json::input_format_t::msgpack))
        return DropReason::malformed;
    json array = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!array.is_array() || array.size() < type_field || !array[version_field].is_number_unsigned() ||
        !array[fleet_field].is_string())
        return DropReason::malformed;
    if (array[version_field].get<std::uint64_t>() != protocol_version)
        return DropReason::unknown_version;
    if (array[fleet_field].get_ref<const std::string&>() != fleet_name)
        return DropReason::other_fleet;
    return array;
}

/// Reads all elements except the updates.
bool read_header(const json& array, Message& message) {
    std::uint64_t type = 0;
    std::uint64_t sequence = 0;
    if (array.size() < message_field_count ||
        !read_number(array[type_field], static_cast<std::uint64_t>(MessageType::exchange_reply), type) ||
        !read_number(array[sequence_field], max_sequence, sequence) ||
        !read_update(array[sender_field], message.sender) || !array[target_id_field].is_string() ||
        !read_endpoint(array[target_endpoint_field], message.target_endpoint) ||
        !array[updates_field].is_array())
        return false;
    message.type = static_cast<MessageType>(type);
    message.sequence = static_cast<std::uint32_t>(sequence);
    message.target_id = array[target_id_field].get<std::string>();
    return true;
}

/// Returns whether the header elements are consistent with the message type.
bool is_consistent(const Message& message) {
    const bool has_target = message.type == MessageType::ping || message.type == MessageType::ping_request;
    if (has_target ? !is_valid_id(message.target_id) : !message.target_id.empty())
        return false;
    if (message.type == MessageType::ping_request && !message.target_endpoint.is_reachable())
        return false;
    return message.sender.state == MemberState::alive || message.sender.state == MemberState::left;
}

bool read_updates(const json& array, std::vector<MemberUpdate>& updates) {
    updates.resize(array.size());
    for (std::size_t i = 0; i < updates.size(); ++i)
        if (!read_update(array[i], updates[i]))
            return false;
    return true;
}

std::size_t max_encoded_string_size(std::string_view text) {
    return text.size() + (text.size() < short_string_limit ? 1 : 2);
}

}  // namespace

const char* to_string(DropReason reason) {
    static constexpr const char* names[drop_reason_count] = {"oversized", "malformed", "unknown_version",
                                                             "other_fleet"};
    return names[static_cast<std::size_t>(reason)];
}

std::size_t max_encoded_size(const MemberUpdate& update) {
    const std::size_t accuser_bytes =
        update.state == MemberState::suspect ? max_encoded_string_size(update.accuser_id) : 0;
    return max_update_overhead_bytes + max_encoded_string_size(update.id) + accuser_bytes;
}

std::size_t max_encoded_size(const Message& message, std::size_t fleet_name_length) {
    return max_message_overhead_bytes + fleet_name_length + max_encoded_string_size(message.target_id) +
           max_encoded_size(message.sender);
}

std::string encode(const Message& message, std::string_view fleet_name) {
    std::size_t free_bytes = is_datagram(message.type)
                                 ? max_datagram_bytes - max_encoded_size(message, fleet_name.size())
                                 : max_exchange_bytes;
    json updates = json::array();
    for (const MemberUpdate& update : message.updates) {
        const std::size_t size = max_encoded_size(update);
        if (size > free_bytes)
            break;
        free_bytes -= size;
        updates.push_back(to_json(update));
    }
    const json array = json::array({protocol_version, fleet_name, static_cast<unsigned>(message.type),
                                    message.sequence, to_json(message.sender), message.target_id,
                                    pack_endpoint(message.target_endpoint), std::move(updates)});
    std::string bytes;
    json::to_msgpack(array, bytes);
    return bytes;
}

DecodeResult decode(std::string_view bytes, std::string_view fleet_name, std::size_t max_bytes) {
    if (bytes.size() > max_bytes)
        return DropReason::oversized;
    const auto envelope = read_envelope(bytes, fleet_name);
    if (const auto* reason = std::get_if<DropReason>(&envelope))
        return *reason;
    const json& array = std::get<json>(envelope);
    Message message;
    if (!read_header(array, message) || !is_consistent(message) ||
        !read_updates(array[updates_field], message.updates))
        return DropReason::malformed;
    return message;
}

}  // namespace cressledge::membership
