#include "load_balancing/subset.hpp"

#include <algorithm>
#include <compare>
#include <numeric>
#include <utility>

#include "load_balancing/name_hash.hpp"

namespace cressledge::load_balancing {
namespace {

constexpr std::uint64_t host_order_seed = 1;
constexpr std::uint64_t preference_seed = 2;
constexpr std::uint64_t process_order_seed = 3;
constexpr std::uint64_t rendezvous_seed = 3;

/// Returns the indices of `names`, sorted by the hashes of the names.
std::vector<std::uint32_t> order_by_hash(const std::vector<std::string>& names, std::uint64_t seed) {
    struct HashedName {
        std::uint64_t hash;
        std::uint32_t index;
        // NOLINTNEXTLINE(modernize-use-nullptr): the compiler generates the literal 0.
        auto operator<=>(const HashedName&) const = default;
    };
    std::vector<HashedName> hashed(names.size());
    for (std::uint32_t i = 0; i < names.size(); ++i)
        hashed[i] = {hash_name(names[i], seed), i};
    std::sort(hashed.begin(), hashed.end());
    std::vector<std::uint32_t> order;
    order.reserve(hashed.size());
    for (const HashedName& entry : hashed)
        order.push_back(entry.index);
    return order;
}

/// Computes the subsets of all processes; see `assign_subsets`.
class SubsetAssignment {
public:
    SubsetAssignment(const std::vector<std::string>& processes, const std::vector<std::string>& hosts,
                     std::size_t size);
    void assign_in_rounds();
    void fill_incomplete_subsets();
    std::vector<std::vector<std::uint32_t>> take_subsets() { return std::move(subsets_); }

private:
    void assign_next(std::uint32_t process);

    const std::size_t size_;
    /// By host: number of processes that it may still be assigned to.
    std::vector<std::size_t> free_assignments_;
    /// By process: all hosts in its order of preference, and the position of the next one to try.
    std::vector<std::vector<std::uint32_t>> preferences_;
    std::vector<std::size_t> next_preference_;
    /// The processes, ordered by hash so that no process gains by its name.
    const std::vector<std::uint32_t> process_order_;
    std::vector<std::vector<std::uint32_t>> subsets_;
};

SubsetAssignment::SubsetAssignment(const std::vector<std::string>& processes,
                                   const std::vector<std::string>& hosts, std::size_t size)
    : size_(size),
      preferences_(processes.size()),
      next_preference_(processes.size(), 0),
      process_order_(order_by_hash(processes, process_order_seed)),
      subsets_(processes.size()) {
    // Each host gets the mean number of assignments, rounded down; the remainder goes to the first hosts by name hash.
    const std::size_t assignment_count = processes.size() * size;
    free_assignments_.assign(hosts.size(), assignment_count / hosts.size());
    const auto host_order = order_by_hash(hosts, host_order_seed);
    for (std::size_t i = 0; i < assignment_count % hosts.size(); ++i)
        ++free_assignments_[host_order[i]];
    for (std::size_t i = 0; i < processes.size(); ++i)
        preferences_[i] = order_by_hash(hosts, hash_name(processes[i], preference_seed));
}

// Assigns in rounds, so that every process gets its first host before any process gets a second one.
void SubsetAssignment::assign_in_rounds() {
    for (std::size_t round = 0; round < size_; ++round)
        for (const std::uint32_t process : process_order_)
            assign_next(process);
}

void SubsetAssignment::assign_next(std::uint32_t process) {
    const std::vector<std::uint32_t>& preferences = preferences_[process];
    std::size_t& next = next_preference_[process];
    while (next < preferences.size() && free_assignments_[preferences[next]] == 0)
        ++next;
    if (next == preferences.size())
        return;
    const std::uint32_t host = preferences[next++];
    --free_assignments_[host];
    subsets_[process].push_back(host);
}

// The last free assignments may be of hosts that the processes with incomplete subsets already have. Such a process
// gets its most preferred remaining host even though that host has no free assignment.
void SubsetAssignment::fill_incomplete_subsets() {
    for (const std::uint32_t process : process_order_) {
        std::vector<std::uint32_t>& subset = subsets_[process];
        for (const std::uint32_t host : preferences_[process]) {
            if (subset.size() >= size_)
                break;
            if (std::find(subset.begin(), subset.end(), host) == subset.end())
                subset.push_back(host);
        }
    }
}

}  // namespace

std::vector<std::vector<std::uint32_t>> assign_subsets(const std::vector<std::string>& processes,
                                                       const std::vector<std::string>& hosts,
                                                       std::size_t size) {
    size = std::min(size, hosts.size());
    if (size == 0)
        return std::vector<std::vector<std::uint32_t>>(processes.size());
    SubsetAssignment assignment(processes, hosts, size);
    assignment.assign_in_rounds();
    assignment.fill_incomplete_subsets();
    return assignment.take_subsets();
}

std::vector<std::uint32_t> rendezvous_subset(const std::string& process_name,
                                             const std::vector<std::string>& names, std::size_t size) {
    std::vector<std::uint32_t> indices(names.size());
    std::iota(indices.begin(), indices.end(), 0U);
    if (size == 0 || size >= names.size())
        return indices;
    const std::uint64_t seed = hash_name(process_name, rendezvous_seed);
    std::vector<std::uint64_t> scores;
    scores.reserve(names.size());
    for (const std::string& name : names)
        scores.push_back(hash_name(name, seed));
    const auto is_preferred = [&](std::uint32_t a, std::uint32_t b) {
        return scores[a] != scores[b] ? scores[a] > scores[b] : names[a] < names[b];
    };
    std::nth_element(indices.begin(), indices.begin() + static_cast<std::ptrdiff_t>(size), indices.end(),
                     is_preferred);
    indices.resize(size);
    std::sort(indices.begin(), indices.end());
    return indices;
}

bool SubsetSelector::update_processes(std::vector<std::string> names) {
    if (names == process_names_)
        return false;
    process_names_ = std::move(names);
    invalidate();
    return true;
}

const std::vector<std::uint32_t>& SubsetSelector::select(const std::string& process_name,
                                                         const std::vector<std::string>& host_names,
                                                         std::size_t size) {
    // Changes of host states are frequent and leave both lists unchanged.
    if (!subset_host_names_.empty() && host_names == subset_host_names_)
        return subset_;
    subset_host_names_ = host_names;
    const auto own_entry = std::find(process_names_.begin(), process_names_.end(), process_name);
    if (own_entry == process_names_.end()) {
        subset_ = rendezvous_subset(process_name, host_names, size);
    } else {
        const auto own_index = static_cast<std::size_t>(own_entry - process_names_.begin());
        subset_ = assign_subsets(process_names_, host_names, size)[own_index];
    }
    return subset_;
}

}  // namespace cressledge::load_balancing
