// Reloads of the configuration file: which settings are applied, and which reloads are rejected as a whole.
#include "gateway_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE(
    "gateway: a reload applies fleet settings and seeds but no other member id; the admin server shows "
    "both") {
    GatewayFixture fixture;
    const auto write_config = [&](const std::string& id, const std::string& extra) {
        return fixture.directory.write_file(
            "o.yaml",
            "listen: {http: \"127.0.0.1:0\", control: \"127.0.0.1:0\"}\ninventory: servers.csv\ncores: "
            "6\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n"
            "fleet: {name: maps, id: " +
                id + ", gossip: \"127.0.0.1:0\"" + extra + "}\n");
    };
    fixture.config = config::load_operator_config(write_config("n1", ""));
    fixture.start();
    const auto get = [&](const std::string& path) {
        auto peer = connect_peer(fixture.test_loop, fixture.gateway->admin_port());
        peer->send("GET " + path + " HTTP/1.1\r\nHost: n\r\n\r\n");
        fixture.test_loop.run_until([&] { return peer->is_closed; });
        return peer->received;
    };
    CHECK(get("/v1/readyz").rfind("HTTP/1.1 200", 0) == 0);
    CHECK(get("/v1/fleet").find("\"id\":\"n1\"") != std::string::npos);
    CHECK(get("/v1/metrics").find("node.responses.trail-sheet.ok=0\n") != std::string::npos);
    take_log();
    write_config("n2", "");
    fixture.gateway->reload();
    CHECK(take_log().find("fleet: name, id, gossip and advertise require a restart") != std::string::npos);
    write_config("n1", ", probe_ms: 50, seeds: [\"127.0.0.1:9\"]");
    fixture.gateway->reload();
    CHECK(take_log().find("reload rejected") == std::string::npos);
    const std::string metrics = get("/v1/metrics");
    CHECK(metrics.find("node.config_applied=1\n") != std::string::npos);
    CHECK(metrics.find("node.config_rejected=1\n") != std::string::npos);
    // The gateway contacts the new seed, which is unreachable.
    fixture.test_loop.run_until(
        [&] { return get("/v1/metrics").find("fleet.exchanges_failed=0\n") == std::string::npos; });
}

TEST_CASE(
    "gateway: a reload applies admission and inventory together or not at all, and closes no connection") {
    GatewayFixture fixture;
    const auto write_config = [&](const std::string& cores, const std::string& extra) {
        return fixture.directory.write_file(
            "o.yaml",
            "listen: {scgi: \"127.0.0.1:0\", http: \"127.0.0.1:0\"}\ninventory: servers.csv\ncores: " +
                cores + "\nclasses:\n" +
                "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n" + extra);
    };
    fixture.config = config::load_operator_config(write_config("6", ""));
    fixture.start();
    std::vector<BoundClient> clients;
    for (int i = 0; i < 4; ++i)
        clients.emplace_back("127.0.0.9", fixture.gateway->http_port());
    auto& limiter = fixture.limiter();
    fixture.test_loop.run_until([&] { return limiter.open_connections() == 4; }, false);
    take_log();
    write_config("6", "admission: {open: 2, groups: [{name: g, networks: [127.0.0.9/8]}]}\n");
    fixture.gateway->reload();
    CHECK(take_log().find("o.yaml:6: networks: bits set beyond its prefix: 127.0.0.9/8") !=
          std::string::npos);
    write_config("8", "admission: {open: 2}\n");
    fixture.gateway->reload();
    CHECK(take_log().find("settings other than inventory, group, connections, admission, routing and fleet "
                          "require a restart") != std::string::npos);
    CHECK(limiter.settings().unlisted_source_limits.max_connections == 0);
    write_config(
        "6", "admission: {open: 2, groups: [{name: g, networks: [127.0.0.8], reserve: {connections: 3}}]}\n");
    fixture.gateway->reload();
    CHECK(limiter.settings().unlisted_source_limits.max_connections == 2);
    CHECK(limiter.open_connections() == 4);
    BoundClient fifth_client("127.0.0.9", fixture.gateway->http_port());
    fixture.test_loop.run_until([&] { return limiter.rejection_slots_in_use() == 1; }, false);
    // A connection beyond the new limit is still served.
    clients.front().unsent = http_request("trail-sheet", "body-1.");
    fixture.test_loop.run_until([&] { return clients.front().step(1'000), clients.front().status() == 200; },
                                false);
    limiter.check_invariants();
}

}  // namespace
