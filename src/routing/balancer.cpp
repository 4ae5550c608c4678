#include "routing/balancer.hpp"

#include <algorithm>
#include <cmath>

#include "balance/subset.hpp"

namespace cressledge::routing {
namespace {

constexpr int draws = 8;  // for two that may; then all are looked through
constexpr std::uint32_t key_choices = 8;

double seconds(Span s) { return static_cast<double>(s.count()) * 1e-6; }
bool among(const std::vector<No>& some, No no) { return std::find(some.begin(), some.end(), no) != some.end(); }

}  // namespace

void Balancer::refresh() {
    std::vector<No> listed;
    for (const No no : members_.listed())
        if (members_.at(no).state != membership::State::draining) listed.push_back(no);
    // The names cost time in a large fleet, and only a subset asks for them.
    std::vector<std::string> names(rules_.subset == 0 ? 0 : listed.size());
    for (std::size_t i = 0; i < names.size(); ++i) names[i] = members_.at(listed[i]).spec.name;
    std::vector<No> mine;
    if (names.empty())
        mine = listed;
    else
        for (const std::uint32_t i : own_part(names)) mine.push_back(listed[i]);
    loads_.resize(members_.numbers());
    is_near_.assign(members_.numbers(), false);
    all_.clear();
    near_.clear();
    near_weight_ = 0.0;
    near_in_hand_ = in_hand_ = 0;
    for (const No no : mine) {
        const membership::Member& m = members_.at(no);
        in_hand_ += m.in_hand;
        if (!members_.usable(no)) continue;
        all_.push_back(no);
        if (rules_.place.empty() || m.spec.place != rules_.place) continue;
        near_.push_back(no);
        is_near_[no] = true;
        near_weight_ += m.spec.weight;
        near_in_hand_ += m.in_hand;
    }
    // Guards against a subset whose servers are all out: the others are better than none.
    if (all_.empty())
        for (const No no : listed)
            if (members_.usable(no)) all_.push_back(no);
    stale_ = ramps_stale_ = true;
    pool_.servers(all_.size());
    if (!asks()) return;
    std::vector<double> weights;
    for (const No no : all_) weights.push_back(members_.at(no).spec.weight);
    by_weight_.build(weights);
}

void Balancer::retune(BalancerRules rules) {
    rules_ = std::move(rules);
    pool_.retune(rules_.probing);
    ramp_.retune(rules_.ramp);
    parted_.clear();
    refresh();
}

// Worked out anew when either list has changed only: a server's change of state comes often, and changes neither.
const std::vector<std::uint32_t>& Balancer::own_part(const std::vector<std::string>& names) {
    if (!parted_.empty() && names == parted_) return part_;
    parted_ = names;
    const auto me = std::find(peers_.begin(), peers_.end(), rules_.node);
    part_ = me == peers_.end()
                ? subset(rules_.node, names, rules_.subset)
                : balance::subsets(peers_, names, rules_.subset)[static_cast<std::size_t>(me - peers_.begin())];
    return part_;
}

void Balancer::peers(Time now, std::vector<std::string> names) {
    std::sort(names.begin(), names.end());
    if (!names.empty()) ramp_.sharers(now, names, rules_.node);
    if (names == peers_) return;
    peers_ = std::move(names);
    parted_.clear();
    if (rules_.subset != 0) refresh();
}

// A server is cold from its announcement, and again when it comes back after failures, whose cause is not known.
void Balancer::ramps(Random& random) {
    if (!std::exchange(ramps_stale_, false) || !ramp_.on()) return;
    for (const No no : members_.listed()) {
        const membership::Member& m = members_.at(no);
        using membership::State;
        if (m.state != State::joining && m.state != State::suspect)
            ramp_.end(no);
        else if (!ramp_.runs(no, m.since))
            ramp_.begin(no, m.spec, m.since, random);
    }
}

std::optional<balance::Load> Balancer::weigh(Time now, No no, balance::Load load) const {
    const auto state = members_.at(no).state;
    if (!ramp_.may(now, no)) return std::nullopt;
    // Guards a server that is suspect or in its slow start against the pull of its own idleness.
    if (state != membership::State::ready && state != membership::State::joining) return std::nullopt;
    load.capacity *= std::max(1e-3, members_.share(now, no));
    return load;
}

void Balancer::heard(Time now, No no, const balance::Load& load) {
    if (rules_.policy != Policy::probe_pool) return;
    if (const auto weighed = weigh(now, no, load))
        pool_.heard(now, no, *weighed);
    else
        pool_.drop(no);
}

void Balancer::ask(Random& random, std::vector<No>& whom) {
    whom.clear();
    ramps(random);  // a choice by what servers say does not come through pick()
    if (!asks() || by_weight_.empty()) return;
    by_weight_.draw(random, pool_.due(), asked_);
    for (const std::uint32_t i : asked_) whom.push_back(all_[i]);
}

void Balancer::started(Time now, No no) {
    members_.started(no);
    ramp_.took(now, no);
    loads_[no].out_since += seconds(now);
    ++in_hand_;
    near_in_hand_ += is_near_[no] ? 1 : 0;
}

void Balancer::back(Time now, No no, Span took) {
    Load& l = loads_[no];
    l.out_since -= seconds(now - took);
    if (members_.at(no).in_hand <= 1) l.out_since = 0.0;  // no rounding is carried on
    in_hand_ -= in_hand_ > 0 ? 1 : 0;
    near_in_hand_ -= is_near_[no] && near_in_hand_ > 0 ? 1 : 0;
}
void Balancer::cancelled(Time now, No no, Span took) { back(now, no, took); }
void Balancer::shun(No no, Time until) { loads_[no].shun = std::max(loads_[no].shun, until); }

void Balancer::ended(Time now, No no, membership::Result result, Span took) {
    Load& l = loads_[no];
    back(now, no, took);
    if (result != membership::Result::ok) pool_.drop(no);  // one that fails fast is idle, and draws nothing by it
    // Guards against a server that fails fast: failing never looks quicker than a usual answer.
    const double t = result == membership::Result::ok ? seconds(took) : std::max(seconds(took), 2.0 * members_.typical());
    if (t >= l.peak || l.peak <= 0.0) {
        l.peak = t;
    } else {
        const double keep = std::exp(-seconds(now - l.at) / seconds(rules_.decay));
        l.peak = t + (l.peak - t) * std::min(keep, 0.95);
    }
    l.at = now;
}

double Balancer::cost(Time now, No no) const {
    const membership::Member& m = members_.at(no);
    const Load& l = loads_[no];
    // Fades while nothing is heard, or a server that was dear once would never be asked again.
    double t = members_.typical();
    if (l.peak > 0.0) t = std::max(0.1 * t, l.peak * std::exp(-seconds(now - l.at) / seconds(rules_.decay)));
    // What is out for longer than a call takes there tells before it comes back, or does not.
    if (m.in_hand > 0) t = std::max(t, seconds(now) - l.out_since / m.in_hand);
    const double part = std::max(1e-3, m.spec.weight * members_.share(now, no));
    return t * (m.in_hand + 1.0) / part;
}

bool Balancer::may(Time now, No no, const std::vector<No>& tried, bool shunned_too) const {
    const membership::Member& m = members_.at(no);
    return (shunned_too || !shunned(now, no)) && members_.usable(no) &&
           (rules_.most_in_hand == 0 || m.in_hand < rules_.most_in_hand) && !among(tried, no) && ramp_.may(now, no);
}

const std::vector<No>& Balancer::near() const {
    const bool room = static_cast<double>(near_in_hand_) < rules_.spill * near_weight_;
    return !near_.empty() && room ? near_ : all_;
}

No Balancer::fewest(Time now, const std::vector<No>& tried, bool shunned_too) {
    No best = nobody;
    ++turn_;
    for (std::size_t i = 0; i < all_.size(); ++i) {
        const No no = all_[(turn_ + i) % all_.size()];
        if (!may(now, no, tried, shunned_too)) continue;
        if (best == nobody || members_.at(no).in_hand < members_.at(best).in_hand) best = no;
    }
    return best;
}

No Balancer::by_turn(Time now, const std::vector<No>& tried, bool shunned_too) {
    No best = nobody;
    double total = 0.0;
    for (const No no : all_) {
        if (!may(now, no, tried, shunned_too)) continue;
        const double weight = members_.at(no).spec.weight * members_.share(now, no);
        loads_[no].turn += weight;
        total += weight;
        if (best == nobody || loads_[no].turn > loads_[best].turn) best = no;
    }
    if (best != nobody) loads_[best].turn -= total;
    return best;
}

No Balancer::of_two(Time now, const std::vector<No>& from, const std::vector<No>& tried, Random& random,
                    bool shunned_too) const {
    if (from.empty()) return nobody;
    const auto size = static_cast<std::uint32_t>(from.size());
    No one = nobody;
    for (int i = 0; i < draws; ++i) {
        const No no = from[random(size)];
        if (no == one || !may(now, no, tried, shunned_too)) continue;
        if (one != nobody) return cost(now, no) < cost(now, one) ? no : one;
        one = no;
    }
    if (one != nobody) return one;
    const std::size_t start = random(size);
    for (std::size_t i = 0; i < from.size(); ++i) {
        const No no = from[(start + i) % from.size()];
        if (may(now, no, tried, shunned_too) && (one == nobody || cost(now, no) < cost(now, one))) one = no;
    }
    return one;
}

No Balancer::by_key(Time now, std::uint64_t key, const std::vector<No>& tried, bool shunned_too) {
    if (all_.empty()) return nobody;
    if (stale_) {
        std::vector<std::string> used;
        for (const No no : all_) used.push_back(members_.at(no).spec.name);
        maglev_.build(used, used.size() < 600 ? 65'537 : 655'373);  // primes, a hundred places a server or more
        stale_ = false;
    }
    const double mean = (static_cast<double>(in_hand_) + 1.0) / static_cast<double>(all_.size());
    const double most = std::max(1.0, std::ceil(rules_.bounded_load * mean));
    for (std::uint32_t n = 0; n < key_choices; ++n) {
        const No no = all_[maglev_.find(key, n)];
        const membership::Member& m = members_.at(no);
        if (m.in_hand + 1.0 <= most && m.state != membership::State::suspect && may(now, no, tried, shunned_too)) return no;
    }
    return nobody;
}

No Balancer::choose(Time now, std::uint64_t key, const std::vector<No>& tried, Random& random, bool shunned_too) {
    if (rules_.policy == Policy::fewest_in_hand) return fewest(now, tried, shunned_too);
    if (rules_.policy == Policy::round_robin) return by_turn(now, tried, shunned_too);
    if (key != 0)
        if (const No no = by_key(now, key, tried, shunned_too); no != nobody) return no;
    if (rules_.policy == Policy::probe_pool) {
        const No said = pool_.pick(now, [&](No no) { return members_.usable(no); });
        if (said != nobody && may(now, said, tried, shunned_too)) return said;
    }
    const No no = of_two(now, near(), tried, random, shunned_too);
    return no != nobody || near_.empty() ? no : of_two(now, all_, tried, random, shunned_too);
}

No Balancer::pick(Time now, std::uint64_t key, const std::vector<No>& tried, Random& random) {
    ramps(random);
    const No no = choose(now, key, tried, random, false);
    return no != nobody ? no : choose(now, key, tried, random, true);  // shunned is better than none
}

}  // namespace cressledge::routing
