// Reserved capacity of a client group and its current usage.
#pragma once

#include <cstdint>

#include "connection_admission/settings.hpp"

namespace cressledge::connection_admission {

/// Limits, reserved capacity and current usage of one client group.
struct ClientGroupUsage {
    /// Limits of each source in the group.
    SourceLimits source_limits;
    std::uint32_t reserved_connections = 0;
    std::uint32_t reserved_requests = 0;
    std::uint32_t open_connections = 0;
    std::uint32_t in_flight_requests = 0;
};

}  // namespace cressledge::connection_admission
