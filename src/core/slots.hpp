// A table of numbered slots. A number carries the slot's generation: guards against a late event (a reply, a
// deadline, a closed connection) that names a slot which has been handed to somebody else since.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace cressledge::core {

using SlotNo = std::uint64_t;  // never 0

template <class T>
class Slots {
public:
    SlotNo add(std::unique_ptr<T> value) {
        if (free_.empty()) {
            free_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        const std::uint32_t index = free_.back();
        free_.pop_back();
        Slot& slot = slots_[index];
        slot.value = std::move(value);
        ++used_;
        return number(index, slot.generation);
    }
    T* find(SlotNo no) {
        const auto index = static_cast<std::uint32_t>(no);
        if (index >= slots_.size()) return nullptr;
        Slot& slot = slots_[index];
        return slot.value && number(index, slot.generation) == no ? slot.value.get() : nullptr;
    }
    void erase(SlotNo no) {
        if (find(no) == nullptr) return;
        const auto index = static_cast<std::uint32_t>(no);
        slots_[index].value.reset();
        ++slots_[index].generation;
        free_.push_back(index);
        --used_;
    }
    std::size_t size() const { return used_; }
    std::vector<SlotNo> numbers() const {
        std::vector<SlotNo> all;
        for (std::uint32_t i = 0; i < slots_.size(); ++i)
            if (slots_[i].value) all.push_back(number(i, slots_[i].generation));
        return all;
    }

private:
    struct Slot {
        std::unique_ptr<T> value;
        std::uint32_t generation = 1;
    };
    static SlotNo number(std::uint32_t index, std::uint32_t generation) {
        return (static_cast<SlotNo>(generation) << 32U) | index;
    }
    std::deque<Slot> slots_;
    std::vector<std::uint32_t> free_;
    std::size_t used_ = 0;
};

}  // namespace cressledge::core
