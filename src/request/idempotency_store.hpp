/// Stores keys, so that requests with the same key share one run and its result.
///
/// Two kinds of request class use it: classes whose requests must run once within a window, where the key is an
/// idempotency key, and reads whose result may be shared for the result TTL, where the key is the lookup key. The
/// admission controller decides which keys are retained and released and which results are replayed. The store responds
/// to no request itself: it passes results to the replay handler.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/timer_queue.hpp"
#include "request/incoming_request.hpp"

namespace cressledge::request {

/// A 128-bit XXH3 digest of a payload. Not cryptographic: it detects keys reused by mistake, not attacks.
struct PayloadDigest {
    std::uint64_t high = 0, low = 0;

    bool operator==(const PayloadDigest&) const = default;
};

/// Computes the 128-bit XXH3 digest by which a repeat is distinguished from another request with the same key.
PayloadDigest digest_payload(std::string_view payload);

/// A retained key.
struct IdempotencyRecord {
    /// The request whose run determines the result for the key.
    RequestId owner_id = 0;
    /// Digest of the owner's payload. A repeat has the same digest.
    PayloadDigest payload_digest;
    /// A request with this key that was accepted no later than this is a repeat of the owner.
    Timestamp retained_until{0};
    /// Whether the owner's run has ended.
    bool finished = false;
    /// When the owner's run ended; valid only if `finished`.
    Timestamp finished_at{0};
    /// Whether the run succeeded and `result` is available.
    bool succeeded = false;
    std::string result;
    /// Repeats that wait for the owner's run to end.
    std::vector<RequestId> waiter_ids;
    base::TimerHandle expiry_timer;

    /// Whether the result of a read may still be shared at `now`.
    bool is_fresh(Timestamp now, Duration result_ttl) const {
        return succeeded && now - finished_at <= result_ttl;
    }
};

/// The table of retained keys. The number of keys and the total size of the results are bounded.
class IdempotencyStore {
public:
    /// Called once for each repeat. If `record.succeeded`, `record.result` is the result to replay; else the repeat
    /// fails.
    using ReplayHandler = std::function<void(RequestId repeat_id, const IdempotencyRecord& record)>;

    /// `timers` runs the expiry of each record and must outlive the store. `replay` is called for each repeat.
    IdempotencyStore(base::TimerQueue& timers, ReplayHandler replay)
        : timers_(timers), replay_(std::move(replay)) {}

    /// The key of the record for a key sent by a caller. Contains the class name but not the settings generation, so
    /// that a repeat that arrives after a change of settings shares the outcome of the earlier run.
    static std::string record_key(std::string_view class_name, std::string_view key);

    /// Whether the table has reached its maximum number of keys.
    bool is_full() const;

    /// Whether the table has a record for this key, even if its window is over.
    bool contains(const std::string& key) const { return records_.count(key) != 0; }

    /// Returns the record of a key that was retained at `accepted_at`, else null. Only the time of acceptance counts,
    /// not the time at which the request is read.
    const IdempotencyRecord* find(const std::string& key, Timestamp accepted_at) const;

    /// Retains a key for its owner until `retained_until` and removes the record at `expires_at`. Replaces the record
    /// of an earlier owner. If that owner's run has finished or its window is over, its result is discarded and its
    /// waiting repeats fail; otherwise they wait for the new owner. Precondition: the table has a record for the key
    /// or is not full.
    void retain(const std::string& key, RequestId owner_id, const PayloadDigest& payload_digest,
                Timestamp now, Timestamp retained_until, Timestamp expires_at);

    /// Removes the record of a key if `owner_id` owns it.
    void release(const std::string& key, RequestId owner_id);

    /// Records that the run of `owner_id` has ended and replays its result to the waiting repeats. Does nothing if
    /// another request owns the key. A result that would exceed the size limit is not stored, and the repeats fail.
    void finish(const std::string& key, RequestId owner_id, Timestamp now, bool succeeded,
                std::string_view result);

    /// Replays the result of a key to a repeat, at once or when the owner's run ends. Without a record the repeat
    /// fails.
    void replay_to(const std::string& key, RequestId repeat_id);

private:
    void forget(const std::string& key);
    void discard_result(IdempotencyRecord& record);

    base::TimerQueue& timers_;
    ReplayHandler replay_;
    std::unordered_map<std::string, IdempotencyRecord> records_;
    std::size_t retained_bytes_ = 0;
};

}  // namespace cressledge::request
