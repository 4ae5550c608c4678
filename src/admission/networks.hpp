// The networks of listed callers, by group.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/address.hpp"

namespace cressledge::admission {

using GroupNo = std::size_t;  // 0: not listed; the first group is 1

// 10.0.0.0/8, 2001:db8::/32, or one address. `wrong` says what is not well formed: no network, bits set beyond the
// prefix.
std::optional<Network> parse_network(const std::string& text, std::string& wrong);

class Networks {
public:
    // False: refused, and `wrong` says why. The same network twice, or one inside another of its own group, would say
    // nothing or hide a mistake; one inside another group's is an exception to it.
    bool add(const Network& network, GroupNo group, std::string& wrong);
    struct Found {
        GroupNo group = 0;
        unsigned bits = 0;  // of the network that lists it
    };
    Found find(const Ip& ip) const;  // the longest prefix wins
    std::size_t size() const { return all_.size(); }

private:
    struct Hash {
        std::size_t operator()(const Ip& ip) const noexcept;
    };
    struct Length {
        unsigned bits = 0;
        std::unordered_map<Ip, GroupNo, Hash> bases;
    };
    struct Listed {
        Network network;
        GroupNo group = 0;
    };
    std::vector<Length> lengths_;  // the longest first: a look-up costs one probe for each length in use
    std::vector<Listed> all_;
};

}  // namespace cressledge::admission
