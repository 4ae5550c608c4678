/// Queue of the member states that are pending dissemination (SWIM, section 4.1: piggybacked dissemination).
#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "membership/member_index_table.hpp"

namespace cressledge::membership {

/// Rank of a pending broadcast: least transmitted first, and the most recently queued first among equals.
struct BroadcastRank {
    unsigned transmissions = 0;
    /// Unique and increasing in the order in which broadcasts were queued.
    std::uint64_t sequence = 0;
    MemberIndex member = no_member;
};

/// Strict ordering of broadcasts by rank.
struct BroadcastRankOrder {
    /// Returns whether `a` precedes `b`.
    bool operator()(const BroadcastRank& a, const BroadcastRank& b) const {
        if (a.transmissions != b.transmissions)
            return a.transmissions < b.transmissions;
        return a.sequence > b.sequence;
    }
};

/// Pending broadcasts in rank order. Holds at most one for each member.
class BroadcastQueue {
public:
    /// Queues the member's state. Replaces a pending broadcast and resets its transmission count.
    void push(MemberIndex member);

    /// Removes the member's broadcast, if any.
    void remove(MemberIndex member);
    /// Removes all broadcasts.
    void clear();

    /// Counts one transmission for each of the members. Removes broadcasts that reach `max_transmissions`.
    void record_transmissions(const std::vector<MemberIndex>& members, unsigned max_transmissions);

    /// Returns whether a broadcast of the member is queued.
    bool contains(MemberIndex member) const { return rank_by_member_.count(member) != 0; }
    /// Returns whether the queue is empty.
    bool empty() const { return ranked_.empty(); }

    /// Returns all pending broadcasts in rank order.
    const std::set<BroadcastRank, BroadcastRankOrder>& ranked() const { return ranked_; }

private:
    std::unordered_map<MemberIndex, BroadcastRank> rank_by_member_;
    std::set<BroadcastRank, BroadcastRankOrder> ranked_;
    std::uint64_t last_sequence_ = 0;
};

}  // namespace cressledge::membership
