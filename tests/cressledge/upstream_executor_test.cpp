// UpstreamExecutor against scripted hosts on loopback sockets: retries, hedged requests, load reports and affinity.
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "milliseconds.hpp"
#include "upstream_fixture.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::load_balancing;

/// Runs every request. The default admission controller would reject requests while the hosts fail.
struct RunEverythingController final : cressledge::policy::AdmissionController {
    void handle(Timestamp, const cressledge::policy::Event& event,
                std::vector<cressledge::policy::Action>& actions) override {
        if (const auto* arrival = std::get_if<cressledge::policy::RequestArrived>(&event))
            actions.push_back(cressledge::policy::Run{arrival->id});
    }
};
struct RecordingResponder final : request::Responder, request::ConnectionSettingsSink {
    std::vector<request::ResponseStatus> statuses;
    void respond(std::uint64_t, const request::Response& response) override {
        statuses.push_back(response.status);
    }
    void set_idle_timeout(Duration) override {}
};

TEST_CASE("UpstreamExecutor: none of 10,000 unsafe calls runs twice if connections are reset at any point") {
    TestLoop loop;
    std::vector<std::unique_ptr<ScriptedHost>> hosts;
    std::vector<config::Upstream> servers;
    for (int i = 0; i < 3; ++i) {
        hosts.push_back(std::make_unique<ScriptedHost>(loop));
        config::Upstream server;
        server.name = "tiles-" + std::to_string(i);
        server.address = "127.0.0.1:" + std::to_string(hosts.back()->port);
        server.protocol = "http";
        servers.push_back(server);
    }
    connection_admission::DescriptorDemand demand;
    demand.upstream = 100;
    connection_admission::FileDescriptorBudget descriptors(
        connection_admission::plan_descriptors(1'000, 0, demand, 100));
    request::RequestManager manager(test_settings(), std::make_unique<RunEverythingController>(), loop.loop,
                                    loop.timers);
    upstream::NullRecordsClient records;
    RecordingResponder responder;
    upstream::UpstreamExecutor executor(loop.loop, loop.timers, manager, loop.loop, descriptors,
                                        config::RoutingConfig{}, 7);
    executor.set_servers(servers);
    manager.attach(executor, records, responder);
    manager.start(wall_clock_now());
    std::mt19937 random(9);
    static const ScriptedReply replies[] = {{ReplyKind::complete, 200, ""},
                                            {ReplyKind::reset_on_accept, 0, ""},
                                            {ReplyKind::reset_during_request, 0, ""},
                                            {ReplyKind::reset_after_request, 0, ""},
                                            {ReplyKind::reset_during_response, 200, ""},
                                            {ReplyKind::status, 503, "Retry-After: 0\r\n"},
                                            {ReplyKind::status, 500, ""}};
    int repeated_requests = 0;
    for (int i = 0; i < 10'000; ++i) {
        const ScriptedReply reply = replies[random() % 7];
        for (auto& host : hosts)
            host->next_reply = reply;
        if (i % 100 == 50)
            hosts[0]->listener->close();  // refused connections: the next host is called
        if (i % 100 == 60)
            hosts[0]->listen(loop);
        request::IncomingRequest request;
        request.external_id = std::to_string(i);
        request.class_index = 2;
        request.reserved_kb = 1.0;
        request.accepted_at = wall_clock_now();
        request.body = std::to_string(i) + '.';
        manager.submit(request, responder, 1);
        loop.run_until([&] { return responder.statuses.size() == static_cast<std::size_t>(i) + 1; });
        if (reply.kind == ReplyKind::complete)
            REQUIRE(responder.statuses.back() == request::ResponseStatus::served);
        if (reply.kind != ReplyKind::complete)
            REQUIRE(responder.statuses.back() == request::ResponseStatus::failed);
    }
    std::map<std::string, int> requests_by_body;
    std::uint64_t connections = 0;
    for (const auto& host : hosts) {
        connections += static_cast<std::uint64_t>(host->accepted_connections);
        for (const auto& [body, count] : host->requests_by_body) {
            requests_by_body[body] += count;
            repeated_requests += count > 1 ? 1 : 0;
        }
    }
    for (const auto& [body, count] : requests_by_body)
        REQUIRE(count == 1);
    CHECK(repeated_requests == 0);
    CHECK(requests_by_body.size() > 6'000);
    // Each call establishes exactly one connection.
    CHECK(connections == 10'000);
    CHECK(executor.counters().attempts >= 10'000);
    CHECK(executor.counters().retries == 0);
    CHECK(executor.counters().hedges == 0);
}

TEST_CASE(
    "UpstreamExecutor: safe calls are retried on other hosts within the retry budget, on pooled "
    "connections") {
    UpstreamFixture fixture(3);
    fixture.start();
    fixture.hosts[1]->next_reply = {ReplyKind::reset_during_response, 200, ""};
    fixture.hosts[2]->next_reply = {ReplyKind::status, 500, ""};
    for (int i = 0; i < 40; ++i)
        fixture.post("route-profile", std::to_string(i) + '.');
    const auto& counters = fixture.gateway->executor().counters();
    CHECK(counters.retries > 0);
    CHECK(counters.retries <= 40 * 0.1 + 5);
    CHECK(counters.attempts == counters.requests + counters.retries);
    CHECK(fixture.hosts[0]->reused_connections > 5);
    // The hosts close their idle connections: the next call finds its connection stale and is sent on a new one.
    for (auto& host : fixture.hosts) {
        host->next_reply = {};
        for (auto& connection : host->connections)
            connection->hang_up();
    }
    CHECK(fixture.post("route-profile", "stale.") == "200");
    // Once the retry budget is exhausted, failed calls are answered without a retry.
    for (auto& host : fixture.hosts)
        host->next_reply = {ReplyKind::status, 500, ""};
    for (int i = 0; i < 60; ++i)
        CHECK(fixture.post("trail-sheet", "f" + std::to_string(i) + '.') != "200");
    CHECK(counters.retry_budget_exhausted + counters.retries > 0);
    CHECK(counters.attempts <= counters.requests * 11 / 10 + 6);
    fixture.gateway->log_report();
    CHECK(take_log().find(" reused_connections=") != std::string::npos);
}

TEST_CASE(
    "UpstreamExecutor: Retry-After deprioritizes a host, and an unresponsive host uses only part of a "
    "deadline") {
    UpstreamFixture fixture(2);
    // Class 1 is route-profile; an attempt gets half of the deadline.
    fixture.config.policy_settings.classes[1].answer_deadline = Duration(800'000);
    fixture.config.policy_settings.classes[1].latency_objective = Duration(700'000);
    fixture.start();
    fixture.hosts[0]->next_reply = {ReplyKind::status, 503, "Retry-After: 60\r\n"};
    for (int i = 0; i < 30; ++i)
        CHECK(fixture.post("route-profile", std::to_string(i) + '.') == "200");
    CHECK(fixture.hosts[0]->requests_by_body.size() <= 1);
    UpstreamFixture unresponsive(2);
    unresponsive.config.policy_settings.classes[1] = fixture.config.policy_settings.classes[1];
    unresponsive.start();
    unresponsive.hosts[0]->next_reply = {ReplyKind::no_response, 0, ""};
    for (int i = 0; i < 6; ++i)
        CHECK(unresponsive.post("route-profile", std::to_string(i) + '.') == "200");
}

TEST_CASE(
    "UpstreamExecutor: probe-pool prefers idle hosts, but not after malformed load reports or failures") {
    UpstreamFixture fixture(4);
    fixture.config.routing.policy = BalancingPolicy::probe_pool;
    for (auto& host : fixture.hosts)
        host->load_report = "TEXT named_metrics.in_flight=6, named_metrics.capacity=8";
    fixture.hosts[2]->load_report = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    fixture.start();
    int sent_calls = 0;
    const auto count_calls_to_host_2 = [&](int calls) {
        const int before = static_cast<int>(fixture.hosts[2]->requests_by_body.size());
        for (int i = 0; i < calls; ++i)
            fixture.post("trail-sheet", "b" + std::to_string(++sent_calls) + '.');
        return static_cast<int>(fixture.hosts[2]->requests_by_body.size()) - before;
    };
    count_calls_to_host_2(10);  // until load reports have been received
    CHECK(count_calls_to_host_2(60) >= 40);
    CHECK(fixture.gateway->executor().counters().load_probes >= 100);
    CHECK(fixture.gateway->executor().counters().load_reports >= 100);
    int probes = 0;
    int connections = 0;
    for (const auto& host : fixture.hosts) {
        probes += host->probes;
        connections += host->accepted_connections;
    }
    CHECK(probes >= 100);
    CHECK(connections <= 40);  // probes and calls share idle connections
    fixture.hosts[2]->load_report = "TEXT named_metrics.in_flight=-5, named_metrics.capacity=0";
    count_calls_to_host_2(10);
    CHECK(fixture.gateway->executor().counters().malformed_load_reports > 0);
    CHECK(count_calls_to_host_2(60) <= 30);
    fixture.hosts[2]->load_report = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    fixture.hosts[2]->next_reply = {ReplyKind::status, 500, ""};
    count_calls_to_host_2(20);
    CHECK(count_calls_to_host_2(60) <= 10);
}

TEST_CASE(
    "UpstreamExecutor: probe-first calls the least loaded host and does not wait for an unresponsive one") {
    UpstreamFixture fixture(5);
    fixture.config.routing.policy = BalancingPolicy::probe_first;
    fixture.config.routing.probing.probes_per_call = 4.0;
    fixture.config.routing.probe_timeout = ms(200);
    for (auto& host : fixture.hosts)
        host->load_report = "TEXT named_metrics.in_flight=6, named_metrics.capacity=8";
    fixture.hosts[2]->load_report = "TEXT named_metrics.in_flight=1, named_metrics.capacity=8";
    fixture.hosts[4]->ignores_probes = true;
    fixture.start();
    for (int i = 0; i < 40; ++i)
        CHECK(fixture.post(i % 4 == 0 ? "map-order" : "trail-sheet", "b" + std::to_string(i) + '.') == "200");
    CHECK(fixture.hosts[2]->requests_by_body.size() >= 25);  // whenever host 2 was among the probed hosts
    CHECK(fixture.hosts[4]->requests_by_body.size() <= 2);
    CHECK(fixture.request_count() == 40);
    // Without load reports, the host is picked by two choices.
    for (auto& host : fixture.hosts)
        host->load_report.clear();
    fixture.hosts[4]->ignores_probes = false;
    for (int i = 40; i < 60; ++i)
        CHECK(fixture.post("trail-sheet", "b" + std::to_string(i) + '.') == "200");
    CHECK(fixture.request_count() == 60);
}

TEST_CASE("UpstreamExecutor: requests with the same lookup key go to one host if affinity is enabled") {
    UpstreamFixture fixture(4);
    fixture.config.routing.key_affinity_enabled = true;
    fixture.start();
    for (int key = 0; key < 8; ++key) {
        std::size_t before[4];
        std::size_t hosts_called = 0;
        for (std::size_t host_index = 0; host_index < 4; ++host_index)
            before[host_index] = fixture.hosts[host_index]->requests_by_body.size();
        for (int i = 0; i < 5; ++i)
            CHECK(fixture.post("route-profile", std::to_string(key * 10 + i) + '.',
                               "Lookup-Key: 000000000000000" + std::to_string(key) + "\r\n") == "200");
        for (std::size_t host_index = 0; host_index < 4; ++host_index)
            hosts_called += fixture.hosts[host_index]->requests_by_body.size() != before[host_index] ? 1 : 0;
        CHECK(hosts_called == 1);
    }
}

TEST_CASE("UpstreamExecutor: only safe calls are hedged, within the retry budget") {
    UpstreamFixture fixture(2);
    fixture.config.routing.hedging_enabled = true;
    fixture.start();
    for (int i = 0; i < 80; ++i)
        CHECK(fixture.post("route-profile", std::to_string(i) + '.') == "200");
    ScriptedHost& preferred_host =
        *fixture.hosts[fixture.hosts[0]->requests_by_body.size() > fixture.hosts[1]->requests_by_body.size()
                           ? 0
                           : 1];
    preferred_host.next_reply = {ReplyKind::no_response, 0, ""};
    for (int i = 0; i < 6; ++i)
        CHECK(fixture.post("route-profile", "h" + std::to_string(i) + '.') == "200");
    const auto hedges = fixture.gateway->executor().counters().hedges;
    CHECK(hedges > 0);
    CHECK(hedges <= 13);
    preferred_host.next_reply = {};
    fixture.post("map-order", "one.");
    CHECK(fixture.hosts[0]->requests_by_body["one."] + fixture.hosts[1]->requests_by_body["one."] == 1);
}

}  // namespace
