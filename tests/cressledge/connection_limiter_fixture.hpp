// Test fixture: a connection limiter with a simulated clock and without sockets.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "connection_admission/connection_limiter.hpp"
#include "support.hpp"

namespace cressledge::testing {

/// Parses an IPv4 or IPv6 address; fails the test if `text` is not one.
inline connection_admission::IpAddress parse_address(const std::string& text) {
    connection_admission::NetworkError error;
    const auto network = connection_admission::parse_network(text, error);
    INFO(text << to_string(error));
    REQUIRE(network);
    return network->base_address;
}

/// Start of the simulated clock: 2025-12-01 08:00:00 UTC.
constexpr Timestamp start_time{1'764'576'000'000'000};

constexpr Duration milliseconds(std::int64_t count) {
    return Duration(count * 1000);
}

/// A limiter, created from `settings` on first use, and the slots it has assigned. The destructor checks the
/// limiter's invariants.
struct ConnectionLimiterFixture {
    connection_admission::Settings settings;
    std::unique_ptr<connection_admission::ConnectionLimiter> instance;
    Timestamp now = start_time;
    std::uint64_t last_connection_id = 0;
    /// Slots of open connections by connection id.
    std::map<std::uint64_t, connection_admission::ConnectionSlotId> slots;

    ConnectionLimiterFixture() {
        settings.max_connections = 20;
        settings.rejection_slots = 4;
    }
    ~ConnectionLimiterFixture() {
        if (instance)
            instance->check_invariants();
    }

    /// Adds a client group with one network. Call it before limiter(), or reconfigure the limiter afterwards.
    void add_group(const std::string& network, const std::string& name, std::uint32_t reserved_connections,
                   std::uint32_t reserved_requests, const connection_admission::SourceLimits& limits = {}) {
        settings.groups.push_back({name, limits, reserved_connections, reserved_requests});
        connection_admission::NetworkError error;
        REQUIRE(settings.networks.add(*connection_admission::parse_network(network, error),
                                      settings.groups.size(), error));
    }

    /// The limiter, created on the first call.
    connection_admission::ConnectionLimiter& limiter() {
        constexpr std::uint64_t hash_seed = 7;
        if (!instance)
            instance = std::make_unique<connection_admission::ConnectionLimiter>(settings, hash_seed);
        return *instance;
    }

    /// Opens a connection and tracks its slot and the slot evicted for it.
    connection_admission::ConnectionLimiter::ConnectionDecision open(
        const connection_admission::IpAddress& address) {
        const auto decision = limiter().admit_connection(now, address, 0, ++last_connection_id);
        if (decision.evicted)
            slots.erase(decision.evicted->connection_id);
        if (decision.slot_id != 0)
            slots[last_connection_id] = decision.slot_id;
        return decision;
    }
    connection_admission::ConnectionLimiter::ConnectionDecision open(const std::string& address) {
        return open(parse_address(address));
    }

    /// Opens a connection and admits a request on it; both must be admitted.
    connection_admission::ConnectionSlotId open_with_request(const std::string& address) {
        const auto decision = open(address);
        REQUIRE((decision.slot_id != 0 && !decision.rejected));
        REQUIRE(limiter().admit_request(now, decision.slot_id).admitted);
        return decision.slot_id;
    }
};

}  // namespace cressledge::testing
