#include "routing/ramp.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace cressledge::routing {
namespace {

constexpr double carry = 0.1;  // of a window: how long a call that nobody asked for stays allowed
double seconds(core::Span s) { return static_cast<double>(s.count()) * 1e-6; }

}  // namespace

double Ramp::allowed(core::Time announced, core::Time from, core::Time to) const {
    const double warm = std::max(1e-6, seconds(rules_.warm_for));
    const auto until = [&](core::Time t) {  // the integral of a line from `from` to 1, and of 1 behind it
        const double s = std::max(0.0, seconds(t - announced)), cold = std::min(s, warm);
        return rules_.from * cold + (1.0 - rules_.from) * cold * cold / (2.0 * warm) + (s - cold);
    };
    return rules_.calls_per_s * std::max(0.0, until(to) - until(from));
}

void Ramp::sharers(core::Time now, const std::vector<std::string>& names, const std::string& self) {
    for (const std::string& name : names) seen_[name] = now;
    // Guards against two halves of a fleet that do not hear each other, and would each take all of the calls.
    std::erase_if(seen_, [&](const auto& s) { return s.second + rules_.warm_for + rules_.window < now; });
    rank_ = static_cast<std::size_t>(std::distance(seen_.begin(), seen_.lower_bound(self)));
}

void Ramp::begin(membership::No no, const membership::Spec& spec, core::Time announced, membership::Random& random) {
    if (servers_.size() <= no) servers_.resize(no + std::size_t{1});
    State& s = servers_[no];
    s = {};
    s.on = true;
    s.announced = s.at = announced;
    s.weight = spec.weight;
    // The remainder. Where all know of each other, their parts of the rounding lie evenly between 0 and 1, from a point
    // drawn by the server's name: the sum is then rounded once, not once for each. Otherwise each draws his own.
    constexpr double whole = 4294967296.0;
    if (ranked()) {
        const auto draw = static_cast<double>(XXH64(spec.name.data(), spec.name.size(), 1) >> 32U) / whole;
        s.due = std::fmod(draw + static_cast<double>(rank_) / count(), 1.0);
    } else {
        s.due = static_cast<double>(random()) / whole;
    }
}

void Ramp::end(membership::No no) {
    if (no < servers_.size()) servers_[no].on = false;
}

bool Ramp::runs(membership::No no, core::Time announced) const {
    return no < servers_.size() && servers_[no].on && servers_[no].announced == announced;
}

double Ramp::share(const State& s, core::Time from, core::Time to) const {
    return s.weight * allowed(s.announced, from, to) / count();
}

Ramp::State Ramp::current(core::Time now, const State& s) const {
    State c = s;
    if (now <= s.at) return c;
    c.due += share(s, s.at, now);
    c.at = now;
    // What nobody asked for in time is lost: guards against a burst of what many have saved up.
    const core::Time old = now - core::Span(std::llround(carry * static_cast<double>(rules_.window.count())));
    c.used = std::max(c.used, std::floor(c.due - share(s, old, now)));
    return c;
}

bool Ramp::may(core::Time now, membership::No no) const {
    if (!on() || no >= servers_.size() || !servers_[no].on) return true;
    const State c = current(now, servers_[no]);
    return std::floor(c.due) - c.used >= 1.0;
}

void Ramp::took(core::Time now, membership::No no) {
    if (!on() || no >= servers_.size() || !servers_[no].on) return;
    servers_[no] = current(now, servers_[no]);
    servers_[no].used += 1.0;
}

}  // namespace cressledge::routing
