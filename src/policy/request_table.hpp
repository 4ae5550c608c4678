// The table of unfinished requests, with counts by state.
//
// Invariants: every count (memory, runs, requests in flight, expected calls, used quanta) is the sum over the
// requests in the table, and part of the sums of the server; a request is in the run queue while its state is
// `queued`; a request that waits to issue a call is in the call queue, unless its retry is not due yet or it
// is answered. State, band, queue and `answered` of a request change only through the table.
#pragma once

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

#include "policy/run_queue.hpp"
#include "policy/server_resources.hpp"

namespace cressledge::policy::aces {

/// Requests by id, with run queue, call queue and retained keys. A reference to a request is valid until the
/// request is erased.
class RequestTable {
public:
    /// `resources` must outlive the table.
    RequestTable(const Settings& settings, std::size_t band_count, ServerResources& resources);
    /// Withdraws the requests that are left from the sums of the server.
    ~RequestTable() { resources_.usage.add(usage_, -1.0); }
    RequestTable(const RequestTable&) = delete;
    RequestTable& operator=(const RequestTable&) = delete;

    /// Returns null if the request is unknown or finished.
    TrackedRequest* find(RequestId id);
    /// Returns the request, which must be in the table.
    TrackedRequest& at(RequestId id) { return requests_.at(id); }
    const TrackedRequest& at(RequestId id) const { return requests_.at(id); }
    bool contains(RequestId id) const { return requests_.count(id) != 0; }
    /// Inserts a request whose id is not in the table.
    TrackedRequest& insert(const TrackedRequest& request);
    void erase(const TrackedRequest& request);
    void set_state(TrackedRequest& request, RequestState state);
    /// Marks a request that needs no answer any more. It issues no further dependency call.
    void mark_answered(TrackedRequest& request);

    const RunQueue& run_queue() const { return run_queue_; }
    /// Moves a queued request from the main to the backup queue.
    void move_to_backup_queue(TrackedRequest& request);
    /// Moves a queued request to the queue of `original`, and to its band if that is higher.
    void inherit_queue(TrackedRequest& request, const TrackedRequest& original);

    /// Requests that wait to issue a dependency call, in the order of service.
    const std::set<QueuePosition>& call_queue() const { return call_queue_; }
    /// Does nothing if the request is answered.
    void join_call_queue(const TrackedRequest& request);
    void leave_call_queue(const TrackedRequest& request) { call_queue_.erase(request.position()); }
    /// Number of waiting calls in this band and higher ones.
    double waiting_calls_at_or_above(std::size_t band) const;
    /// Number of calls that queued and running requests of this band and higher ones require.
    double expected_calls_at_or_above(std::size_t band) const;

    /// Retains the key of a request until `until`.
    void retain_key(TrackedRequest& request, Timestamp until);
    void forget_key(const TrackedRequest& request) { resources_.retained_keys.erase(request.id); }
    /// Forgets the keys that have expired.
    void expire_keys(Timestamp now);

    /// Adds the core seconds that each run received since the previous event.
    void add_core_seconds_per_run(double core_seconds) { core_seconds_per_run_ += core_seconds; }
    /// Number of runs on the cores or waiting for a disk.
    double running() const { return usage_.running; }
    /// The sums over the requests of all controllers of the server.
    const RequestUsage& server_usage() const { return resources_.usage; }
    /// Memory used by all requests and retained keys of the server.
    double used_memory_kb() const;

    /// Starts a new batch of events.
    void begin_batch() { ended_unrun_.clear(); }
    /// Records that a request ended in this batch without having run.
    void record_ended_unrun(const TrackedRequest& request) { ended_unrun_.insert(request.id); }
    /// Whether the request ended in this batch without having run.
    bool has_ended_unrun(RequestId id) const { return ended_unrun_.count(id) != 0; }

private:
    RequestUsage usage_of(const TrackedRequest& request) const;
    /// Adds the request to (`sign` 1) or removes it from (`sign` -1) the counts and queues of its state.
    void account(TrackedRequest& request, double sign);

    double running_memory_factor_;  // memory of a running request over that of a queued one, at least 1
    double idempotency_key_kb_;
    std::unordered_map<RequestId, TrackedRequest> requests_;
    RunQueue run_queue_;
    std::set<QueuePosition> call_queue_;
    std::vector<double> expected_calls_;  // by band
    std::set<RequestId> ended_unrun_;  // in the current batch
    double core_seconds_per_run_ = 0.0;  // total since the start
    RequestUsage usage_;
    ServerResources& resources_;
};

}  // namespace cressledge::policy::aces
