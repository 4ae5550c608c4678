// Tests of idempotency keys on both frontends: a request that must run once within a window is identified by its key,
// up to and including the end of the window given in the settings.
#include "frontend_fixture.hpp"

namespace {

using namespace cressledge::testing;
using cressledge::policy::Idempotency;

constexpr Duration default_window(900'000);
constexpr Duration stop_delay(3'000'000);

// Requests of class 2 must run once within the window. This depends on the settings only, not on the name of the class.
policy::Settings settings_with_keys() {
    policy::Settings settings = test_settings();
    settings.classes[2].idempotency = Idempotency::with_key;
    settings.classes[2].idempotency_window = default_window;
    settings.tenants = {{"north", 1.0}, {"south", 1.0}};
    return settings;
}

struct IdempotencyFixture : FrontendFixture {
    explicit IdempotencyFixture(Protocol protocol_under_test,
                                const policy::Settings& settings = settings_with_keys())
        : FrontendFixture(protocol_under_test, {}, 64, stop_delay, settings) {}

    std::unique_ptr<RawClient> send_request(const std::string& key, const std::string& body,
                                            Timestamp accepted_at = wall_clock_now()) {
        auto client = open_idle_connection();
        const std::string accepted_at_ms = std::to_string(accepted_at.count() / 1000);
        client->send(request("map-order", body, {{"Replay-Key", key}, {"Accepted-At-Ms", accepted_at_ms}}));
        return client;
    }
    void expect_response(RawClient& client, const std::string& expected_text) {
        test_loop.run_until([&] { return client.has_received("\r\n\r\n"); });
        INFO(client.received);
        CHECK(client.has_received(expected_text));
    }
};

}  // namespace

TEST_CASE("idempotency: a repeat with the same key never runs, and both get the same result") {
    for (const Protocol protocol : all_protocols) {
        IdempotencyFixture fixture(protocol);
        auto first = fixture.send_request("c2b3952039f261d01566c845da2b2120", "seat 4");
        auto second = fixture.send_request("c2b3952039f261d01566c845da2b2120", "seat 4");
        auto other = fixture.send_request("ec1d03b2abc0f9b9864398b590adca78", "seat 4");
        fixture.test_loop.run_until([&] { return fixture.requests_read() == 3; });
        CHECK(fixture.running_ids.size() == 2);
        fixture.finish_all();
        for (RawClient* client : {first.get(), second.get(), other.get()})
            fixture.expect_response(*client, "a whole map");
        // The run has ended, but the window has not.
        auto third = fixture.send_request("c2b3952039f261d01566c845da2b2120", "seat 4");
        fixture.expect_response(*third, "a whole map");
        CHECK(fixture.running_ids.empty());
        CHECK(fixture.request_manager.counts().runs_started == 2);
    }
}

TEST_CASE("idempotency: a key used for another payload is rejected as malformed, counted, and never runs") {
    for (const Protocol protocol : all_protocols) {
        IdempotencyFixture fixture(protocol);
        auto first = fixture.send_request("k1", "seat 4");
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        auto while_open = fixture.send_request("k1", "seat 5");
        fixture.expect_response(*while_open, " 400 ");
        fixture.finish_all();
        fixture.expect_response(*first, "a whole map");
        auto after_end = fixture.send_request("k1", "seat 5");
        fixture.expect_response(*after_end, " 400 ");
        CHECK(fixture.request_manager.counts().runs_started == 1);
        CHECK(fixture.request_manager.counts().failed == 2);
        CHECK(fixture.request_manager.counts_by_class().at("map-order").failed == 2);
    }
}

TEST_CASE("idempotency: a request accepted at the end of the window is a repeat, no matter when it is read") {
    for (const Protocol protocol : all_protocols) {
        IdempotencyFixture fixture(protocol);
        // All requests are read after the window, but the time of acceptance counts. The wire has whole milliseconds.
        const Timestamp first_accepted_at =
            Timestamp(wall_clock_now().count() / 1000 * 1000) - Duration(1'000'000);
        auto first = fixture.send_request("k1", "seat 4", first_accepted_at);
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        fixture.finish_all();
        fixture.expect_response(*first, "a whole map");
        auto in_time = fixture.open_idle_connection();
        auto late = fixture.open_idle_connection();
        const auto ms_after_first = [&](Duration offset) {
            return std::to_string((first_accepted_at + offset).count() / 1000);
        };
        in_time->send(
            fixture.request("map-order", "seat 4",
                            {{"Replay-Key", "k1"}, {"Accepted-At-Ms", ms_after_first(Duration(900'000))}}));
        fixture.test_loop.timers.run_due(wall_clock_now());
        fixture.expect_response(*in_time, "a whole map");
        CHECK(fixture.running_ids.empty());
        late->send(
            fixture.request("map-order", "seat 4",
                            {{"Replay-Key", "k1"}, {"Accepted-At-Ms", ms_after_first(Duration(901'000))}}));
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        fixture.finish_all();
        fixture.expect_response(*late, "a whole map");
        CHECK(fixture.request_manager.counts().runs_started == 2);
    }
}

TEST_CASE("idempotency: a repeat after a reload shares the run of the previous settings generation") {
    for (const Protocol protocol : all_protocols) {
        IdempotencyFixture fixture(protocol);
        auto first = fixture.send_request("k1", "seat 4");
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        policy::Settings settings = settings_with_keys();
        settings.classes[0].priority_weight = 9.0;
        fixture.request_manager.reconfigure(settings, std::make_unique<RunAllController>(settings));
        auto second = fixture.send_request("k1", "seat 4");
        fixture.test_loop.run_until([&] { return fixture.requests_read() == 2; });
        CHECK(fixture.running_ids.size() == 1);
        fixture.finish_all();
        fixture.expect_response(*first, "a whole map");
        fixture.expect_response(*second, "a whole map");
    }
}

TEST_CASE("idempotency: the settings determine which classes use keys, and keys are separate per class") {
    for (const Protocol protocol : all_protocols) {
        IdempotencyFixture fixture(protocol, [] {
            policy::Settings settings = settings_with_keys();
            settings.classes[2].idempotency = Idempotency::never;
            settings.classes[0].idempotency = Idempotency::with_key;
            settings.classes[0].idempotency_window = Duration(900'000);
            return settings;
        }());
        auto first = fixture.send_request("k1", "seat 4");
        auto second = fixture.send_request("k1", "seat 4");
        fixture.test_loop.run_until([&] { return fixture.requests_read() == 2; });
        // A class that does not use keys ignores the key.
        CHECK(fixture.running_ids.size() == 2);
        auto owner = fixture.open_idle_connection();
        auto repeat = fixture.open_idle_connection();
        for (RawClient* client : {owner.get(), repeat.get()})
            client->send(fixture.request("trail-sheet", "x", {{"Replay-Key", "k1"}}));
        fixture.test_loop.run_until([&] { return fixture.requests_read() == 4; });
        CHECK(fixture.running_ids.size() == 3);
        fixture.finish_all();
        fixture.expect_response(*repeat, "a whole map");
    }
}

TEST_CASE(
    "request fields: tenant, max wait and retry mark reach the controller, and malformed ones get 400") {
    for (const Protocol protocol : all_protocols) {
        IdempotencyFixture fixture(protocol);
        const Timestamp sent_accepted_at = Timestamp(wall_clock_now().count() / 1000 * 1000);
        const std::string sent_accepted_at_ms = std::to_string(sent_accepted_at.count() / 1000);
        auto client = fixture.open_idle_connection();
        client->send(fixture.request("trail-sheet", "x",
                                     {{"Accepted-At-Ms", sent_accepted_at_ms},
                                      {"Project", "south"},
                                      {"Max-Wait-Ms", "700"},
                                      {"Is-Retry", "1"}}));
        fixture.test_loop.run_until([&] { return fixture.running_ids.size() == 1; });
        REQUIRE(fixture.controller->last_request);
        CHECK(fixture.controller->last_request->tenant_index == 1);
        CHECK(fixture.controller->last_request->is_retry);
        REQUIRE(fixture.controller->last_request->caller_deadline);
        CHECK(*fixture.controller->last_request->caller_deadline == sent_accepted_at + Duration(700'000));
        fixture.finish_all();
        using Field = std::pair<std::string, std::string>;
        // Keeps each connection open until all malformed requests have been answered.
        std::vector<std::unique_ptr<RawClient>> clients;
        for (const Field& malformed_field :
             {Field{"Max-Wait-Ms", "soon"}, Field{"Max-Wait-Ms", "-1"}, Field{"Is-Retry", "perhaps"},
              Field{"Replay-Key", "a key"}, Field{"Replay-Key", std::string(129, 'k')}}) {
            clients.push_back(fixture.open_idle_connection());
            clients.back()->send(fixture.request("map-order", "x", {malformed_field}));
            fixture.expect_response(*clients.back(), " 400 ");
        }
        CHECK(fixture.running_ids.empty());
    }
}
