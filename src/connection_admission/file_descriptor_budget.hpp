// File descriptor budget of the process. Code that opens a file or socket acquires a lease first and holds it
// while the descriptor is open. Performs no I/O.
//
// Invariant: used() <= limit(), and every purpose can acquire its guaranteed number of descriptors.
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

/// Grants leases within the limit of the process and the quotas of the purposes. Must outlive its leases.
class FileDescriptorBudget {
public:
    using Quota = DescriptorQuota;
    using Quotas = DescriptorQuotas;

    /// Permission to have one descriptor open; released on destruction. Movable.
    class Lease {
    public:
        /// An empty lease, which permits nothing.
        Lease() = default;
        Lease(Lease&& other) noexcept
            : budget_(std::exchange(other.budget_, nullptr)), purpose_(other.purpose_) {}
        Lease& operator=(Lease&& other) noexcept {
            std::swap(budget_, other.budget_);
            std::swap(purpose_, other.purpose_);
            return *this;
        }
        ~Lease() { release(); }

        /// Returns the descriptor to the budget and leaves the lease empty.
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

    /// Counts the unmanaged descriptors of `plan` as used.
    explicit FileDescriptorBudget(const DescriptorPlan& plan);
    FileDescriptorBudget(const FileDescriptorBudget&) = delete;
    FileDescriptorBudget& operator=(const FileDescriptorBudget&) = delete;

    /// Acquires a lease. If no descriptor is available and the purpose is not client connections, evicts a
    /// client connection through the callback of on_exhausted() and tries once more. Returns an empty lease
    /// on failure.
    Lease try_acquire(Timestamp now, DescriptorPurpose purpose);

    /// Records that the system refused a descriptor (EMFILE, ENFILE) despite a lease. Release that lease
    /// first. The number of descriptors then in use becomes the limit for client connections for a short
    /// time, and one client connection is evicted so that the next attempt can succeed.
    void on_system_exhausted(Timestamp now);

    /// Applies a new plan. Existing leases remain valid even if they exceed the new limits.
    void reconfigure(const DescriptorPlan& plan);

    /// Sets the callback that closes a client connection without a request in flight. It returns false if
    /// there is none.
    void on_exhausted(std::function<bool()> evict_connection) {
        evict_connection_ = std::move(evict_connection);
    }
    /// Sets the callback that runs after each release of a lease.
    void on_released(std::function<void()> callback) { on_released_ = std::move(callback); }

    /// Descriptors in use, including those that are open without a lease.
    std::size_t used() const { return used_; }
    /// Current leases of this purpose.
    std::size_t used(DescriptorPurpose purpose) const { return usage_of(purpose).used; }
    /// Descriptors that the process may have open.
    std::size_t limit() const { return limit_; }
    /// Leases of this purpose that were refused.
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
    /// Whether a lease is available without an eviction.
    bool can_acquire(Timestamp now, DescriptorPurpose purpose) const;
    /// Calls the eviction callback. Returns whether a connection was closed.
    bool evict_one_connection();
    void release(DescriptorPurpose purpose);

    std::size_t limit_;
    /// Descriptors that are open without a lease.
    std::size_t unmanaged_;
    std::array<PurposeUsage, descriptor_purpose_count> usage_{};
    std::size_t used_;
    /// Descriptors in use when the system last refused one; the limit for client connections until
    /// `observed_limit_expires_at_`.
    std::size_t observed_limit_ = 0;
    Timestamp observed_limit_expires_at_{0};
    std::function<bool()> evict_connection_;
    std::function<void()> on_released_;
    bool is_evicting_ = false;
    std::uint64_t evicted_connections_ = 0;
    std::uint64_t system_exhaustions_ = 0;
};

}  // namespace cressledge::connection_admission
