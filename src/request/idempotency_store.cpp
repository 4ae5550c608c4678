#include "request/idempotency_store.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace cressledge::request {
namespace {

constexpr std::size_t max_keys = 65'536;
/// Counts towards the memory limit of the whole process.
constexpr std::size_t max_retained_result_bytes = 24U << 20U;  // 24 MiB

}  // namespace

PayloadDigest digest_payload(std::string_view payload) {
    const XXH128_hash_t hash = XXH3_128bits(payload.data(), payload.size());
    return {hash.high64, hash.low64};
}

std::string IdempotencyStore::record_key(std::string_view class_name, std::string_view key) {
    std::string record_key(class_name);
    record_key += ':';
    record_key += key;
    return record_key;
}

bool IdempotencyStore::is_full() const {
    return records_.size() >= max_keys;
}

const IdempotencyRecord* IdempotencyStore::find(const std::string& key, Timestamp accepted_at) const {
    const auto it = records_.find(key);
    if (it == records_.end() || accepted_at > it->second.retained_until)
        return nullptr;
    return &it->second;
}

void IdempotencyStore::retain(const std::string& key, RequestId owner_id, const PayloadDigest& payload_digest,
                              Timestamp now, Timestamp retained_until, Timestamp expires_at) {
    IdempotencyRecord& record = records_[key];
    const bool is_concluded = record.finished || now > record.retained_until;
    if (record.owner_id != owner_id && is_concluded)
        discard_result(record);
    record.owner_id = owner_id;
    record.payload_digest = payload_digest;
    record.retained_until = retained_until;
    record.expiry_timer = timers_.schedule(expires_at, [this, key] { forget(key); });
}

// Later requests are repeats of the new owner and must not get the result of the previous owner.
void IdempotencyStore::discard_result(IdempotencyRecord& record) {
    for (const RequestId waiter_id : std::exchange(record.waiter_ids, {}))
        replay_(waiter_id, IdempotencyRecord{});
    retained_bytes_ -= record.result.size();
    record.result.clear();
    record.finished = false;
    record.succeeded = false;
}

void IdempotencyStore::release(const std::string& key, RequestId owner_id) {
    const auto it = records_.find(key);
    if (it != records_.end() && it->second.owner_id == owner_id)
        forget(key);
}

void IdempotencyStore::forget(const std::string& key) {
    const auto it = records_.find(key);
    if (it == records_.end())
        return;
    IdempotencyRecord record = std::move(it->second);
    records_.erase(it);
    retained_bytes_ -= record.result.size();
    record.succeeded = false;
    for (const RequestId waiter_id : record.waiter_ids)
        replay_(waiter_id, record);
}

void IdempotencyStore::finish(const std::string& key, RequestId owner_id, Timestamp now, bool succeeded,
                              std::string_view result) {
    const auto it = records_.find(key);
    if (it == records_.end() || it->second.owner_id != owner_id)
        return;
    IdempotencyRecord& record = it->second;
    record.finished = true;
    record.finished_at = now;
    record.succeeded = succeeded && retained_bytes_ + result.size() <= max_retained_result_bytes;
    if (record.succeeded) {
        record.result = std::string(result);
        retained_bytes_ += record.result.size();
    }
    for (const RequestId waiter_id : std::exchange(record.waiter_ids, {}))
        replay_(waiter_id, record);
}

void IdempotencyStore::replay_to(const std::string& key, RequestId repeat_id) {
    const auto it = records_.find(key);
    if (it == records_.end())
        return replay_(repeat_id, IdempotencyRecord{});
    IdempotencyRecord& record = it->second;
    if (record.finished)
        return replay_(repeat_id, record);
    record.waiter_ids.push_back(repeat_id);
}

}  // namespace cressledge::request
