// Stories of admission on sockets: floods from one address beside a listed caller on another, and a system that runs
// out of descriptors.
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <map>

#include "support.hpp"
#include "system_call_faults.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace cressledge::testing;

std::string scgi(const std::string& kind, const std::string& body) {
    std::string head = binary_literal("CONTENT_LENGTH\0") + std::to_string(body.size()) + '\0';
    head += binary_literal("SCGI\0\x31\0REQUEST_METHOD\0POST\0REQUEST_URI\0/v1/") + kind + '\0';
    return std::to_string(head.size()) + ':' + head + ',' + body;
}
std::string http(const std::string& kind, const std::string& body) {
    return "POST /v1/" + kind + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

struct EchoUpstream {  // a stand-in server that answers each call at once, and remembers what it ran
    struct Connection final : net::Stream::Owner {
        EchoUpstream& owner;
        net::Stream* stream = nullptr;
        std::string received;
        explicit Connection(EchoUpstream& a) : owner(a) {}
        ~Connection() override {
            if (stream != nullptr)
                stream->close();
        }
        void on_bytes(std::string_view b) override {
            received.append(b);
            const std::size_t end = received.find(",body-");
            if (end == std::string::npos || received.back() != '.')
                return;
            ++owner.run_counts[received.substr(end + 6)];
            stream->write("Status: 200 OK\r\nContent-Length: 1\r\n\r\ny");
            stream->shut_down_writes();
        }
        void on_end(bool) override { stream = nullptr; }
    };
    std::vector<std::unique_ptr<Connection>> calls;
    std::map<std::string, int> run_counts;  // by the number in the body
    net::Listener listener;
    explicit EchoUpstream(TestLoop& w)
        : listener(w.loop.uv(), loopback_address(0), [this] {
              std::erase_if(calls, [](const auto& c) { return c->stream == nullptr; });
              calls.push_back(std::make_unique<Connection>(*this));
              calls.back()->stream = net::Stream::accept(listener, *calls.back());
          }) {}
};

class BoundClient {  // a socket bound to an address of our choosing
public:
    BoundClient(const std::string& from, int port) : source_address_(from) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        REQUIRE(fd_ >= 0);
        sockaddr_in a{};
        a.sin_family = AF_INET;
        const int on = 1;  // the port is chosen with the connection, so that thousands have room
        ::setsockopt(fd_, IPPROTO_IP, 24 /* IP_BIND_ADDRESS_NO_PORT */, &on, sizeof on);
        ::inet_pton(AF_INET, from.c_str(), &a.sin_addr);
        REQUIRE(::bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
        ::inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
        a.sin_port = htons(static_cast<std::uint16_t>(port));
        const int bad = ::connect(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a);
        REQUIRE((bad == 0 || errno == EINPROGRESS));
    }
    BoundClient(BoundClient&& o) noexcept
        : received(std::move(o.received)),
          unsent(std::move(o.unsent)),
          is_open(o.is_open),
          source_address_(o.source_address_),
          fd_(std::exchange(o.fd_, -1)) {}
    BoundClient& operator=(BoundClient&& o) noexcept {
        std::swap(received, o.received), std::swap(unsent, o.unsent), std::swap(is_open, o.is_open);
        std::swap(source_address_, o.source_address_), std::swap(fd_, o.fd_);
        return *this;
    }
    ~BoundClient() { hang_up(false); }
    void hang_up(bool reset) {
        if (fd_ < 0)
            return;
        const linger now{1, 0};
        if (reset)
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(std::exchange(fd_, -1));
    }
    // Sends up to `most` of what is left, reads what has come, and sees whether the other side has ended it.
    void step(std::size_t most) {
        pollfd p{fd_, POLLIN | POLLOUT, 0};
        if (!is_open || ::poll(&p, 1, 0) <= 0)
            return;
        if ((p.revents & POLLOUT) != 0 && !unsent.empty() && most > 0) {
            const ssize_t n = ::send(fd_, unsent.data(), std::min(most, unsent.size()), MSG_NOSIGNAL);
            if (n > 0)
                unsent.erase(0, static_cast<std::size_t>(n));
        }
        char buffer[4096];
        ssize_t n = 1;
        while (is_open && n > 0) {
            n = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
            if (n > 0)
                received.append(buffer, static_cast<std::size_t>(n));
            if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN))
                is_open = false;
        }
    }
    int status() const {  // of the one answer; 0: none; -1: more than one
        const std::size_t first = std::min(received.find("Status: "), received.find("HTTP/1.1 "));
        if (first == std::string::npos)
            return 0;
        if (received.find("Status: ", first + 1) != std::string::npos ||
            received.find("HTTP/1.1 ", first + 1) != std::string::npos)
            return -1;
        return std::stoi(received.substr(received.find(' ', first) + 1, 3));
    }
    const std::string& source_address() const { return source_address_; }
    std::string received, unsent;
    bool is_open = true;

