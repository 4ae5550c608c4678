/// Encoding, decoding and validation of membership messages.
#include <nlohmann/json.hpp>

#include "membership_fixture.hpp"

namespace {

using namespace cressledge::testing;
using membership::MemberState;
using membership::MemberUpdate;
using membership::Message;
using membership::MessageType;

const Message& decoded_message(const membership::DecodeResult& result) {
    return std::get<Message>(result);
}

}  // namespace

TEST_CASE(
    "membership codec: a message is unchanged by encoding and decoding, and a datagram never exceeds its "
    "limit") {
    Message original =
        message(MessageType::ping, update("n1", 3),
                {update("n2", 4, MemberState::suspect, 9), update("n3", 5, MemberState::dead)});
    const std::string bytes = membership::encode(original, "maps");
    CHECK(decoded_message(membership::decode(bytes, "maps", membership::max_datagram_bytes)) == original);
    for (int i = 0; i < 500; ++i)
        original.updates.push_back(update(std::string(std::size_t(1 + i % 64), 'x'), 9, MemberState::suspect,
                                          membership::max_incarnation, membership::max_start_time_us));
    const std::string truncated = membership::encode(original, std::string(64, 'f'));
    CHECK(truncated.size() <= membership::max_datagram_bytes);
    CHECK(truncated.size() > membership::max_datagram_bytes - 200);
    CHECK(std::holds_alternative<Message>(
        membership::decode(truncated, std::string(64, 'f'), membership::max_datagram_bytes)));
}

TEST_CASE(
    "membership codec: extra elements are ignored; other versions, fleets and sizes are dropped with a "
    "reason") {
    using nlohmann::json;
    const Message original = message(MessageType::gossip, update("n1", 3), {update("n2", 4)});
    const std::string bytes = membership::encode(original, "maps");
    json encoded = json::from_msgpack(bytes);
    const auto decode_json = [](const json& value) {
        std::string encoded_value;
        json::to_msgpack(value, encoded_value);
        return membership::decode(encoded_value, "maps", membership::max_datagram_bytes);
    };
    json extended = encoded;
    extended.push_back("new");
    extended[4].push_back(1);
    extended[7][0].push_back(json::array({1, 2}));
    CHECK(decoded_message(decode_json(extended)) == original);
    json other_version = encoded;
    other_version[0] = 2;
    CHECK(std::get<membership::DropReason>(decode_json(other_version)) ==
          membership::DropReason::unknown_version);
    CHECK(std::get<membership::DropReason>(membership::decode(bytes, "charts", 1400)) ==
          membership::DropReason::other_fleet);
    CHECK(std::get<membership::DropReason>(membership::decode(std::string(1401, 'a'), "maps", 1400)) ==
          membership::DropReason::oversized);
    for (const json& malformed : {json(7), json::array(), json::object({{"a", 1}}), json::array({1, "maps"})})
        CHECK(std::get<membership::DropReason>(decode_json(malformed)) == membership::DropReason::malformed);
    for (std::size_t field = 2; field < 8; ++field) {
        json wrong = encoded;
        wrong[field] = -1;
        CHECK(std::get<membership::DropReason>(decode_json(wrong)) == membership::DropReason::malformed);
    }
    // Unbounded nesting, and an array length without elements.
    CHECK(std::get<membership::DropReason>(membership::decode(
              std::string(1'000'000, '\x91'), "maps", 4U << 20U)) == membership::DropReason::malformed);
    CHECK(std::get<membership::DropReason>(
              membership::decode(binary_literal("\xDD\xFF\xFF\xFF\xFF\x01"), "maps", 1400)) ==
          membership::DropReason::malformed);
}

TEST_CASE(
    "membership codec: mutated and random datagrams are dropped or decoded fully, and the table stays "
    "valid") {
    const Message original =
        message(MessageType::ping, update("n1", 3),
                {update("n2", 4, MemberState::suspect, 9), update("n3", 5, MemberState::dead)});
    const std::string valid_bytes = membership::encode(original, "maps");
    pcg32 random(11);
    TableFixture fixture;
    std::size_t decoded_count = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string mutated = valid_bytes;
        if (i % 4 == 0)
            mutated.assign(random(200), '\0');
        const std::uint32_t changes = 1 + random(4);
        for (std::uint32_t change = 0; change < changes && !mutated.empty(); ++change)
            mutated[random(static_cast<std::uint32_t>(mutated.size()))] = static_cast<char>(random(256));
        if (random(3) == 0 && !mutated.empty())
            mutated.resize(random(static_cast<std::uint32_t>(mutated.size())));
        const auto result = membership::decode(mutated, "maps", membership::max_datagram_bytes);
        if (const Message* decoded = std::get_if<Message>(&result)) {
            ++decoded_count;
            fixture.receive(*decoded);
        }
        if (i % 100 == 0)
            fixture.advance(milliseconds(1));
        fixture.effects = {};
    }
    CHECK(decoded_count > 100);
    CHECK(fixture.table.live_count() <= fixture.settings.max_members);
}
