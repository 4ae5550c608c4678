/// The messages of the membership protocol as plain types, without I/O. codec.hpp encodes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint.hpp"

namespace cressledge::membership {

/// Maximum number of characters in a member id or a fleet name.
constexpr std::size_t max_id_length = 64;
/// Upper bounds of the values that are accepted from the wire.
constexpr std::uint64_t max_start_time_us = std::uint64_t{1} << 62U;
constexpr std::uint32_t max_incarnation = 1U << 30U;

/// State of a member. The numeric values are part of the wire format.
enum class MemberState : std::uint8_t { alive, suspect, dead, left };

/// Returns the name of the state in log lines and in the status document, for example "alive".
const char* to_string(MemberState state);

/// Returns whether a member in this state is no longer part of the fleet: it is dead or has left.
constexpr bool is_departed(MemberState state) {
    return state == MemberState::dead || state == MemberState::left;
}

/// A claim about the state of one member.
struct MemberUpdate {
    std::string id;
    Endpoint endpoint;
    /// Start time of the process in Unix microseconds. Distinguishes it from an earlier process with the same id.
    std::uint64_t start_time_us = 0;
    /// Incremented only by the member itself, to refute a claim about it (SWIM, section 4.2).
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::alive;
    /// Id of the member that raised or confirmed the suspicion. Empty unless the state is `suspect`.
    std::string accuser_id;

    bool operator==(const MemberUpdate&) const = default;
};

/// Message types. The numeric values are part of the wire format; types below `exchange` are datagrams.
enum class MessageType : std::uint8_t { ping, ack, ping_request, nack, gossip, exchange, exchange_reply };

/// Returns whether messages of this type are sent as datagrams. All others are sent over a connection.
constexpr bool is_datagram(MessageType type) {
    return type < MessageType::exchange;
}

/// A message from one process of a fleet to another.
struct Message {
    MessageType type = MessageType::gossip;
    /// Matches an `ack` or `nack` to the `ping` or `ping_request` that it answers.
    std::uint32_t sequence = 0;
    /// The sender's claim about itself. Its state is `alive`, or `left` while the sender shuts down.
    MemberUpdate sender;
    /// Id of the probed member in `ping` and `ping_request`, empty in other types. A process with another id at
    /// the same endpoint does not answer.
    std::string target_id;
    /// Endpoint of the probed member in `ping_request`.
    Endpoint target_endpoint;
    std::vector<MemberUpdate> updates;

    bool operator==(const Message&) const = default;
};

/// Returns whether `id` consists of 1 to 64 ASCII letters, digits, dots, dashes and underscores.
bool is_valid_id(std::string_view id);

}  // namespace cressledge::membership
