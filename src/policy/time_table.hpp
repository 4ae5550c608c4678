// One time for each of some requests: timers, and the expiry of retained keys.
//
// Invariant: a request has one entry at most, in the order of time and the index alike.
#pragma once

#include <compare>
#include <set>
#include <unordered_map>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// Requests in the order of their times.
class TimeTable {
public:
    struct Entry {
        Timestamp at{0};
        RequestId id = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): the literal 0 is the compiler's own.
        auto operator<=>(const Entry&) const = default;
    };

    /// Replaces the time that the request had.
    void set(RequestId id, Timestamp at);
    /// Changes nothing where the request has no time.
    void erase(RequestId id);
    bool empty() const { return entries_.empty(); }
    /// Requests with a time.
    double size() const { return static_cast<double>(entries_.size()); }
    /// Whether the earliest time has come.
    bool has_due(Timestamp now) const;
    /// The earliest entry; the table must not be empty.
    const Entry& first() const { return *entries_.begin(); }
    /// All entries, earliest first.
    const std::set<Entry>& entries() const { return entries_; }

private:
    std::set<Entry> entries_;
    std::unordered_map<RequestId, Timestamp> time_by_request_;
};

}  // namespace cressledge::policy::aces
