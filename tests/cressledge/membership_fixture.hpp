/// Builders of membership messages, and one membership table with its effects.
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

/// The n-th loopback address.
inline membership::Endpoint endpoint(std::uint32_t n) {
    return {0x7F000000U + n, 7946};
}

inline membership::MemberUpdate update(const std::string& id, std::uint32_t n,
                                       membership::MemberState state = membership::MemberState::alive,
                                       std::uint32_t incarnation = 0, std::uint64_t start_time_us = 100) {
    const bool is_suspect = state == membership::MemberState::suspect;
    return {id, endpoint(n), start_time_us, incarnation, state, is_suspect ? "accuser" : ""};
}

inline membership::Message message(membership::MessageType type, const membership::MemberUpdate& sender,
                                   std::vector<membership::MemberUpdate> updates = {}) {
    membership::Message m;
    m.type = type;
    m.sequence = 7;
    m.sender = sender;
    m.updates = std::move(updates);
    if (type == membership::MessageType::ping)
        m.target_id = "me";
    return m;
}

/// Probes four times a second.
inline membership::MembershipSettings fast_settings() {
    membership::MembershipSettings settings;
    settings.probe_interval = milliseconds(250);
    return settings;
}

/// The table of the process `me`, by a clock that the test moves.
struct TableFixture {
    explicit TableFixture(const membership::MembershipSettings& initial_settings = {})
        : settings(initial_settings),
          table(member_indices, false, settings, {"me", endpoint(1), 100}, {}, 5, now) {}

    void receive(const membership::Message& m, std::uint32_t from = 2) {
        table.on_message(now, m, endpoint(from), effects);
    }

    /// One update by gossip from a member `teller`.
    void receive(const membership::MemberUpdate& u) {
        receive(message(membership::MessageType::gossip, update("teller", 2), {u}));
    }

    /// Lets the time pass, and does what is due.
    void advance(Duration duration) {
        for (const Timestamp end = now + duration; now < end;) {
            now = std::min(end, std::max(now + Duration(1), table.next_deadline()));
            table.tick(now, effects);
        }
    }

    membership::MemberState state(const std::string& id) const { return *table.state_of(id); }

    membership::MemberIndexTable member_indices;
    membership::MembershipSettings settings;
    Timestamp now{1'000'000'000};
    membership::MembershipTable table;
    membership::Effects effects;
};

}  // namespace cressledge::testing
