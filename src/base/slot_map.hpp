/// A slot map: values addressed by ids that are never reused for another value.
///
/// An id consists of the index of a slot and the slot's version, which changes with every erase. A late event (a reply,
/// a timer, a closed connection) that refers to an erased value therefore finds nothing, even if the slot has been
/// reused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace cressledge::base {

/// Identifies a value in a `SlotMap`: the version in the upper 32 bits, the index in the lower. Never 0.
using SlotId = std::uint64_t;

/// Owns values and assigns ids to them. Adding and erasing take constant time; the addresses of values are stable.
template <class T>
class SlotMap {
public:
    /// Adds a value, in the most recently freed slot if there is one, and returns its id.
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

    /// The value with this id; null if it has been erased.
    T* find(SlotId id) {
        const std::uint32_t index = index_of(id);
        if (index >= slots_.size())
            return nullptr;
        Slot& slot = slots_[index];
        return slot.value && make_id(index, slot.version) == id ? slot.value.get() : nullptr;
    }

    /// Destroys the value with this id. Does nothing if it has been erased already.
    void erase(SlotId id) {
        if (find(id) == nullptr)
            return;
        const std::uint32_t index = index_of(id);
        slots_[index].value.reset();
        ++slots_[index].version;
        free_indices_.push_back(index);
        --size_;
    }

    /// The number of values.
    std::size_t size() const { return size_; }

    /// The ids of all values, in the order of their slots.
    std::vector<SlotId> ids() const {
        std::vector<SlotId> all;
        for (std::uint32_t index = 0; index < slots_.size(); ++index)
            if (slots_[index].value)
                all.push_back(make_id(index, slots_[index].version));
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
    static std::uint32_t index_of(SlotId id) { return static_cast<std::uint32_t>(id); }

    std::deque<Slot> slots_;
    std::vector<std::uint32_t> free_indices_;
    std::size_t size_ = 0;
};

}  // namespace cressledge::base
