#include "request/run_id_registry.hpp"

namespace cressledge::request {
namespace {

/// Far more than a server runs within the longest deadline.
constexpr std::size_t max_ids = 16384;

}  // namespace

void RunIdRegistry::record(const std::string& external_id, base::Timestamp now, base::Timestamp until) {
    forget_expired(now);
    if (!ids_.insert(external_id).second)
        return;
    entries_.push_back({external_id, until});
    if (entries_.size() <= max_ids)
        return;
    ids_.erase(entries_.front().external_id);
    entries_.pop_front();
}

bool RunIdRegistry::contains(const std::string& external_id, base::Timestamp now) {
    forget_expired(now);
    return ids_.count(external_id) != 0;
}

// An id behind one that is remembered for longer is forgotten with it.
void RunIdRegistry::forget_expired(base::Timestamp now) {
    while (!entries_.empty() && entries_.front().until <= now) {
        ids_.erase(entries_.front().external_id);
        entries_.pop_front();
    }
}

}  // namespace cressledge::request
