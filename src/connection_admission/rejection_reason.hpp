// Why a connection or a request was rejected, and counts of it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cressledge::connection_admission {

/// Why a client was rejected. The first four are about a new connection, the last two about a request.
enum class RejectionReason : std::uint8_t {
    /// The source opens connections faster than its token bucket allows.
    connection_rate,
    /// The source has as many connections open as it may.
    source_connections,
    /// The source has more connections open than Settings::dynamic_threshold_factor allows.
    dynamic_threshold,
    /// All connections are in use and none can be evicted.
    total_connections,
    /// The source has as many requests in flight as it may.
    source_requests,
    /// All requests outside the groups' reserves are in flight.
    total_requests
};

/// Number of enumerators of RejectionReason.
constexpr std::size_t rejection_reason_count = 6;

/// The reason as metrics and log lines spell it.
const char* to_string(RejectionReason reason);

/// Number of rejections by reason, indexed by RejectionReason.
using RejectionCounts = std::array<std::uint64_t, rejection_reason_count>;

}  // namespace cressledge::connection_admission
