// A connection limiter on a scripted clock, for tests. No sockets.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "connection_admission/connection_limiter.hpp"
#include "support.hpp"

namespace cressledge::testing {

inline connection_admission::IpAddress parse_address(const std::string& text) {
    connection_admission::NetworkError error;
    const auto network = connection_admission::parse_network(text, error);
    INFO(text << to_string(error));
    REQUIRE(network);
    return network->base_address;
}

constexpr Timestamp start_time{1'764'576'000'000'000};

constexpr Duration milliseconds(std::int64_t count) {
    return Duration(count * 1000);
}

/// A limiter, made of `settings` on its first use, with the connections that it has given slots. Checks the
/// limiter's invariants at its end.
struct ConnectionLimiterFixture {
    connection_admission::Settings settings;
    std::unique_ptr<connection_admission::ConnectionLimiter> instance;
    Timestamp now = start_time;
    std::uint64_t last_connection_id = 0;
    /// By connection id.
    std::map<std::uint64_t, connection_admission::ConnectionSlotId> slots;

    ConnectionLimiterFixture() {
        settings.max_connections = 20;
        settings.rejection_slots = 4;
    }
    ~ConnectionLimiterFixture() {
        if (instance)
            instance->check_invariants();
    }

    void add_group(const std::string& network, const std::string& name, std::uint32_t reserved_connections,
                   std::uint32_t reserved_requests, const connection_admission::SourceLimits& limits = {}) {
        settings.groups.push_back({name, limits, reserved_connections, reserved_requests});
        connection_admission::NetworkError error;
        REQUIRE(settings.networks.add(*connection_admission::parse_network(network, error),
                                      settings.groups.size(), error));
    }

    connection_admission::ConnectionLimiter& limiter() {
        constexpr std::uint64_t hash_seed = 7;
        if (!instance)
            instance = std::make_unique<connection_admission::ConnectionLimiter>(settings, hash_seed);
        return *instance;
    }

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

    /// Opens a connection with a request in flight.
    connection_admission::ConnectionSlotId open_with_request(const std::string& address) {
        const auto decision = open(address);
        REQUIRE((decision.slot_id != 0 && !decision.rejected));
        REQUIRE(limiter().admit_request(now, decision.slot_id).admitted);
        return decision.slot_id;
    }
};

}  // namespace cressledge::testing
