// The reserved capacity of a client group and what of it is in use.
#pragma once

#include <cstdint>

#include "connection_admission/settings.hpp"

namespace cressledge::connection_admission {

/// The limits and reserved capacity of one client group, and what of it is in use now.
struct ClientGroupUsage {
    SourceLimits source_limits;
    std::uint32_t reserved_connections = 0;
    std::uint32_t reserved_requests = 0;
    std::uint32_t open_connections = 0;
    std::uint32_t in_flight_requests = 0;
};

}  // namespace cressledge::connection_admission
