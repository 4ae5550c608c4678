#include "connection_admission/file_descriptor_budget.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace cressledge::connection_admission {
namespace {

constexpr Duration observed_limit_ttl{200'000};

bool outranks_new_connections(DescriptorPurpose p) {
    return p != DescriptorPurpose::frontend;
}

}  // namespace

const char* to_string(DescriptorPurpose purpose) {
    static constexpr const char* words[descriptor_purpose_count] = {
        "listener", "link", "records", "upstream", "file", "front", "control", "gossip"};
    return words[static_cast<std::size_t>(purpose)];
}

FileDescriptorBudget::FileDescriptorBudget(const DescriptorPlan& plan)
    : limit_(plan.limit), unmanaged_(plan.unmanaged), used_(plan.unmanaged) {
    reconfigure(plan);
}

void FileDescriptorBudget::reconfigure(const DescriptorPlan& plan) {
    limit_ = plan.limit;
    for (std::size_t i = 0; i < descriptor_purpose_count; ++i)
        usage_[i].quota = plan.quotas[i];
}

bool FileDescriptorBudget::can_acquire(Timestamp now, DescriptorPurpose purpose) const {
    const PurposeUsage& usage = usage_of(purpose);
    if (usage.used >= usage.quota.maximum)
        return false;
    std::size_t reserved_for_others = 0;
    for (const PurposeUsage& u : usage_)
        if (&u != &usage && u.used < u.quota.guaranteed)
            reserved_for_others += u.quota.guaranteed - u.used;
    // What the system has shown binds the large takers; a guarantee is still tried, as only the system can tell.
    if (now < observed_limit_expires_at_ && used_ >= observed_limit_ && !outranks_new_connections(purpose))
        return false;
    // Within its guarantee nobody else's promise stands against it: room for all of them is kept by this rule.
    if (usage.used < usage.quota.guaranteed)
        return used_ < limit_;
    return used_ + reserved_for_others < limit_;
}

bool FileDescriptorBudget::evict_one_connection() {
    if (!evict_connection_ || is_evicting_)
        return false;
    is_evicting_ = true;  // guards against a connection's closing that asks for a descriptor itself
    const bool evicted = evict_connection_();
    is_evicting_ = false;
    evicted_connections_ += evicted ? 1 : 0;
    return evicted;
}

FileDescriptorBudget::Lease FileDescriptorBudget::try_acquire(Timestamp now, DescriptorPurpose purpose) {
    PurposeUsage& usage = usage_of(purpose);
    bool granted = can_acquire(now, purpose);
    if (!granted && outranks_new_connections(purpose) && usage.used < usage.quota.maximum)
        granted = evict_one_connection() && can_acquire(now, purpose);
    if (!granted) {
        ++usage.denied;
        return {};
    }
    ++usage.used;
    ++used_;
    return {*this, purpose};
}

void FileDescriptorBudget::release(DescriptorPurpose purpose) {
    --usage_of(purpose).used;
    --used_;
    if (on_released_)
        on_released_();
}

void FileDescriptorBudget::on_system_exhausted(Timestamp now) {
    ++system_exhaustions_;
    observed_limit_ = std::max(unmanaged_ + 1, used_);
    observed_limit_expires_at_ = now + observed_limit_ttl;
    evict_one_connection();
}

DescriptorPlan plan_descriptors(std::size_t limit, std::size_t unmanaged, const DescriptorDemand& demand,
                                std::uint32_t max_connections) {
    DescriptorPlan plan;
    plan.limit = limit;
    plan.unmanaged = unmanaged;
    const auto quota = [&plan](DescriptorPurpose p) -> FileDescriptorBudget::Quota& {
        return plan.quotas[static_cast<std::size_t>(p)];
    };
    quota(DescriptorPurpose::listener) = {demand.listeners, demand.listeners};
    quota(DescriptorPurpose::platform_link) = {
        demand.platform_links, 2 * demand.platform_links};  // one may be dialled before the last has gone
    quota(DescriptorPurpose::file) = {2 + demand.open_files, 8 + demand.open_files};
    quota(DescriptorPurpose::records) = {std::min<std::size_t>(demand.records, 4), demand.records};
    quota(DescriptorPurpose::upstream) = {std::min(demand.upstream, demand.min_upstream), demand.upstream};
    quota(DescriptorPurpose::admin) = {demand.admin, demand.admin};
    quota(DescriptorPurpose::gossip) = {demand.gossip, demand.gossip};
    std::size_t guaranteed = unmanaged;
    for (const auto& p : plan.quotas)
        guaranteed += p.guaranteed;
    // One more than there are seats: who comes in has his before the one who makes room gives his back.
    const std::size_t min_limit = guaranteed + std::max<std::size_t>(demand.reserved_connections, 1) + 1;
    if (min_limit > limit)
        throw std::invalid_argument(std::to_string(limit) + " descriptors are too few: at least " +
                                    std::to_string(min_limit));
    const std::size_t spare = limit - min_limit;  // beyond the reserve
    plan.rejection_slots = static_cast<std::uint32_t>(std::min(demand.rejection_slots, spare / 8));
    plan.max_connections = static_cast<std::uint32_t>(
        std::min<std::size_t>(max_connections, limit - guaranteed - 1 - plan.rejection_slots));
    quota(DescriptorPurpose::frontend) = {std::max<std::size_t>(demand.reserved_connections, 1),
                                          std::size_t{plan.max_connections} + plan.rejection_slots + 1};
    return plan;
}

}  // namespace cressledge::connection_admission
