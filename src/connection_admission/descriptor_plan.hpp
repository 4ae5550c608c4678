// Divides the file descriptor limit of the process among the purposes of descriptors.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>

#include "connection_admission/descriptor_purpose.hpp"

namespace cressledge::connection_admission {

/// Maximum numbers of descriptors that a configuration uses, by purpose.
struct DescriptorDemand {
    std::size_t listeners = 0;
    std::size_t platform_links = 0;
    std::size_t records = 0;
    std::size_t upstream = 0;
    /// Rejected client connections that are still read.
    std::size_t rejection_slots = 0;
    /// Client connections reserved for client groups.
    std::size_t reserved_connections = 0;
    /// Files that stay open.
    std::size_t open_files = 0;
    std::size_t admin = 0;
    std::size_t gossip = 0;
    /// Guaranteed descriptors of `upstream`, if it asks for as many.
    std::size_t min_upstream = 4;
};

/// The quotas of the purposes and the resulting limits of client connections.
struct DescriptorPlan {
    /// Descriptors that the process may have open.
    std::size_t limit = 0;
    /// Descriptors within `limit` that are open without a lease, such as standard output.
    std::size_t unmanaged = 0;
    DescriptorQuotas quotas{};
    /// Client connections for which there are descriptors.
    std::uint32_t max_connections = 0;
    /// Rejection slots for which there are descriptors.
    std::uint32_t rejection_slots = 0;
};

/// Thrown by plan_descriptors() if the guaranteed numbers of descriptors do not fit into the limit. The
/// message is "LIMIT file descriptors are too few: the minimum is MIN_LIMIT".
class DescriptorShortage : public std::invalid_argument {
public:
    DescriptorShortage(std::size_t limit, std::size_t min_limit);

    /// The descriptors that the process may have open.
    std::size_t limit() const { return limit_; }
    /// The smallest limit for which a plan exists.
    std::size_t min_limit() const { return min_limit_; }

private:
    std::size_t limit_;
    std::size_t min_limit_;
};

/// Plans descriptors for up to `max_connections` client connections. `unmanaged` is the number of descriptors
/// that are open without a lease. Throws DescriptorShortage if the guaranteed numbers do not fit into
/// `limit`.
DescriptorPlan plan_descriptors(std::size_t limit, std::size_t unmanaged, const DescriptorDemand& demand,
                                std::uint32_t max_connections);

}  // namespace cressledge::connection_admission
