#include "membership/broadcast_queue.hpp"

namespace cressledge::membership {

void BroadcastQueue::push(MemberIndex member) {
    remove(member);
    const BroadcastRank rank{0, ++last_sequence_, member};
    rank_by_member_[member] = rank;
    ranked_.insert(rank);
}

void BroadcastQueue::remove(MemberIndex member) {
    const auto it = rank_by_member_.find(member);
    if (it == rank_by_member_.end())
        return;
    ranked_.erase(it->second);
    rank_by_member_.erase(it);
}

void BroadcastQueue::clear() {
    ranked_.clear();
    rank_by_member_.clear();
}

void BroadcastQueue::record_transmissions(const std::vector<MemberIndex>& members,
                                          unsigned max_transmissions) {
    for (const MemberIndex member : members) {
        BroadcastRank& rank = rank_by_member_.at(member);
        ranked_.erase(rank);
        ++rank.transmissions;
        if (rank.transmissions >= max_transmissions)
            rank_by_member_.erase(member);
        else
            ranked_.insert(rank);
    }
}

}  // namespace cressledge::membership
