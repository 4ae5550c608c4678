// The file descriptors of the whole process: whoever opens a file or a socket takes a lease first and holds
// it for as long as the descriptor is open. No I/O.
//
// Invariant: used() <= limit(), and every purpose that uses fewer than its guaranteed number can get up to
// it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "connection_admission/descriptor_plan.hpp"
#include "connection_admission/descriptor_purpose.hpp"
#include "connection_admission/settings.hpp"

namespace cressledge::connection_admission {

/// Hands out leases within the limit of the process and the quotas of its purposes. Must outlive its leases.
class FileDescriptorBudget {
public:
    using Quota = DescriptorQuota;
    using Quotas = DescriptorQuotas;

    /// The right to have one descriptor open; returned to the budget on destruction. Movable.
    class Lease {
    public:
        /// An empty lease: no right.
        Lease() = default;
        Lease(Lease&& other) noexcept
            : budget_(std::exchange(other.budget_, nullptr)), purpose_(other.purpose_) {}
        Lease& operator=(Lease&& other) noexcept {
            std::swap(budget_, other.budget_);
            std::swap(purpose_, other.purpose_);
            return *this;
        }
        ~Lease() { release(); }

        /// Leaves the lease empty.
        void release() {
            if (budget_ != nullptr)
                std::exchange(budget_, nullptr)->release(purpose_);
        }
        explicit operator bool() const { return budget_ != nullptr; }

    private:
        friend class FileDescriptorBudget;
        Lease(FileDescriptorBudget& budget, DescriptorPurpose purpose)
            : budget_(&budget), purpose_(purpose) {}

        FileDescriptorBudget* budget_ = nullptr;
        DescriptorPurpose purpose_ = DescriptorPurpose::file;
    };

    /// Counts the descriptors that `plan` names as open without a lease as used from the start.
    explicit FileDescriptorBudget(const DescriptorPlan& plan);
    FileDescriptorBudget(const FileDescriptorBudget&) = delete;
    FileDescriptorBudget& operator=(const FileDescriptorBudget&) = delete;

    /// Returns an empty lease if no descriptor is available. Before that, for any purpose but connections of
    /// clients, it has such a connection evicted through the callback of on_exhausted().
    Lease try_acquire(Timestamp now, DescriptorPurpose purpose);

    /// Tells that the system refused a descriptor (EMFILE, ENFILE) for which there was a lease; the lease
    /// must have been released. For a short time the number in use now is the limit for connections of
    /// clients, and one of them is evicted, so that the next attempt finds a descriptor.
    void on_system_exhausted(Timestamp now);

    /// Leases that are out stay out, also beyond the new limits.
    void reconfigure(const DescriptorPlan& plan);

    /// The callback closes a connection without a request in flight and returns true, or returns false if
    /// there is none.
    void on_exhausted(std::function<bool()> evict_connection) {
        evict_connection_ = std::move(evict_connection);
    }
    /// The callback runs after each release.
    void on_released(std::function<void()> callback) { on_released_ = std::move(callback); }

    /// Descriptors in use, with those that are open without a lease.
    std::size_t used() const { return used_; }
    /// Leases of this purpose that are out.
    std::size_t used(DescriptorPurpose purpose) const { return usage_of(purpose).used; }
    /// Descriptors that the process may have open.
    std::size_t limit() const { return limit_; }
    /// Leases that were refused.
    std::uint64_t denied(DescriptorPurpose purpose) const { return usage_of(purpose).denied; }
    /// Connections evicted to free a descriptor.
    std::uint64_t evicted_connections() const { return evicted_connections_; }
    /// Calls of on_system_exhausted().
    std::uint64_t system_exhaustions() const { return system_exhaustions_; }

private:
    struct PurposeUsage {
        DescriptorQuota quota;
        std::size_t used = 0;
        std::uint64_t denied = 0;
    };

    PurposeUsage& usage_of(DescriptorPurpose purpose) { return usage_[static_cast<std::size_t>(purpose)]; }
    const PurposeUsage& usage_of(DescriptorPurpose purpose) const {
        return usage_[static_cast<std::size_t>(purpose)];
    }
    bool can_acquire(Timestamp now, DescriptorPurpose purpose) const;
    bool evict_one_connection();
    void release(DescriptorPurpose purpose);

    std::size_t limit_;
    /// Descriptors that are open without a lease.
    std::size_t unmanaged_;
    std::array<PurposeUsage, descriptor_purpose_count> usage_{};
    std::size_t used_;
    /// The limit that the system has shown; in force before `observed_limit_expires_at_`.
    std::size_t observed_limit_ = 0;
    Timestamp observed_limit_expires_at_{0};
    std::function<bool()> evict_connection_;
    std::function<void()> on_released_;
    bool is_evicting_ = false;
    std::uint64_t evicted_connections_ = 0;
    std::uint64_t system_exhaustions_ = 0;
};

}  // namespace cressledge::connection_admission
