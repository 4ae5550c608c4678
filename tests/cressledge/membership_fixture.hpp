/// Builders for membership messages, and a fixture with one membership table.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "membership/membership_table.hpp"
#include "support.hpp"

namespace cressledge::testing {

inline Duration milliseconds(std::int64_t count) {
    return Duration(count * 1000);
}

/// Returns an endpoint at the n-th loopback address.
inline membership::Endpoint endpoint(std::uint32_t n) {
    return {0x7F000000U + n, 7946};
}

/// Returns a claim about the member `id` at `endpoint(n)`.
inline membership::MemberUpdate update(const std::string& id, std::uint32_t n,
                                       membership::MemberState state = membership::MemberState::alive,
                                       std::uint32_t incarnation = 0, std::uint64_t start_time_us = 100) {
    const bool is_suspect = state == membership::MemberState::suspect;
    return {id, endpoint(n), start_time_us, incarnation, state, is_suspect ? "accuser" : ""};
}

/// Returns a message with sequence number 7. A ping targets the member `me`.
inline membership::Message message(membership::MessageType type, const membership::MemberUpdate& sender,
                                   std::vector<membership::MemberUpdate> updates = {}) {
    membership::Message result;
    result.type = type;
    result.sequence = 7;
    result.sender = sender;
    result.updates = std::move(updates);
    if (type == membership::MessageType::ping)
        result.target_id = "me";
    return result;
}

/// Returns settings with four probes per second.
inline membership::MembershipSettings fast_settings() {
    membership::MembershipSettings settings;
    settings.probe_interval = milliseconds(250);
    return settings;
}

/// The membership table of the process `me`, with a clock that the test controls.
struct TableFixture {
    explicit TableFixture(const membership::MembershipSettings& initial_settings = {})
        : settings(initial_settings),
          table(member_indices, false, settings, {"me", endpoint(1), 100}, {}, 5, now) {}

    /// Delivers a message from `endpoint(from)`.
    void receive(const membership::Message& received, std::uint32_t from = 2) {
        table.on_message(now, received, endpoint(from), effects);
    }

    /// Delivers one update in a gossip message from the member `sender`.
    void receive(const membership::MemberUpdate& received) {
        receive(message(membership::MessageType::gossip, update("sender", 2), {received}));
    }

    /// Advances the clock by `duration`, and calls `tick` at each deadline on the way.
    void advance(Duration duration) {
        for (const Timestamp end = now + duration; now < end;) {
            now = std::min(end, std::max(now + Duration(1), table.next_deadline()));
            table.tick(now, effects);
        }
    }

    /// Returns the state of a known member.
    membership::MemberState state(const std::string& id) const { return *table.state_of(id); }

    membership::MemberIndexTable member_indices;
    membership::MembershipSettings settings;
    Timestamp now{1'000'000'000};
    membership::MembershipTable table;
    membership::Effects effects;
};

}  // namespace cressledge::testing
