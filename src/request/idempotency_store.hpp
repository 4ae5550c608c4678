/// Remembers keys, so that requests with the same key share one run and its result.
///
/// Two kinds of classes use it: those that must run once within a window (the key is an idempotency key), and reads
/// whose result may be shared for a while (the key is what the read is about). The store decides nothing: the admission
/// controller says what is retained, released and replayed. It answers no request either: it hands results to the
/// replay handler.
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

/// A 128-bit digest (XXH3) of a payload. Not cryptographic: it tells mistakes from repeats, not attacks.
struct PayloadDigest {
    std::uint64_t high = 0, low = 0;

    bool operator==(const PayloadDigest&) const = default;
};

/// The 128-bit XXH3 hash of a request's payload, to tell a repeat from another request under the same key.
PayloadDigest digest_payload(std::string_view payload);

/// A retained key.
struct IdempotencyRecord {
    /// The request whose run counts for the key.
    RequestId owner_id = 0;
    /// Of the owner's payload; a repeat has the same.
    PayloadDigest payload_digest;
    /// Requests accepted until then repeat the owner.
    Timestamp retained_until{0};
    /// Whether the owner's run has ended, and when.
    bool finished = false;
    Timestamp finished_at{0};
    /// Whether the run succeeded and `result` is available.
    bool succeeded = false;
    std::string result;
    /// Repeats that wait for the result.
    std::vector<RequestId> waiter_ids;
    base::TimerHandle expiry_timer;

    /// Whether a read's result may still be shared at `now`.
    bool is_fresh(Timestamp now, Duration result_ttl) const {
        return succeeded && now - finished_at <= result_ttl;
    }
};

/// The table of retained keys. Bounded in keys and in bytes of results.
class IdempotencyStore {
public:
    /// Called once for each repeat: with a record that succeeded and its result, or with one that did not.
    using ReplayHandler = std::function<void(RequestId repeat_id, const IdempotencyRecord& record)>;

    /// `timers` holds the expiry of each record; `replay` is told of each repeat.
    IdempotencyStore(base::TimerQueue& timers, ReplayHandler replay)
        : timers_(timers), replay_(std::move(replay)) {}

    /// The key in this table of a key as the caller gave it. It holds the name of the class, not the settings
    /// generation: what has run under older settings has run all the same, and a repeat shares its outcome.
    static std::string record_key(std::string_view class_name, std::string_view key);

    /// Whether there is no capacity for another key.
    bool is_full() const;

    /// Whether this key is retained. Its window may be over.
    bool contains(const std::string& key) const { return records_.count(key) != 0; }

    /// The record of a key that was retained when the request was accepted, else null. How late the request is read
    /// does not matter.
    const IdempotencyRecord* find(const std::string& key, Timestamp accepted_at) const;

    /// Retains a key for its owner until `retained_until` and forgets it at `expires_at`. A record of an earlier owner
    /// is replaced once it has finished or its time is over; its waiting repeats then fail. Needs capacity for the key.
    void retain(const std::string& key, RequestId owner_id, const PayloadDigest& payload_digest,
                Timestamp now, Timestamp retained_until, Timestamp expires_at);

    /// Forgets a key if that request owns it.
    void release(const std::string& key, RequestId owner_id);

    /// The run of a request has ended. If it owns the key, its repeats get the result. A result for which there is no
    /// memory is not kept, and counts as failed for the repeats.
    void finish(const std::string& key, RequestId owner_id, Timestamp now, bool succeeded,
                std::string_view result);

    /// Has the result of the key replayed to a repeat, now or when the owner's run has ended.
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
