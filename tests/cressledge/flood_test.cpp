// Connection floods over real sockets, from one address or from many, while a listed caller sends requests.
#include "gateway_fixture.hpp"

namespace {

using namespace cressledge::testing;

enum class FloodPattern { silent, byte_by_byte, valid_requests, reset_midway };

/// Opens many connections from one address (two for valid requests) while a listed caller sends requests one
/// at a time.
class Flood {
public:
    explicit Flood(FloodPattern pattern) : pattern_(pattern) {
        take_log();  // discards the log lines of earlier tests
        fixture_.add_listed_group("127.0.0.2");
        fixture_.config.admission.unlisted_source_limits = {48, 4, 2'000.0, 200.0};
        fixture_.config.admission.dynamic_threshold_factor = 1.0;
        fixture_.start();
        port_ = fixture_.gateway->scgi_port();
    }

    /// Runs the flood; every request of the listed caller must be answered with 200.
    void run() {
        while (opened_ < total_connections || !clients_.empty() || listed_) {
            open_clients();
            open_listed_client();
            fixture_.test_loop.loop.run_once(false);
            step_listed_client();
            step_clients();
        }
        CHECK(listed_requests_ >= 40);
        CHECK(listed_responses_ == listed_requests_);
        fixture_.limiter().check_invariants();
    }

    /// Checks that the rejection counts by address match the outcomes that the clients observed.
    void check_counts() {
        const auto reports = fixture_.limiter().top_rejected_sources(10);
        const auto& counts = fixture_.gateway->request_manager().counts();
        // The admission controller rejected none of them.
        CHECK(counts.rejected == counts.rejected_before_admission);
        REQUIRE(reports.size() == 2);
        for (const auto& report : reports) {
            INFO(report.source);
            CHECK(report.total_rejections > 100);
            CHECK(report.total_rejections + report.evicted_connections ==
                  closed_[report.source] + rejected_[report.source]);
        }
        CHECK(rejected_["127.0.0.9"] + rejected_["127.0.0.10"] == counts.rejected);
        CHECK(served_["127.0.0.9"] + served_["127.0.0.10"] + static_cast<std::uint64_t>(listed_requests_) ==
              counts.served);
    }

    /// Checks that the log report names the source and the group, and that it is bounded.
    void check_report() {
        fixture_.gateway->log_report();
        const std::string log = take_log();
        CHECK(log.find("admission: report source=127.0.0.9 ") != std::string::npos);
        CHECK(log.find("admission: report group=front-ends ") != std::string::npos);
        // The report is bounded regardless of the size of the flood.
        CHECK(std::count(log.begin(), log.end(), '\n') < 60);
    }

private:
    using CountsBySource = std::map<std::string, std::uint64_t>;
    static constexpr int total_connections = 5'000;
    static constexpr int max_opened_per_iteration = 32;
    static constexpr std::size_t max_open_clients = 400;
    /// Flood connections per request of the listed caller. A fixed ratio makes the result independent of the
    /// machine's speed.
    static constexpr int connections_per_listed_request = 125;

    void open_clients() {
        const int limit = std::min(total_connections, listed_requests_ * connections_per_listed_request);
        for (int i = 0; i < max_opened_per_iteration; ++i) {
            if (opened_ >= limit || clients_.size() >= max_open_clients)
                return;
            // A second address, whose rejections are counted separately.
            const bool uses_second_address = pattern_ == FloodPattern::valid_requests && opened_ % 4 == 0;
            clients_.emplace_back(uses_second_address ? "127.0.0.10" : "127.0.0.9", port_);
            if (pattern_ != FloodPattern::silent)
                clients_.back().unsent = scgi_request("trail-sheet", "body-" + std::to_string(opened_) + '.');
            ++opened_;
        }
    }

    void open_listed_client() {
        if (listed_ || opened_ >= total_connections)
            return;
        listed_ = std::make_unique<BoundClient>("127.0.0.2", port_);
        listed_->unsent = scgi_request("route-profile", "body-L" + std::to_string(listed_requests_++) + '.');
    }

    void step_listed_client() {
        if (!listed_)
            return;
        listed_->step(1'000);
        if (listed_->is_open)
            return;
        INFO(listed_->received << " request " << listed_requests_ << " after " << opened_
                               << " flood connections");
        REQUIRE(listed_->status() == 200);
        ++listed_responses_;
        listed_.reset();
    }

    std::size_t bytes_per_step() const {
        switch (pattern_) {
            case FloodPattern::byte_by_byte:
                return 1;
            case FloodPattern::reset_midway:
                return 50;
            case FloodPattern::silent:
            case FloodPattern::valid_requests:
                break;
        }
        return 1'000;
    }

    CountsBySource& counts_of(int status) {
        if (status == 200)
            return served_;
        return status == 503 ? rejected_ : closed_;
    }

    void step_clients() {
        for (BoundClient& client : clients_) {
            if (pattern_ == FloodPattern::reset_midway && client.unsent.size() < 40) {
                client.hang_up(true);
                client.is_open = false;
            }
            client.step(bytes_per_step());
            if (!client.is_open)
                ++counts_of(client.status())[client.source_address()];
        }
        // Otherwise the test would wait for the timeouts of the clients that are still open.
        if (opened_ == total_connections && pattern_ != FloodPattern::valid_requests)
            clients_.clear();
        std::erase_if(clients_, [](const BoundClient& client) { return !client.is_open; });
    }

    const FloodPattern pattern_;
    GatewayFixture fixture_;
    int port_ = 0;
    std::vector<BoundClient> clients_;
    std::unique_ptr<BoundClient> listed_;
    /// Connections closed without a response, answered with 503 and answered with 200, by source.
    CountsBySource closed_, rejected_, served_;
    int opened_ = 0;
    int listed_requests_ = 0;
    int listed_responses_ = 0;
};

TEST_CASE("flood: 5,000 silent connections from one address leave a listed caller served throughout") {
    Flood(FloodPattern::silent).run();
}
TEST_CASE("flood: 5,000 connections that send byte by byte leave a listed caller served throughout") {
    Flood(FloodPattern::byte_by_byte).run();
}
TEST_CASE("flood: 5,000 valid requests leave a listed caller served, and rejections are counted by address") {
    Flood flood(FloodPattern::valid_requests);
    flood.run();
    flood.check_counts();
    flood.check_report();
}
TEST_CASE("flood: 5,000 connections that are reset leave a listed caller served throughout") {
    Flood(FloodPattern::reset_midway).run();
}

TEST_CASE("flood: thousands of addresses at once leave a listed caller served") {
    GatewayFixture fixture;
    fixture.add_listed_group("127.0.0.2");
    fixture.config.admission.dynamic_threshold_factor = 1.0;
    fixture.start();
    std::vector<BoundClient> clients;
    for (int i = 0; i < 3'000; ++i) {
        const std::string address =
            "127." + std::to_string(8 + i / 250) + ".0." + std::to_string(1 + i % 250);
        clients.emplace_back(address, fixture.gateway->scgi_port());
        clients.back().unsent = scgi_request("trail-sheet", "");  // made incomplete below
        clients.back().unsent.pop_back();
        fixture.test_loop.loop.run_once(false);
        if (i % 250 != 249)
            continue;
        BoundClient listed("127.0.0.2", fixture.gateway->scgi_port());
        listed.unsent = scgi_request("route-profile", "body-" + std::to_string(i) + '.');
        fixture.run_until_closed(listed);
        CHECK(listed.status() == 200);
        for (BoundClient& client : clients)
            client.step(1'000);
        std::erase_if(clients, [](const BoundClient& client) { return !client.is_open; });
    }
    fixture.limiter().check_invariants();
}

TEST_CASE("frontend: a rejected connection gets the retry delay over either protocol") {
    GatewayFixture fixture;
    fixture.config.admission.unlisted_source_limits.max_connections = 1;
    fixture.start();
    for (const bool over_scgi : {true, false}) {
        const int port = over_scgi ? fixture.gateway->scgi_port() : fixture.gateway->http_port();
        BoundClient first("127.0.0.9", port), second("127.0.0.9", port);
        fixture.test_loop.run_until([&] { return fixture.limiter().rejection_slots_in_use() == 1; }, false);
        second.unsent =
            over_scgi ? scgi_request("map-order", "body-1.") : http_request("map-order", "body-1.");
        fixture.run_until_closed(second);
        CHECK(second.status() == 503);
        CHECK(second.received.find("Hold-Off-Ms: 1000\r\n") != std::string::npos);
        CHECK((over_scgi || second.received.find("Connection: close\r\n") != std::string::npos));
        first.hang_up(false);
        fixture.test_loop.run_until([&] { return fixture.limiter().open_connections() == 0; }, false);
    }
    CHECK(fixture.upstream_host.run_counts.empty());
}

}  // namespace
