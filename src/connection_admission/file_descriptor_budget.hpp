// Who takes the next descriptor, for the whole process. No I/O: those who open files and sockets ask here first
// and hold a lease for as long as theirs is open.
//
// Invariant: used <= limit, and every purpose that holds fewer than its guarantee can still get up to it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "connection_admission/settings.hpp"

namespace cressledge::connection_admission {

enum class DescriptorPurpose : std::uint8_t {
    listener,
    platform_link,
    records,
    upstream,
    file,
    frontend,
    admin,
    gossip
};
constexpr std::size_t descriptor_purpose_count = 8;
const char* to_string(DescriptorPurpose purpose);

class FileDescriptorBudget {
public:
    struct Quota {
        std::size_t guaranteed = 0, maximum = 0;
    };
    using Quotas = std::array<Quota, descriptor_purpose_count>;

    class Lease {  // one descriptor; given back when it ends
    public:
        Lease() = default;
        Lease(Lease&& other) noexcept
            : budget_(std::exchange(other.budget_, nullptr)), purpose_(other.purpose_) {}
        Lease& operator=(Lease&& other) noexcept {
            std::swap(budget_, other.budget_);
            std::swap(purpose_, other.purpose_);
            return *this;
        }
        ~Lease() { release(); }
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

    explicit FileDescriptorBudget(const struct DescriptorPlan& plan);
    FileDescriptorBudget(const FileDescriptorBudget&) = delete;
    FileDescriptorBudget& operator=(const FileDescriptorBudget&) = delete;

    // Empty: none is to be had. Whatever ranks above new connections has one of theirs closed for it first, through
    // on_short.
    Lease try_acquire(Timestamp now, DescriptorPurpose purpose);
    // The system itself has refused one (EMFILE, ENFILE) although there should have been one: what is in use now is
    // the limit for new connections during the next fifth of a second, and one makes room for the next try.
    // Called once the lease of the one refused has been given back.
    void on_system_exhausted(Timestamp now);
    void reconfigure(const struct DescriptorPlan& plan);  // what is out already stays out

    // Closes a connection that has nothing in hand and returns true, or false if there is none.
    void on_exhausted(std::function<bool()> evict_connection) {
        evict_connection_ = std::move(evict_connection);
    }
    void on_released(std::function<void()> callback) {
        on_released_ = std::move(callback);
    }  // after each give-back

    std::size_t used() const { return used_; }
    std::size_t used(DescriptorPurpose p) const { return usage_of(p).used; }
    std::size_t limit() const { return limit_; }
    std::uint64_t denied(DescriptorPurpose p) const { return usage_of(p).denied; }
    std::uint64_t evicted_connections() const { return evicted_connections_; }
    std::uint64_t system_exhaustions() const { return system_exhaustions_; }

private:
    struct PurposeUsage {
        Quota quota;
        std::size_t used = 0;
        std::uint64_t denied = 0;
    };
    PurposeUsage& usage_of(DescriptorPurpose p) { return usage_[static_cast<std::size_t>(p)]; }
    const PurposeUsage& usage_of(DescriptorPurpose p) const { return usage_[static_cast<std::size_t>(p)]; }
    bool can_acquire(Timestamp now, DescriptorPurpose p) const;
    bool evict_one_connection();
    void release(DescriptorPurpose purpose);

    std::size_t limit_;  // descriptors that the process may hold
    std::size_t unmanaged_;  // those that the process holds and nobody asks for here
    std::array<PurposeUsage, descriptor_purpose_count> usage_{};
    std::size_t used_;
    std::size_t observed_limit_ = 0;  // the limit that the system has shown, in force before shown_until_
    Timestamp observed_limit_expires_at_{0};
    std::function<bool()> evict_connection_;
    std::function<void()> on_released_;
    bool is_evicting_ = false;
    std::uint64_t evicted_connections_ = 0, system_exhaustions_ = 0;
};

// What an installation wants at most of each; guarantees are made of it.
struct DescriptorDemand {
    std::size_t listeners = 0, platform_links = 0, records = 0, upstream = 0, rejection_slots = 0,
                reserved_connections = 0,
                open_files = 0,  // kept open
        admin = 0,  // the control address: its listener and connections
        gossip = 0;  // the fleet's: its sockets and full exchanges
    std::size_t min_upstream = 4;  // guaranteed of `upstream`
};
struct DescriptorPlan {
    std::size_t limit = 0, unmanaged = 0;
    FileDescriptorBudget::Quotas quotas{};
    std::uint32_t max_connections = 0, rejection_slots = 0;  // what there is room for of those asked for
};
// Shares out `limit` to an installation that wants up to `connections` from callers. Throws std::invalid_argument if
// not even the guarantees fit, and says how many it takes.
DescriptorPlan plan_descriptors(std::size_t limit, std::size_t unmanaged, const DescriptorDemand& demand,
                                std::uint32_t max_connections);

}  // namespace cressledge::connection_admission
