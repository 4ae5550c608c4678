/// Storage for the other members of the fleet. update_merger.hpp decides which update takes precedence.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/member_index_table.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"

namespace cressledge::membership {

/// Record of one member.
struct MemberRecord {
    /// Time of the last state change in this table.
    Timestamp changed_at{0};
    std::uint64_t start_time_us = 0;
    Endpoint endpoint;
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::dead;
    /// False if the index is free or is in use by another table only.
    bool is_known = false;
};

/// Records by member index, with the number of live members and the list of departed members.
///
/// Invariant: `live_count()` is the number of known members that are alive or suspect, and `departed()` lists all
/// other known members.
class MemberRecords {
public:
    /// Returns the record of a member, or null if the member is not known.
    MemberRecord* find(MemberIndex index);
    /// Returns the record of a member, or null if the member is not known.
    const MemberRecord* find(MemberIndex index) const;

    /// Returns the record of a known member.
    MemberRecord& at(MemberIndex index) { return records_[index]; }
    /// Returns the record of a known member.
    const MemberRecord& at(MemberIndex index) const { return records_[index]; }

    /// Returns whether the member is known and is alive or suspect.
    bool is_live(MemberIndex index) const;

    /// Adds a live member. `index_count` is the size of the index table, for which capacity is allocated.
    void add(MemberIndex index, const MemberRecord& record, std::size_t index_count);

    /// Sets the state of a known member.
    void set_state(MemberIndex index, MemberState state, Timestamp now);

    /// Removes the departed members whose last state change is at least `retention` ago. Returns their indices.
    std::vector<MemberIndex> remove_expired(Timestamp now, Duration retention);

    /// Number of live members, not counting this process.
    std::size_t live_count() const { return live_count_; }

    /// Known members that are dead or have left, until `remove_expired` removes them.
    const std::vector<MemberIndex>& departed() const { return departed_; }

    /// Number of known members, live or departed.
    std::size_t known_count() const { return live_count_ + departed_.size(); }

    /// Calls `visit(index, record)` for each known member in index order.
    template <class Visit>
    void for_each(Visit visit) const {
        for (MemberIndex index = 0; index < records_.size(); ++index)
            if (records_[index].is_known)
                visit(index, records_[index]);
    }

private:
    std::vector<MemberRecord> records_;
    std::vector<MemberIndex> departed_;
    std::size_t live_count_ = 0;
};

}  // namespace cressledge::membership
