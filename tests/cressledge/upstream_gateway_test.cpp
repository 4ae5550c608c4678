// Reloads of the inventory and of routing settings while calls are in flight.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "milliseconds.hpp"
#include "upstream_fixture.hpp"

namespace {

using namespace cressledge::testing;

TEST_CASE("UpstreamGateway: a reload applies all routing settings or none, with calls in flight") {
    UpstreamFixture fixture(4);
    const auto write_config = [&](const std::string& routing) {
        return fixture.directory.write_file(
            "o.yaml",
            "listen: {http: \"127.0.0.1:0\"}\ninventory: s.csv\ncores: 16\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\nrouting: {" +
                routing + "}\n");
    };
    fixture.config = config::load_operator_config(write_config("probes: false, watch_ms: 0"));
    for (auto& host : fixture.hosts)
        host->load_report = "TEXT named_metrics.in_flight=6, named_metrics.capacity=8";
    fixture.hosts[1]->load_report = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    fixture.start();
    fixture.hosts[2]->ignores_probes = true;
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.post("trail-sheet", "a" + std::to_string(i) + '.') == "200");
    CHECK(fixture.gateway->executor().counters().load_probes == 0);
    const auto pending_client = connect_peer(fixture.loop, fixture.gateway->http_port());
    for (auto& host : fixture.hosts)
        host->next_reply = {ReplyKind::no_response, 200, ""};
    pending_client->send("POST /v1/trail-sheet HTTP/1.1\r\nContent-Length: 3\r\n\r\nold");
    pending_client->send(".");
    fixture.loop.run_until([&] { return fixture.gateway->request_manager().unanswered_count() == 1; });
    for (auto& host : fixture.hosts)
        host->next_reply = {};
    take_log();
    write_config("policy: probe-first, probing: {per_call: 0}, probes: false, watch_ms: 0, subset: 2");
    fixture.gateway->reload();
    CHECK(take_log().find("o.yaml:6: subset: requires a name of this process in routing.node or fleet.id") !=
          std::string::npos);
    CHECK(fixture.gateway->executor().candidate_count() == 4);
    write_config("policy: probe-first, probing: {per_call: 4, patience_ms: 200}, probes: false, watch_ms: 0");
    fixture.gateway->reload();
    CHECK(take_log().find("reload rejected") == std::string::npos);
    const std::size_t calls_before = fixture.hosts[1]->requests_by_body.size();
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.post("trail-sheet", "b" + std::to_string(i) + '.') == "200");
    CHECK(fixture.hosts[1]->requests_by_body.size() - calls_before >= 15);  // the idle host
    CHECK(fixture.gateway->request_manager().unanswered_count() == 1);
    write_config("policy: round-robin, probes: false, watch_ms: 0, subset: 2, node: n1");
    fixture.gateway->reload();
    CHECK(fixture.gateway->executor().candidate_count() == 2);
    const auto probes = fixture.gateway->executor().counters().load_probes;
    for (int i = 0; i < 10; ++i)
        CHECK(fixture.post("trail-sheet", "c" + std::to_string(i) + '.') == "200");
    CHECK(fixture.gateway->executor().counters().load_probes == probes);
}

TEST_CASE(
    "UpstreamGateway: 100 inventory reloads under load lose no request, and each invalid row is logged") {
    UpstreamFixture fixture(6);
    fixture.start();
    std::mt19937 random(4);
    std::vector<std::unique_ptr<StreamPeer>> clients;
    int sent_requests = 0;
    int rejected_files = 0;
    for (int i = 0; i < 100; ++i) {
        for (int k = 0; k < 4; ++k, ++sent_requests) {  // in flight during the reload
            clients.push_back(connect_peer(fixture.loop, fixture.gateway->http_port()));
            const std::string body = std::to_string(sent_requests) + '.';
            clients.back()->send("POST /v1/route-profile HTTP/1.1\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" + body);
        }
        std::string text = fixture.inventory_text();
        std::vector<std::string> expected_errors;
        switch (i % 8) {
            case 0:
                text += fixture.inventory_row(0);
                expected_errors = {"s.csv:8: name: duplicate server name: tiles-0"};
                break;
            case 1:
                text += "x,127.0.0.1:9,ftp,maps,,1\ny,nowhere,http,maps,,1\nz,127.0.0.1:9,http,maps,,heavy\n";
                expected_errors = {"s.csv:8: protocol: ", "s.csv:9: address: ", "s.csv:10: weight: "};
                break;
            case 2:
                text.resize(text.size() / 2);  // truncated within a row
                expected_errors = {"s.csv:"};
                break;
            case 3:
                text = text.substr(0, text.find('\n') + 1);
                expected_errors = {"no servers"};
                break;
            case 4:
                text = "name,address,protocol,group,data_centre,weight\n" + fixture.inventory_row(0) +
                       fixture.inventory_row(1);
                expected_errors = {"4 of 6 servers removed"};
                break;
            case 5:
                text = "";
                expected_errors = {"no header row"};
                break;
            case 6:
                text = text.substr(0, text.size() - fixture.inventory_row(5).size());
                break;  // one host is removed, and added again later
            default:
                break;
        }
        fixture.write_inventory(text);
        take_log();
        fixture.gateway->reload();
        const std::string log = take_log();
        for (const std::string& error : expected_errors) {
            INFO(i << ' ' << error << "\n" << log);
            CHECK(log.find(error) != std::string::npos);
        }
        rejected_files += log.find("inventory: reload rejected error=") != std::string::npos ? 1 : 0;
        CHECK(expected_errors.empty() == (log.find("inventory: applied servers=") != std::string::npos));
        fixture.loop.loop.run_once(false);
    }
    CHECK(rejected_files == 76);
    fixture.loop.run_until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->has_received("\r\n\r\nok"); });
    });
    CHECK(fixture.gateway->request_manager().counts().served == static_cast<std::uint64_t>(sent_requests));
    CHECK(fixture.request_count() == sent_requests);
}

TEST_CASE("UpstreamGateway: a replaced inventory file is reloaded without a signal") {
    UpstreamFixture fixture(2);
    fixture.config.routing.inventory_poll_interval = ms(20);
    fixture.write_inventory("name,address,protocol,group,data_centre,weight\n" + fixture.inventory_row(0));
    fixture.start();
    fixture.directory.write_file("next", fixture.inventory_text());
    bool replaced = false;
    fixture.loop.run_until([&] {  // replaces the file after its first read
        if (!replaced)
            replaced = std::rename((fixture.directory.path + "/next").c_str(),
                                   fixture.config.inventory_path.c_str()) == 0;
        return fixture.gateway->executor().hosts().listed_hosts().size() == 2;
    });
    CHECK(take_log().find("inventory: applied servers=2 version=2 changes=\"+1 (tiles-1)") !=
          std::string::npos);
}

}  // namespace
