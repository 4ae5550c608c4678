/// Wire format of the membership messages. Each message is a MessagePack array that is sent either as one datagram
/// of at most 1,400 bytes or, for a full exchange, over a connection. No I/O.
///
///     message  [version, fleet, type, sequence, sender, target id, target endpoint, [update...]]
///     update   [id, endpoint, start time, incarnation, state, accuser]      accuser only if the state is suspect
///
/// An endpoint is encoded as one number: the address shifted left by 16 bits, plus the port. Extra elements at the end
/// of an array are ignored, so that a later release can add fields. A message with another version is dropped.
///
/// Invariant: a message returned by `decode` has passed every check. A message is never decoded partially.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "membership/message.hpp"

namespace cressledge::membership {

/// Version number that `encode` writes and `decode` requires.
constexpr unsigned protocol_version = 1;
/// Maximum size of a datagram. Below the usual MTU of 1,500 bytes, so that datagrams are not fragmented.
constexpr std::size_t max_datagram_bytes = 1400;
/// Maximum size of a full exchange message.
constexpr std::size_t max_exchange_bytes = 4U << 20U;

/// Reason why a received message was dropped.
enum class DropReason : std::uint8_t { oversized, malformed, unknown_version, other_fleet };
constexpr std::size_t drop_reason_count = 4;

/// Returns the name of the reason in the metrics `fleet.dropped.*`.
const char* to_string(DropReason reason);

/// Returns an upper bound of the encoded size of an update in bytes.
std::size_t max_encoded_size(const MemberUpdate& update);

/// Returns an upper bound of the encoded size in bytes of a message without its updates. `fleet_name_length` is the
/// length of the fleet name in characters.
std::size_t max_encoded_size(const Message& message, std::size_t fleet_name_length);

/// Encodes a message. Updates at the end of the list that do not fit into the maximum message size are omitted.
std::string encode(const Message& message, std::string_view fleet_name);

/// A valid message, or the reason why the bytes were dropped.
using DecodeResult = std::variant<Message, DropReason>;

/// Decodes one message of the fleet `fleet_name`. Does not throw on malformed input.
DecodeResult decode(std::string_view bytes, std::string_view fleet_name, std::size_t max_bytes);

}  // namespace cressledge::membership
