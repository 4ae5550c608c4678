// A table of numbered slots. A number carries the slot's generation: guards against a late event (a reply, a
// deadline, a closed connection) that names a slot which has been handed to somebody else since.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace cressledge::base {

using SlotId = std::uint64_t;  // never 0

template <class T>
class SlotMap {
public:
    SlotId add(std::unique_ptr<T> value) {
        if (free_indices_.empty()) {
            free_indices_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        const std::uint32_t index = free_indices_.back();
        free_indices_.pop_back();
        Slot& slot = slots_[index];
        slot.value = std::move(value);
        ++size_;
        return make_id(index, slot.version);
    }
    T* find(SlotId id) {
        const auto index = static_cast<std::uint32_t>(id);
        if (index >= slots_.size())
            return nullptr;
        Slot& slot = slots_[index];
        return slot.value && make_id(index, slot.version) == id ? slot.value.get() : nullptr;
    }
    void erase(SlotId id) {
        if (find(id) == nullptr)
            return;
        const auto index = static_cast<std::uint32_t>(id);
        slots_[index].value.reset();
        ++slots_[index].version;
        free_indices_.push_back(index);
        --size_;
    }
    std::size_t size() const { return size_; }
    std::vector<SlotId> ids() const {
        std::vector<SlotId> all;
        for (std::uint32_t i = 0; i < slots_.size(); ++i)
            if (slots_[i].value)
                all.push_back(make_id(i, slots_[i].version));
        return all;
    }

private:
    struct Slot {
        std::unique_ptr<T> value;
        std::uint32_t version = 1;
    };
    static SlotId make_id(std::uint32_t index, std::uint32_t version) {
        return (static_cast<SlotId>(version) << 32U) | index;
    }
    std::deque<Slot> slots_;
    std::vector<std::uint32_t> free_indices_;
    std::size_t size_ = 0;
};

}  // namespace cressledge::base
