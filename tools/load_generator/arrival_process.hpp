/// When requests arrive, whatever becomes of the earlier ones (an open loop), and of which class each is. No I/O.
#pragma once

#include <cmath>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::load_generator {

using base::Duration;
using base::Timestamp;

/// A class of requests in the mix.
struct RequestClass {
    std::string name;
    /// Frequency in proportion to the weights of the other classes.
    double weight = 1.0;
    /// The request must not run twice.
    bool at_most_once = false;
};

/// A Poisson process of batches of `batch_size` requests that arrive at one moment. The rate of requests does not depend
/// on the size; their variance is `batch_size` times that of single arrivals.
class ArrivalProcess {
public:
    /// `rate_s`: requests a second, above 0. At least one class.
    ArrivalProcess(double rate_s, unsigned batch_size, std::vector<RequestClass> classes, std::uint64_t seed)
        : rate_s_(rate_s), batch_size_(batch_size), classes_(std::move(classes)), random_(seed, 11) {
        for (const RequestClass& request_class : classes_)
            total_weight_ += request_class.weight;
    }
    /// Requests a second from the next arrival on, above 0.
    void set_rate_s(double rate_s) { rate_s_ = rate_s; }
    /// Requests a second.
    double rate_s() const { return rate_s_; }
    /// Requests of one batch.
    unsigned batch_size() const { return batch_size_; }
    /// The classes of the mix, by index.
    const std::vector<RequestClass>& classes() const { return classes_; }

    /// The moment of the batch that follows one at `previous`; at least a microsecond later.
    Timestamp next(Timestamp previous) {
        const double gap_s = -std::log(uniform()) * batch_size_ / rate_s_;
        return previous + Duration(std::max<std::int64_t>(1, std::llround(gap_s * 1e6)));
    }
    /// Draws the class of one request; its index.
    std::size_t sample_class() {
        double remaining = uniform() * total_weight_;
        for (std::size_t i = 0; i + 1 < classes_.size(); ++i)
            if ((remaining -= classes_[i].weight) < 0.0)
                return i;
        return classes_.size() - 1;
    }
    /// Draws an index below `count`, all with the same chance.
    std::uint32_t sample_index(std::uint32_t count) { return random_(count); }

private:
    double uniform() { return (random_() + 0.5) / 4294967296.0; }

    double rate_s_;
    const unsigned batch_size_;
    const std::vector<RequestClass> classes_;
    pcg32 random_;
    double total_weight_ = 0.0;
};

}  // namespace cressledge::load_generator
