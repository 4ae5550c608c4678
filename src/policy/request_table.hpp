// The requests that a controller knows, and all that is counted of them by state.
//
// Invariants: every count (memory, runs, requests in flight, expected calls, quanta used) is the sum over
// the requests in the table; a request is in the run queue while its state is `queued`; whoever waits to
// issue a call is in the call queue, but for those whose retry is not due yet and those that are to end.
// State, band and queue of a request change only through the table.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "policy/run_queue.hpp"
#include "policy/time_table.hpp"

namespace cressledge::policy::aces {

/// Requests by id, with their run queue, call queue and retained keys. References to a request stay valid
/// until it is erased.
class RequestTable {
public:
    /// `settings` must outlive the table.
    RequestTable(const Settings& settings, std::size_t band_count);

    /// Null for a request that is unknown or over.
    TrackedRequest* find(RequestId id);
    /// The request must be known.
    TrackedRequest& at(RequestId id) { return requests_.at(id); }
    const TrackedRequest& at(RequestId id) const { return requests_.at(id); }
    bool contains(RequestId id) const { return requests_.count(id) != 0; }
    /// Requests known.
    double size() const { return static_cast<double>(requests_.size()); }
    /// Takes in a request that is not known yet.
    TrackedRequest& insert(const TrackedRequest& request);
    void erase(const TrackedRequest& request);
    void set_state(TrackedRequest& request, RequestState state);

    const RunQueue& run_queue() const { return run_queue_; }
    /// Moves a queued request from the main to the backup queue.
    void move_to_backup_queue(TrackedRequest& request);
    /// A queued request takes the queue of another, and its band where that is higher.
    void inherit_queue(TrackedRequest& request, const TrackedRequest& original);

    /// Requests at a call not issued yet, in the order of service.
    const std::set<QueuePosition>& call_queue() const { return call_queue_; }
    void join_call_queue(const TrackedRequest& request) { call_queue_.insert(request.position()); }
    void leave_call_queue(const TrackedRequest& request) { call_queue_.erase(request.position()); }
    /// Waiting calls of this band and the higher ones.
    double waiting_calls_at_or_above(std::size_t band) const;
    /// Calls that queued and running requests of this band and the higher ones cannot do without.
    double expected_calls_at_or_above(std::size_t band) const;

    /// Counts the key of a request as retained until `until`.
    void retain_key(TrackedRequest& request, Timestamp until);
    void forget_key(const TrackedRequest& request) { retained_keys_.erase(request.id); }
    void expire_keys(Timestamp now);

    /// Core seconds that each run was given since the time before.
    void add_core_seconds_per_run(double core_seconds) { core_seconds_per_run_ += core_seconds; }
    /// Runs that are on the cores or wait for a disk.
    double running() const { return running_; }
    /// Requests started and not over.
    double in_flight() const { return in_flight_; }
    /// Memory of all requests and retained keys.
    double used_memory_kb() const;

    /// Another batch of events begins.
    void begin_batch() { ended_unrun_.clear(); }
    /// Notes that a request ended in this batch without having run.
    void record_ended_unrun(const TrackedRequest& request) { ended_unrun_.insert(request.id); }
    bool has_ended_unrun(RequestId id) const { return ended_unrun_.count(id) != 0; }

private:
    /// Enters (sign 1) or leaves (sign -1) all that counts requests by state.
    void account(TrackedRequest& request, double sign);

    double running_memory_factor_;  // of a queued request's memory, at least 1
    double idempotency_key_kb_;
    std::unordered_map<RequestId, TrackedRequest> requests_;
    RunQueue run_queue_;
    std::set<QueuePosition> call_queue_;
    std::vector<double> expected_calls_;  // by band
    TimeTable retained_keys_;  // expiry of each
    std::set<RequestId> ended_unrun_;  // in this very batch
    double core_seconds_per_run_ = 0.0;  // since the start
    double running_ = 0.0;
    double in_flight_ = 0.0;
    double requests_kb_ = 0.0;
};

}  // namespace cressledge::policy::aces
