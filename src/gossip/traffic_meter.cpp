#include "gossip/traffic_meter.hpp"

#include <algorithm>
#include <numeric>

namespace cressledge::gossip {
namespace {

constexpr std::int64_t microseconds_per_second = 1'000'000;

}  // namespace

std::uint64_t& TrafficMeter::bytes_in(std::int64_t second) {
    return bytes_by_second_[static_cast<std::size_t>(second) % bytes_by_second_.size()];
}

void TrafficMeter::advance_to(base::Timestamp now) {
    const std::int64_t second = now.count() / microseconds_per_second;
    if (second - current_second_ >= static_cast<std::int64_t>(bytes_by_second_.size())) {
        bytes_by_second_.fill(0);
    } else {
        for (std::int64_t new_second = current_second_ + 1; new_second <= second; ++new_second)
            bytes_in(new_second) = 0;
    }
    current_second_ = std::max(current_second_, second);
}

void TrafficMeter::add_stream_bytes(base::Timestamp now, std::size_t bytes) {
    advance_to(now);
    total_bytes_ += bytes;
    bytes_in(current_second_) += bytes;
}

void TrafficMeter::add_datagram(base::Timestamp now, std::size_t bytes) {
    add_stream_bytes(now, bytes);
    ++total_datagrams_;
}

std::uint64_t TrafficMeter::bytes_per_second(base::Timestamp now) {
    advance_to(now);
    const std::uint64_t sum =
        std::accumulate(bytes_by_second_.begin(), bytes_by_second_.end(), std::uint64_t{0});
    return (sum - bytes_in(current_second_)) / rate_window_seconds;
}

}  // namespace cressledge::gossip
