// What the processes of one fleet tell each other about its members, and its form on the wire: MessagePack arrays,
// at most one datagram of 1,400 bytes, or a full state over a connection. No I/O.
//
//   message  [version, fleet, kind, sequence, sender, target id, target address, [update...]]
//   update   [id, address, birth, incarnation, state, by]      `by` only where the state is suspect
//
// Arrays may be longer than this page says: what a later version of the program adds at their ends is passed over.
// Another first element is another protocol: dropped and counted. Whatever comes in is checked whole before use.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cressledge::membership {

constexpr unsigned protocol_version = 1;
constexpr std::size_t max_datagram_bytes = 1400;  // bytes
constexpr std::size_t max_exchange_bytes = 4U << 20U;  // bytes of a full state
constexpr std::size_t max_id_length = 64;  // characters of an id or a fleet's name
constexpr std::uint64_t max_start_time_us = std::uint64_t{1} << 62U;
constexpr std::uint32_t max_incarnation = 1U << 30U;

struct Endpoint {  // an IPv4 address and a port, in the host's byte order
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(const Endpoint&) const = default;
};
std::string to_string(const Endpoint& place);  // 127.0.0.1:7946

enum class MemberState : std::uint8_t { alive, suspect, dead, left };
const char* to_string(MemberState state);

// One thing said of a member. `birth` tells a process from an earlier one under its id: Unix microseconds of its
// start. `incarnation` is raised by the member alone, to refute (SWIM, section 4.2).
struct MemberUpdate {
    std::string id;
    Endpoint endpoint;
    std::uint64_t start_time_us = 0;
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::alive;
    std::string accuser_id;  // who suspects
    bool operator==(const MemberUpdate&) const = default;
};

enum class MessageType : std::uint8_t { ping, ack, ping_request, nack, gossip, exchange, exchange_reply };

struct Message {
    MessageType type = MessageType::gossip;
    std::uint32_t sequence = 0;
    MemberUpdate sender;  // alive, or left when it goes
    std::string
        target_id;  // ping, ping_request: whom it is for; another process at that address keeps silent
    Endpoint target_endpoint;  // ping_request: the target's address
    std::vector<MemberUpdate> updates;
    bool operator==(const Message&) const = default;
};

bool is_valid_id(std::string_view id);  // 1 to 64 letters, digits, dots, dashes and underscores

// Bytes that an update takes in a message, at most.
std::size_t max_encoded_size(const MemberUpdate& update);
std::size_t max_encoded_size(
    const Message& message,
    std::size_t fleet_name_length);  // without its updates, at most; a fleet's name of so many characters

// Updates that would take a datagram beyond its bound are left out, the last first.
std::string encode(const Message& message, std::string_view fleet_name);

enum class DropReason : std::uint8_t { oversized, malformed, unknown_version, other_fleet };
constexpr std::size_t drop_reason_count = 4;
const char* to_string(DropReason drop);

std::variant<Message, DropReason> decode(std::string_view bytes, std::string_view fleet_name,
                                         std::size_t max_bytes);

}  // namespace cressledge::membership
