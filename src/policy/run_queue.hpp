// The queue of admitted requests that have not started.
//
// Invariants: a request is in either the main or the backup queue; the quanta of each band are the sum of the
// prices of its queued requests. The band and queue of a request must not change while it is queued.
#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "policy/tracked_request.hpp"

namespace cressledge::policy::aces {

/// A main queue, and a backup queue that is served only while the main queue is empty.
class RunQueue {
public:
    explicit RunQueue(std::size_t band_count) : band_quanta_(band_count, 0.0) {}

    void add(const TrackedRequest& request);
    void remove(const TrackedRequest& request);
    bool empty() const { return main_queue_.empty() && backup_queue_.empty(); }
    /// Number of queued requests.
    double size() const { return static_cast<double>(main_queue_.size() + backup_queue_.size()); }
    /// The request to run next; the queue must not be empty.
    RequestId first() const;
    /// The request to evict first: the youngest of the lowest band. The queue must not be empty.
    RequestId last() const;
    /// Quanta (core seconds) queued in this band and higher ones.
    double quanta_at_or_above(std::size_t band) const;

    const std::set<QueuePosition>& main_queue() const { return main_queue_; }
    const std::set<QueuePosition>& backup_queue() const { return backup_queue_; }
    /// Quanta (core seconds) in the backup queue.
    double backup_quanta() const { return backup_quanta_; }

private:
    std::set<QueuePosition>& queue_of(const TrackedRequest& request);
    void add_quanta(const TrackedRequest& request, double quanta);

    std::set<QueuePosition> main_queue_;
    std::set<QueuePosition> backup_queue_;
    std::vector<double> band_quanta_;
    double backup_quanta_ = 0.0;
};

}  // namespace cressledge::policy::aces