private:
    std::string source_address_;
    int fd_ = -1;
};

struct FloodFixture {
    TestLoop test_loop;
    TemporaryDirectory directory;
    EchoUpstream upstream_server{test_loop};
    config::OperatorConfig config;
    std::unique_ptr<upstream::UpstreamGateway> gateway;

    FloodFixture() {
        config.scgi_address = config.http_address = "127.0.0.1:0";
        config.inventory_path = directory.write_file(
            "servers.csv", "name,address,protocol,group\nup,127.0.0.1:" +
                               std::to_string(upstream_server.listener.port()) + ",scgi,maps\n");
        config.stop_delay = Duration(900'000);
        config.policy_settings = test_settings();
        config.policy_settings.cores = 16;
        config.admission.max_connections = 128;
        config.admission.rejection_slots = 8;
    }
    void start() {
        gateway = std::make_unique<upstream::UpstreamGateway>(test_loop.loop, test_loop.timers,
                                                              test_loop.loop, config, 7);
    }
    void add_listed_group(const std::string& network) {
        std::string wrong;
        config.admission.groups.push_back({"front-ends", {}, 8, 8});
        config.admission.networks.add(*connection_admission::parse_network(network, wrong), 1, wrong);
    }
};

enum class FloodPattern { silent, byte_by_byte, valid_requests, reset_midway };

void run_flood(FloodPattern pattern) {
    constexpr int connection_total = 5'000;
    constexpr std::size_t at_once = 400;
    FloodFixture fixture;
    fixture.add_listed_group("127.0.0.2");
    fixture.config.admission.unlisted_source_limits = {48, 4, 2'000.0, 200.0};
    fixture.config.admission.free_connection_share = 1.0;
    fixture.start();
    const int port = fixture.gateway->scgi_port();
    std::vector<BoundClient> callers;
    std::unique_ptr<BoundClient> listed;
    std::map<std::string, std::uint64_t> closed, refused, served;
    int opened = 0, asked = 0, answered = 0;
    while (opened < connection_total || !callers.empty() || listed) {
        // So many for each request of the listed caller: its part of the story does not hang on the machine's speed.
        const int by_now = std::min(connection_total, asked * 125);
        for (int i = 0; i < 32 && opened < by_now && callers.size() < at_once; ++i, ++opened) {
            const bool other = pattern == FloodPattern::valid_requests && opened % 4 == 0;  // counted apart
            callers.emplace_back(other ? "127.0.0.10" : "127.0.0.9", port);
            if (pattern != FloodPattern::silent)
                callers.back().unsent = scgi("trail-sheet", "body-" + std::to_string(opened) + '.');
        }
        if (!listed && opened < connection_total) {
            listed = std::make_unique<BoundClient>("127.0.0.2", port);
            listed->unsent = scgi("route-profile", "body-L" + std::to_string(asked++) + '.');
        }
        fixture.test_loop.loop.run_once(false);
        if (listed) {
            listed->step(1'000);
            if (!listed->is_open) {
                INFO(listed->received << " request " << asked << " after " << opened << " of the flood");
                REQUIRE(listed->status() == 200);
                ++answered;
                listed.reset();
            }
        }
        for (BoundClient& c : callers) {
            if (pattern == FloodPattern::reset_midway && c.unsent.size() < 40)
                c.hang_up(true), c.is_open = false;
            c.step(pattern == FloodPattern::byte_by_byte   ? 1
                   : pattern == FloodPattern::reset_midway ? 50
                                                           : 1'000);
            if (c.is_open)
                continue;
            ++(c.status() == 200 ? served : c.status() == 503 ? refused : closed)[c.source_address()];
        }
        if (opened == connection_total && pattern != FloodPattern::valid_requests)
            callers.clear();  // the others would be waited out
        std::erase_if(callers, [](const BoundClient& c) { return !c.is_open; });
    }
    CHECK(asked >= 40);
    CHECK(answered == asked);
    fixture.gateway->connection_admitter().limiter().check_invariants();
    if (pattern != FloodPattern::valid_requests)
        return;
    // Refusals by address are those that the callers saw, to the last.
    const auto rows = fixture.gateway->connection_admitter().limiter().top_rejected_sources(10);
    const auto& counts = fixture.gateway->request_manager().counts();
    CHECK(counts.rejected == counts.rejected_before_admission);  // none of them the Controller's
    REQUIRE(rows.size() == 2);
    for (const auto& row : rows) {
        INFO(row.source);
        CHECK(row.total_rejections > 100);
        CHECK(row.total_rejections + row.evicted_connections == closed[row.source] + refused[row.source]);
    }
    CHECK(refused["127.0.0.9"] + refused["127.0.0.10"] == counts.rejected);
    CHECK(served["127.0.0.9"] + served["127.0.0.10"] + static_cast<std::uint64_t>(asked) == counts.served);
    fixture.gateway->log_report();
    const std::string log = take_log();
    CHECK(log.find("admission: source 127.0.0.9: open") != std::string::npos);
    CHECK(log.find("admission: group front-ends: ") != std::string::npos);
    CHECK(std::count(log.begin(), log.end(), '\n') < 60);  // bounded, whatever came
}

TEST_CASE("5,000 silent connections from one address: a listed caller is served throughout") {
    run_flood(FloodPattern::silent);
}
TEST_CASE("5,000 that drip: a listed caller is served throughout") {
    run_flood(FloodPattern::byte_by_byte);
}
TEST_CASE("5,000 valid requests: a listed caller is served, and refusals are counted by address") {
    run_flood(FloodPattern::valid_requests);
}
TEST_CASE("5,000 connections that are reset: a listed caller is served throughout") {
    run_flood(FloodPattern::reset_midway);
}

TEST_CASE("thousands of addresses at once: each gets little, a listed caller is served") {
    FloodFixture h;
    h.add_listed_group("127.0.0.2");
    h.config.admission.free_connection_share = 1.0;
    h.start();
    std::vector<BoundClient> all;
    for (int i = 0; i < 3'000; ++i) {
        const std::string from = "127." + std::to_string(8 + i / 250) + ".0." + std::to_string(1 + i % 250);
        all.emplace_back(from, h.gateway->scgi_port());
        all.back().unsent = scgi("trail-sheet", "");  // never whole
        all.back().unsent.pop_back();
        h.test_loop.loop.run_once(false);
        if (i % 250 != 249)
            continue;
        BoundClient listed("127.0.0.2", h.gateway->scgi_port());
        listed.unsent = scgi("route-profile", "body-" + std::to_string(i) + '.');
        h.test_loop.run_until([&] { return listed.step(1'000), !listed.is_open; }, false);
        CHECK(listed.status() == 200);
        for (BoundClient& c : all)
            c.step(1'000);
        std::erase_if(all, [](const BoundClient& c) { return !c.is_open; });
    }
    h.gateway->connection_admitter().limiter().check_invariants();
}

TEST_CASE(
    "a reload takes the fleet's rules and seeds, and never another member's name; the control address shows "
    "both") {
    FloodFixture h;
    const auto file = [&](const std::string& id, const std::string& more) {
        return h.directory.write_file(
            "o.yaml",
            "listen: {http: \"127.0.0.1:0\", control: \"127.0.0.1:0\"}\ninventory: servers.csv\ncores: "
            "6\nclasses:\n"
            "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n"
            "fleet: {name: maps, id: " +
                id + ", gossip: \"127.0.0.1:0\"" + more + "}\n");
    };
    h.config = config::load_operator_config(file("n1", ""));
    h.start();
    const auto ask = [&](const std::string& path) {
        auto p = connect_peer(h.test_loop, h.gateway->admin_port());
        p->send("GET " + path + " HTTP/1.1\r\nHost: n\r\n\r\n");
        h.test_loop.run_until([&] { return p->is_closed; });
        return p->received;
    };
    CHECK(ask("/v1/readyz").rfind("HTTP/1.1 200", 0) == 0);
    CHECK(ask("/v1/fleet").find("\"id\":\"n1\"") != std::string::npos);
    CHECK(ask("/v1/metrics").find("node.responses.trail-sheet.ok=0\n") != std::string::npos);
    take_log();
    file("n2", "");
    h.gateway->reload();
    CHECK(take_log().find("gossip and advertise of the fleet change with a restart only") !=
          std::string::npos);
    file("n1", ", probe_ms: 50, seeds: [\"127.0.0.1:9\"]");
    h.gateway->reload();
    CHECK(take_log().find("stays in force") == std::string::npos);
    const std::string figures = ask("/v1/metrics");
    CHECK(figures.find("node.config_applied=1\n") != std::string::npos);
    CHECK(figures.find("node.config_rejected=1\n") != std::string::npos);
    h.test_loop.run_until([&] {
        return ask("/v1/metrics").find("fleet.exchanges_failed=0\n") == std::string::npos;
    });  // the new seed
}

TEST_CASE("a reload takes admission and inventory whole or not at all, and cuts nobody off") {
    FloodFixture h;
    const auto file = [&](const std::string& cores, const std::string& more) {
        return h.directory.write_file(
            "o.yaml",
            "listen: {scgi: \"127.0.0.1:0\", http: \"127.0.0.1:0\"}\ninventory: servers.csv\ncores: " +
                cores + "\nclasses:\n" +
                "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n" + more);
    };
    h.config = config::load_operator_config(file("6", ""));
    h.start();
    std::vector<BoundClient> open;
    for (int i = 0; i < 4; ++i)
        open.emplace_back("127.0.0.9", h.gateway->http_port());
    auto& gate = h.gateway->connection_admitter().limiter();
    h.test_loop.run_until([&] { return gate.open_connections() == 4; }, false);
    take_log();
    file("6", "admission: {open: 2, groups: [{name: g, networks: [127.0.0.9/8]}]}\n");
    h.gateway->reload();
    CHECK(take_log().find("o.yaml:6: networks: bits set beyond its prefix: 127.0.0.9/8") !=
          std::string::npos);
    file("8", "admission: {open: 2}\n");
    h.gateway->reload();
    CHECK(take_log().find("with a restart only") != std::string::npos);
    CHECK(gate.settings().unlisted_source_limits.max_connections == 0);
    file("6",
         "admission: {open: 2, groups: [{name: g, networks: [127.0.0.8], reserve: {connections: 3}}]}\n");
    h.gateway->reload();
    CHECK(gate.settings().unlisted_source_limits.max_connections == 2);
    CHECK(gate.open_connections() == 4);
    BoundClient fifth("127.0.0.9", h.gateway->http_port());
    h.test_loop.run_until([&] { return gate.rejection_slots_in_use() == 1; }, false);
    open.front().unsent = http("trail-sheet", "body-1.");  // over the cap, and served all the same
    h.test_loop.run_until([&] { return open.front().step(1'000), open.front().status() == 200; }, false);
    gate.check_invariants();
}

TEST_CASE("who is refused a connection hears when to come back, on both fronts") {
    FloodFixture h;
    h.config.admission.unlisted_source_limits.max_connections = 1;
    h.start();
    for (const bool over_scgi : {true, false}) {
        const int port = over_scgi ? h.gateway->scgi_port() : h.gateway->http_port();
        BoundClient first("127.0.0.9", port), second("127.0.0.9", port);
        h.test_loop.run_until(
            [&] { return h.gateway->connection_admitter().limiter().rejection_slots_in_use() == 1; }, false);
        second.unsent = over_scgi ? scgi("map-order", "body-1.") : http("map-order", "body-1.");
        h.test_loop.run_until([&] { return second.step(1'000), !second.is_open; }, false);
        CHECK(second.status() == 503);
        CHECK(second.received.find("Hold-Off-Ms: 1000\r\n") != std::string::npos);
        CHECK((over_scgi || second.received.find("Connection: close\r\n") != std::string::npos));
        first.hang_up(false);
        h.test_loop.run_until(
            [&] { return h.gateway->connection_admitter().limiter().open_connections() == 0; }, false);
    }
    CHECK(h.upstream_server.run_counts.empty());
}

TEST_CASE("a connection left in the backlog for want of a descriptor is served once there is one") {
    FloodFixture h;
    h.config.max_descriptors =
        net::count_open_descriptors() + 2 + 2 + 2 + 32 + 3;  // two connections and one in between
    h.start();
    CHECK(take_log().find("room for 2 of 128 connections") != std::string::npos);
    auto& d = h.gateway->descriptors();
    std::vector<connection_admission::FileDescriptorBudget::Lease> others;
    while (auto l = d.try_acquire(wall_clock_now(), connection_admission::DescriptorPurpose::frontend))
        others.push_back(std::move(l));
    BoundClient c("127.0.0.9", h.gateway->scgi_port());
    c.unsent = scgi("trail-sheet", "body-1.");
    h.test_loop.run_until(
        [&] { return c.step(1'000), d.denied(connection_admission::DescriptorPurpose::frontend) > 1; },
        false);
    CHECK(c.received.empty());
    CHECK(c.is_open);
    others.clear();
    h.test_loop.run_until([&] { return c.step(1'000), !c.is_open; }, false);
    CHECK(c.status() == 200);
}

TEST_CASE("a write that finds no descriptor for its call is called once there is one, and once") {
    FloodFixture h;
    h.start();
    BoundClient c("127.0.0.9", h.gateway->scgi_port());
    c.unsent = scgi("map-order", "body-7.");
    Faults faults;
    faults.fail(Call::socket, EMFILE, 3);
    h.test_loop.run_until([&] { return c.step(1'000), !c.is_open; }, false);
    CHECK(c.status() == 200);
    CHECK(faults.failed(Call::socket) == 3);
    CHECK(h.upstream_server.run_counts == std::map<std::string, int>{{"7.", 1}});
}

TEST_CASE("no descriptor in an accept or in a file's opening ends nothing") {
    FloodFixture h;
    h.start();
    Faults faults;
    for (const int error : {EMFILE, ENFILE}) {
        faults.fail(Call::accept, error, 1);
        BoundClient waits("127.0.0.9", h.gateway->http_port());  // in the backlog, until there is one for it
        waits.unsent = http("trail-sheet", "body-" + std::to_string(error) + '.');
        h.test_loop.run_until([&] { return waits.step(1'000), waits.status() == 200; }, false);
    }
    CHECK(h.gateway->descriptors().system_exhaustions() == 2);
    CHECK(take_log().find("no descriptor for a new connection") != std::string::npos);
    faults.fail(Call::open, EMFILE, 1);
    h.gateway->reload();
    CHECK(take_log().find("inventory: the old one stays in force") != std::string::npos);
    BoundClient c("127.0.0.9", h.gateway->scgi_port());
    c.unsent = scgi("trail-sheet", "body-1.");
    h.test_loop.run_until([&] { return c.step(1'000), !c.is_open; }, false);
    CHECK(c.status() == 200);
}

TEST_CASE("descriptors that run out during a drain cost no read request its answer: 200 seeds, both fronts") {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        FloodFixture h;
        h.config.policy_settings.cores = 4;
        h.config.max_descriptors = net::count_open_descriptors() + 2 + 2 + 2 + 8 + 1 + 4 + random() % 10;
        h.start();
        std::vector<BoundClient> callers;
        for (int i = 0; i < 16; ++i) {
            const bool over_scgi = i % 2 == 0;
            callers.emplace_back("127.0.0." + std::to_string(3 + i),
                                 over_scgi ? h.gateway->scgi_port() : h.gateway->http_port());
            const std::string kind = i % 3 == 0 ? "map-order" : "trail-sheet",
                              body = "body-" + std::to_string(i) + '.';
            callers.back().unsent = over_scgi ? scgi(kind, body) : http(kind, body);
        }
        Faults faults(seed);
        faults.fail(Call::socket, random() % 2 == 0 ? EMFILE : ENFILE, 6, 2);
        faults.fail(Call::accept, EMFILE, static_cast<int>(random() % 3), 4);
        const std::uint32_t leave = random() % 12;
        std::uint32_t turn = 0;
        // Until each has its answer, or was closed without being read.
        const auto& counts = h.gateway->request_manager().counts();
        h.test_loop.run_until(
            [&] {
                if (turn++ == leave)
                    h.gateway->begin_graceful_shutdown();
                std::uint64_t answers = 0, waiting = 0;
                for (BoundClient& c : callers) {
                    c.step(1 + random() % 400);
                    answers += c.status() != 0 ? 1 : 0;
                    waiting += c.is_open && c.status() == 0 ? 1 : 0;
                }
                return turn > leave && waiting == 0 && answers == counts.received;
            },
            false);
        for (const BoundClient& c : callers)
            REQUIRE(c.status() >= 0);
        for (const auto& [body, times] : h.upstream_server.run_counts)
            REQUIRE(times == 1);
        REQUIRE(counts.served == h.upstream_server.run_counts.size());
        h.gateway->connection_admitter().limiter().check_invariants();
        REQUIRE(h.gateway->descriptors().used() <= h.gateway->descriptors().limit());
    }
}

}  // namespace
