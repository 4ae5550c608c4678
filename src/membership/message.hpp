/// What the processes of one fleet tell each other about its members: plain types, no I/O and no encoding (see
/// codec.hpp).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint.hpp"

namespace cressledge::membership {

/// Characters of a member's id or a fleet's name.
constexpr std::size_t max_id_length = 64;
constexpr std::uint64_t max_start_time_us = std::uint64_t{1} << 62U;
constexpr std::uint32_t max_incarnation = 1U << 30U;

/// State of a member. The values are the ones on the wire.
enum class MemberState : std::uint8_t { alive, suspect, dead, left };

/// The state's name in log lines and on the admin address, such as "alive".
const char* to_string(MemberState state);

/// Whether a member in this state takes no part any more: it is dead or has left.
constexpr bool is_departed(MemberState state) {
    return state == MemberState::dead || state == MemberState::left;
}

/// One claim about a member.
struct MemberUpdate {
    std::string id;
    Endpoint endpoint;
    /// Unix microseconds of the process's start: distinguishes it from an earlier process of the same id.
    std::uint64_t start_time_us = 0;
    /// Raised by the member alone, to refute a claim about itself (SWIM, section 4.2).
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::alive;
    /// Id of the member that raised or confirmed the suspicion; empty unless the state is `suspect`.
    std::string accuser_id;

    bool operator==(const MemberUpdate&) const = default;
};

/// Types of messages. The values are the ones on the wire; those below `exchange` are datagrams.
enum class MessageType : std::uint8_t { ping, ack, ping_request, nack, gossip, exchange, exchange_reply };

/// Whether a message of this type is sent as a datagram; the others need a connection.
constexpr bool is_datagram(MessageType type) {
    return type < MessageType::exchange;
}

/// One message between two processes of a fleet.
struct Message {
    MessageType type = MessageType::gossip;
    /// Pairs an `ack` or a `nack` with the `ping` or `ping_request` that it answers.
    std::uint32_t sequence = 0;
    /// The sender's claim about itself: `alive`, or `left` while it shuts down.
    MemberUpdate sender;
    /// For `ping` and `ping_request`: the member that is probed. Another process at its endpoint does not answer.
    std::string target_id;
    /// For `ping_request`: where the target is reached.
    Endpoint target_endpoint;
    std::vector<MemberUpdate> updates;

    bool operator==(const Message&) const = default;
};

/// Whether the text is 1 to 64 letters, digits, dots, dashes and underscores.
bool is_valid_id(std::string_view id);

}  // namespace cressledge::membership
