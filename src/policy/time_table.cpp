#include "policy/time_table.hpp"

namespace cressledge::policy::aces {

void TimeTable::set(RequestId id, Timestamp at) {
    erase(id);
    time_by_request_[id] = at;
    entries_.insert({at, id});
}

void TimeTable::erase(RequestId id) {
    const auto it = time_by_request_.find(id);
    if (it == time_by_request_.end())
        return;
    entries_.erase({it->second, id});
    time_by_request_.erase(it);
}

bool TimeTable::has_due(Timestamp now) const {
    return !entries_.empty() && entries_.begin()->at <= now;
}

}  // namespace cressledge::policy::aces
