// Reasons for rejecting a connection or request, and counts by reason.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cressledge::connection_admission {

/// Why a connection or request was rejected. The first four reasons apply to a new connection, the last two
/// to a request.
enum class RejectionReason : std::uint8_t {
    /// The source opens connections faster than its token bucket allows.
    connection_rate,
    /// The source has reached its limit of open connections.
    source_connections,
    /// The source has reached the dynamic threshold; see Settings::dynamic_threshold_factor.
    dynamic_threshold,
    /// All connections are in use and none can be evicted.
    total_connections,
    /// The source has reached its limit of requests in flight.
    source_requests,
    /// The limit of requests in flight outside the groups' reserves is reached.
    total_requests
};

/// Number of enumerators of RejectionReason.
constexpr std::size_t rejection_reason_count = 6;

/// The name of the reason in metrics and log lines.
const char* to_string(RejectionReason reason);

/// Number of rejections by reason, indexed by RejectionReason.
using RejectionCounts = std::array<std::uint64_t, rejection_reason_count>;

}  // namespace cressledge::connection_admission
