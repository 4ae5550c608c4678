// Which server a call goes to. No I/O; membership says who may, time and randomness are arguments.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "balance/probes.hpp"
#include "membership/membership.hpp"
#include "routing/maglev.hpp"
#include "routing/ramp.hpp"

namespace cressledge::routing {

using membership::Membership;
using membership::No;
using membership::nobody;
using membership::Random;
using core::Span;
using core::Time;

enum class Policy : std::uint8_t {
    fewest_in_hand,  // as it was before this module: over all servers, in turn
    round_robin,  // weighted, smooth
    two_choices,  // of two at random, the one that costs less by peak EWMA times calls in hand
    probe_pool,  // by what servers have just said of themselves (balance::ProbePool); two choices while too few have
    probe_first,  // of those that a call's own probes found, the least loaded (balance::best); two choices where none answers
};

struct BalancerRules {
    Policy policy = Policy::two_choices;
    std::string place;  // this process's data centre; empty: there is none
    double spill = 1.5;  // calls in hand for each unit of weight, over which other places are used as well
    Span decay{10'000'000};  // of a peak
    std::uint32_t most_in_hand = 0;  // of one server; 0: no such bound
    std::size_t subset = 0;  // servers that this process uses; 0: all
    std::string node;  // this process's name, for its subset
    balance::ProbeRules probing;
    double bounded_load = 1.25;  // times the mean, for a key's own server
    RampRules ramp;  // of a cold server, over the whole fleet
};

class Balancer {
public:
    Balancer(Membership& members, BalancerRules rules)
        : members_(members), rules_(std::move(rules)), pool_(rules_.probing, 0), ramp_(rules_.ramp) {}

    void refresh();  // the inventory or a state has changed
    void retune(BalancerRules rules);  // from the next choice on; what was learned of servers stays
    // nobody: there is none that may, and has not been `tried`. `key` 0: none.
    No pick(Time now, std::uint64_t key, const std::vector<No>& tried, Random& random);
    void started(Time now, No no);
    void ended(Time now, No no, membership::Result result, Span took);
    void cancelled(Time now, No no, Span took);
    // What a server's word on its load is worth here: less in its slow start; none: it may not be chosen by it.
    std::optional<balance::Load> weigh(Time now, No no, balance::Load load) const;
    // What a server says of its load, in an answer or to a probe.
    void heard(Time now, No no, const balance::Load& load);
    // Whom to ask for its load beside one more call, or before it: by chance, by weight. None with other policies.
    void ask(Random& random, std::vector<No>& whom);
    // The live processes of the fleet, this one with them: subsets and the calls to a cold server are shared out among
    // them evenly. Empty: each process chooses by its own name alone. Told again now and then: it says who lives.
    void peers(Time now, std::vector<std::string> names);
    void shun(No no, Time until);  // others first until then
    bool shunned(Time now, No no) const { return loads_[no].shun > now; }
    double cost(Time now, No no) const;
    const std::vector<No>& candidates() const { return all_; }
    bool asks_first() const { return rules_.policy == Policy::probe_first; }

private:
    struct Load {
        double peak = 0.0;  // seconds
        Time at{0};
        double out_since = 0.0;  // sum of the starts of what is in hand, seconds since the epoch
        Time shun{0};
        double turn = 0.0;  // weighted round robin's
    };
    bool may(Time now, No no, const std::vector<No>& tried, bool shunned_too) const;
    void back(Time now, No no, Span took);
    No choose(Time now, std::uint64_t key, const std::vector<No>& tried, Random& random, bool shunned_too);
    No fewest(Time now, const std::vector<No>& tried, bool shunned_too);
    No by_turn(Time now, const std::vector<No>& tried, bool shunned_too);
    No of_two(Time now, const std::vector<No>& from, const std::vector<No>& tried, Random& random, bool shunned_too) const;
    No by_key(Time now, std::uint64_t key, const std::vector<No>& tried, bool shunned_too);
    const std::vector<No>& near() const;
    void ramps(Random& random);  // those that began or ended with the last refresh()
    bool asks() const { return rules_.policy == Policy::probe_pool || asks_first(); }
    const std::vector<std::uint32_t>& own_part(const std::vector<std::string>& names);

    Membership& members_;
    BalancerRules rules_;
    std::vector<Load> loads_;
    std::vector<No> all_, near_;  // those that may be used: everywhere, and here
    double near_weight_ = 0.0;
    std::uint64_t near_in_hand_ = 0, in_hand_ = 0;
    std::vector<bool> is_near_;
    Maglev maglev_;
    bool stale_ = true;  // the table is of an earlier set; it is made when a key asks for it
    std::size_t turn_ = 0;
    balance::ProbePool pool_;
    balance::ByCapacity by_weight_;  // of all_
    std::vector<std::uint32_t> asked_;
    std::vector<std::string> peers_, parted_;  // parted_: the servers that part_ is of; empty: none
    std::vector<std::uint32_t> part_;
    Ramp ramp_;
    bool ramps_stale_ = false;
};

}  // namespace cressledge::routing
