#include "load_balancing/candidate_set.hpp"

namespace cressledge::load_balancing {

using upstream_health::HostId;
using upstream_health::HostSet;
using upstream_health::HostStatus;

void CandidateSet::rebuild(const HostSet& hosts, const std::vector<HostId>& subset,
                           const std::vector<HostId>& fallback, const std::string& local_data_centre) {
    is_local_.assign(hosts.slot_count(), false);
    usable_.clear();
    local_.clear();
    local_weight_ = 0.0;
    local_calls_in_flight_ = 0;
    calls_in_flight_ = 0;
    for (const HostId host_id : subset) {
        calls_in_flight_ += hosts.at(host_id).calls_in_flight;
        if (hosts.is_usable(host_id))
            add(host_id, hosts.at(host_id), local_data_centre);
    }
    if (!usable_.empty())
        return;
    for (const HostId host_id : fallback)
        if (hosts.is_usable(host_id))
            usable_.push_back(host_id);
}

void CandidateSet::add(HostId host_id, const HostStatus& host, const std::string& local_data_centre) {
    usable_.push_back(host_id);
    if (local_data_centre.empty() || host.spec.data_centre != local_data_centre)
        return;
    local_.push_back(host_id);
    is_local_[host_id] = true;
    local_weight_ += host.spec.weight;
    local_calls_in_flight_ += host.calls_in_flight;
}

void CandidateSet::on_call_started(HostId host_id) {
    ++calls_in_flight_;
    if (is_local_[host_id])
        ++local_calls_in_flight_;
}

void CandidateSet::on_call_ended(HostId host_id) {
    if (calls_in_flight_ > 0)
        --calls_in_flight_;
    if (is_local_[host_id] && local_calls_in_flight_ > 0)
        --local_calls_in_flight_;
}

const std::vector<HostId>& CandidateSet::preferred(double max_calls_per_weight) const {
    const bool has_capacity =
        static_cast<double>(local_calls_in_flight_) < max_calls_per_weight * local_weight_;
    return !local_.empty() && has_capacity ? local_ : usable_;
}

double CandidateSet::mean_calls_including_next() const {
    return (static_cast<double>(calls_in_flight_) + 1.0) / static_cast<double>(usable_.size());
}

}  // namespace cressledge::load_balancing
