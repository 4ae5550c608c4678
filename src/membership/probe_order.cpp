#include "membership/probe_order.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::membership {
namespace {

/// Maximum number of random draws to find a live member.
constexpr int max_draws = 16;

}  // namespace

bool ProbeOrder::contains(MemberIndex index) const {
    return index < is_contained_.size() && is_contained_[index];
}

void ProbeOrder::insert(MemberIndex index) {
    if (contains(index))
        return;
    if (index >= is_contained_.size())
        is_contained_.resize(index + std::size_t{1});
    is_contained_[index] = true;
    order_.push_back(index);
    const std::size_t first = std::min(position_, order_.size() - 1);
    std::swap(order_[first + random_.uniform(order_.size() - first)], order_.back());
}

void ProbeOrder::erase(MemberIndex index) {
    if (!contains(index))
        return;
    is_contained_[index] = false;
    std::erase(order_, index);
    position_ = std::min(position_, order_.size());
}

MemberIndex ProbeOrder::next() {
    for (std::size_t attempts = order_.size() + 1; attempts > 0 && !order_.empty(); --attempts) {
        if (position_ >= order_.size()) {
            begin_round();
            continue;
        }
        const MemberIndex index = order_[position_++];
        if (records_.is_live(index))
            return index;
    }
    return no_member;
}

void ProbeOrder::begin_round() {
    std::erase_if(order_, [this](MemberIndex index) {
        if (records_.is_live(index))
            return false;
        is_contained_[index] = false;
        return true;
    });
    for (std::size_t i = order_.size(); i > 1; --i)
        std::swap(order_[i - 1], order_[random_.uniform(i)]);
    position_ = 0;
}

MemberIndex ProbeOrder::random_live_member() const {
    for (int draw = 0; draw < max_draws && !order_.empty(); ++draw) {
        const MemberIndex index = order_[random_.uniform(order_.size())];
        if (records_.is_live(index))
            return index;
    }
    return no_member;
}

bool ProbeOrder::has_live_member_at(const Endpoint& endpoint) const {
    return std::any_of(order_.begin(), order_.end(), [&](MemberIndex index) {
        return records_.is_live(index) && records_.at(index).endpoint == endpoint;
    });
}

}  // namespace cressledge::membership
