#include "routing/attempts.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::routing {
namespace {

constexpr std::uint64_t few = 50;

}  // namespace

Time retry_at(Time now, std::uint32_t tries, Span retry_after, const AttemptRules& rules, Random& random) {
    Span most = rules.back_off;
    for (std::uint32_t i = 1; i < tries && most < rules.back_off_most; ++i) most *= 2;
    most = std::min(most, rules.back_off_most);
    const auto wait = Span(random(static_cast<std::uint32_t>(most.count()) + 1U));
    return now + std::max(wait, retry_after);
}

Time try_deadline(Time now, Time due, std::uint32_t tries, const AttemptRules& rules) {
    if (tries >= rules.most_tries || due <= now) return due;
    return now + Span(std::llround(rules.try_part * static_cast<double>((due - now).count())));
}

Span Hedge::after() const {
    if (n_ < few) return Span::max();
    return std::max(rules_.hedge_least, Span(std::llround(boost::accumulators::p_square_quantile(quantile_))));
}

}  // namespace cressledge::routing
