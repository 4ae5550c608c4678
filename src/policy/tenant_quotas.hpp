// The quotas of the tenants on this server. README.md explains each tuned value.
//
// Invariants: a tenant whose first attempts stay within its stretched quota is never denied; all quotas are
// multiplied by the same stretch factor, which is at least 1.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Quota of one tenant on this server.
class TenantQuota {
public:
    explicit TenantQuota(double requests_per_second) : requests_per_second_(requests_per_second) {}

    /// Returns whether a request is within the quota times `stretch`. While the rate of first attempts is
    /// within it, every request is; beyond it, all attempts count, and the fraction that exceeds the quota is
    /// denied.
    bool try_acquire(double stretch, bool is_retry);
    /// Updates the rates with the attempts of a period of `period_seconds`.
    void close_period(double period_seconds);

private:
    double requests_per_second_;
    double credit_ = 0.0;  // requests
    double attempt_rate_ = 0.0;  // requests per second, smoothed
    double first_attempt_rate_ = 0.0;  // requests per second, smoothed
    double attempts_ = 0.0;  // in the current period
    double first_attempts_ = 0.0;  // in the current period
};

/// The quotas of all tenants, and the factor by which they are stretched while the server has spare capacity.
class TenantQuotas {
public:
    /// Each of `replica_count` servers gets an equal fraction of every quota.
    TenantQuotas(const std::vector<Tenant>& tenants, int replica_count);

    /// Whether a request of the tenant is within its quota; true for an unknown tenant, which has no quota.
    bool try_acquire(std::size_t tenant_index, bool is_retry);
    /// Adds the price of a request within its quota, in quanta (core seconds).
    void add_in_quota(double quanta) { in_quota_quanta_ += quanta; }
    /// Closes a period of `period_seconds`: raises or lowers the stretch factor, depending on the quanta of
    /// requests within their quotas and the capacity of the server.
    void close_period(double period_seconds, double capacity_quanta_per_second);
    /// Factor applied to all quotas, at least 1.
    double stretch() const { return stretch_; }

private:
    std::vector<TenantQuota> quotas_;
    double stretch_ = 1.0;
    double in_quota_quanta_ = 0.0;
};

}  // namespace cressledge::policy::aces
