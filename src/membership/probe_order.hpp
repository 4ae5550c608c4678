/// Randomized round-robin selection of probe targets (SWIM, section 4.3), which bounds the time until a member is
/// probed.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/member_index_table.hpp"
#include "membership/member_records.hpp"
#include "membership/random_source.hpp"

namespace cressledge::membership {

/// A list of members that is reshuffled after each round. Departed members stay in the list until the round ends, so
/// that a member that is dead only briefly keeps its position.
class ProbeOrder {
public:
    /// Both arguments must outlive this object.
    ProbeOrder(const MemberRecords& records, RandomSource& random) : records_(records), random_(random) {}

    /// Inserts the member at a random position among the members that are still to be probed in this round.
    void insert(MemberIndex index);

    /// Removes a member that is removed from the table.
    void erase(MemberIndex index);

    /// Returns the next live member of the round, and starts a new round if the current one has ended. Returns
    /// `no_member` if no member is live.
    MemberIndex next();

    /// Returns a random live member, or `no_member` if none was found in a bounded number of draws.
    MemberIndex random_live_member() const;

    /// Returns whether a live member has this endpoint.
    bool has_live_member_at(const Endpoint& endpoint) const;

private:
    void begin_round();
    bool contains(MemberIndex index) const;

    const MemberRecords& records_;
    RandomSource& random_;
    std::vector<MemberIndex> order_;
    std::vector<bool> is_contained_;
    std::size_t position_ = 0;
};

}  // namespace cressledge::membership
