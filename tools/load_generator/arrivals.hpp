// When requests come, whatever becomes of those before (an open loop), and of which class each is. No I/O; randomness is
// an argument.
#pragma once

#include <cmath>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::load_generator {

using base::Duration;
using base::Timestamp;

struct Kind {
    std::string name;
    double share = 1.0;  // of the requests, in proportion
    bool once = false;  // it must not run twice
};

// Poisson, or runs of `run` requests at one moment whose beginnings are Poisson: the same rate, and `run` times the
// variance.
class Arrivals {
public:
    Arrivals(double rate_s, unsigned run, std::vector<Kind> kinds, std::uint64_t seed)
        : rate_(rate_s), run_(run), kinds_(std::move(kinds)), random_(seed, 11) {
        for (const Kind& k : kinds_)
            shares_ += k.share;
    }
    void rate(double rate_s) { rate_ = rate_s; }
    double rate() const { return rate_; }
    // The moment of the next run after one at `after`; at least a microsecond later.
    Timestamp next(Timestamp after) {
        return after +
               Duration(std::max<std::int64_t>(1, std::llround(-std::log(uniform()) * run_ / rate_ * 1e6)));
    }
    unsigned run() const { return run_; }
    std::size_t kind() {  // of one request
        double at = uniform() * shares_;
        for (std::size_t k = 0; k + 1 < kinds_.size(); ++k)
            if ((at -= kinds_[k].share) < 0.0)
                return k;
        return kinds_.size() - 1;
    }
    std::uint32_t pick(std::uint32_t n) { return random_(n); }
    const std::vector<Kind>& kinds() const { return kinds_; }

private:
    double uniform() { return (random_() + 0.5) / 4294967296.0; }
    double rate_;
    const unsigned run_;
    const std::vector<Kind> kinds_;
    pcg32 random_;
    double shares_ = 0.0;
};

}  // namespace cressledge::load_generator
