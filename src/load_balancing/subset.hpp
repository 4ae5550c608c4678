// Deterministic subsetting: determines which hosts each process of a fleet uses, so that a process keeps few
// connections and every host is used by about the same number of processes. Each process computes the assignment of
// all processes from the inventory and the membership table and uses its own subset. The processes exchange
// nothing, and a short difference between two membership tables changes only a few assignments.
//
// Rendezvous hashing alone gives each host a binomially distributed number of processes. `assign_subsets` limits the
// processes of each host to its share; a process whose preferred hosts are full takes the next one in its order. A
// process or host that is added or removed changes only a few assignments.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cressledge::load_balancing {

/// Returns for each process, in the order given, `size` different hosts as indices into `hosts`, in its order of
/// preference; all hosts if there are fewer than `size`. The number of subsets that contain a host is
/// processes * size / hosts, rounded down or up, or one more if the last free assignments are of hosts that a process
/// already has. Takes O(processes * hosts) time.
std::vector<std::vector<std::uint32_t>> assign_subsets(const std::vector<std::string>& processes,
                                                       const std::vector<std::string>& hosts,
                                                       std::size_t size);

/// Returns the hosts that a process without known peers uses: the first `size` by rendezvous hashing (Thaler and
/// Ravishankar, 1998), as ascending indices into `names`; all hosts if `size` is 0. Adding or removing a host
/// changes at most one of them.
std::vector<std::uint32_t> rendezvous_subset(const std::string& process_name,
                                             const std::vector<std::string>& names, std::size_t size);

/// The subset of this process, recomputed only when the list of processes or of hosts has changed.
class SubsetSelector {
public:
    /// Sets the names of the live processes of the fleet, sorted; empty if unknown. Returns whether they have changed.
    bool update_processes(std::vector<std::string> names);

    /// Makes the next `select` recompute the subset. Call it when the name of this process or the size has changed.
    void invalidate() { subset_host_names_.clear(); }

    /// Returns the hosts that `process_name` uses, as indices into `host_names`; the reference is valid until the next
    /// call.
    const std::vector<std::uint32_t>& select(const std::string& process_name,
                                             const std::vector<std::string>& host_names, std::size_t size);

private:
    std::vector<std::string> process_names_;
    /// Host names from which `subset_` was computed; empty if it has to be recomputed.
    std::vector<std::string> subset_host_names_;
    std::vector<std::uint32_t> subset_;
};

}  // namespace cressledge::load_balancing
