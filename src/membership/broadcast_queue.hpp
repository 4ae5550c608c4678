/// Which members' states are still to be spread, and in which order (SWIM, section 4.1: piggybacked dissemination).
#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "membership/member_index_table.hpp"

namespace cressledge::membership {

/// Place of a pending broadcast: least transmitted first, of those the one that was queued last.
struct BroadcastRank {
    unsigned transmissions = 0;
    /// Unique, and higher for what was queued later.
    std::uint64_t sequence = 0;
    MemberIndex member = no_member;
};

/// Orders broadcasts by their rank.
struct BroadcastRankOrder {
    /// Whether `a` goes before `b`.
    bool operator()(const BroadcastRank& a, const BroadcastRank& b) const {
        if (a.transmissions != b.transmissions)
            return a.transmissions < b.transmissions;
        return a.sequence > b.sequence;
    }
};

/// At most one pending broadcast for each member.
class BroadcastQueue {
public:
    /// Queues the member's state anew, as if it had never been sent.
    void push(MemberIndex member);

    /// Stops the member's broadcast, if there is one.
    void remove(MemberIndex member);
    /// Stops all broadcasts.
    void clear();

    /// Counts one transmission for each of the members; a broadcast ends with the `max_transmissions`-th.
    void record_transmissions(const std::vector<MemberIndex>& members, unsigned max_transmissions);

    /// Whether a broadcast of the member is queued.
    bool contains(MemberIndex member) const { return rank_by_member_.count(member) != 0; }
    /// Whether no broadcast is queued.
    bool empty() const { return ranked_.empty(); }

    /// All pending broadcasts in their order.
    const std::set<BroadcastRank, BroadcastRankOrder>& ranked() const { return ranked_; }

private:
    std::unordered_map<MemberIndex, BroadcastRank> rank_by_member_;
    std::set<BroadcastRank, BroadcastRankOrder> ranked_;
    std::uint64_t last_sequence_ = 0;
};

}  // namespace cressledge::membership
