/// What a membership table wants done: its only output. Whoever has the sockets carries it out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/message.hpp"

namespace cressledge::membership {

/// A datagram to send.
struct OutgoingMessage {
    Endpoint destination;
    Message message;
};

/// A member that changed its state in this table, to be reported.
struct MemberChange {
    std::string id;
    Endpoint endpoint;
    /// Empty: the member was not known before.
    std::optional<MemberState> old_state;
    MemberState new_state;
    std::uint32_t incarnation;
    /// True: it is this process whose id the process at `endpoint` has taken.
    bool displaced = false;
};

/// What is to be done after one call, in this order.
struct Effects {
    std::vector<OutgoingMessage> messages;
    /// Processes to hold a full exchange with.
    std::vector<Endpoint> exchange_peers;
    std::vector<MemberChange> changes;
};

}  // namespace cressledge::membership
