// Consistent hashing of affinity keys to hosts with the lookup table of "Maglev: A Fast and Reliable Software Network
// Load Balancer" (Eisenbud and others, NSDI 2016). The table spreads keys evenly, and a change of the hosts moves few
// more keys than it must. It depends on the host names alone, so all processes with the same names agree.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::load_balancing {

/// A Maglev lookup table from keys to indices of host names.
class MaglevTable {
public:
    /// Table size if none is given; a prime.
    static constexpr std::size_t default_size = 65'537;

    /// Builds the table. `size` must be a prime well above the number of names.
    void build(const std::vector<std::string>& names, std::size_t size = default_size);
    /// Returns the index in `names` of the host for the key. `choice` counts the alternatives from 0; two choices may
    /// give the same host. The table must not be empty.
    std::uint32_t find(std::uint64_t key, std::uint32_t choice = 0) const;
    /// Whether the table has not been built, or was built from no names.
    bool empty() const { return table_.empty(); }
    /// Index in `names` for each entry of the table.
    const std::vector<std::uint32_t>& table() const { return table_; }

private:
    std::vector<std::uint32_t> table_;
};

/// Hashes a lookup key to an affinity key, which is 0 only for the empty text.
std::uint64_t affinity_key(std::string_view text);

}  // namespace cressledge::load_balancing
