#include "membership/anti_entropy.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::membership {
namespace {

/// Interval between two pings to departed members.
constexpr Duration departed_ping_interval{500'000};
/// Exchange interval of a process that has just started or that knows no other live member.
constexpr Duration early_exchange_interval{1'000'000};
/// Number of exchanges at the early interval after the start.
constexpr unsigned early_exchange_count = 3;
/// Fleet size in members above which the exchange interval grows in proportion to the fleet size. Exchanges grow with
/// the fleet too, so that the traffic of a process stays constant.
constexpr double exchange_scaling_threshold = 32.0;
/// On average one exchange in this many goes to a seed that is not a live member.
constexpr std::size_t exchanges_per_seed_exchange = 4;

}  // namespace

AntiEntropy::AntiEntropy(MembershipState& state, Disseminator& disseminator, std::vector<Endpoint> seeds)
    : state_(state),
      disseminator_(disseminator),
      seeds_(std::move(seeds)),
      remaining_early_exchanges_(early_exchange_count) {}

void AntiEntropy::start(Timestamp now) {
    next_departed_ping_at_ = now + state_.random.jitter(departed_ping_interval);
    next_exchange_at_ = now;
}

void AntiEntropy::set_seeds(std::vector<Endpoint> seeds) {
    seeds_ = std::move(seeds);
}

void AntiEntropy::skip_early_exchanges(Timestamp now) {
    remaining_early_exchanges_ = 0;
    next_exchange_at_ = now + state_.random.jitter(exchange_interval());
}

Timestamp AntiEntropy::next_deadline() const {
    if (state_.records.departed().empty())
        return next_exchange_at_;
    return std::min(next_exchange_at_, next_departed_ping_at_);
}

void AntiEntropy::tick(Timestamp now, Effects& effects) {
    if (next_departed_ping_at_ <= now) {
        ping_departed_member(effects);
        next_departed_ping_at_ = now + departed_ping_interval;
    }
    if (next_exchange_at_ <= now)
        request_exchange(now, effects);
}

void AntiEntropy::ping_departed_member(Effects& effects) {
    const std::vector<MemberIndex>& departed = state_.records.departed();
    if (departed.empty() || state_.is_leaving)
        return;
    const MemberIndex member = departed[state_.random.uniform(departed.size())];
    if (state_.records.at(member).state == MemberState::dead)
        disseminator_.ping(member, state_.next_sequence(), effects);
}

Duration AntiEntropy::exchange_interval() const {
    const double fleet_size = static_cast<double>(state_.records.live_count() + 1);
    return scaled(state_.settings.exchange_interval, std::max(1.0, fleet_size / exchange_scaling_threshold));
}

// The delay is uniform between 0.5 and 1.5 intervals, so that processes do not exchange in lockstep.
void AntiEntropy::schedule_next_exchange(Timestamp now) {
    const bool is_alone = state_.records.live_count() == 0;
    const bool is_early = remaining_early_exchanges_ > 0;
    const Duration interval = is_alone || is_early ? early_exchange_interval : exchange_interval();
    next_exchange_at_ = now + scaled(interval, 0.5) + state_.random.jitter(interval);
    if (is_early && !is_alone)
        --remaining_early_exchanges_;
}

void AntiEntropy::request_exchange(Timestamp now, Effects& effects) {
    if (state_.is_leaving) {
        next_exchange_at_ = never;
        return;
    }
    schedule_next_exchange(now);
    const bool is_alone = state_.records.live_count() == 0;
    const std::vector<Endpoint> seeds = seeds_without_live_member();
    if (!seeds.empty() && (is_alone || state_.random.uniform(exchanges_per_seed_exchange) == 0)) {
        effects.exchange_peers.push_back(seeds[state_.random.uniform(seeds.size())]);
        return;
    }
    const MemberIndex member = state_.probe_order.random_live_member();
    if (member != no_member)
        effects.exchange_peers.push_back(state_.records.at(member).endpoint);
}

// After a long partition both sides have removed each other's members. A seed on the other side can rejoin them.
std::vector<Endpoint> AntiEntropy::seeds_without_live_member() const {
    std::vector<Endpoint> seeds;
    for (const Endpoint& seed : seeds_)
        if (seed != state_.local.endpoint && !state_.probe_order.has_live_member_at(seed))
            seeds.push_back(seed);
    return seeds;
}

}  // namespace cressledge::membership
