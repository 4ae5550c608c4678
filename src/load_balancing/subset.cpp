#include "load_balancing/subset.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace cressledge::load_balancing {
namespace {

std::uint64_t hash(const std::string& s, std::uint64_t seed) {
    return XXH3_64bits_withSeed(s.data(), s.size(), seed);
}

std::vector<std::uint32_t> order_by_hash(const std::vector<std::string>& names, std::uint64_t seed) {
    std::vector<std::pair<std::uint64_t, std::uint32_t>> all(names.size());
    for (std::uint32_t i = 0; i < names.size(); ++i)
        all[i] = {hash(names[i], seed), i};
    std::sort(all.begin(), all.end());
    std::vector<std::uint32_t> order;
    for (const auto& [h, i] : all)
        order.push_back(i);
    return order;
}

}  // namespace

std::vector<std::vector<std::uint32_t>> assign_subsets(const std::vector<std::string>& processes,
                                                       const std::vector<std::string>& servers,
                                                       std::size_t size) {
    const std::size_t n = servers.size();
    size = std::min(size, n);
    std::vector<std::vector<std::uint32_t>> rows(processes.size());
    if (size == 0)
        return rows;
    // Places of each server: the mean, and one more for those that a hash of their names puts first.
    const std::size_t places = processes.size() * size;
    std::vector<std::size_t> left(n, places / n);
    const auto first = order_by_hash(servers, 1);
    for (std::size_t i = 0; i < places % n; ++i)
        ++left[first[i]];
    // In rounds, so that everyone has a first wish before anyone has a second; in an order that no name chooses.
    std::vector<std::vector<std::uint32_t>> wishes(processes.size());
    std::vector<std::size_t> at(processes.size(), 0);
    for (std::size_t p = 0; p < processes.size(); ++p)
        wishes[p] = order_by_hash(servers, hash(processes[p], 2));
    const auto order = order_by_hash(processes, 3);
    for (std::size_t round = 0; round < size; ++round) {
        for (const std::uint32_t p : order) {
            while (at[p] < n && left[wishes[p][at[p]]] == 0)
                ++at[p];
            if (at[p] == n)
                continue;
            const std::uint32_t s = wishes[p][at[p]++];
            --left[s];
            rows[p].push_back(s);
        }
    }
    // The last places may be of servers that those who still lack one have already: these get their best wish beyond.
    for (const std::uint32_t p : order)
        for (const std::uint32_t s : wishes[p]) {
            if (rows[p].size() >= size)
                break;
            if (std::find(rows[p].begin(), rows[p].end(), s) == rows[p].end())
                rows[p].push_back(s);
        }
    return rows;
}

}  // namespace cressledge::load_balancing
