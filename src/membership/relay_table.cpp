#include "membership/relay_table.hpp"

#include <algorithm>

namespace cressledge::membership {

std::optional<Relay> RelayTable::take(std::uint32_t sequence) {
    const auto it = relays_.find(sequence);
    if (it == relays_.end())
        return std::nullopt;
    const Relay relay = it->second;
    relays_.erase(it);
    return relay;
}

std::vector<Relay> RelayTable::take_expired(Timestamp now) {
    std::vector<Relay> expired;
    std::erase_if(relays_, [&](const auto& entry) {
        if (entry.second.expires_at > now)
            return false;
        expired.push_back(entry.second);
        return true;
    });
    return expired;
}

Timestamp RelayTable::next_deadline() const {
    Timestamp earliest = never;
    for (const auto& [sequence, relay] : relays_)
        earliest = std::min(earliest, relay.expires_at);
    return earliest;
}

}  // namespace cressledge::membership
