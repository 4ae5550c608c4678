/// Maps member ids to dense indices, so that member records can be stored in a vector. A process has one index table;
/// all membership tables of the emulator share one, because their member ids are the same.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cressledge::membership {

/// Index of a member in the tables of this process. Not part of the wire format.
using MemberIndex = std::uint32_t;
/// Index that stands for an unknown member.
constexpr MemberIndex no_member = ~MemberIndex{0};

/// Assigns an index to each member id and reuses released indices.
class MemberIndexTable {
public:
    /// Returns the index of the id, or `no_member` if it has none.
    MemberIndex find(std::string_view id) const {
        const auto it = index_by_id_.find(std::string(id));
        return it == index_by_id_.end() ? no_member : it->second;
    }

    /// Returns the index of the id. Assigns one if it has none.
    MemberIndex add(std::string_view id) {
        if (const MemberIndex existing = find(id); existing != no_member)
            return existing;
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

    /// Releases an index for reuse by the next new id. Must not be called on a shared table.
    void release(MemberIndex index) {
        index_by_id_.erase(ids_[index]);
        ids_[index].clear();
        free_indices_.push_back(index);
    }

    /// Returns the id of an index, or an empty string if the index was released.
    const std::string& id(MemberIndex index) const { return ids_[index]; }

    /// Returns one more than the largest index that was ever assigned.
    std::size_t size() const { return ids_.size(); }

private:
    std::unordered_map<std::string, MemberIndex> index_by_id_;
    std::vector<std::string> ids_;
    std::vector<MemberIndex> free_indices_;
};

}  // namespace cressledge::membership
