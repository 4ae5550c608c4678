/// Gossip nodes on the loopback interface: sockets, full exchanges, metrics and the status document.
#include <nlohmann/json.hpp>

#include "admin/admin_server.hpp"
#include "gossip/gossip_node.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

connection_admission::DescriptorPlan descriptor_plan() {
    connection_admission::DescriptorDemand demand;
    demand.gossip = gossip::GossipNode::descriptors_needed * 8;
    return connection_admission::plan_descriptors(2'000, 0, demand, 100);
}

membership::Endpoint loopback_endpoint(int port) {
    return {0x7F000001U, static_cast<std::uint16_t>(port)};
}

/// Gossip nodes in one process. The first node is the seed of all others.
struct GossipFixture {
    TestLoop loop;
    connection_admission::FileDescriptorBudget descriptors{descriptor_plan()};
    std::vector<std::unique_ptr<gossip::GossipNode>> nodes;

    gossip::GossipNode& add(const std::string& id, const std::string& fleet_name = "maps") {
        gossip::Settings settings;
        settings.fleet_name = fleet_name;
        settings.member_id = id;
        settings.listen = loopback_endpoint(0);
        settings.membership.probe_interval = Duration(100'000);
        settings.membership.gossip_interval = Duration(20'000);
        if (!nodes.empty())
            settings.seeds.push_back(nodes[0]->membership().local_member().endpoint);
        nodes.push_back(std::make_unique<gossip::GossipNode>(loop.loop, loop.timers, descriptors, settings,
                                                             nodes.size() + 1));
        return *nodes.back();
    }
    void run_until(const std::function<bool()>& done) {
        loop.run_until([&] { return done(); });
    }
    /// Returns whether exactly `count` nodes run, and each of them sees all of them alive.
    bool have_converged(std::size_t count) {
        std::size_t running = 0;
        for (const auto& node : nodes) {
            if (node == nullptr)
                continue;
            ++running;
            if (node->membership().live_count() + 1 != count || node->membership().suspect_count() != 0)
                return false;
        }
        return running == count;
    }
    /// Returns the value of the metric `fleet.<name>` of a node.
    std::uint64_t metric(gossip::GossipNode& node, const std::string& name) {
        cressledge::base::Metrics metrics;
        node.append_metrics(metrics);
        for (const auto& [metric_name, value] : metrics)
            if (metric_name == "fleet." + name)
                return value;
        FAIL("metric not found: fleet." + name);
        return 0;
    }
};

/// A UDP socket that does not belong to a gossip node.
struct DatagramSender {
    explicit DatagramSender(TestLoop& loop)
        : socket(loop.loop.uv(), loopback_address(0),
                 [this](std::string_view bytes, const net::Address&) { received.emplace_back(bytes); }) {}
    std::vector<std::string> received;
    net::UdpSocket socket;
};

}  // namespace

TEST_CASE(
    "gossip node: nodes on loopback join each other, detect a crash, and receive an announced departure") {
    GossipFixture fixture;
    take_log();
    for (const char* id : {"n1", "n2", "n3", "n4"})
        fixture.add(id);
    fixture.run_until([&] { return fixture.have_converged(4); });
    const auto status = nlohmann::json::parse(fixture.nodes[1]->status_json(false));
    CHECK(status["fleet"] == "maps");
    CHECK(status["self"]["id"] == "n2");
    REQUIRE(status["members"].size() == 3);
    CHECK(status["members"][0]["state"] == "alive");
    CHECK(status["members"][0]["address"] ==
          membership::to_string(fixture.nodes[0]->membership().local_member().endpoint));
    CHECK(status["digest"] == nlohmann::json::parse(fixture.nodes[3]->status_json(true))["digest"]);
    CHECK_FALSE(nlohmann::json::parse(fixture.nodes[3]->status_json(true)).contains("members"));
    fixture.nodes[2].reset();  // ends without announcing its departure
    fixture.run_until([&] { return fixture.have_converged(3); });
    CHECK(fixture.nodes[0]->membership().state_of("n3") == membership::MemberState::dead);
    fixture.nodes[3]->leave();
    fixture.run_until([&] { return fixture.nodes[3]->membership().departure_announced(); });
    fixture.nodes[3].reset();
    fixture.run_until([&] { return fixture.have_converged(2); });
    CHECK(fixture.nodes[0]->membership().state_of("n4") == membership::MemberState::left);
    CHECK(take_log().find("membership: member state changed member=n3 from=suspect to=dead incarnation=0 ") !=
          std::string::npos);
    CHECK(fixture.metric(*fixture.nodes[0], "bytes_sent") > 0);
    CHECK(fixture.metric(*fixture.nodes[0], "probes") > 0);
    CHECK(fixture.metric(*fixture.nodes[0], "dead") == 1);
    CHECK(fixture.metric(*fixture.nodes[0], "left") == 1);
}

TEST_CASE("gossip node: invalid datagrams are counted by reason, not answered, and do not stop the probes") {
    GossipFixture fixture;
    gossip::GossipNode& n1 = fixture.add("n1");
    fixture.add("n2");
    fixture.add("foreign", "charts");  // a member of another fleet with n1 as its seed
    fixture.run_until(
        [&] { return n1.membership().live_count() == 1 && fixture.metric(n1, "dropped.other_fleet") > 0; });
    DatagramSender sender(fixture.loop);
    const net::Address destination = gossip::to_address(n1.membership().local_member().endpoint);
    membership::Message message;
    message.type = membership::MessageType::gossip;
    message.sender = {"x1", loopback_endpoint(9), 1, 0, membership::MemberState::alive, {}};
    std::string other_version = membership::encode(message, "maps");
    other_version[1] = 9;  // the protocol version
    for (int i = 0; i < 2'000; ++i) {
        sender.socket.send(destination,
                           std::string(static_cast<std::size_t>(i % 1500), static_cast<char>(i)));
        sender.socket.send(destination, other_version);
        sender.socket.send(destination, std::string(2'000, 'z'));
        if (i % 50 == 0)
            fixture.loop.loop.run_once(false);
    }
    fixture.run_until([&] {
        return fixture.metric(n1, "dropped.oversized") > 0 &&
               fixture.metric(n1, "dropped.unknown_version") > 0;
    });
    CHECK(fixture.metric(n1, "dropped.malformed") > 0);
    CHECK(sender.received.empty());
    CHECK(n1.membership().live_count() == 1);
    CHECK_FALSE(n1.membership().state_of("foreign").has_value());
    const std::uint64_t probes = fixture.metric(n1, "probes"), acks = fixture.metric(n1, "acks");
    fixture.run_until(
        [&] { return fixture.metric(n1, "probes") > probes + 2 && fixture.metric(n1, "acks") > acks + 2; });
    CHECK(n1.membership().suspect_count() == 0);
}

TEST_CASE("gossip node: partial, oversized and idle exchanges do not delay each other or a new node") {
    GossipFixture fixture;
    gossip::GossipNode& n1 = fixture.add("n1");
    const int port = n1.membership().local_member().endpoint.port;
    std::vector<std::unique_ptr<StreamPeer>> malformed_peers;
    for (std::size_t i = 0; i < gossip::GossipNode::max_exchanges_per_direction + 4; ++i)
        malformed_peers.push_back(connect_peer(fixture.loop, port));
    malformed_peers[0]->send(binary_literal("\x7F\xFF\xFF\xFF"));
    malformed_peers[1]->send(
        binary_literal("\0\0\0\x03"
                       "abc"));
    malformed_peers[2]->send(
        binary_literal("\0\0\0\x03"
                       "abcd"));
    malformed_peers[3]->send(binary_literal("\0\0"));
    fixture.run_until([&] {
        return malformed_peers[0]->is_closed && malformed_peers[1]->is_closed &&
               malformed_peers[2]->is_closed;
    });
    fixture.add("n2");
    fixture.run_until([&] { return fixture.have_converged(2); });  // after the idle exchanges have timed out
    CHECK(fixture.metric(n1, "dropped.oversized") == 2);
    CHECK(fixture.metric(n1, "dropped.malformed") == 1);
    CHECK(fixture.metric(n1, "exchanges_failed") >= 3);
    CHECK(fixture.descriptors.used(connection_admission::DescriptorPurpose::gossip) <=
          2 * gossip::GossipNode::descriptors_needed);
}

TEST_CASE(
    "gossip node: of two processes with the same id the earlier is displaced until the later has ended") {
    GossipFixture fixture;
    fixture.add("n1");
    gossip::GossipNode& earlier = fixture.add("n2");
    fixture.run_until([&] { return fixture.have_converged(2); });
    gossip::GossipNode& later = fixture.add("n2");
    fixture.run_until([&] { return earlier.membership().is_displaced(); });
    CHECK_FALSE(later.membership().is_displaced());
    const auto members = fixture.nodes[0]->membership().members();
    REQUIRE(members.size() == 1);
    CHECK(members[0].endpoint == later.membership().local_member().endpoint);
    CHECK(nlohmann::json::parse(earlier.status_json(true))["self"]["displaced"] == true);
    CHECK(take_log().find("membership: local member displaced member=n2 ") != std::string::npos);
    fixture.nodes[2].reset();
    fixture.run_until([&] { return !earlier.membership().is_displaced() && fixture.have_converged(2); });
}

TEST_CASE("admin server: /v1/fleet returns the membership table, or 404 if there is none") {
    GossipFixture fixture;
    gossip::GossipNode& n1 = fixture.add("n1");
    struct NodeSource final : admin::AdminSource {
        gossip::GossipNode* node = nullptr;
        bool is_ready() override { return true; }
        void collect_metrics(cressledge::base::Metrics& out) override { node->append_metrics(out); }
        std::optional<std::string> membership_json(bool brief) override {
            if (node == nullptr)
                return std::nullopt;
            return node->status_json(brief);
        }
    } source;
    connection_admission::DescriptorDemand demand;
    demand.admin = admin::AdminServer::max_connections + 1;
    connection_admission::FileDescriptorBudget admin_descriptors(
        connection_admission::plan_descriptors(200, 0, demand, 100));
    admin::AdminServer server(fixture.loop.loop, fixture.loop.timers, admin_descriptors,
                              net::ListenEndpoint{loopback_address(0)}, source);
    const auto get = [&](const std::string& path) {
        auto peer = connect_peer(fixture.loop, server.port());
        peer->send("GET " + path + " HTTP/1.1\r\nHost: n\r\n\r\n");
        fixture.loop.run_until([&] { return peer->is_closed; });
        return peer->received;
    };
    CHECK(get("/v1/fleet").rfind("HTTP/1.1 404 ", 0) == 0);
    source.node = &n1;
    const std::string response = get("/v1/fleet");
    CHECK(response.rfind("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", 0) == 0);
    CHECK(response.find("\"members\":[]") != std::string::npos);
    CHECK(get("/v1/fleet?brief").find("members") == std::string::npos);
    CHECK(get("/v1/metrics").find("fleet.probes=0\n") != std::string::npos);
}
