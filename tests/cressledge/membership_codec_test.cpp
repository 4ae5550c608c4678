/// The wire form of membership messages.
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

TEST_CASE("membership codec: a message survives encoding, and a datagram never outgrows its bound") {
    Message m = message(MessageType::ping, update("n1", 3),
                        {update("n2", 4, MemberState::suspect, 9), update("n3", 5, MemberState::dead)});
    const std::string bytes = membership::encode(m, "maps");
    CHECK(decoded_message(membership::decode(bytes, "maps", membership::max_datagram_bytes)) == m);
    for (int i = 0; i < 500; ++i)
        m.updates.push_back(update(std::string(std::size_t(1 + i % 64), 'x'), 9, MemberState::suspect,
                                   membership::max_incarnation, membership::max_start_time_us));
    const std::string full = membership::encode(m, std::string(64, 'f'));
    CHECK(full.size() <= membership::max_datagram_bytes);
    CHECK(full.size() > membership::max_datagram_bytes - 200);
    CHECK(std::holds_alternative<Message>(
        membership::decode(full, std::string(64, 'f'), membership::max_datagram_bytes)));
}

TEST_CASE(
    "membership codec: later additions are ignored; other versions, fleets and sizes are dropped by reason") {
    using nlohmann::json;
    const Message m = message(MessageType::gossip, update("n1", 3), {update("n2", 4)});
    const std::string bytes = membership::encode(m, "maps");
    json j = json::from_msgpack(bytes);
    const auto as = [](const json& value) {
        std::string b;
        json::to_msgpack(value, b);
        return membership::decode(b, "maps", membership::max_datagram_bytes);
    };
    json later = j;
    later.push_back("new");
    later[4].push_back(1);
    later[7][0].push_back(json::array({1, 2}));
    CHECK(decoded_message(as(later)) == m);
    json other = j;
    other[0] = 2;
    CHECK(std::get<membership::DropReason>(as(other)) == membership::DropReason::unknown_version);
    CHECK(std::get<membership::DropReason>(membership::decode(bytes, "charts", 1400)) ==
          membership::DropReason::other_fleet);
    CHECK(std::get<membership::DropReason>(membership::decode(std::string(1401, 'a'), "maps", 1400)) ==
          membership::DropReason::oversized);
    for (const json& malformed : {json(7), json::array(), json::object({{"a", 1}}), json::array({1, "maps"})})
        CHECK(std::get<membership::DropReason>(as(malformed)) == membership::DropReason::malformed);
    for (std::size_t field = 2; field < 8; ++field) {
        json wrong = j;
        wrong[field] = -1;
        CHECK(std::get<membership::DropReason>(as(wrong)) == membership::DropReason::malformed);
    }
    // Nesting without an end, and a length that nothing stands behind.
    CHECK(std::get<membership::DropReason>(membership::decode(
              std::string(1'000'000, '\x91'), "maps", 4U << 20U)) == membership::DropReason::malformed);
    CHECK(std::get<membership::DropReason>(
              membership::decode(binary_literal("\xDD\xFF\xFF\xFF\xFF\x01"), "maps", 1400)) ==
          membership::DropReason::malformed);
}

TEST_CASE(
    "membership codec: mutated and random datagrams are dropped or read whole, without harm to a table") {
    const Message m = message(MessageType::ping, update("n1", 3),
                              {update("n2", 4, MemberState::suspect, 9), update("n3", 5, MemberState::dead)});
    const std::string good = membership::encode(m, "maps");
    pcg32 random(11);
    TableFixture fixture;
    std::size_t read = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::string b = good;
        if (i % 4 == 0)
            b.assign(random(200), '\0');
        const std::uint32_t changes = 1 + random(4);
        for (std::uint32_t k = 0; k < changes && !b.empty(); ++k)
            b[random(static_cast<std::uint32_t>(b.size()))] = static_cast<char>(random(256));
        if (random(3) == 0 && !b.empty())
            b.resize(random(static_cast<std::uint32_t>(b.size())));
        const auto d = membership::decode(b, "maps", membership::max_datagram_bytes);
        if (const Message* got = std::get_if<Message>(&d)) {
            ++read;
            fixture.receive(*got);
        }
        if (i % 100 == 0)
            fixture.advance(milliseconds(1));
        fixture.effects = {};
    }
    CHECK(read > 100);
    CHECK(fixture.table.live_count() <= fixture.settings.max_members);
}
