/// Settings of a gossip node. `config/` reads them from the section `fleet` of the operator's configuration file.
#pragma once

#include <string>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/membership_settings.hpp"

namespace cressledge::gossip {

/// Startup settings of a gossip node.
struct Settings {
    std::string fleet_name;
    std::string member_id;
    /// Endpoint to which the sockets are bound.
    membership::Endpoint listen;
    /// Endpoint at which other processes reach this one. Defaults to `listen` if the address is 0, and to the bound
    /// port if the port is 0.
    membership::Endpoint advertise;
    /// Endpoints used to find the fleet.
    std::vector<membership::Endpoint> seeds;
    membership::MembershipSettings membership;
};

}  // namespace cressledge::gossip
