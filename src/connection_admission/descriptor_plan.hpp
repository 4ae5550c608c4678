// Divides the file descriptors that the process may open among their purposes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>

#include "connection_admission/descriptor_purpose.hpp"

namespace cressledge::connection_admission {

/// How many descriptors an installation wants at most for each purpose.
struct DescriptorDemand {
    std::size_t listeners = 0;
    std::size_t platform_links = 0;
    std::size_t records = 0;
    std::size_t upstream = 0;
    /// Rejected connections of clients that are still read.
    std::size_t rejection_slots = 0;
    /// Connections of clients reserved for groups.
    std::size_t reserved_connections = 0;
    /// Files that stay open.
    std::size_t open_files = 0;
    std::size_t admin = 0;
    std::size_t gossip = 0;
    /// The part of `upstream` that is guaranteed.
    std::size_t min_upstream = 4;
};

/// What each purpose gets.
struct DescriptorPlan {
    /// Descriptors that the process may have open.
    std::size_t limit = 0;
    /// The part of `limit` that is open without a lease of the budget, such as standard output.
    std::size_t unmanaged = 0;
    DescriptorQuotas quotas{};
    /// Connections of clients for which there are descriptors.
    std::uint32_t max_connections = 0;
    /// Rejection slots for which there are descriptors.
    std::uint32_t rejection_slots = 0;
};

/// Thrown by plan_descriptors() if not even the guaranteed numbers of descriptors fit into the limit. The
/// message reads "LIMIT descriptors are too few: at least MIN_LIMIT".
class DescriptorShortage : public std::invalid_argument {
public:
    DescriptorShortage(std::size_t limit, std::size_t min_limit);

    /// The descriptors that the process may have open.
    std::size_t limit() const { return limit_; }
    /// The least limit for which there is a plan.
    std::size_t min_limit() const { return min_limit_; }

private:
    std::size_t limit_;
    std::size_t min_limit_;
};

/// Plans for up to `max_connections` connections of clients. Throws DescriptorShortage if not even the
/// guaranteed numbers fit into `limit`.
DescriptorPlan plan_descriptors(std::size_t limit, std::size_t unmanaged, const DescriptorDemand& demand,
                                std::uint32_t max_connections);

}  // namespace cressledge::connection_admission
