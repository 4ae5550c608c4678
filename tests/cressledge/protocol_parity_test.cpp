// The proof for two fronts: one scripted Friday evening, played over HTTP and again over SCGI, against a stand-in
// server on loopback. The script drives the core's clock: each step ends when all that it set off has come to
// rest, so that the machine's speed has no part in the verdict.
#include <algorithm>
#include <map>
#include <random>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace cressledge::testing;

struct ScriptedRequest {  // one request of the script
    Timestamp send_at{0};
    std::size_t class_index = 0;
    int work_ms = 0;
    Duration caller_timeout{0};  // its client closes then, unless it is answered
};

const char* const kinds[] = {"trail-sheet", "route-profile", "map-order"};
constexpr int day_ms = 14'000, leave_ms = 11'000, step_ms = 5;

// Calm, then 1.6 times what the stand-in's four cores do, then calm again, and a drain at the end.
std::vector<ScriptedRequest> make_request_script() {
    std::mt19937 random(5);  // the same numbers on every machine, unlike the library's distributions
    const auto below = [&random](unsigned n) { return static_cast<int>(random() % n); };
    std::vector<ScriptedRequest> all;
    for (int ms = 0; ms < day_ms - 550; ms += step_ms) {
        const bool late =
            ms > leave_ms + 2'000;  // past the grace of the drain: orders only, none of which may run
        const int per_second = !late && (ms < 2'500 || ms > 8'500) ? 9 : 26;
        if (below(1'000 / step_ms) >= per_second)
            continue;
        const int dice = below(100);
        ScriptedRequest a;
        a.send_at = Timestamp(ms * 1000);
        a.class_index = late ? 2 : dice < 46 ? 0 : dice < 90 ? 1 : 2;
        a.work_ms = (a.class_index == 0 ? 200 : a.class_index == 1 ? 120 : 300) + below(150);
        a.caller_timeout = below(12) == 0 ? Duration(400'000) : Duration(60'000'000);
        all.push_back(a);
    }
    return all;
}

struct
    FakeMultiCoreUpstream {  // four cores, shared by all that is in hand; answers when the script's clock says so
    struct Job {
        std::unique_ptr<StreamPeer> peer;
        double left_ms = -1.0;  // below 0: the call is not whole yet
        std::string body;
        bool done = false;
    };
    TestLoop& test_loop;
    const bool uses_scgi;
    std::vector<std::unique_ptr<Job>> jobs;
    std::unique_ptr<net::Listener> listener;
    std::size_t received = 0;

    FakeMultiCoreUpstream(TestLoop& world, bool speaks_scgi) : test_loop(world), uses_scgi(speaks_scgi) {
        listener = std::make_unique<net::Listener>(test_loop.loop.uv(), loopback_address(0), [this] {
            jobs.push_back(std::make_unique<Job>());
            jobs.back()->peer = std::make_unique<StreamPeer>();
            StreamPeer& p = *jobs.back()->peer;
            p.stream = net::Stream::accept(*listener, p);
        });
    }
    void
    read_calls() {  // takes in the calls that have come whole: their body is the work, and ends in a stop
        for (auto& j : jobs) {
            if (j->left_ms >= 0.0 || j->peer->received.empty() || j->peer->received.back() != '.')
                continue;
            const std::size_t from =
                uses_scgi ? j->peer->received.rfind(',') + 1 : j->peer->received.rfind('\n') + 1;
            j->body = j->peer->received.substr(from);
            j->left_ms = std::stod(j->body);
            ++received;
        }
    }
    std::size_t open() const {
        return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [](const auto& j) {
            return j->left_ms >= 0.0 && !j->done && !j->peer->is_closed;
        }));
    }
    void advance(double ms) {
        const double share = std::min(1.0, 4.0 / std::max(1.0, static_cast<double>(open())));
        for (auto& j : jobs) {
            if (j->left_ms < 0.0 || j->done || j->peer->is_closed)
                continue;
            j->left_ms = std::max(0.0, j->left_ms - ms * share);
            if (j->left_ms > 0.0)
                continue;
            j->done = true;
            const std::string result = "map of " + j->body;
            const std::string start = uses_scgi ? "Status: 200 OK\r\n" : "HTTP/1.1 200 OK\r\n";
            j->peer->send(start + "Content-Length: " + std::to_string(result.size()) + "\r\n\r\n" + result);
            j->peer->stream->shut_down_writes();
        }
    }
};

struct Figures {
    std::map<std::string, int> finals;  // by class and outcome
    double asked = 0.0, earned = 0.0;
    int late_orders = 0, late_orders_refused = 0, odd_results = 0;
    double service() const { return earned / asked; }
    int count(const std::string& outcome) const {
        int n = 0;
        for (const auto& [what, times] : finals)
            if (what.find(outcome) != std::string::npos)
                n += times;
        return n;
    }
};

struct ProtocolRun {
    TestLoop test_loop;
    ManualClock clock;
    base::TimerQueue timers;
    TemporaryDirectory directory;
    FakeMultiCoreUpstream upstream_server;
    std::unique_ptr<upstream::UpstreamGateway> gateway;
    const bool uses_scgi;
    struct Client {
        ScriptedRequest asked;
        std::string body;
        std::unique_ptr<StreamPeer> peer;
        bool is_done = false;
    };
    std::vector<Client> clients;
    Figures figures;
    std::size_t answer_count = 0, cancelled_count = 0;

    explicit ProtocolRun(bool over_scgi) : upstream_server(test_loop, over_scgi), uses_scgi(over_scgi) {
        config::OperatorConfig o;
        o.inventory_path =
            directory.write_file("s.csv", "name,address,protocol,group\nstand-in,127.0.0.1:" +
                                              std::to_string(upstream_server.listener->port()) + ',' +
                                              (uses_scgi ? "scgi" : "http") + ",all\n");
        o.policy_settings = test_settings();
        for (auto& c : o.policy_settings.classes)
            c.late_priority_weight = c.priority_weight < 5 ? 0.2 : 0.0;
        (uses_scgi ? o.scgi_address : o.http_address) = "127.0.0.1:0";
        gateway = std::make_unique<upstream::UpstreamGateway>(test_loop.loop, timers, clock, o, 11);
    }
    void settle() {  // until nothing is on its way between client, core and stand-in
        const auto& n = gateway->request_manager().counts();
        test_loop.run_until(
            [&] {
                timers.run_due(clock.now);
                upstream_server.read_calls();
                take_answers();
                const bool due = timers.next_due() && *timers.next_due() <= clock.now;
                return !due && answer_count == n.served + n.rejected + n.failed &&
                       cancelled_count == n.cancelled && upstream_server.received == n.runs_started &&
                       upstream_server.open() == n.runs_started - n.runs_finished;
            },
            false);
    }
    void take_answers() {
        for (Client& c : clients) {
            if (c.is_done || !c.peer)
                continue;
            const std::size_t head = c.peer->received.find("\r\n\r\n");
            if (head == std::string::npos || (uses_scgi && !c.peer->is_closed))
                continue;
            const std::string result = c.peer->received.substr(head + 4), wanted = "map of " + c.body;
            const std::string status = c.peer->received.substr(uses_scgi ? 8 : 9, 3);
            if (status == "200" && result.size() < wanted.size())
                continue;
            c.is_done = true;
            ++answer_count;
            const auto& k = gateway->request_manager().settings().classes[c.asked.class_index];
            const Duration took = clock.now - start - c.asked.send_at;
            if (status == "200") {
                figures.odd_results += result != wanted;
                figures.earned +=
                    k.priority_weight * (took <= k.latency_objective ? 1.0 : k.late_priority_weight);
            }
            const bool late = c.asked.send_at > Timestamp((leave_ms + 2'000) * 1000);
            figures.late_orders += late;
            figures.late_orders_refused += late && status == "503";
            const char* how = status == "200" ? "served" : status == "503" ? "refused" : "failed";
            ++figures.finals[std::string(kinds[c.asked.class_index]) + ' ' + how];
            c.peer->close();
        }
    }
    void send_request(const ScriptedRequest& a) {
        Client& c = clients.emplace_back();
        c.asked = a;
        c.body = std::to_string(a.work_ms) + '.';
        figures.asked += gateway->request_manager().settings().classes[a.class_index].priority_weight;
        c.peer = connect_peer(test_loop, uses_scgi ? gateway->scgi_port() : gateway->http_port());
        const std::string path = std::string("/v1/") + kinds[a.class_index],
                          length = std::to_string(c.body.size());
        if (uses_scgi) {
            std::string head = binary_literal("CONTENT_LENGTH\0");
            head += length +
                    std::string(
                        "\0SCGI\0"
                        "1\0REQUEST_METHOD\0POST\0REQUEST_URI\0",
                        40) +
                    path + '\0';
            c.peer->send(std::to_string(head.size()) + ':' + head + ',' + c.body);
        } else {
            c.peer->send("POST " + path + " HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n" + c.body);
        }
        const std::size_t read = clients.size();
        test_loop.run_until([&] { return gateway->request_manager().counts().received == read; });
        settle();
    }
    Figures play() {
        const std::vector<ScriptedRequest> script = make_request_script();
        std::size_t next = 0;
        for (int ms = 0; ms < day_ms; ms += step_ms) {
            clock.now = start + Duration(ms * 1000);
            upstream_server.advance(step_ms);
            settle();
            if (ms == leave_ms)
                gateway->begin_graceful_shutdown();
            for (; next < script.size() && script[next].send_at <= Timestamp(ms * 1000); ++next)
                send_request(script[next]);
            for (Client& c : clients) {
                if (c.is_done || clock.now - start < c.asked.send_at + c.asked.caller_timeout)
                    continue;
                c.is_done = true;
                ++cancelled_count;
                ++figures.finals[std::string(kinds[c.asked.class_index]) + " gone"];
                c.peer->close();
                settle();
            }
        }
        return figures;
    }
    const Timestamp start = clock.now;
};

TEST_CASE("a Friday evening fares alike over HTTP and over SCGI") {
    const Figures http = ProtocolRun(false).play(), scgi = ProtocolRun(true).play();
    const int all = http.count("");
    INFO("HTTP: served " << http.count("served") << ", refused " << http.count("refused") << ", failed "
                         << http.count("failed") << ", gone " << http.count("gone") << ", service "
                         << http.service());
    INFO("SCGI: served " << scgi.count("served") << ", refused " << scgi.count("refused") << ", failed "
                         << scgi.count("failed") << ", gone " << scgi.count("gone") << ", service "
                         << scgi.service());
    // The evening has to be worth comparing.
    CHECK(all > 150);
    CHECK(http.count("served") > all / 2);
    CHECK(http.count("refused") > all / 50);
    CHECK(http.count("gone") > 0);
    CHECK(scgi.count("") == all);
    for (const char* kind : kinds)
        for (const char* how : {" served", " refused", " failed", " gone"}) {
            INFO(kind << how);
            const int a = http.count(kind + std::string(how)), b = scgi.count(kind + std::string(how));
            CHECK(std::abs(a - b) <= 0.02 * all);
        }
    CHECK(std::abs(http.service() - scgi.service()) <= 0.02 * http.service());
    CHECK(http.odd_results + scgi.odd_results == 0);
    CHECK(http.late_orders > 0);
    CHECK(http.late_orders_refused == http.late_orders);
    CHECK(scgi.late_orders_refused == http.late_orders);
    WARN("served " << http.count("served") << " and " << scgi.count("served") << " of " << all << ", service "
                   << http.service() << " and " << scgi.service());
}

}  // namespace
