/// The other members of the fleet as this process knows them. Holds facts; which update wins is decided in
/// update_merger.hpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/member_index_table.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"

namespace cressledge::membership {

/// What is known of one member.
struct MemberRecord {
    /// When the state last changed in this table.
    Timestamp changed_at{0};
    std::uint64_t start_time_us = 0;
    Endpoint endpoint;
    std::uint32_t incarnation = 0;
    MemberState state = MemberState::dead;
    /// False for an index that is free or belongs to another table.
    bool is_known = false;
};

/// Records by member index, with the number of live members and the list of departed ones.
///
/// Invariant: `live_count()` is the number of known records that are alive or suspect; `departed()` lists all others.
class MemberRecords {
public:
    /// Null if the member is not known.
    MemberRecord* find(MemberIndex index);
    /// Null if the member is not known.
    const MemberRecord* find(MemberIndex index) const;

    /// The record of a known member.
    MemberRecord& at(MemberIndex index) { return records_[index]; }
    /// The record of a known member.
    const MemberRecord& at(MemberIndex index) const { return records_[index]; }

    /// Whether the member is known, and alive or suspect.
    bool is_live(MemberIndex index) const;

    /// Adds a live member. `index_count`: size of the index table, for which there is to be room.
    void add(MemberIndex index, const MemberRecord& record, std::size_t index_count);

    /// Sets the state of a known member.
    void set_state(MemberIndex index, MemberState state, Timestamp now);

    /// Drops the departed members that have not changed for the retention, and returns their indices.
    std::vector<MemberIndex> remove_expired(Timestamp now, Duration retention);

    /// Live members, this process not counted.
    std::size_t live_count() const { return live_count_; }

    /// Known members that are dead or have left, until the retention drops them.
    const std::vector<MemberIndex>& departed() const { return departed_; }

    /// Known members, live or departed.
    std::size_t known_count() const { return live_count_ + departed_.size(); }

    /// Calls `visit(index, record)` for each known member in the order of the indices.
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
