/// The output of a membership table: actions that the owner of the sockets carries out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/message.hpp"

namespace cressledge::membership {

/// A datagram that is to be sent.
struct OutgoingMessage {
    Endpoint destination;
    Message message;
};

/// A change of a member's state in this table, for reporting.
struct MemberChange {
    std::string id;
    Endpoint endpoint;
    /// Empty if the member was not known before.
    std::optional<MemberState> old_state;
    MemberState new_state;
    std::uint32_t incarnation;
    /// Whether this process was displaced: the process at `endpoint` has claimed its id.
    bool displaced = false;
};

/// Actions that result from one call, in the order in which they are carried out.
struct Effects {
    std::vector<OutgoingMessage> messages;
    /// Processes with which a full exchange is to be started.
    std::vector<Endpoint> exchange_peers;
    std::vector<MemberChange> changes;
};

}  // namespace cressledge::membership
