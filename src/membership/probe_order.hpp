/// Whom to probe next: randomized round-robin (SWIM, section 4.3), which bounds the time until a member is probed.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/member_index_table.hpp"
#include "membership/member_records.hpp"
#include "membership/random_source.hpp"

namespace cressledge::membership {

/// A list of members that is shuffled anew after each round. Departed members stay in it until the round ends, so a
/// member that was dead for a moment keeps its place.
class ProbeOrder {
public:
    /// Both outlive this object.
    ProbeOrder(const MemberRecords& records, RandomSource& random) : records_(records), random_(random) {}

    /// Puts the member at a random place among those that are still to come in this round.
    void insert(MemberIndex index);

    /// Takes the member out, for one that is forgotten.
    void erase(MemberIndex index);

    /// The next live member of the round; a new round begins where the last one is over. `no_member`: none is live.
    MemberIndex next();

    /// A live member at random. `no_member`: none was found in a bounded number of draws.
    MemberIndex random_live_member() const;

    /// Whether a live member is reached at this endpoint.
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
