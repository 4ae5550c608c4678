// Calls to upstream hosts on sockets: retries, hedging, load reports and affinity against hosts that misbehave.
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

/// The program's own controller would reject requests while the hosts fail.
struct RunEverythingController final : cressledge::policy::AdmissionController {
    void handle(Timestamp, const cressledge::policy::Event& event,
                std::vector<cressledge::policy::Action>& actions) override {
        if (const auto* r = std::get_if<cressledge::policy::RequestArrived>(&event))
            actions.push_back(cressledge::policy::Run{r->id});
    }
};
struct RecordingResponder final : request::Responder, request::ConnectionSettingsSink {
    std::vector<request::ResponseStatus> statuses;
    void respond(std::uint64_t, const request::Response& a) override { statuses.push_back(a.status); }
    void set_idle_timeout(Duration) override {}
};

TEST_CASE("UpstreamExecutor: of 10,000 unsafe calls reset at every point of the exchange none runs twice") {
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
    static const ScriptedReply replies[] = {
        {ReplyKind::complete, 200, ""},        {ReplyKind::reset_at_once, 0, ""},
        {ReplyKind::reset_in_request, 0, ""},  {ReplyKind::reset_after_request, 0, ""},
        {ReplyKind::reset_in_answer, 200, ""}, {ReplyKind::status, 503, "Retry-After: 0\r\n"},
        {ReplyKind::status, 500, ""}};
    int repeated_requests = 0;
    for (int i = 0; i < 10'000; ++i) {
        const ScriptedReply reply = replies[random() % 7];
        for (auto& host : hosts)
            host->next_reply = reply;
        if (i % 100 == 50)
            hosts[0]->listener->close();  // connections are refused: the next host is called
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
        for (const auto& [body, n] : host->requests_by_body) {
            requests_by_body[body] += n;
            repeated_requests += n > 1 ? 1 : 0;
        }
    }
    for (const auto& [body, n] : requests_by_body)
        REQUIRE(n == 1);
    CHECK(repeated_requests == 0);
    CHECK(requests_by_body.size() > 6'000);
    // One for each call, and never a second once one was established.
    CHECK(connections == 10'000);
    CHECK(executor.counters().attempts >= 10'000);
    CHECK(executor.counters().retries == 0);
    CHECK(executor.counters().hedges == 0);
}

TEST_CASE(
    "UpstreamExecutor: safe calls are retried on other hosts within the budget, on pooled connections") {
    UpstreamFixture fixture(3);
    fixture.start();
    fixture.hosts[1]->next_reply = {ReplyKind::reset_in_answer, 200, ""};
    fixture.hosts[2]->next_reply = {ReplyKind::status, 500, ""};
    for (int i = 0; i < 40; ++i)
        fixture.post("route-profile", std::to_string(i) + '.');
    const auto& counters = fixture.gateway->executor().counters();
    CHECK(counters.retries > 0);
    CHECK(counters.retries <= 40 * 0.1 + 5);
    CHECK(counters.attempts == counters.requests + counters.retries);
    CHECK(fixture.hosts[0]->reused_connections > 5);
    // The host closes its idle connections: the next call finds that out, and is made on a new one.
    for (auto& host : fixture.hosts) {
        host->next_reply = {};
        for (auto& connection : host->connections)
            connection->hang_up();
    }
    CHECK(fixture.post("route-profile", "stale.") == "200");
    // With the budget exhausted, failures are answered at once.
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
    "UpstreamExecutor: Retry-After keeps calls away, and a host that hangs costs part of a request's time") {
    UpstreamFixture fixture(2);
    // Of route-profile: an attempt gets half of it.
    fixture.config.policy_settings.classes[1].answer_deadline = Duration(800'000);
    fixture.config.policy_settings.classes[1].latency_objective = Duration(700'000);
    fixture.start();
    fixture.hosts[0]->next_reply = {ReplyKind::status, 503, "Retry-After: 60\r\n"};
    for (int i = 0; i < 30; ++i)
        CHECK(fixture.post("route-profile", std::to_string(i) + '.') == "200");
    CHECK(fixture.hosts[0]->requests_by_body.size() <= 1);
    UpstreamFixture hanging(2);
    hanging.config.policy_settings.classes[1] = fixture.config.policy_settings.classes[1];
    hanging.start();
    hanging.hosts[0]->next_reply = {ReplyKind::none, 0, ""};
    for (int i = 0; i < 6; ++i)
        CHECK(hanging.post("route-profile", std::to_string(i) + '.') == "200");
}

TEST_CASE(
    "UpstreamExecutor: probe-pool sends calls to idle hosts; malformed reports and failures draw none") {
    UpstreamFixture fixture(4);
    fixture.config.routing.policy = BalancingPolicy::probe_pool;
    for (auto& host : fixture.hosts)
        host->load_report = "TEXT named_metrics.in_flight=6, named_metrics.capacity=8";
    fixture.hosts[2]->load_report = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    fixture.start();
    int sent = 0;
    const auto count_served = [&](int calls) {
        const int before = static_cast<int>(fixture.hosts[2]->requests_by_body.size());
        for (int i = 0; i < calls; ++i)
            fixture.post("trail-sheet", "b" + std::to_string(++sent) + '.');
        return static_cast<int>(fixture.hosts[2]->requests_by_body.size()) - before;
    };
    count_served(10);  // until some reports have come
    CHECK(count_served(60) >= 40);
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
    count_served(10);
    CHECK(fixture.gateway->executor().counters().malformed_load_reports > 0);
    CHECK(count_served(60) <= 30);
    fixture.hosts[2]->load_report = "TEXT named_metrics.in_flight=0, named_metrics.capacity=8";
    fixture.hosts[2]->next_reply = {ReplyKind::status, 500, ""};
    count_served(20);
    CHECK(count_served(60) <= 10);
}

TEST_CASE(
    "UpstreamExecutor: probe-first sends calls to the least loaded host, and waits for none that hangs") {
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
    CHECK(fixture.hosts[2]->requests_by_body.size() >= 25);  // whenever it was among the hosts probed
    CHECK(fixture.hosts[4]->requests_by_body.size() <= 2);
    CHECK(fixture.request_count() == 40);
    // Without load reports the calls are made all the same, by two choices.
    for (auto& host : fixture.hosts)
        host->load_report.clear();
    fixture.hosts[4]->ignores_probes = false;
    for (int i = 40; i < 60; ++i)
        CHECK(fixture.post("trail-sheet", "b" + std::to_string(i) + '.') == "200");
    CHECK(fixture.request_count() == 60);
}

TEST_CASE("UpstreamExecutor: requests of one key go to one host where affinity is on") {
    UpstreamFixture fixture(4);
    fixture.config.routing.key_affinity_enabled = true;
    fixture.start();
    for (int key = 0; key < 8; ++key) {
        std::size_t before[4];
        std::size_t hosts_called = 0;
        for (std::size_t h = 0; h < 4; ++h)
            before[h] = fixture.hosts[h]->requests_by_body.size();
        for (int i = 0; i < 5; ++i)
            CHECK(fixture.post("route-profile", std::to_string(key * 10 + i) + '.',
                               "Lookup-Key: 000000000000000" + std::to_string(key) + "\r\n") == "200");
        for (std::size_t h = 0; h < 4; ++h)
            hosts_called += fixture.hosts[h]->requests_by_body.size() != before[h] ? 1 : 0;
        CHECK(hosts_called == 1);
    }
}

TEST_CASE("UpstreamExecutor: only safe calls are hedged, within the budget") {
    UpstreamFixture fixture(2);
    fixture.config.routing.hedging_enabled = true;
    fixture.start();
    for (int i = 0; i < 80; ++i)
        CHECK(fixture.post("route-profile", std::to_string(i) + '.') == "200");
    ScriptedHost& busy =
        *fixture.hosts[fixture.hosts[0]->requests_by_body.size() > fixture.hosts[1]->requests_by_body.size()
                           ? 0
                           : 1];
    busy.next_reply = {ReplyKind::none, 0, ""};
    for (int i = 0; i < 6; ++i)
        CHECK(fixture.post("route-profile", "h" + std::to_string(i) + '.') == "200");
    const auto hedges = fixture.gateway->executor().counters().hedges;
    CHECK(hedges > 0);
    CHECK(hedges <= 13);
    busy.next_reply = {};
    fixture.post("map-order", "one.");
    CHECK(fixture.hosts[0]->requests_by_body["one."] + fixture.hosts[1]->requests_by_body["one."] == 1);
}

}  // namespace
