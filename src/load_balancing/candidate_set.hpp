// The hosts that this process may use now, those of its own data centre among them, and its calls in flight to them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "upstream_health/host_set.hpp"

namespace cressledge::load_balancing {

/// The hosts that this process may use now, the local ones apart, with its calls in flight to each.
class CandidateSet {
public:
    /// Takes the usable hosts of `subset`, or those of `fallback` where the subset has none. `local_data_centre` may be
    /// empty: no host is local then.
    void rebuild(const upstream_health::HostSet& hosts, const std::vector<upstream_health::HostId>& subset,
                 const std::vector<upstream_health::HostId>& fallback, const std::string& local_data_centre);

    /// Counts a call in flight to the host.
    void on_call_started(upstream_health::HostId host_id);
    /// Counts the end of a call in flight to the host.
    void on_call_ended(upstream_health::HostId host_id);

    /// The usable hosts, as of the last `rebuild`.
    const std::vector<upstream_health::HostId>& usable() const { return usable_; }
    /// The usable hosts of this process's data centre; empty where none is named.
    const std::vector<upstream_health::HostId>& local() const { return local_; }
    /// The local hosts while their calls in flight stay below the bound for each unit of weight; all usable ones
    /// otherwise.
    const std::vector<upstream_health::HostId>& preferred(double max_calls_per_weight) const;
    /// Mean calls in flight to a usable host, with one more call; there must be a usable host.
    double mean_calls_with_next() const;

private:
    void add(upstream_health::HostId host_id, const upstream_health::HostStatus& host,
             const std::string& local_data_centre);

    std::vector<upstream_health::HostId> usable_;
    std::vector<upstream_health::HostId> local_;
    /// By host id.
    std::vector<bool> is_local_;
    double local_weight_ = 0.0;
    std::uint64_t local_calls_in_flight_ = 0;
    std::uint64_t calls_in_flight_ = 0;
};

}  // namespace cressledge::load_balancing
