// The fleet's sockets: nodes on loopback find each other, take no harm from what is not theirs, and say what they know.
#include <nlohmann/json.hpp>

#include "admin/admin_server.hpp"
#include "gossip/gossip_node.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

connection_admission::DescriptorPlan plan_of() {
    connection_admission::DescriptorDemand needs;
    needs.gossip = gossip::GossipNode::descriptors_needed * 8;
    return connection_admission::plan_descriptors(2'000, 0, needs, 100);
}

membership::Endpoint local(int port) {
    return {0x7F000001U, static_cast<std::uint16_t>(port)};
}

struct Town {
    TestLoop w;
    connection_admission::FileDescriptorBudget descriptors{plan_of()};
    std::vector<std::unique_ptr<gossip::GossipNode>> nodes;

    gossip::GossipNode& add(const std::string& id, const std::string& name = "maps") {
        gossip::Settings s;
        s.fleet_name = name;
        s.member_id = id;
        s.listen = local(0);
        s.membership.probe_interval = Duration(100'000);
        s.membership.gossip_interval = Duration(20'000);
        if (!nodes.empty())
            s.seeds.push_back(nodes[0]->membership().local_member().endpoint);
        nodes.push_back(
            std::make_unique<gossip::GossipNode>(w.loop, w.timers, descriptors, s, nodes.size() + 1));
        return *nodes.back();
    }
    void until(const std::function<bool()>& done) {
        w.run_until([&] { return done(); });
    }
    bool agreed(std::size_t n) {
        std::size_t there = 0;
        for (const auto& node : nodes) {
            if (node == nullptr)
                continue;
            ++there;
            if (node->membership().live_count() + 1 != n || node->membership().suspect_count() != 0)
                return false;
        }
        return there == n;
    }
    std::uint64_t figure(gossip::GossipNode& n, const std::string& name) {
        cressledge::base::Metrics all;
        n.append_metrics(all);
        for (const auto& [what, value] : all)
            if (what == "fleet." + name)
                return value;
        FAIL("no such figure: " + name);
        return 0;
    }
};

struct Sender {  // whoever sends datagrams to a node
    explicit Sender(TestLoop& w)
        : socket(w.loop.uv(), loopback_address(0),
                 [this](std::string_view b, const net::Address&) { got.emplace_back(b); }) {}
    std::vector<std::string> got;
    net::UdpSocket socket;
};

}  // namespace

TEST_CASE("nodes on loopback find each other, notice who is gone, and are told who leaves") {
    Town t;
    take_log();
    for (const char* id : {"n1", "n2", "n3", "n4"})
        t.add(id);
    t.until([&] { return t.agreed(4); });
    const auto view = nlohmann::json::parse(t.nodes[1]->status_json(false));
    CHECK(view["fleet"] == "maps");
    CHECK(view["self"]["id"] == "n2");
    REQUIRE(view["members"].size() == 3);
    CHECK(view["members"][0]["state"] == "alive");
    CHECK(view["members"][0]["address"] ==
          membership::to_string(t.nodes[0]->membership().local_member().endpoint));
    CHECK(view["digest"] == nlohmann::json::parse(t.nodes[3]->status_json(true))["digest"]);
    CHECK_FALSE(nlohmann::json::parse(t.nodes[3]->status_json(true)).contains("members"));
    t.nodes[2].reset();  // without a word
    t.until([&] { return t.agreed(3); });
    CHECK(t.nodes[0]->membership().state_of("n3") == membership::MemberState::dead);
    t.nodes[3]->leave();
    t.until([&] { return t.nodes[3]->membership().departure_announced(); });
    t.nodes[3].reset();
    t.until([&] { return t.agreed(2); });
    CHECK(t.nodes[0]->membership().state_of("n4") == membership::MemberState::left);
    CHECK(take_log().find(R"("from":"suspect","incarnation":0,"member":"n3","to":"dead")") !=
          std::string::npos);
    CHECK(t.figure(*t.nodes[0], "bytes_sent") > 0);
    CHECK(t.figure(*t.nodes[0], "probes") > 0);
    CHECK(t.figure(*t.nodes[0], "dead") == 1);
    CHECK(t.figure(*t.nodes[0], "left") == 1);
}

TEST_CASE(
    "a flood of garbage at the gossip port is counted by cause, answered by nothing, and stops no probe") {
    Town t;
    gossip::GossipNode& n1 = t.add("n1");
    t.add("n2");
    t.add("stranger", "charts");  // it has n1 for a seed and is of another fleet
    t.until([&] { return n1.membership().live_count() == 1 && t.figure(n1, "dropped.other_fleet") > 0; });
    Sender s(t.w);
    const net::Address to = gossip::to_address(n1.membership().local_member().endpoint);
    membership::Message m;
    m.type = membership::MessageType::gossip;
    m.sender = {"x1", local(9), 1, 0, membership::MemberState::alive, {}};
    std::string later = membership::encode(m, "maps");
    later[1] = 9;  // the version
    for (int i = 0; i < 2'000; ++i) {
        s.socket.send(to, std::string(static_cast<std::size_t>(i % 1500), static_cast<char>(i)));
        s.socket.send(to, later);
        s.socket.send(to, std::string(2'000, 'z'));
        if (i % 50 == 0)
            t.w.loop.run_once(false);
    }
    t.until(
        [&] { return t.figure(n1, "dropped.oversized") > 0 && t.figure(n1, "dropped.unknown_version") > 0; });
    CHECK(t.figure(n1, "dropped.malformed") > 0);
    CHECK(s.got.empty());
    CHECK(n1.membership().live_count() == 1);
    CHECK_FALSE(n1.membership().state_of("stranger").has_value());
    const std::uint64_t probes = t.figure(n1, "probes"), acks = t.figure(n1, "acks");
    t.until([&] { return t.figure(n1, "probes") > probes + 2 && t.figure(n1, "acks") > acks + 2; });
    CHECK(n1.membership().suspect_count() == 0);
}

TEST_CASE(
    "half exchanges, overlong ones and connections that say nothing hold up neither each other nor a "
    "newcomer") {
    Town t;
    gossip::GossipNode& n1 = t.add("n1");
    const int port = n1.membership().local_member().endpoint.port;
    std::vector<std::unique_ptr<StreamPeer>> bad;
    for (std::size_t i = 0; i < gossip::GossipNode::max_exchanges_per_direction + 4; ++i)
        bad.push_back(connect_peer(t.w, port));
    bad[0]->send(binary_literal("\x7F\xFF\xFF\xFF"));
    bad[1]->send(
        binary_literal("\0\0\0\x03"
                       "abc"));
    bad[2]->send(
        binary_literal("\0\0\0\x03"
                       "abcd"));
    bad[3]->send(binary_literal("\0\0"));
    t.until([&] { return bad[0]->is_closed && bad[1]->is_closed && bad[2]->is_closed; });
    t.add("n2");
    t.until([&] { return t.agreed(2); });  // once the silent ones have had their time
    CHECK(t.figure(n1, "dropped.oversized") == 2);
    CHECK(t.figure(n1, "dropped.malformed") == 1);
    CHECK(t.figure(n1, "exchanges_failed") >= 3);
    CHECK(t.descriptors.used(connection_admission::DescriptorPurpose::gossip) <=
          2 * gossip::GossipNode::descriptors_needed);
}

TEST_CASE("two processes with one id: the later holds it, the earlier says so until that one has gone") {
    Town t;
    t.add("n1");
    gossip::GossipNode& first = t.add("twin");
    t.until([&] { return t.agreed(2); });
    gossip::GossipNode& second = t.add("twin");
    t.until([&] { return first.membership().is_displaced(); });
    CHECK_FALSE(second.membership().is_displaced());
    const auto members = t.nodes[0]->membership().members();
    REQUIRE(members.size() == 1);
    CHECK(members[0].endpoint == second.membership().local_member().endpoint);
    CHECK(nlohmann::json::parse(first.status_json(true))["self"]["displaced"] == true);
    CHECK(take_log().find("\"displaced\":true") != std::string::npos);
    t.nodes[2].reset();
    t.until([&] { return !first.membership().is_displaced() && t.agreed(2); });
}

TEST_CASE("the control address gives the view of the fleet, and 404 where there is none") {
    Town t;
    gossip::GossipNode& n1 = t.add("n1");
    struct Told final : admin::AdminSource {
        gossip::GossipNode* node = nullptr;
        bool is_ready() override { return true; }
        void collect_metrics(cressledge::base::Metrics& out) override { node->append_metrics(out); }
        std::optional<std::string> membership_json(bool brief) override {
            if (node == nullptr)
                return std::nullopt;
            return node->status_json(brief);
        }
    } told;
    connection_admission::DescriptorDemand needs;
    needs.admin = admin::AdminServer::max_connections + 1;
    connection_admission::FileDescriptorBudget own(
        connection_admission::plan_descriptors(200, 0, needs, 100));
    admin::AdminServer control(t.w.loop, t.w.timers, own, net::ListenEndpoint{loopback_address(0)}, told);
    const auto ask = [&](const std::string& path) {
        auto p = connect_peer(t.w, control.port());
        p->send("GET " + path + " HTTP/1.1\r\nHost: n\r\n\r\n");
        t.w.run_until([&] { return p->is_closed; });
        return p->received;
    };
    CHECK(ask("/v1/fleet").rfind("HTTP/1.1 404 ", 0) == 0);
    told.node = &n1;
    const std::string whole = ask("/v1/fleet");
    CHECK(whole.rfind("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", 0) == 0);
    CHECK(whole.find("\"members\":[]") != std::string::npos);
    CHECK(ask("/v1/fleet?brief").find("members") == std::string::npos);
    CHECK(ask("/v1/metrics").find("fleet.probes=0\n") != std::string::npos);
}
