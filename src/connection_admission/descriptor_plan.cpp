#include "connection_admission/descriptor_plan.hpp"

#include <algorithm>
#include <string>

namespace cressledge::connection_admission {
namespace {

/// A link may reconnect before its previous connection is closed.
constexpr std::size_t connections_per_platform_link = 2;
/// Guaranteed and maximum number of files that are open only while they are read.
constexpr std::size_t guaranteed_short_lived_files = 2;
constexpr std::size_t max_short_lived_files = 8;
/// Maximum number of guaranteed connections to the records service.
constexpr std::size_t max_guaranteed_records = 4;
/// A new connection acquires its descriptor before the connection evicted for it releases its own.
constexpr std::size_t eviction_overlap = 1;
/// At most one in this many of the descriptors beyond the guaranteed ones is for a rejected connection.
constexpr std::size_t spare_descriptors_per_rejection_slot = 8;

DescriptorQuotas plan_quotas(const DescriptorDemand& demand) {
    DescriptorQuotas quotas{};
    const auto quota = [&quotas](DescriptorPurpose purpose) -> DescriptorQuota& {
        return quotas[static_cast<std::size_t>(purpose)];
    };
    quota(DescriptorPurpose::listener) = {demand.listeners, demand.listeners};
    quota(DescriptorPurpose::platform_link) = {demand.platform_links,
                                               connections_per_platform_link * demand.platform_links};
    quota(DescriptorPurpose::file) = {guaranteed_short_lived_files + demand.open_files,
                                      max_short_lived_files + demand.open_files};
    quota(DescriptorPurpose::records) = {std::min(demand.records, max_guaranteed_records), demand.records};
    quota(DescriptorPurpose::upstream) = {std::min(demand.upstream, demand.min_upstream), demand.upstream};
    quota(DescriptorPurpose::admin) = {demand.admin, demand.admin};
    quota(DescriptorPurpose::gossip) = {demand.gossip, demand.gossip};
    return quotas;
}

}  // namespace

DescriptorShortage::DescriptorShortage(std::size_t limit, std::size_t min_limit)
    : std::invalid_argument(std::to_string(limit) + " file descriptors are too few: the minimum is " +
                            std::to_string(min_limit)),
      limit_(limit),
      min_limit_(min_limit) {}

DescriptorPlan plan_descriptors(std::size_t limit, std::size_t unmanaged, const DescriptorDemand& demand,
                                std::uint32_t max_connections) {
    DescriptorPlan plan;
    plan.limit = limit;
    plan.unmanaged = unmanaged;
    plan.quotas = plan_quotas(demand);
    std::size_t guaranteed = unmanaged;
    for (const DescriptorQuota& quota : plan.quotas)
        guaranteed += quota.guaranteed;
    const std::size_t guaranteed_connections = std::max<std::size_t>(demand.reserved_connections, 1);
    const std::size_t min_limit = guaranteed + guaranteed_connections + eviction_overlap;
    if (min_limit > limit)
        throw DescriptorShortage(limit, min_limit);
    const std::size_t spare = limit - min_limit;
    const std::size_t rejection_slots =
        std::min(demand.rejection_slots, spare / spare_descriptors_per_rejection_slot);
    const std::size_t available = limit - guaranteed - eviction_overlap - rejection_slots;
    plan.rejection_slots = static_cast<std::uint32_t>(rejection_slots);
    plan.max_connections = static_cast<std::uint32_t>(std::min<std::size_t>(max_connections, available));
    plan.quotas[static_cast<std::size_t>(DescriptorPurpose::frontend)] = {
        guaranteed_connections, plan.max_connections + rejection_slots + eviction_overlap};
    return plan;
}

}  // namespace cressledge::connection_admission
