/// Dense numbers for member ids, so that a membership table is a vector and not a tree of strings. One table for a
/// process; the emulator's many membership tables share one, as their members' ids are the same.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cressledge::membership {

/// Index of a member in the tables of this process; not on the wire.
using MemberIndex = std::uint32_t;
constexpr MemberIndex no_member = ~MemberIndex{0};

/// Assigns an index to each id and takes it back.
class MemberIndexTable {
public:
    /// `no_member` if the id has no index.
    MemberIndex find(std::string_view id) const {
        const auto it = index_by_id_.find(std::string(id));
        return it == index_by_id_.end() ? no_member : it->second;
    }

    /// The index of the id; a new one if it had none.
    MemberIndex add(std::string_view id) {
        if (const MemberIndex known = find(id); known != no_member)
            return known;
        MemberIndex index = static_cast<MemberIndex>(ids_.size());
        if (free_indices_.empty()) {
            ids_.emplace_back(id);
        } else {
            index = free_indices_.back();
            free_indices_.pop_back();
            ids_[index] = id;
        }
        index_by_id_.emplace(id, index);
        return index;
    }

    /// Takes the index back; the next new id gets it. Only for a table that nobody shares.
    void release(MemberIndex index) {
        index_by_id_.erase(ids_[index]);
        ids_[index].clear();
        free_indices_.push_back(index);
    }

    /// Empty for an index that was released.
    const std::string& id(MemberIndex index) const { return ids_[index]; }

    /// One more than the largest index that was ever assigned.
    std::size_t size() const { return ids_.size(); }

private:
    std::unordered_map<std::string, MemberIndex> index_by_id_;
    std::vector<std::string> ids_;
    std::vector<MemberIndex> free_indices_;
};

}  // namespace cressledge::membership
