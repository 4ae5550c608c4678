/// The wire form of membership messages: MessagePack arrays, at most one datagram of 1,400 bytes, or a full state over
/// a connection. No I/O.
///
///     message  [version, fleet, type, sequence, sender, target id, target endpoint, [update...]]
///     update   [id, endpoint, start time, incarnation, state, accuser]      accuser only where the state is suspect
///
/// An endpoint is one number: the address shifted left by 16 bits, and the port. Arrays may be longer than shown:
/// elements that a later version adds at their ends are ignored. A message with another version is dropped.
///
/// Invariant: whatever `decode` returns as a message has passed every check; nothing is read from a message in part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "membership/message.hpp"

namespace cressledge::membership {

constexpr unsigned protocol_version = 1;
/// Below the usual MTU of 1,500 bytes, so that no datagram is fragmented.
constexpr std::size_t max_datagram_bytes = 1400;
/// Bound of a full state.
constexpr std::size_t max_exchange_bytes = 4U << 20U;

/// Why a received message was dropped.
enum class DropReason : std::uint8_t { oversized, malformed, unknown_version, other_fleet };
constexpr std::size_t drop_reason_count = 4;

/// The reason as the metrics `fleet.dropped.*` name it.
const char* to_string(DropReason reason);

/// Upper bound of the bytes that an update takes in a message.
std::size_t max_encoded_size(const MemberUpdate& update);

/// Upper bound of the bytes of a message without its updates, in a fleet whose name has so many characters.
std::size_t max_encoded_size(const Message& message, std::size_t fleet_name_length);

/// The message as bytes. Updates that would take it beyond its bound are left out, the last first.
std::string encode(const Message& message, std::string_view fleet_name);

/// A message that passed every check, or why the bytes were dropped.
using DecodeResult = std::variant<Message, DropReason>;

/// Reads one message of the named fleet. Never throws on bad input.
DecodeResult decode(std::string_view bytes, std::string_view fleet_name, std::size_t max_bytes);

}  // namespace cressledge::membership
