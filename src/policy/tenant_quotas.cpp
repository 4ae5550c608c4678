#include "policy/tenant_quotas.hpp"

#include <algorithm>

#include "policy/moving_average.hpp"

namespace cressledge::policy::aces {
namespace {

constexpr double rate_gain = 0.2;  // per period
constexpr double max_credit = 2.0;  // requests
constexpr double min_rate = 1e-9;  // requests per second
constexpr double max_in_quota_fraction = 0.95;  // of the capacity; beyond it the stretch falls
constexpr double max_stretch = 4.0;
constexpr double stretch_rise = 1.1;  // per period
constexpr double stretch_fall = 0.85;  // per period

}  // namespace

bool TenantQuota::try_acquire(double stretch, bool is_retry) {
    attempts_ += 1.0;
    first_attempts_ += is_retry ? 0.0 : 1.0;
    const double quota = stretch * requests_per_second_;
    if (first_attempt_rate_ <= quota)
        return true;
    const double earned_credit = std::min(1.0, quota / std::max(attempt_rate_, min_rate));
    credit_ = std::min(credit_ + earned_credit, max_credit);
    if (credit_ < 1.0)
        return false;
    credit_ -= 1.0;
    return true;
}

void TenantQuota::close_period(double period_seconds) {
    update_average(attempt_rate_, attempts_ / period_seconds, rate_gain);
    update_average(first_attempt_rate_, first_attempts_ / period_seconds, rate_gain);
    attempts_ = first_attempts_ = 0.0;
}

TenantQuotas::TenantQuotas(const std::vector<Tenant>& tenants, int replica_count) {
    for (const Tenant& tenant : tenants)
        quotas_.emplace_back(tenant.quota_per_second / std::max(1, replica_count));
}

bool TenantQuotas::try_acquire(std::size_t tenant_index, bool is_retry) {
    return tenant_index >= quotas_.size() || quotas_[tenant_index].try_acquire(stretch_, is_retry);
}

void TenantQuotas::close_period(double period_seconds, double capacity_quanta_per_second) {
    const bool quotas_fit =
        in_quota_quanta_ < max_in_quota_fraction * capacity_quanta_per_second * period_seconds;
    stretch_ = std::clamp(stretch_ * (quotas_fit ? stretch_rise : stretch_fall), 1.0, max_stretch);
    in_quota_quanta_ = 0.0;
    for (TenantQuota& quota : quotas_)
        quota.close_period(period_seconds);
}

}  // namespace cressledge::policy::aces
