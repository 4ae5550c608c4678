/// Indirect probes (SWIM) that this process sends on behalf of other members, until they are answered or expire.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "membership/endpoint.hpp"
#include "membership/time.hpp"

namespace cressledge::membership {

/// A probe sent on behalf of another process.
struct Relay {
    Endpoint requester;
    /// The requester's sequence number of the probe, used in the answer.
    std::uint32_t requester_sequence = 0;
    Timestamp expires_at{0};
};

/// Open relays by the sequence number of this process's own ping. The size is bounded, because any process that can
/// send datagrams to this one can cause entries.
class RelayTable {
public:
    /// Returns whether the maximum number of relays is open.
    bool is_full() const { return relays_.size() >= max_relays; }
    /// Opens a relay for this process's ping with the number `sequence`. The caller checks `is_full` first.
    void add(std::uint32_t sequence, const Relay& relay) { relays_[sequence] = relay; }

    /// Removes and returns the relay of the ping with the number `sequence`, if any.
    std::optional<Relay> take(std::uint32_t sequence);

    /// Removes and returns the relays that have expired.
    std::vector<Relay> take_expired(Timestamp now);

    /// Returns the earliest expiry, or `never` if there is no relay.
    Timestamp next_deadline() const;

    /// Discards all relays.
    void clear() { relays_.clear(); }

private:
    static constexpr std::size_t max_relays = 256;
    std::map<std::uint32_t, Relay> relays_;
};

}  // namespace cressledge::membership
