// This server's part of the tenants' quotas. README.md has the reason for each tuned value.
//
// Invariants: a tenant whose first attempts stay within its stretched quota is never denied; all quotas
// stretch by one factor, at least 1.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Quota of one tenant on this server, in requests per second.
class TenantQuota {
public:
    explicit TenantQuota(double requests_per_second) : requests_per_second_(requests_per_second) {}

    /// Counts first attempts up to the quota times `stretch`, all attempts beyond it, where as many as are
    /// over are denied. False: this request is over the quota.
    bool try_acquire(double stretch, bool is_retry);
    /// Takes in the attempts of a period of so many seconds.
    void close_period(double period_seconds);

private:
    double requests_per_second_;
    double credit_ = 0.0;  // requests
    double attempt_rate_ = 0.0;  // requests per second, smoothed
    double first_attempt_rate_ = 0.0;  // requests per second, smoothed
    double attempts_ = 0.0;  // in this period
    double first_attempts_ = 0.0;  // in this period
};

/// The quotas of all tenants, and the factor by which they stretch while capacity is left.
class TenantQuotas {
public:
    /// Each server has an equal part of the quotas of the fleet.
    TenantQuotas(const std::vector<Tenant>& tenants, int replica_count);

    /// Whether a request of the tenant is within its quota; an unknown tenant has none and always is.
    bool try_acquire(std::size_t tenant_index, bool is_retry);
    /// Counts the price of a request within its quota, in quanta (core seconds).
    void add_in_quota(double quanta) { in_quota_quanta_ += quanta; }
    /// Stretches or shrinks all quotas by what lay within them over a period of so many seconds, against the
    /// server's capacity in quanta a second.
    void close_period(double period_seconds, double capacity_quanta_per_second);
    /// Factor on all quotas, at least 1.
    double stretch() const { return stretch_; }

private:
    std::vector<TenantQuota> quotas_;
    double stretch_ = 1.0;
    double in_quota_quanta_ = 0.0;
};

}  // namespace cressledge::policy::aces
