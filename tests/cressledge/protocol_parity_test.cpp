// Parity of the two protocols: the same scripted load, with an overload and a drain, runs over HTTP and over SCGI
// against a fake upstream host on loopback. The script drives the clock, and each step waits until all its effects have
// settled, so that the result does not depend on the machine's speed.
#include <algorithm>
#include <array>
#include <cstring>
#include <iterator>
#include <random>

#include "frontend_fixture.hpp"
#include "gateway_fixture.hpp"

namespace {

using namespace cressledge::testing;

constexpr const char* class_names[] = {"trail-sheet", "route-profile", "map-order"};
constexpr std::size_t class_count = 3;
constexpr std::size_t order_class = 2;
constexpr int script_ms = 14'000;
constexpr int shutdown_ms = 11'000;
constexpr int step_ms = 5;
/// The end of the drain's grace period. Later requests are all orders, and all must be rejected.
constexpr int grace_end_ms = shutdown_ms + 2'000;

struct ScriptedRequest {
    Timestamp send_at{0};
    std::size_t class_index = 0;
    int work_ms = 0;
    /// The client disconnects after this time if it has no response.
    Duration caller_timeout{0};
};

/// Light load, then 1.6 times the capacity of the upstream's four cores, then light load again, and a drain at the end.
class RequestScript {
public:
    std::vector<ScriptedRequest> make() {
        std::vector<ScriptedRequest> script;
        for (int ms = 0; ms < script_ms - 550; ms += step_ms) {
            const bool is_after_grace = ms > grace_end_ms;
            const bool is_light = ms < 2'500 || ms > 8'500;
            const int requests_per_second = !is_after_grace && is_light ? 9 : 26;
            if (random_below(1'000 / step_ms) < requests_per_second)
                script.push_back(make_request(ms, is_after_grace));
        }
        return script;
    }

private:
    ScriptedRequest make_request(int ms, bool is_after_grace) {
        const int class_percentile = random_below(100);
        ScriptedRequest request;
        request.send_at = Timestamp(ms * 1000);
        request.class_index = is_after_grace ? order_class : class_at(class_percentile);
        constexpr int base_work_ms[class_count] = {200, 120, 300};
        request.work_ms = base_work_ms[request.class_index] + random_below(150);
        request.caller_timeout = random_below(12) == 0 ? Duration(400'000) : Duration(60'000'000);
        return request;
    }
    static std::size_t class_at(int percentile) {
        if (percentile < 46)
            return 0;
        return percentile < 90 ? 1 : order_class;
    }
    int random_below(unsigned limit) { return static_cast<int>(random_() % limit); }

    /// Used without the library's distributions, whose results differ between implementations.
    std::mt19937 random_{5};
};

/// Four cores, shared equally by all calls in flight; advances with the script's clock.
class FakeMultiCoreUpstream {
public:
    FakeMultiCoreUpstream(TestLoop& test_loop, bool uses_scgi)
        : uses_scgi_(uses_scgi), listener_(test_loop.loop.uv(), loopback_address(0), [this] { accept(); }) {}

    int port() const { return listener_.port(); }
    std::size_t received_calls() const { return received_calls_; }
    std::size_t open_calls() const {
        return static_cast<std::size_t>(
            std::count_if(calls_.begin(), calls_.end(), [](const auto& call) { return call->is_running(); }));
    }
    /// Starts the calls that have been received completely. A body states the work in milliseconds and ends in a full
    /// stop.
    void read_calls() {
        for (auto& call : calls_) {
            const std::string& received = call->peer.received;
            if (call->remaining_ms >= 0.0 || received.empty() || received.back() != '.')
                continue;
            call->body = received.substr(received.rfind(uses_scgi_ ? ',' : '\n') + 1);
            call->remaining_ms = std::stod(call->body);
            ++received_calls_;
        }
    }
    void advance(double ms) {
        const double core_fraction = std::min(1.0, cores / std::max(1.0, static_cast<double>(open_calls())));
        for (auto& call : calls_) {
            if (!call->is_running())
                continue;
            call->remaining_ms = std::max(0.0, call->remaining_ms - ms * core_fraction);
            if (call->remaining_ms <= 0.0)
                respond(*call);
        }
    }

private:
    static constexpr double cores = 4.0;

    struct Call {
        StreamPeer peer;
        /// Work left in milliseconds; negative until the call has been received completely.
        double remaining_ms = -1.0;
        std::string body;
        bool has_response = false;
        bool is_running() const { return remaining_ms >= 0.0 && !has_response && !peer.is_closed; }
    };

    void accept() {
        calls_.push_back(std::make_unique<Call>());
        StreamPeer& peer = calls_.back()->peer;
        peer.stream = net::Stream::accept(listener_, peer);
    }
    void respond(Call& call) const {
        call.has_response = true;
        const std::string result = "map of " + call.body;
        const std::string status = uses_scgi_ ? "Status: 200 OK\r\n" : "HTTP/1.1 200 OK\r\n";
        call.peer.send(status + "Content-Length: " + std::to_string(result.size()) + "\r\n\r\n" + result);
        call.peer.stream->shut_down_writes();
    }

    const bool uses_scgi_;
    std::vector<std::unique_ptr<Call>> calls_;
    std::size_t received_calls_ = 0;
    net::Listener listener_;
};

enum class Outcome { served, rejected, failed, cancelled };
constexpr Outcome all_outcomes[] = {Outcome::served, Outcome::rejected, Outcome::failed, Outcome::cancelled};

const char* to_string(Outcome outcome) {
    constexpr const char* names[] = {"served", "rejected", "failed", "cancelled"};
    return names[static_cast<std::size_t>(outcome)];
}

/// Results of one run of the script.
struct Totals {
    std::array<std::array<int, std::size(all_outcomes)>, class_count> counts{};
    double offered_weight = 0.0;
    double earned_weight = 0.0;
    int orders_after_grace = 0;
    int orders_rejected_after_grace = 0;
    int wrong_results = 0;

    double earned_fraction() const { return earned_weight / offered_weight; }
    int count(std::size_t class_index, Outcome outcome) const {
        return counts[class_index][static_cast<std::size_t>(outcome)];
    }
    int count(Outcome outcome) const {
        int total = 0;
        for (std::size_t i = 0; i < class_count; ++i)
            total += count(i, outcome);
        return total;
    }
    int count() const {
        int total = 0;
        for (const Outcome outcome : all_outcomes)
            total += count(outcome);
        return total;
    }
    std::string summary() const {
        std::string text;
        for (const Outcome outcome : all_outcomes)
            text += std::string(to_string(outcome)) + ' ' + std::to_string(count(outcome)) + ", ";
        return text + "earned " + std::to_string(earned_fraction());
    }
};

/// Runs the script over one protocol.
class ProtocolRun {
public:
    explicit ProtocolRun(Protocol protocol)
        : uses_scgi_(protocol == Protocol::scgi), upstream_host_(test_loop_, uses_scgi_) {
        config::OperatorConfig config;
        config.inventory_path = directory_.write_file(
            "s.csv",
            "name,address,protocol,group\nstand-in,127.0.0.1:" + std::to_string(upstream_host_.port()) + ',' +
                (uses_scgi_ ? "scgi" : "http") + ",all\n");
        config.policy_settings = test_settings();
        for (auto& request_class : config.policy_settings.classes)
            request_class.late_priority_weight = request_class.priority_weight < 5 ? 0.2 : 0.0;
        (uses_scgi_ ? config.scgi_address : config.http_address) = "127.0.0.1:0";
        gateway_ = std::make_unique<upstream::UpstreamGateway>(test_loop_.loop, timers_, clock_, config, 11);
    }

    Totals run() {
        const std::vector<ScriptedRequest> script = RequestScript().make();
        std::size_t next = 0;
        for (int ms = 0; ms < script_ms; ms += step_ms) {
            clock_.now = start_ + Duration(ms * 1000);
            upstream_host_.advance(step_ms);
            settle();
            if (ms == shutdown_ms)
                gateway_->begin_graceful_shutdown();
            for (; next < script.size() && script[next].send_at <= Timestamp(ms * 1000); ++next)
                send(script[next]);
            cancel_timed_out();
        }
        return totals_;
    }

private:
    struct Client {
        ScriptedRequest request;
        std::string body;
        std::unique_ptr<StreamPeer> peer;
        bool is_done = false;
    };

    const policy::RequestClass& class_of(const ScriptedRequest& request) const {
        return gateway_->request_manager().settings().classes[request.class_index];
    }

    /// Waits until nothing is in flight between clients, gateway and upstream host.
    void settle() {
        test_loop_.run_until(
            [&] {
                timers_.run_due(clock_.now);
                upstream_host_.read_calls();
                read_responses();
                return is_settled();
            },
            false);
    }
    bool is_settled() {
        const auto& counts = gateway_->request_manager().counts();
        const bool is_timer_due = timers_.next_due() && *timers_.next_due() <= clock_.now;
        return !is_timer_due && response_count_ == counts.served + counts.rejected + counts.failed &&
               cancelled_count_ == counts.cancelled &&
               upstream_host_.received_calls() == counts.runs_started &&
               upstream_host_.open_calls() == counts.runs_started - counts.runs_finished;
    }

    void read_responses() {
        for (Client& client : clients_)
            if (!client.is_done && client.peer)
                read_response(client);
    }
    void read_response(Client& client) {
        const std::string& received = client.peer->received;
        const std::size_t head_end = received.find("\r\n\r\n");
        if (head_end == std::string::npos || (uses_scgi_ && !client.peer->is_closed))
            return;
        const std::string result = received.substr(head_end + 4);
        const std::string expected = "map of " + client.body;
        const std::string status = received.substr(std::strlen(uses_scgi_ ? "Status: " : "HTTP/1.1 "), 3);
        if (status == "200" && result.size() < expected.size())
            return;
        ++response_count_;
        if (status == "200") {
            totals_.wrong_results += result != expected;
            totals_.earned_weight += earned_weight(client.request);
        }
        const bool is_after_grace = client.request.send_at > Timestamp(grace_end_ms * 1000);
        totals_.orders_after_grace += is_after_grace;
        totals_.orders_rejected_after_grace += is_after_grace && status == "503";
        finish(client, outcome_of(status));
    }
    static Outcome outcome_of(const std::string& status) {
        if (status == "200")
            return Outcome::served;
        return status == "503" ? Outcome::rejected : Outcome::failed;
    }
    double earned_weight(const ScriptedRequest& request) const {
        const policy::RequestClass& request_class = class_of(request);
        const Duration latency = clock_.now - start_ - request.send_at;
        const bool is_late = latency > request_class.latency_objective;
        return request_class.priority_weight * (is_late ? request_class.late_priority_weight : 1.0);
    }
    void finish(Client& client, Outcome outcome) {
        client.is_done = true;
        ++totals_.counts[client.request.class_index][static_cast<std::size_t>(outcome)];
        client.peer->close();
    }

    void send(const ScriptedRequest& request) {
        Client& client = clients_.emplace_back();
        client.request = request;
        client.body = std::to_string(request.work_ms) + '.';
        totals_.offered_weight += class_of(request).priority_weight;
        client.peer = connect_peer(test_loop_, uses_scgi_ ? gateway_->scgi_port() : gateway_->http_port());
        const char* class_name = class_names[request.class_index];
        client.peer->send(uses_scgi_ ? scgi_request(class_name, client.body)
                                     : http_request(class_name, client.body));
        const std::size_t sent = clients_.size();
        test_loop_.run_until([&] { return gateway_->request_manager().counts().received == sent; });
        settle();
    }
    void cancel_timed_out() {
        for (Client& client : clients_) {
            const Timestamp timeout = client.request.send_at + client.request.caller_timeout;
            if (client.is_done || clock_.now - start_ < timeout)
                continue;
            ++cancelled_count_;
            finish(client, Outcome::cancelled);
            settle();
        }
    }

    const bool uses_scgi_;
    TestLoop test_loop_;
    ManualClock clock_;
    const Timestamp start_ = clock_.now;
    base::TimerQueue timers_;
    TemporaryDirectory directory_;
    FakeMultiCoreUpstream upstream_host_;
    std::unique_ptr<upstream::UpstreamGateway> gateway_;
    std::vector<Client> clients_;
    Totals totals_;
    std::size_t response_count_ = 0;
    std::size_t cancelled_count_ = 0;
};

TEST_CASE("HTTP and SCGI: one scripted load has the same outcomes over either protocol") {
    const Totals http = ProtocolRun(Protocol::http).run();
    const Totals scgi = ProtocolRun(Protocol::scgi).run();
    const int total = http.count();
    INFO("HTTP: " << http.summary());
    INFO("SCGI: " << scgi.summary());
    // The load must be large and varied enough for the comparison.
    CHECK(total > 150);
    CHECK(http.count(Outcome::served) > total / 2);
    CHECK(http.count(Outcome::rejected) > total / 50);
    CHECK(http.count(Outcome::cancelled) > 0);
    CHECK(scgi.count() == total);
    for (std::size_t i = 0; i < class_count; ++i)
        for (const Outcome outcome : all_outcomes) {
            INFO(class_names[i] << ' ' << to_string(outcome));
            CHECK(std::abs(http.count(i, outcome) - scgi.count(i, outcome)) <= 0.02 * total);
        }
    CHECK(std::abs(http.earned_fraction() - scgi.earned_fraction()) <= 0.02 * http.earned_fraction());
    CHECK(http.wrong_results + scgi.wrong_results == 0);
    CHECK(http.orders_after_grace > 0);
    CHECK(http.orders_rejected_after_grace == http.orders_after_grace);
    CHECK(scgi.orders_rejected_after_grace == http.orders_after_grace);
    WARN("served " << http.count(Outcome::served) << " and " << scgi.count(Outcome::served) << " of " << total
                   << ", earned " << http.earned_fraction() << " and " << scgi.earned_fraction());
}

}  // namespace
