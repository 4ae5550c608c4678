/// Settings of this process as a member of a fleet. Read from the section `fleet` of an operator's file in `config/`.
#pragma once

#include <string>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/membership_settings.hpp"

namespace cressledge::gossip {

/// What a gossip node is started with.
struct Settings {
    std::string fleet_name;
    std::string member_id;
    /// Where the sockets are bound.
    membership::Endpoint listen;
    /// Where other processes reach this one. No address: `listen`; port 0: the port that was bound.
    membership::Endpoint advertise;
    std::vector<membership::Endpoint> seeds;
    membership::MembershipSettings membership;
};

}  // namespace cressledge::gossip
