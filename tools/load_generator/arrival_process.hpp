/// Arrival times and classes of requests in an open loop: arrivals do not depend on the outcomes of earlier requests.
/// Does no I/O.
#pragma once

#include <cmath>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/timer_queue.hpp"

namespace cressledge::load_generator {

using base::Duration;
using base::Timestamp;

/// A request class of the mix.
struct RequestClass {
    std::string name;
    /// Relative frequency: its weight divided by the sum of all weights.
    double weight = 1.0;
    /// Whether a request of the class must not run twice.
    bool at_most_once = false;
};

/// A Poisson process of batches, each of `batch_size` simultaneous requests. The request rate does not depend on the
/// batch size; the variance of the request count is `batch_size` times that of single arrivals.
class ArrivalProcess {
public:
    /// `rate_s`: requests per second, above 0. `classes` must not be empty.
    ArrivalProcess(double rate_s, unsigned batch_size, std::vector<RequestClass> classes, std::uint64_t seed)
        : rate_s_(rate_s), batch_size_(batch_size), classes_(std::move(classes)), random_(seed, 11) {
        for (const RequestClass& request_class : classes_)
            total_weight_ += request_class.weight;
    }
    /// Sets the requests per second, above 0, from the next batch on.
    void set_rate_s(double rate_s) { rate_s_ = rate_s; }
    /// Requests per second.
    double rate_s() const { return rate_s_; }
    /// Number of requests in a batch.
    unsigned batch_size() const { return batch_size_; }
    /// The classes of the mix, by index.
    const std::vector<RequestClass>& classes() const { return classes_; }

    /// Arrival time of the batch after one at `previous`; at least a microsecond later.
    Timestamp next(Timestamp previous) {
        const double gap_s = -std::log(uniform()) * batch_size_ / rate_s_;
        return previous + Duration(std::max<std::int64_t>(1, std::llround(gap_s * 1e6)));
    }
    /// Draws the class of one request and returns its index.
    std::size_t sample_class() {
        double remaining = uniform() * total_weight_;
        for (std::size_t i = 0; i + 1 < classes_.size(); ++i)
            if ((remaining -= classes_[i].weight) < 0.0)
                return i;
        return classes_.size() - 1;
    }
    /// Draws an index below `count` uniformly.
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
