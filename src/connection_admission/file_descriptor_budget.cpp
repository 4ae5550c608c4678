#include "connection_admission/file_descriptor_budget.hpp"

#include <algorithm>

namespace cressledge::connection_admission {
namespace {

/// How long the limit observed at a refusal by the system remains in force.
constexpr Duration observed_limit_ttl{200'000};

/// Whether a client connection may be evicted to provide a descriptor for this purpose.
bool has_priority_over_connections(DescriptorPurpose purpose) {
    return purpose != DescriptorPurpose::frontend;
}

}  // namespace

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
    for (const PurposeUsage& other : usage_)
        if (&other != &usage && other.used < other.quota.guaranteed)
            reserved_for_others += other.quota.guaranteed - other.used;
    // The observed limit applies to client connections only. For other purposes, the system call itself shows
    // whether a descriptor is available.
    if (now < observed_limit_expires_at_ && used_ >= observed_limit_ &&
        !has_priority_over_connections(purpose))
        return false;
    // Within its guarantee a purpose need not leave room for the guarantees of others: the condition below
    // already reserves descriptors for all of them.
    if (usage.used < usage.quota.guaranteed)
        return used_ < limit_;
    return used_ + reserved_for_others < limit_;
}

bool FileDescriptorBudget::evict_one_connection() {
    if (!evict_connection_ || is_evicting_)
        return false;
    // Prevents recursion: closing a connection may itself acquire a descriptor.
    is_evicting_ = true;
    const bool evicted = evict_connection_();
    is_evicting_ = false;
    if (evicted)
        ++evicted_connections_;
    return evicted;
}

FileDescriptorBudget::Lease FileDescriptorBudget::try_acquire(Timestamp now, DescriptorPurpose purpose) {
    PurposeUsage& usage = usage_of(purpose);
    bool granted = can_acquire(now, purpose);
    if (!granted && has_priority_over_connections(purpose) && usage.used < usage.quota.maximum)
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

}  // namespace cressledge::connection_admission
