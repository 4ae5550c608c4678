#include "membership/member_records.hpp"

#include <algorithm>

namespace cressledge::membership {

MemberRecord* MemberRecords::find(MemberIndex index) {
    return index < records_.size() && records_[index].is_known ? &records_[index] : nullptr;
}

const MemberRecord* MemberRecords::find(MemberIndex index) const {
    return index < records_.size() && records_[index].is_known ? &records_[index] : nullptr;
}

bool MemberRecords::is_live(MemberIndex index) const {
    const MemberRecord* record = find(index);
    return record != nullptr && !is_departed(record->state);
}

void MemberRecords::add(MemberIndex index, const MemberRecord& record, std::size_t index_count) {
    if (index >= records_.size())
        records_.resize(std::max<std::size_t>(index + 1U, index_count));
    records_[index] = record;
    ++live_count_;
}

void MemberRecords::set_state(MemberIndex index, MemberState state, Timestamp now) {
    MemberRecord& record = records_[index];
    const bool was_departed = is_departed(record.state);
    const bool departs = is_departed(state);
    if (!was_departed && departs) {
        --live_count_;
        departed_.push_back(index);
    } else if (was_departed && !departs) {
        ++live_count_;
        std::erase(departed_, index);
    }
    record.state = state;
    record.changed_at = now;
}

std::vector<MemberIndex> MemberRecords::remove_expired(Timestamp now, Duration retention) {
    std::vector<MemberIndex> removed;
    std::erase_if(departed_, [&](MemberIndex index) {
        MemberRecord& record = records_[index];
        if (now - record.changed_at < retention)
            return false;
        record = {};
        removed.push_back(index);
        return true;
    });
    return removed;
}

}  // namespace cressledge::membership
