// Affinity of keys to servers: a look-up table after Maglev (Eisenbud and others, 2016). Even, and a change of the
// servers moves little more than it must. Names make it, so every process that knows the same names agrees.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::load_balancing {

class MaglevTable {
public:
    // `size` is a prime well above the number of names.
    void build(const std::vector<std::string>& names, std::size_t size = 65'537);
    // The place in `names` of the n-th choice for the key; repeats may come. Not for an empty table.
    std::uint32_t find(std::uint64_t key, std::uint32_t choice = 0) const;
    bool empty() const { return table_.empty(); }
    const std::vector<std::uint32_t>& table() const { return table_; }

private:
    std::vector<std::uint32_t> table_;
};

std::uint64_t affinity_key(std::string_view text);  // 0 for the empty one only

// The servers that `node` uses out of `names`, by rendezvous hashing: places in `names`, in order. One that comes or
// goes changes one place at most.
std::vector<std::uint32_t> rendezvous_subset(const std::string& node, const std::vector<std::string>& names,
                                             std::size_t size);

}  // namespace cressledge::load_balancing
