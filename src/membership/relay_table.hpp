/// Probes that this process makes for others (SWIM's indirect probes), until they are answered or their time is over.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/time.hpp"

namespace cressledge::membership {

/// A probe on behalf of another process.
struct Relay {
    Endpoint requester;
    /// The requester's own number of the probe, for the answer.
    std::uint32_t requester_sequence = 0;
    Timestamp expires_at{0};
};

/// Open relays by the sequence number of this process's own ping. Bounded, as strangers can cause entries.
class RelayTable {
public:
    /// Whether no more relays may be opened.
    bool is_full() const { return relays_.size() >= max_relays; }
    /// Opens a relay for this process's ping with `sequence`.
    void add(std::uint32_t sequence, const Relay& relay) { relays_[sequence] = relay; }

    /// Removes and returns the relay that the answer with this number belongs to.
    std::optional<Relay> take(std::uint32_t sequence);

    /// Removes and returns the relays whose time is over.
    std::vector<Relay> take_expired(Timestamp now);

    /// `never` if there is no relay.
    Timestamp next_deadline() const;

    /// Drops all relays.
    void clear() { relays_.clear(); }

private:
    static constexpr std::size_t max_relays = 256;
    std::map<std::uint32_t, Relay> relays_;
};

}  // namespace cressledge::membership
