#include "policy/run_queue.hpp"

#include <algorithm>

namespace cressledge::policy::aces {

void RunQueue::add(const TrackedRequest& request) {
    queue_of(request).insert(request.position());
    add_quanta(request, request.price_quanta);
}

void RunQueue::remove(const TrackedRequest& request) {
    queue_of(request).erase(request.position());
    add_quanta(request, -request.price_quanta);
}

RequestId RunQueue::first() const {
    const std::set<QueuePosition>& queue = main_queue_.empty() ? backup_queue_ : main_queue_;
    return queue.begin()->id;
}

RequestId RunQueue::last() const {
    if (main_queue_.empty())
        return backup_queue_.rbegin()->id;
    const QueuePosition& lowest = *main_queue_.rbegin();
    const bool is_in_main =
        backup_queue_.empty() || backup_queue_.rbegin()->negative_band < lowest.negative_band;
    return is_in_main ? lowest.id : backup_queue_.rbegin()->id;
}

double RunQueue::quanta_at_or_above(std::size_t band) const {
    double total = 0.0;
    for (std::size_t index = band; index < band_quanta_.size(); ++index)
        total += band_quanta_[index];
    return std::max(0.0, total);
}

std::set<QueuePosition>& RunQueue::queue_of(const TrackedRequest& request) {
    return request.in_backup_queue ? backup_queue_ : main_queue_;
}

void RunQueue::add_quanta(const TrackedRequest& request, double quanta) {
    band_quanta_[request.band] += quanta;
    if (request.in_backup_queue)
        backup_quanta_ += quanta;
}

}  // namespace cressledge::policy::aces
