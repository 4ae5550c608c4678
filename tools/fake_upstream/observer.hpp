// How evenly load lies on a set of servers, looked at every so often. No I/O. The same figures for emulated servers and
// for those on sockets.
#pragma once

#include <cstddef>
#include <vector>

#include "fake_upstream/queue.hpp"

namespace cressledge::fake_upstream {

// Shares are calls in hand over places; `worst` is the busiest server's over that of all servers together.
struct Evenness {
    double worst_p99 = 0.0, worst_max = 0.0, worst_mean = 0.0;  // over time
    double variation = 0.0;  // of the shares: standard deviation over mean, its mean over time
    double idle = 0.0;  // server time with nothing in hand while another server has calls waiting
    std::size_t looks = 0;
    // Of each stretch of `stretch_s` seconds: its start, the worst and the mean share of it, each server's mean share.
    struct Stretch {
        double at_s = 0.0, worst = 0.0, mean = 0.0;
        std::vector<float> shares;
    };
    std::vector<Stretch> stretches;
    // The longest time on end, in seconds, for which the worst was over `bound`.
    double longest_over(double bound) const;
};

constexpr Duration look_every{10'000};
constexpr std::size_t looks_a_stretch = 25;

class Observer {
public:
    void look(const std::vector<Queue>& servers);  // every `look_every`
    Evenness result() const;

private:
    std::vector<float> worst_;
    double variation_ = 0.0, idle_ = 0.0;
    std::size_t servers_ = 0;
    std::vector<Evenness::Stretch> stretches_;
};

}  // namespace cressledge::fake_upstream
