/// The bytes that the version before the module split wrote: tests/fixtures/membership_v1/. The fleet is `maps`.
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

/// The compiler may have been given a path relative to the build directory, where the program is.
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
    Message m;
    m.type = type;
    m.sequence = sequence;
    m.sender = {"n1", {0x7F000003U, 7946}, start_time_us, incarnation, state, ""};
    return m;
}

Message ping() {
    Message m = sent_by_n1(MessageType::ping, 7, 0, MemberState::alive);
    m.target_id = "n2";
    m.updates = {{"n2", {0x7F000004U, 7946}, start_time_us, 9, MemberState::suspect, "n7"},
                 {"n3", {0x7F000005U, 7947}, start_time_us + 1, 2, MemberState::dead, ""},
                 {"n4", {0x0A010203U, 65535}, membership::max_start_time_us, 0, MemberState::left, ""},
                 {"a-long.id_with.40.characters-0123456789X",
                  {0x7F000006U, 1},
                  1,
                  membership::max_incarnation,
                  MemberState::alive,
                  ""}};
    return m;
}

Message ping_request() {
    Message m = sent_by_n1(MessageType::ping_request, ~std::uint32_t{0}, 3, MemberState::alive);
    m.target_id = "n2";
    m.target_endpoint = {0x0A010203U, 65535};
    return m;
}

Message nack() {
    return sent_by_n1(MessageType::nack, 70'000, 3, MemberState::left);
}

/// A message with a hundred updates, more than a datagram holds.
Message with_many_updates(MessageType type) {
    Message m = sent_by_n1(type, 0, 3, MemberState::left);
    for (std::uint32_t i = 0; i < 100; ++i) {
        const auto state = static_cast<MemberState>(i % 4);
        m.updates.push_back({"member-" + std::to_string(i),
                             {0x0A000001U + i, 7946},
                             start_time_us + i,
                             i,
                             state,
                             state == MemberState::suspect ? "n7" : ""});
    }
    return m;
}

Message decoded(const std::string& bytes, std::size_t max_bytes) {
    return std::get<Message>(membership::decode(bytes, fleet_name, max_bytes));
}

}  // namespace

TEST_CASE("membership codec: datagrams of the version before are read and written byte for byte") {
    const std::vector<std::pair<std::string, Message>> expected = {
        {"ping.datagram", ping()}, {"ping_request.datagram", ping_request()}, {"nack.datagram", nack()}};
    for (const auto& [name, message_in_file] : expected) {
        INFO(name);
        const std::string bytes = fixture_bytes(name);
        CHECK(decoded(bytes, membership::max_datagram_bytes) == message_in_file);
        CHECK(membership::encode(message_in_file, fleet_name) == bytes);
    }
}

TEST_CASE("membership codec: a datagram with too many updates is cut where the version before cut it") {
    const std::string bytes = fixture_bytes("truncated_gossip.datagram");
    Message full_message = with_many_updates(MessageType::gossip);
    CHECK(membership::encode(full_message, fleet_name) == bytes);
    const Message read = decoded(bytes, membership::max_datagram_bytes);
    REQUIRE(read.updates.size() < full_message.updates.size());
    full_message.updates.resize(read.updates.size());
    CHECK(read == full_message);
}

TEST_CASE("gossip frame: a full exchange of the version before is read and written byte for byte") {
    const std::string bytes = fixture_bytes("exchange_reply.frame");
    const Message state = with_many_updates(MessageType::exchange_reply);
    CHECK(gossip::encode_frame(membership::encode(state, fleet_name)) == bytes);
    REQUIRE(gossip::decode_frame_length(bytes) == bytes.size() - gossip::frame_header_bytes);
    CHECK(decoded(bytes.substr(gossip::frame_header_bytes), membership::max_exchange_bytes) == state);
}
