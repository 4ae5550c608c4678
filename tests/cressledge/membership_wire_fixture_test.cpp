/// Wire compatibility with an earlier release: encodes and decodes the recorded messages of the fleet `maps` in
/// tests/fixtures/membership_v1/.
#include <filesystem>
#include <fstream>
#include <iterator>

#include "gossip/frame.hpp"
#include "membership_fixture.hpp"

namespace {

using namespace cressledge::testing;
using membership::MemberState;
using membership::MemberUpdate;
using membership::Message;
using membership::MessageType;

constexpr std::uint64_t start_time_us = 1'700'000'000'000'000;
const std::string fleet_name = "maps";

/// Returns the directory of the recorded messages. `__FILE__` may be relative to the build directory, which contains
/// the program.
std::filesystem::path fixture_directory() {
    const auto build_directory = std::filesystem::path(CRESSLEDGE_PROGRAM).parent_path();
    const auto this_file = build_directory / __FILE__;
    return this_file.parent_path().parent_path() / "fixtures" / "membership_v1";
}

std::string fixture_bytes(const std::string& name) {
    std::ifstream file(fixture_directory() / name, std::ios::binary);
    REQUIRE(file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

Message sent_by_n1(MessageType type, std::uint32_t sequence, std::uint32_t incarnation, MemberState state) {
    Message message;
    message.type = type;
    message.sequence = sequence;
    message.sender = {"n1", {0x7F000003U, 7946}, start_time_us, incarnation, state, ""};
    return message;
}

Message ping() {
    Message message = sent_by_n1(MessageType::ping, 7, 0, MemberState::alive);
    message.target_id = "n2";
    message.updates = {{"n2", {0x7F000004U, 7946}, start_time_us, 9, MemberState::suspect, "n7"},
                       {"n3", {0x7F000005U, 7947}, start_time_us + 1, 2, MemberState::dead, ""},
                       {"n4", {0x0A010203U, 65535}, membership::max_start_time_us, 0, MemberState::left, ""},
                       {"a-long.id_with.40.characters-0123456789X",
                        {0x7F000006U, 1},
                        1,
                        membership::max_incarnation,
                        MemberState::alive,
                        ""}};
    return message;
}

Message ping_request() {
    Message message = sent_by_n1(MessageType::ping_request, ~std::uint32_t{0}, 3, MemberState::alive);
    message.target_id = "n2";
    message.target_endpoint = {0x0A010203U, 65535};
    return message;
}

Message nack() {
    return sent_by_n1(MessageType::nack, 70'000, 3, MemberState::left);
}

/// Returns a message with 100 updates, more than fit into a datagram.
Message with_many_updates(MessageType type) {
    Message message = sent_by_n1(type, 0, 3, MemberState::left);
    for (std::uint32_t i = 0; i < 100; ++i) {
        const auto state = static_cast<MemberState>(i % 4);
        message.updates.push_back({"member-" + std::to_string(i),
                                   {0x0A000001U + i, 7946},
                                   start_time_us + i,
                                   i,
                                   state,
                                   state == MemberState::suspect ? "n7" : ""});
    }
    return message;
}

Message decoded(const std::string& bytes, std::size_t max_bytes) {
    return std::get<Message>(membership::decode(bytes, fleet_name, max_bytes));
}

}  // namespace

TEST_CASE("membership codec: recorded datagrams are decoded, and encoded again byte for byte") {
    const std::vector<std::pair<std::string, Message>> expected = {
        {"ping.datagram", ping()}, {"ping_request.datagram", ping_request()}, {"nack.datagram", nack()}};
    for (const auto& [name, recorded_message] : expected) {
        INFO(name);
        const std::string bytes = fixture_bytes(name);
        CHECK(decoded(bytes, membership::max_datagram_bytes) == recorded_message);
        CHECK(membership::encode(recorded_message, fleet_name) == bytes);
    }
}

TEST_CASE("membership codec: a datagram with too many updates is truncated as in the recording") {
    const std::string bytes = fixture_bytes("truncated_gossip.datagram");
    Message full_message = with_many_updates(MessageType::gossip);
    CHECK(membership::encode(full_message, fleet_name) == bytes);
    const Message truncated_message = decoded(bytes, membership::max_datagram_bytes);
    REQUIRE(truncated_message.updates.size() < full_message.updates.size());
    full_message.updates.resize(truncated_message.updates.size());
    CHECK(truncated_message == full_message);
}

TEST_CASE("gossip frame: a recorded full exchange is decoded, and encoded again byte for byte") {
    const std::string bytes = fixture_bytes("exchange_reply.frame");
    const Message state = with_many_updates(MessageType::exchange_reply);
    CHECK(gossip::encode_frame(membership::encode(state, fleet_name)) == bytes);
    REQUIRE(gossip::decode_frame_length(bytes) == bytes.size() - gossip::frame_header_bytes);
    CHECK(decoded(bytes.substr(gossip::frame_header_bytes), membership::max_exchange_bytes) == state);
}
