// Parsing of networks and longest prefix match.
#include "connection_admission/network_group_table.hpp"

#include <string>

#include "connection_limiter_fixture.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::connection_admission;

TEST_CASE("network group table: longest prefix match, and an IPv4 address equals its IPv4-mapped form") {
    NetworkGroupTable networks;
    NetworkError error;
    const auto add = [&](const char* text, GroupIndex group_index) {
        const auto network = parse_network(text, error);
        return network && networks.add(*network, group_index, error);
    };
    REQUIRE(add("10.0.0.0/8", 1));
    // Overrides group 1.
    REQUIRE(add("10.1.2.0/24", 2));
    REQUIRE(add("2001:db8::/32", 1));
    REQUIRE(add("::/0", 3));
    CHECK(networks.longest_match(parse_address("10.9.9.9")).group_index == 1);
    CHECK(networks.longest_match(parse_address("10.1.2.3")).group_index == 2);
    CHECK(networks.longest_match(parse_address("::ffff:10.1.2.3")).group_index == 2);
    CHECK(networks.longest_match(parse_address("2001:db8::1")).group_index == 1);
    CHECK(networks.longest_match(parse_address("2002::1")).group_index == 3);
    // An IPv6 network does not match IPv4 addresses.
    CHECK(networks.longest_match(parse_address("192.0.2.1")).group_index == 0);
    struct InvalidNetwork {
        const char* text;
        NetworkErrorCause expected_cause;
        const char* expected_error;
    };
    const InvalidNetwork invalid_networks[] = {
        {"10.0.0.0/8", NetworkErrorCause::duplicate, "a duplicate: 10.0.0.0/8"},
        {"::ffff:10.0.0.0/104", NetworkErrorCause::duplicate, "a duplicate: 10.0.0.0/8"},
        {"10.7.0.0/16", NetworkErrorCause::overlaps_own_group,
         "overlaps another network of its group: 10.7.0.0/16 and 10.0.0.0/8"},
        {"10.0.0.1/8", NetworkErrorCause::host_bits_set, "bits set beyond its prefix: 10.0.0.1/8"},
        {"10.0.0.0/33", NetworkErrorCause::not_a_network, "not an address or CIDR block: 10.0.0.0/33"},
        {"tiles.example.org", NetworkErrorCause::not_a_network,
         "not an address or CIDR block: tiles.example.org"},
        {"", NetworkErrorCause::not_a_network, "not an address or CIDR block: "},
    };
    for (const auto& [text, expected_cause, expected_error] : invalid_networks) {
        CHECK_FALSE(add(text, 1));
        CHECK(error.cause == expected_cause);
        CHECK(to_string(error) == expected_error);
    }
    CHECK(parse_address("::ffff:10.1.2.3").to_string() == "10.1.2.3");
    CHECK(Network{parse_address("10.1.2.0"), 120}.to_string() == "10.1.2.0/24");
}

}  // namespace
