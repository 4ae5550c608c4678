// Which servers each process of a fleet talks to, so that a process keeps few connections and every server gets an even
// share of the processes. Every process works it out for all from the same two lists (the inventory and the view of the
// fleet) and takes its own row: no talk is needed, and where two views differ for a moment only single places do.
//
// Rendezvous hashing alone gives each server a binomial number of processes; here each server has places for exactly its
// part, and a process whose first wishes are full takes its next. Who comes or goes frees or takes single places.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cressledge::load_balancing {

// For each process (in the order given) `size` different servers, as places in `servers`, in its order of preference;
// all of them where there are fewer. Every server is in floor or ceil of processes * size / servers rows, or one more
// where the last places left are of servers that a process has already. O(processes * servers) time.
std::vector<std::vector<std::uint32_t>> assign_subsets(const std::vector<std::string>& processes,
                                                       const std::vector<std::string>& servers,
                                                       std::size_t size);

}  // namespace cressledge::load_balancing
