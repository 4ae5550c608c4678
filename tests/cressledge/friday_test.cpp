// The proof for two fronts: one scripted Friday evening, played over HTTP and again over SCGI, against a stand-in
// server on loopback. The script drives the core's clock: each step ends when all that it set off has come to
// rest, so that the machine's speed has no part in the verdict.
#include <algorithm>
#include <map>
#include <random>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace story;

struct Asked {  // one request of the script
    Time at{0};
    std::size_t kind = 0;
    int work_ms = 0;
    Span patience{0};  // its client closes then, unless it is answered
};

const char* const kinds[] = {"trail-sheet", "route-profile", "map-order"};
constexpr int day_ms = 14'000, leave_ms = 11'000, step_ms = 5;

// Calm, then 1.6 times what the stand-in's four cores do, then calm again, and a drain at the end.
std::vector<Asked> friday() {
    std::mt19937 random(5);  // the same numbers on every machine, unlike the library's distributions
    const auto below = [&random](unsigned n) { return static_cast<int>(random() % n); };
    std::vector<Asked> all;
    for (int ms = 0; ms < day_ms - 550; ms += step_ms) {
        const bool late =
            ms > leave_ms + 2'000;  // past the grace of the drain: orders only, none of which may run
        const int per_second = !late && (ms < 2'500 || ms > 8'500) ? 9 : 26;
        if (below(1'000 / step_ms) >= per_second) continue;
        const int dice = below(100);
        Asked a;
        a.at = Time(ms * 1000);
        a.kind = late ? 2 : dice < 46 ? 0 : dice < 90 ? 1 : 2;
        a.work_ms = (a.kind == 0 ? 200 : a.kind == 1 ? 120 : 300) + below(150);
        a.patience = below(12) == 0 ? Span(400'000) : Span(60'000'000);
        all.push_back(a);
    }
    return all;
}

struct StandIn {  // four cores, shared by all that is in hand; answers when the script's clock says so
    struct Job {
        std::unique_ptr<Peer> peer;
        double left_ms = -1.0;  // below 0: the call is not whole yet
        std::string body;
        bool done = false;
    };
    World& w;
    const bool scgi;
    std::vector<std::unique_ptr<Job>> jobs;
    std::unique_ptr<net::Listener> listener;
    std::size_t received = 0;

    StandIn(World& world, bool speaks_scgi) : w(world), scgi(speaks_scgi) {
        listener = std::make_unique<net::Listener>(w.loop.uv(), at(0), [this] {
            jobs.push_back(std::make_unique<Job>());
            jobs.back()->peer = std::make_unique<Peer>();
            Peer& p = *jobs.back()->peer;
            p.stream = net::Stream::accept(*listener, p);
        });
    }
    void look() {  // takes in the calls that have come whole: their body is the work, and ends in a stop
        for (auto& j : jobs) {
            if (j->left_ms >= 0.0 || j->peer->got.empty() || j->peer->got.back() != '.') continue;
            const std::size_t from = scgi ? j->peer->got.rfind(',') + 1 : j->peer->got.rfind('\n') + 1;
            j->body = j->peer->got.substr(from);
            j->left_ms = std::stod(j->body);
            ++received;
        }
    }
    std::size_t open() const {
        return static_cast<std::size_t>(std::count_if(jobs.begin(), jobs.end(), [](const auto& j) {
            return j->left_ms >= 0.0 && !j->done && !j->peer->ended;
        }));
    }
    void work(double ms) {
        const double share = std::min(1.0, 4.0 / std::max(1.0, static_cast<double>(open())));
        for (auto& j : jobs) {
            if (j->left_ms < 0.0 || j->done || j->peer->ended) continue;
            j->left_ms = std::max(0.0, j->left_ms - ms * share);
            if (j->left_ms > 0.0) continue;
            j->done = true;
            const std::string result = "map of " + j->body;
            const std::string start = scgi ? "Status: 200 OK\r\n" : "HTTP/1.1 200 OK\r\n";
            j->peer->send(start + "Content-Length: " + std::to_string(result.size()) + "\r\n\r\n" + result);
            j->peer->stream->finish();
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
            if (what.find(outcome) != std::string::npos) n += times;
        return n;
    }
};

struct Evening {
    World w;
    ManualClock clock;
    core::Deadlines deadlines;
    Folder folder;
    StandIn server;
    std::unique_ptr<upstream::Gateway> gateway;
    const bool scgi;
    struct Client {
        Asked asked;
        std::string body;
        std::unique_ptr<Peer> peer;
        bool over = false;
    };
    std::vector<Client> clients;
    Figures figures;
    std::size_t answers = 0, left = 0;

    explicit Evening(bool over_scgi) : server(w, over_scgi), scgi(over_scgi) {
        config::Operator o;
        o.inventory = folder.write("s.csv", "name,address,protocol,group\nstand-in,127.0.0.1:" +
                                                std::to_string(server.listener->port()) + ',' +
                                                (scgi ? "scgi" : "http") + ",all\n");
        o.settings = settings();
        for (auto& c : o.settings.classes) c.late_worth = c.worth < 5 ? 0.2 : 0.0;
        (scgi ? o.scgi : o.http) = "127.0.0.1:0";
        gateway = std::make_unique<upstream::Gateway>(w.loop, deadlines, clock, o, 11);
    }
    void rest() {  // until nothing is on its way between client, core and stand-in
        const auto& n = gateway->server().counts();
        w.until(
            [&] {
                deadlines.run(clock.now);
                server.look();
                take_answers();
                const bool due = deadlines.next() && *deadlines.next() <= clock.now;
                return !due && answers == n.served + n.refused + n.failed && left == n.gone &&
                       server.received == n.runs && server.open() == n.runs - n.ends;
            },
            false);
    }
    void take_answers() {
        for (Client& c : clients) {
            if (c.over || !c.peer) continue;
            const std::size_t head = c.peer->got.find("\r\n\r\n");
            if (head == std::string::npos || (scgi && !c.peer->ended)) continue;
            const std::string result = c.peer->got.substr(head + 4), wanted = "map of " + c.body;
            const std::string status = c.peer->got.substr(scgi ? 8 : 9, 3);
            if (status == "200" && result.size() < wanted.size()) continue;
            c.over = true;
            ++answers;
            const auto& k = gateway->server().settings().classes[c.asked.kind];
            const Span took = clock.now - start - c.asked.at;
            if (status == "200") {
                figures.odd_results += result != wanted;
                figures.earned += k.worth * (took <= k.target ? 1.0 : k.late_worth);
            }
            const bool late = c.asked.at > Time((leave_ms + 2'000) * 1000);
            figures.late_orders += late;
            figures.late_orders_refused += late && status == "503";
            const char* how = status == "200" ? "served" : status == "503" ? "refused" : "failed";
            ++figures.finals[std::string(kinds[c.asked.kind]) + ' ' + how];
            c.peer->close();
        }
    }
    void ask(const Asked& a) {
        Client& c = clients.emplace_back();
        c.asked = a;
        c.body = std::to_string(a.work_ms) + '.';
        figures.asked += gateway->server().settings().classes[a.kind].worth;
        c.peer = dial(w, scgi ? gateway->scgi_port() : gateway->http_port());
        const std::string path = std::string("/v1/") + kinds[a.kind], length = std::to_string(c.body.size());
        if (scgi) {
            std::string head = bytes("CONTENT_LENGTH\0");
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
        w.until([&] { return gateway->server().counts().read == read; });
        rest();
    }
    Figures play() {
        const std::vector<Asked> script = friday();
        std::size_t next = 0;
        for (int ms = 0; ms < day_ms; ms += step_ms) {
            clock.now = start + Span(ms * 1000);
            server.work(step_ms);
            rest();
            if (ms == leave_ms) gateway->leave();
            for (; next < script.size() && script[next].at <= Time(ms * 1000); ++next) ask(script[next]);
            for (Client& c : clients) {
                if (c.over || clock.now - start < c.asked.at + c.asked.patience) continue;
                c.over = true;
                ++left;
                ++figures.finals[std::string(kinds[c.asked.kind]) + " gone"];
                c.peer->close();
                rest();
            }
        }
        return figures;
    }
    const Time start = clock.now;
};

TEST_CASE("a Friday evening fares alike over HTTP and over SCGI") {
    const Figures http = Evening(false).play(), scgi = Evening(true).play();
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
