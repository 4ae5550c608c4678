// Which hosts each process of a fleet uses, so that a process keeps few connections and every host gets an even share
// of the processes. Each process computes the assignment for all from the same two lists (the inventory and the
// membership table) and takes its own row: nothing is exchanged, and where two tables differ for a moment only single
// places do.
//
// Rendezvous hashing alone gives each host a binomial number of processes; `assign_subsets` gives each host places for
// exactly its share, and a process whose first preferences are full takes its next. A process or host that comes or goes
// frees or takes single places.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cressledge::load_balancing {

/// For each process (in the order given) `size` different hosts, as indices into `servers`, in its order of preference;
/// all of them where there are fewer. Every host is in floor or ceil of processes * size / servers rows, or one more
/// where the last places left are of hosts that a process has already. O(processes * servers) time.
std::vector<std::vector<std::uint32_t>> assign_subsets(const std::vector<std::string>& processes,
                                                       const std::vector<std::string>& servers,
                                                       std::size_t size);

/// The hosts that the process `node` uses where it knows of no other: the `size` first by rendezvous hashing (Thaler
/// and Ravishankar, 1998), as ascending indices into `names`; all for a size of 0. A host that comes or goes changes
/// one of them at most.
std::vector<std::uint32_t> rendezvous_subset(const std::string& node, const std::vector<std::string>& names,
                                             std::size_t size);

/// This process's row of the assignment. It is computed again only when one of the lists has changed.
class SubsetSelector {
public:
    /// The live processes of the fleet, sorted by name; empty: none is known. True if they have changed.
    bool update_processes(std::vector<std::string> names);

    /// Has the next `select` compute the subset again: its name or size has changed.
    void invalidate() { selected_from_.clear(); }

    /// Indices into `host_names` of the hosts that `process_name` uses; valid until the next call.
    const std::vector<std::uint32_t>& select(const std::string& process_name,
                                             const std::vector<std::string>& host_names, std::size_t size);

private:
    std::vector<std::string> process_names_;
    /// Names of the hosts that `selected_` is of; empty: it has to be computed.
    std::vector<std::string> selected_from_;
    std::vector<std::uint32_t> selected_;
};

}  // namespace cressledge::load_balancing
