// Numbers for ids, so that a view is a table and not a tree of texts. One for a process; the emulator's many views
// share one, as their members' ids are the same.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cressledge::membership {

using MemberIndex = std::uint32_t;
constexpr MemberIndex no_member = ~MemberIndex{0};

class MemberIndexTable {
public:
    MemberIndex find(std::string_view id) const {
        const auto it = index_by_id_.find(std::string(id));
        return it == index_by_id_.end() ? no_member : it->second;
    }
    MemberIndex add(std::string_view id) {
        if (const MemberIndex known = find(id); known != no_member)
            return known;
        MemberIndex no = static_cast<MemberIndex>(ids_.size());
        if (free_indices_.empty()) {
            ids_.emplace_back(id);
        } else {
            no = free_indices_.back();
            free_indices_.pop_back();
            ids_[no] = id;
        }
        index_by_id_.emplace(id, no);
        return no;
    }
    // For the only view that uses these: its number goes to the next new id.
    void release(MemberIndex no) {
        index_by_id_.erase(ids_[no]);
        ids_[no].clear();
        free_indices_.push_back(no);
    }
    const std::string& id(MemberIndex no) const { return ids_[no]; }
    std::size_t size() const { return ids_.size(); }

private:
    std::unordered_map<std::string, MemberIndex> index_by_id_;
    std::vector<std::string> ids_;
    std::vector<MemberIndex> free_indices_;
};

}  // namespace cressledge::membership
