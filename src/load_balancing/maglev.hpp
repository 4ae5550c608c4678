// Affinity of keys to hosts: the lookup table of "Maglev: A Fast and Reliable Software Network Load Balancer"
// (Eisenbud and others, NSDI 2016). It is even, and a change of the hosts moves few keys beyond those that have to
// move. It is made from names alone: all processes that know the same names agree.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::load_balancing {

/// A Maglev lookup table from keys to indices of host names.
class MaglevTable {
public:
    static constexpr std::size_t default_size = 65'537;

    /// `size` is a prime well above the number of names.
    void build(const std::vector<std::string>& names, std::size_t size = default_size);
    /// Index in `names` of a choice (counted from 0) for the key; two choices may be the same host. The table must
    /// not be empty.
    std::uint32_t find(std::uint64_t key, std::uint32_t choice = 0) const;
    /// Whether the table was built from no names, or not built.
    bool empty() const { return table_.empty(); }
    /// Index in `names` for each place of the table.
    const std::vector<std::uint32_t>& table() const { return table_; }

private:
    std::vector<std::uint32_t> table_;
};

/// Hash of a lookup key; 0 for the empty one only.
std::uint64_t affinity_key(std::string_view text);

}  // namespace cressledge::load_balancing
