// File descriptor exhaustion in the process or system: connections wait in the backlog, calls are sent
// exactly once, and a drain still answers every request that was read.
#include <random>

#include "gateway_fixture.hpp"
#include "system_call_faults.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("frontend: a connection left in the backlog is served once a descriptor is available") {
    GatewayFixture fixture;
    // Enough descriptors for two connections and the overlap of one eviction.
    fixture.config.max_descriptors = net::count_open_descriptors() + 2 + 2 + 2 + 32 + 3;
    fixture.start();
    CHECK(take_log().find("admission: connection limit reduced max_connections=2 configured=128 ") !=
          std::string::npos);
    auto& descriptors = fixture.gateway->descriptors();
    std::vector<connection_admission::FileDescriptorBudget::Lease> other_leases;
    while (auto lease =
               descriptors.try_acquire(wall_clock_now(), connection_admission::DescriptorPurpose::frontend))
        other_leases.push_back(std::move(lease));
    BoundClient client("127.0.0.9", fixture.gateway->scgi_port());
    client.unsent = scgi_request("trail-sheet", "body-1.");
    fixture.test_loop.run_until(
        [&] {
            return client.step(1'000),
                   descriptors.denied(connection_admission::DescriptorPurpose::frontend) > 1;
        },
        false);
    CHECK(client.received.empty());
    CHECK(client.is_open);
    other_leases.clear();
    fixture.run_until_closed(client);
    CHECK(client.status() == 200);
}

TEST_CASE("gateway: a write waits for a descriptor for its call and is sent exactly once") {
    GatewayFixture fixture;
    fixture.start();
    BoundClient client("127.0.0.9", fixture.gateway->scgi_port());
    client.unsent = scgi_request("map-order", "body-7.");
    Faults faults;
    faults.fail(Call::socket, EMFILE, 3);
    fixture.run_until_closed(client);
    CHECK(client.status() == 200);
    CHECK(faults.failed(Call::socket) == 3);
    CHECK(fixture.upstream_host.run_counts == std::map<std::string, int>{{"7.", 1}});
}

TEST_CASE("gateway: an accept or open without a descriptor does not stop the gateway") {
    GatewayFixture fixture;
    fixture.start();
    Faults faults;
    for (const int error : {EMFILE, ENFILE}) {
        faults.fail(Call::accept, error, 1);
        // Remains in the backlog until a descriptor is available.
        BoundClient waiting("127.0.0.9", fixture.gateway->http_port());
        waiting.unsent = http_request("trail-sheet", "body-" + std::to_string(error) + '.');
        fixture.test_loop.run_until([&] { return waiting.step(1'000), waiting.status() == 200; }, false);
    }
    CHECK(fixture.gateway->descriptors().system_exhaustions() == 2);
    CHECK(take_log().find("admission: file descriptors exhausted in the system") != std::string::npos);
    faults.fail(Call::open, EMFILE, 1);
    fixture.gateway->reload();
    CHECK(take_log().find("inventory: reload rejected error=") != std::string::npos);
    BoundClient client("127.0.0.9", fixture.gateway->scgi_port());
    client.unsent = scgi_request("trail-sheet", "body-1.");
    fixture.run_until_closed(client);
    CHECK(client.status() == 200);
}

TEST_CASE(
    "gateway: descriptors exhausted during a drain lose no response to a request, 200 seeds, either "
    "protocol") {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        GatewayFixture fixture;
        fixture.config.policy_settings.cores = 4;
        fixture.config.max_descriptors =
            net::count_open_descriptors() + 2 + 2 + 2 + 8 + 1 + 4 + random() % 10;
        fixture.start();
        std::vector<BoundClient> callers;
        for (int i = 0; i < 16; ++i) {
            const bool over_scgi = i % 2 == 0;
            callers.emplace_back("127.0.0." + std::to_string(3 + i),
                                 over_scgi ? fixture.gateway->scgi_port() : fixture.gateway->http_port());
            const std::string class_name = i % 3 == 0 ? "map-order" : "trail-sheet";
            const std::string body = "body-" + std::to_string(i) + '.';
            callers.back().unsent =
                over_scgi ? scgi_request(class_name, body) : http_request(class_name, body);
        }
        Faults faults(seed);
        faults.fail(Call::socket, random() % 2 == 0 ? EMFILE : ENFILE, 6, 2);
        faults.fail(Call::accept, EMFILE, static_cast<int>(random() % 3), 4);
        const std::uint32_t shutdown_iteration = random() % 12;
        std::uint32_t iteration = 0;
        // Runs until every caller has a response or was closed before its request was read.
        const auto& counts = fixture.gateway->request_manager().counts();
        fixture.test_loop.run_until(
            [&] {
                if (iteration++ == shutdown_iteration)
                    fixture.gateway->begin_graceful_shutdown();
                std::uint64_t responses = 0, waiting = 0;
                for (BoundClient& client : callers) {
                    client.step(1 + random() % 400);
                    responses += client.status() != 0 ? 1 : 0;
                    waiting += client.is_open && client.status() == 0 ? 1 : 0;
                }
                return iteration > shutdown_iteration && waiting == 0 && responses == counts.received;
            },
            false);
        for (const BoundClient& client : callers)
            REQUIRE(client.status() >= 0);
        for (const auto& [body, run_count] : fixture.upstream_host.run_counts)
            REQUIRE(run_count == 1);
        REQUIRE(counts.served == fixture.upstream_host.run_counts.size());
        fixture.limiter().check_invariants();
        REQUIRE(fixture.gateway->descriptors().used() <= fixture.gateway->descriptors().limit());
    }
}

}  // namespace
