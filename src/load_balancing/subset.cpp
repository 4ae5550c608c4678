#include "load_balancing/subset.hpp"

#include <algorithm>
#include <compare>
#include <numeric>
#include <utility>

#include "load_balancing/name_hash.hpp"

namespace cressledge::load_balancing {
namespace {

constexpr std::uint64_t server_order_seed = 1;
constexpr std::uint64_t preference_seed = 2;
constexpr std::uint64_t process_order_seed = 3;
constexpr std::uint64_t rendezvous_seed = 3;

/// Indices into `names`, by the hashes of the names.
std::vector<std::uint32_t> order_by_hash(const std::vector<std::string>& names, std::uint64_t seed) {
    struct HashedName {
        std::uint64_t hash;
        std::uint32_t index;
        // NOLINTNEXTLINE(modernize-use-nullptr): the literal 0 is the compiler's own.
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

/// An assignment under way.
class SubsetAssignment {
public:
    SubsetAssignment(const std::vector<std::string>& processes, const std::vector<std::string>& servers,
                     std::size_t size);
    void assign_in_rounds();
    void fill_incomplete_rows();
    std::vector<std::vector<std::uint32_t>> take_rows() { return std::move(rows_); }

private:
    void assign_next(std::uint32_t process);

    const std::size_t size_;
    /// Processes that each server may still be assigned to.
    std::vector<std::size_t> free_assignments_;
    /// Of each process: all servers in its order of preference, and how many of them it has been through.
    std::vector<std::vector<std::uint32_t>> preferences_;
    std::vector<std::size_t> next_preference_;
    /// An order of the processes that no name chooses for itself.
    const std::vector<std::uint32_t> process_order_;
    std::vector<std::vector<std::uint32_t>> rows_;
};

SubsetAssignment::SubsetAssignment(const std::vector<std::string>& processes,
                                   const std::vector<std::string>& servers, std::size_t size)
    : size_(size),
      preferences_(processes.size()),
      next_preference_(processes.size(), 0),
      process_order_(order_by_hash(processes, process_order_seed)),
      rows_(processes.size()) {
    // Places of each server: the mean, and one more for those that a hash of their names puts first.
    const std::size_t assignment_count = processes.size() * size;
    free_assignments_.assign(servers.size(), assignment_count / servers.size());
    const auto server_order = order_by_hash(servers, server_order_seed);
    for (std::size_t i = 0; i < assignment_count % servers.size(); ++i)
        ++free_assignments_[server_order[i]];
    for (std::size_t i = 0; i < processes.size(); ++i)
        preferences_[i] = order_by_hash(servers, hash_name(processes[i], preference_seed));
}

// In rounds, so that every process has its first choice before any has a second.
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
    const std::uint32_t server = preferences[next++];
    --free_assignments_[server];
    rows_[process].push_back(server);
}

// The last places may be of servers that the processes which still lack one have already: these get their best
// remaining preference beyond the places.
void SubsetAssignment::fill_incomplete_rows() {
    for (const std::uint32_t process : process_order_) {
        std::vector<std::uint32_t>& row = rows_[process];
        for (const std::uint32_t server : preferences_[process]) {
            if (row.size() >= size_)
                break;
            if (std::find(row.begin(), row.end(), server) == row.end())
                row.push_back(server);
        }
    }
}

}  // namespace

std::vector<std::vector<std::uint32_t>> assign_subsets(const std::vector<std::string>& processes,
                                                       const std::vector<std::string>& servers,
                                                       std::size_t size) {
    size = std::min(size, servers.size());
    if (size == 0)
        return std::vector<std::vector<std::uint32_t>>(processes.size());
    SubsetAssignment assignment(processes, servers, size);
    assignment.assign_in_rounds();
    assignment.fill_incomplete_rows();
    return assignment.take_rows();
}

std::vector<std::uint32_t> rendezvous_subset(const std::string& node, const std::vector<std::string>& names,
                                             std::size_t size) {
    std::vector<std::uint32_t> indices(names.size());
    std::iota(indices.begin(), indices.end(), 0U);
    if (size == 0 || size >= names.size())
        return indices;
    const std::uint64_t seed = hash_name(node, rendezvous_seed);
    std::vector<std::uint64_t> rank;
    rank.reserve(names.size());
    for (const std::string& name : names)
        rank.push_back(hash_name(name, seed));
    const auto is_preferred = [&](std::uint32_t a, std::uint32_t b) {
        return rank[a] != rank[b] ? rank[a] > rank[b] : names[a] < names[b];
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
    // A host's change of state comes often, and changes neither list.
    if (!selected_from_.empty() && host_names == selected_from_)
        return selected_;
    selected_from_ = host_names;
    const auto self = std::find(process_names_.begin(), process_names_.end(), process_name);
    if (self == process_names_.end()) {
        selected_ = rendezvous_subset(process_name, host_names, size);
    } else {
        const auto row = static_cast<std::size_t>(self - process_names_.begin());
        selected_ = assign_subsets(process_names_, host_names, size)[row];
    }
    return selected_;
}

}  // namespace cressledge::load_balancing
