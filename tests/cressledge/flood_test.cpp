// Floods of connections on sockets: many from one address beside a listed caller on another, and many addresses at once.
#include "gateway_fixture.hpp"

namespace {

using namespace cressledge::testing;

enum class FloodPattern { silent, byte_by_byte, valid_requests, reset_midway };

/// Many connections from one address, or from two for valid requests, beside one listed caller whose requests come one
/// after the other.
class Flood {
public:
    explicit Flood(FloodPattern pattern) : pattern_(pattern) {
        take_log();  // what earlier tests have logged says nothing of this one
        fixture_.add_listed_group("127.0.0.2");
        fixture_.config.admission.unlisted_source_limits = {48, 4, 2'000.0, 200.0};
        fixture_.config.admission.dynamic_threshold_factor = 1.0;
        fixture_.start();
        port_ = fixture_.gateway->scgi_port();
    }

    void run() {
        while (opened_ < connection_total || !clients_.empty() || listed_) {
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

    // Rejections by address are exactly those that the clients saw.
    void check_counts() {
        const auto rows = fixture_.limiter().top_rejected_sources(10);
        const auto& counts = fixture_.gateway->request_manager().counts();
        // None of them is the admission controller's.
        CHECK(counts.rejected == counts.rejected_before_admission);
        REQUIRE(rows.size() == 2);
        for (const auto& row : rows) {
            INFO(row.source);
            CHECK(row.total_rejections > 100);
            CHECK(row.total_rejections + row.evicted_connections ==
                  closed_[row.source] + rejected_[row.source]);
        }
        CHECK(rejected_["127.0.0.9"] + rejected_["127.0.0.10"] == counts.rejected);
        CHECK(served_["127.0.0.9"] + served_["127.0.0.10"] + static_cast<std::uint64_t>(listed_requests_) ==
              counts.served);
    }

    void check_report() {
        fixture_.gateway->log_report();
        const std::string log = take_log();
        CHECK(log.find("admission: report source=127.0.0.9 ") != std::string::npos);
        CHECK(log.find("admission: report group=front-ends ") != std::string::npos);
        // Bounded, whatever came.
        CHECK(std::count(log.begin(), log.end(), '\n') < 60);
    }

private:
    using CountsBySource = std::map<std::string, std::uint64_t>;
    static constexpr int connection_total = 5'000;
    static constexpr int max_opened_per_turn = 32;
    static constexpr std::size_t max_open_clients = 400;
    /// Connections for each request of the listed caller: the result does not depend on the machine's speed.
    static constexpr int connections_per_listed_request = 125;

    void open_clients() {
        const int limit = std::min(connection_total, listed_requests_ * connections_per_listed_request);
        for (int i = 0; i < max_opened_per_turn; ++i) {
            if (opened_ >= limit || clients_.size() >= max_open_clients)
                return;
            // A second address, to be counted apart.
            const bool is_other = pattern_ == FloodPattern::valid_requests && opened_ % 4 == 0;
            clients_.emplace_back(is_other ? "127.0.0.10" : "127.0.0.9", port_);
            if (pattern_ != FloodPattern::silent)
                clients_.back().unsent = scgi_request("trail-sheet", "body-" + std::to_string(opened_) + '.');
            ++opened_;
        }
    }

    void open_listed_client() {
        if (listed_ || opened_ >= connection_total)
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
        INFO(listed_->received << " request " << listed_requests_ << " after " << opened_ << " of the flood");
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
        // The clients that are still open would be waited for until their timeouts.
        if (opened_ == connection_total && pattern_ != FloodPattern::valid_requests)
            clients_.clear();
        std::erase_if(clients_, [](const BoundClient& client) { return !client.is_open; });
    }

    const FloodPattern pattern_;
    GatewayFixture fixture_;
    int port_ = 0;
    std::vector<BoundClient> clients_;
    std::unique_ptr<BoundClient> listed_;
    /// Connections by how they ended.
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
    std::vector<BoundClient> all;
    for (int i = 0; i < 3'000; ++i) {
        const std::string from = "127." + std::to_string(8 + i / 250) + ".0." + std::to_string(1 + i % 250);
        all.emplace_back(from, fixture.gateway->scgi_port());
        all.back().unsent = scgi_request("trail-sheet", "");  // never complete
        all.back().unsent.pop_back();
        fixture.test_loop.loop.run_once(false);
        if (i % 250 != 249)
            continue;
        BoundClient listed("127.0.0.2", fixture.gateway->scgi_port());
        listed.unsent = scgi_request("route-profile", "body-" + std::to_string(i) + '.');
        fixture.run_until_closed(listed);
        CHECK(listed.status() == 200);
        for (BoundClient& client : all)
            client.step(1'000);
        std::erase_if(all, [](const BoundClient& client) { return !client.is_open; });
    }
    fixture.limiter().check_invariants();
}

TEST_CASE("frontend: a rejected connection gets Retry-After advice over either protocol") {
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
