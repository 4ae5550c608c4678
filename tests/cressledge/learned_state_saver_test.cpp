// Tests that learned state survives a restart of a gateway.
#include "learned_state/learned_state_saver.hpp"

#include <unistd.h>

#include <cstdio>
#include <string>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace cressledge::testing;
using cressledge::upstream::UpstreamGateway;

constexpr std::uint64_t gateway_seed = 7;

bool has_logged(const std::string& text) {
    return take_log().find(text) != std::string::npos;
}

TEST_CASE(
    "learned state saver: a restarted gateway restores its estimates, and one that cannot lock the directory "
    "still serves") {
    TemporaryDirectory directory;
    TestLoop test_loop;
    ListeningPeer server(test_loop.loop);
    config::OperatorConfig config;
    config.scgi_address = "127.0.0.1:0";
    config.http_address = "127.0.0.1:0";
    config.inventory_path = directory.write_file(
        "servers.csv", "name,address,protocol,group\nup," + server.address() + ",http,maps\n");
    config.policy_settings = test_settings();
    config.learned_state.directory = directory.path + "/state";
    config.learned_state.node_name = "n3";
    double learned_price = 0.0;
    {
        UpstreamGateway gateway(test_loop.loop, test_loop.timers, test_loop.loop, config, gateway_seed);
        CHECK(has_logged("learned_state: cold start reason=\"no saved state\""));
        for (int i = 0; i < 3; ++i) {
            auto client = connect_peer(test_loop, gateway.http_port());
            client->send("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
            test_loop.run_until(
                [&] { return server.has_received("\r\n\r\nx") && !server.latest_peer().is_closed; });
            server.latest_peer().send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
            test_loop.run_until([&] { return client->has_received("ok"); });
        }
        learned_price = gateway.request_manager().estimates().classes[0].price_seconds;
        // The directory is locked by the first gateway; the second starts without it.
        UpstreamGateway second(test_loop.loop, test_loop.timers, test_loop.loop, config, gateway_seed);
        CHECK(has_logged("locked by another process"));
        gateway.save_learned_state();
        gateway.log_report();
        CHECK(has_logged("learned_state: summary generation=1 saves=1 failed_saves=0 "));
    }
    UpstreamGateway restarted(test_loop.loop, test_loop.timers, test_loop.loop, config, gateway_seed);
    CHECK(has_logged("learned_state: restored classes=1 upstreams=1 generation=1 "));
    const double cold_start_guess = 0.17 * 2.9;
    const double restored_price = restarted.request_manager().estimates().classes[0].price_seconds;
    CHECK(restored_price < cold_start_guess);
    // Three completions give a confidence of 3/13, so the estimate lies between the guess and the learned price.
    CHECK(restored_price > learned_price);
    for (const char* name : {"lock", "snap-0000000000000001", "log-0000000000000001"})
        std::remove((config.learned_state.directory + '/' + name).c_str());
    ::rmdir(config.learned_state.directory.c_str());
}

}  // namespace
