// The hosts to which this process may send calls, and its calls in flight to them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

/// The usable hosts of this process, those of its own data centre among them, and the numbers of calls in flight.
class CandidateSet {
public:
    /// Recomputes the set from the usable hosts of `subset`, or of `fallback` if the subset has none. No host is local
    /// if `local_data_centre` is empty.
    void rebuild(const upstream_health::HostSet& hosts, const std::vector<upstream_health::HostId>& subset,
                 const std::vector<upstream_health::HostId>& fallback, const std::string& local_data_centre);

    /// Counts a call in flight to the host.
    void on_call_started(upstream_health::HostId host_id);
    /// Counts the end of a call in flight to the host.
    void on_call_ended(upstream_health::HostId host_id);

    /// The usable hosts, as of the last `rebuild`.
    const std::vector<upstream_health::HostId>& usable() const { return usable_; }
    /// The usable hosts in the local data centre; empty if no local data centre is configured.
    const std::vector<upstream_health::HostId>& local() const { return local_; }
    /// The local hosts while their calls in flight are below `max_calls_per_weight` times their total weight; otherwise
    /// all usable hosts.
    const std::vector<upstream_health::HostId>& preferred(double max_calls_per_weight) const;
    /// Mean number of calls in flight per usable host with one more call added. Requires at least one usable host.
    double mean_calls_including_next() const;

private:
    void add(upstream_health::HostId host_id, const upstream_health::HostStatus& host,
             const std::string& local_data_centre);

    std::vector<upstream_health::HostId> usable_;
    std::vector<upstream_health::HostId> local_;
    /// Indexed by host id.
    std::vector<bool> is_local_;
    double local_weight_ = 0.0;
    std::uint64_t local_calls_in_flight_ = 0;
    std::uint64_t calls_in_flight_ = 0;
};

}  // namespace cressledge::load_balancing
