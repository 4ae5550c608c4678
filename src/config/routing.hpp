// The section `routing` of the operator's file.
#pragma once

#include "config/reader.hpp"
#include "membership/membership.hpp"
#include "routing/attempts.hpp"
#include "routing/balancer.hpp"

namespace cressledge::config {

// The balancer's rules and those of its neighbours. `ramp.warm_for` is the members' slow start.
struct Routing : routing::BalancerRules {
    double retry_share = 0.1;  // extra tries for each first one
    bool hedging = false, probes = true;
    curlewreel::Span probe_patience{10'000};  // probe-first: a call goes then, whoever has answered
    bool affinity = false;  // requests of one Lookup-Key go to one server, while it is not overloaded
    routing::AttemptRules attempts;
    membership::Rules members;
    std::uint32_t kept = 4, kept_in_all = 64;  // idle connections, of one server and in all; 0: none
    curlewreel::Span kept_idle{5'000'000}, kept_age{60'000'000};
    curlewreel::Span watch{1'000'000};  // between two looks at the inventory's file; 0: none
    double most_gone = 0.5;  // of the servers in force; a file that drops more is refused
};

void read_routing(const Reader& r, const YAML::Node& doc, Routing& to);  // throws Invalid

}  // namespace cressledge::config
