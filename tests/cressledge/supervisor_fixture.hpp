/// Real processes of the program under a real supervisor, and steady load on both of their frontends.
#pragma once

#include <csignal>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "fault_injection/child_process.hpp"
#include "frontend_fixture.hpp"
#include "gateway_fixture.hpp"
#include "listening_sockets.hpp"
#include "net/http_client.hpp"

namespace cressledge::testing {

/// Whether the process has ended, also if its parent has not read its exit status yet.
inline bool has_ended(int pid) {
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    const std::size_t name_end = text.rfind(')');
    return name_end == std::string::npos || text.compare(name_end, 3, ") Z") == 0;
}

/// Number of open descriptors of another process.
inline std::size_t descriptor_count(int pid) {
    const std::filesystem::directory_iterator begin("/proc/" + std::to_string(pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin, std::filesystem::directory_iterator()));
}

enum class CallOutcome { pending, served, rejected, refused, crossed_close, lost };

/// One request on a connection of its own, as an SCGI client sends it.
struct ClientCall final : net::Stream::Owner {
    /// A request that crosses the close of its connection within this time is sent again by its client.
    static constexpr Duration crossing_time{50'000};

    ClientCall(TestLoop& test_loop, int port, std::string text) : request(std::move(text)) {
        stream = net::Stream::connect(test_loop.loop.uv(), loopback_address(port), *this);
        if (stream == nullptr)
            outcome = CallOutcome::refused;
    }
    ~ClientCall() override {
        if (stream != nullptr)
            stream->close();
    }
    void on_open() override {
        sent_at = wall_clock_now();
        stream->write(request);
    }
    void on_bytes(std::string_view bytes) override {
        received.append(bytes);
        if (received.find("\r\n\r\n") == std::string::npos)
            return;
        const bool is_served = received.find(" 200 OK\r\n") != std::string::npos;
        outcome = is_served ? CallOutcome::served : CallOutcome::rejected;
    }
    void on_end(bool connect_failed) override {
        stream = nullptr;
        if (outcome != CallOutcome::pending)
            return;
        if (connect_failed)
            outcome = CallOutcome::refused;
        else
            outcome =
                wall_clock_now() - sent_at > crossing_time ? CallOutcome::lost : CallOutcome::crossed_close;
    }

    const std::string request;
    net::Stream* stream = nullptr;
    Timestamp sent_at{0};
    std::string received;
    CallOutcome outcome = CallOutcome::pending;
};

/// Sends a request to each port of each protocol every 20 ms.
class SteadyLoad {
public:
    SteadyLoad(TestLoop& test_loop, std::vector<std::pair<Protocol, int>> targets)
        : test_loop_(test_loop), targets_(std::move(targets)) {}

    void start() {
        send_to_all();
        timer_ = test_loop_.timers.schedule(wall_clock_now() + interval, [this] { start(); });
    }
    /// Sends one request to each port now.
    void send_to_all() {
        collect_outcomes();
        for (const auto& [protocol, port] : targets_) {
            const std::string body = "body-" + std::to_string(++sent_) + '.';
            const std::string class_name = sent_ % 4 == 0 ? "map-order" : "trail-sheet";
            calls_.push_back(std::make_unique<ClientCall>(test_loop_, port,
                                                          protocol == Protocol::scgi
                                                              ? scgi_request(class_name, body)
                                                              : http_request(class_name, body)));
        }
    }
    /// Sends nothing more and waits until every request has ended.
    void finish() {
        timer_.cancel();
        test_loop_.run_until([this] { return collect_outcomes(), calls_.empty(); });
    }
    std::size_t count(CallOutcome outcome) {
        collect_outcomes();
        return counts_[outcome];
    }
    std::size_t sent() const { return sent_; }

private:
    static constexpr Duration interval{20'000};

    void collect_outcomes() {
        std::erase_if(calls_, [this](const auto& call) {
            if (call->outcome == CallOutcome::pending)
                return false;
            ++counts_[call->outcome];
            return true;
        });
    }

    TestLoop& test_loop_;
    const std::vector<std::pair<Protocol, int>> targets_;
    std::vector<std::unique_ptr<ClientCall>> calls_;
    std::map<CallOutcome, std::size_t> counts_;
    std::size_t sent_ = 0;
    base::TimerHandle timer_;
};

/// A supervisor and its processes, which serve HTTP and SCGI and call one upstream host over SCGI.
struct SupervisorFixture {
    struct Options {
        std::size_t process_count = 1;
        int stop_ms = 1200;
        int drained_ms = 5000;
        int back_off_ms = 50;
        /// Body of a shell script that is run before the program; empty: none.
        std::string before_program{};
    };

    TestLoop test_loop;
    const std::string directory;
    EchoUpstream upstream_host{test_loop};
    net::HttpClient http_client{test_loop.loop, test_loop.timers};
    const int admin_port = free_port();
    std::vector<std::pair<Protocol, int>> targets;
    std::unique_ptr<fault_injection::ChildProcess> supervisor;
    std::unique_ptr<SteadyLoad> load;
    /// Process ids of all processes that were seen.
    std::set<int> pids;

    explicit SupervisorFixture(const Options& options) : directory(make_directory()) {
        write("servers.csv", "name,address,protocol,group\nup,127.0.0.1:" +
                                 std::to_string(upstream_host.listener.port()) + ",scgi,maps\n");
        std::string processes;
        for (std::size_t i = 0; i < options.process_count; ++i)
            processes += write_process(std::to_string(i), options.stop_ms);
        const std::string program = options.before_program.empty()
                                        ? std::string(CRESSLEDGE_PROGRAM)
                                        : write_program("first", options.before_program);
        write("supervisor.yaml",
              "control: \"127.0.0.1:" + std::to_string(admin_port) + "\"\nprogram: " + program +
                  "\nlogs: .\nready_ms: 8000\ndrained_ms: " + std::to_string(options.drained_ms) +
                  "\nback_off_ms: " + std::to_string(options.back_off_ms) + "\nprocesses:\n" + processes);
        load = std::make_unique<SteadyLoad>(test_loop, targets);
        supervisor = std::make_unique<fault_injection::ChildProcess>(
            test_loop.loop,
            std::vector<std::string>{CRESSLEDGE_PROGRAM, "supervise", directory + "/supervisor.yaml"},
            directory + "/supervisor.log");
        test_loop.run_until(
            [this] { return log_of("supervisor").find("started processes") != std::string::npos; }, false);
    }
    ~SupervisorFixture() {
        // A supervisor that is killed does not end its processes.
        supervisor->send_signal(SIGTERM);
        const Timestamp deadline = wall_clock_now() + Duration(8'000'000);
        const base::TimerHandle wake_up = test_loop.timers.schedule(deadline, [] {});
        while (supervisor->is_running() && wall_clock_now() < deadline)
            test_loop.loop.run_once(true);
        for (const int pid : pids)
            if (!has_ended(pid))
                ::kill(pid, SIGKILL);
        supervisor.reset();
        std::filesystem::remove_all(directory);
    }

    static std::string make_directory() {
        char name[] = "/tmp/cressledge-supervisor-XXXXXX";
        return ::mkdtemp(name);
    }
    void write(const std::string& name, const std::string& text) const {
        std::ofstream(directory + '/' + name) << text;
    }
    std::string write_process(const std::string& number, int stop_ms) {
        const int http_port = free_port(), scgi_port = free_port();
        targets.emplace_back(Protocol::http, http_port);
        targets.emplace_back(Protocol::scgi, scgi_port);
        write(number + ".yaml",
              "listen: {http: \"127.0.0.1:" + std::to_string(http_port) +
                  "\", scgi: \"127.0.0.1:" + std::to_string(scgi_port) +
                  "\"}\ninventory: servers.csv\ncores: 16\nstop_ms: " + std::to_string(stop_ms) +
                  "\nrouting: {probes: false, watch_ms: 0}\nclasses:\n" +
                  "  - {name: trail-sheet, effect: safe, target_ms: 2900, deadline_ms: 8800}\n" +
                  "  - {name: map-order, effect: unsafe, worth: 5, target_ms: 3500, deadline_ms: 12000}\n");
        return "  - {id: p" + number + ", file: " + number + ".yaml}\n";
    }
    /// Writes a script that runs `before` and then becomes the program. Returns its path.
    std::string write_program(const std::string& name, const std::string& before) const {
        write(name, "#!/bin/sh\n" + before + "\nexec " + CRESSLEDGE_PROGRAM + " \"$@\"\n");
        std::filesystem::permissions(directory + '/' + name, std::filesystem::perms::owner_all);
        return directory + '/' + name;
    }
    std::string log_of(const std::string& process) const {
        std::ifstream in(directory + '/' + process + ".log");
        return {std::istreambuf_iterator<char>(in), {}};
    }
    /// Sends a request to the supervisor's admin address and returns the body of the response.
    std::string ask(const std::string& method, const std::string& path, const std::string& body) {
        std::optional<std::string> reply;
        http_client.request(loopback_address(admin_port), method, path, body,
                            wall_clock_now() + Duration(2'000'000),
                            [&](const net::HttpClient::Response& response) { reply = response.body; });
        test_loop.run_until([&] { return reply.has_value(); });
        return *reply;
    }
    /// The processes as the admin address lists them.
    nlohmann::json processes() {
        auto status = nlohmann::json::parse(ask("GET", "/v1/processes", ""), nullptr, false);
        if (!status.is_object())
            return nlohmann::json::array();
        for (const auto& process : status["processes"])
            if (process["pid"] != 0)
                pids.insert(process["pid"].get<int>());
        return status["processes"];
    }
    /// Waits until each process serves with `program`, if one is given, and for at least the `generation`.
    void wait_until_serving(const std::string& program = "", std::uint64_t generation = 1) {
        test_loop.run_until(
            [&] {
                const auto all = processes();
                return !all.empty() && std::all_of(all.begin(), all.end(), [&](const auto& process) {
                    return process["serving"] >= generation &&
                           (program.empty() || process["program"] == program);
                });
            },
            false);
    }
    int serving_pid() { return processes()[0]["pid"]; }
    void change_program(const std::string& program) {
        ask("POST", "/v1/roll", R"({"roll": "r", "held": true})");
        ask("POST", "/v1/processes/p0",
            nlohmann::json{{"roll", "r"}, {"program", program}, {"overlay", ""}}.dump());
    }
    void run_for(Duration duration) {
        const Timestamp end = wall_clock_now() + duration;
        const base::TimerHandle wake_up = test_loop.timers.schedule(end, [] {});
        test_loop.run_until([end] { return wall_clock_now() >= end; });
    }
    void wait_for_exit() {
        test_loop.run_until([this] { return !supervisor->is_running(); });
    }
    /// Expects that the supervisor ends, that every request is answered or refused, that callers are refused in the end,
    /// and that no process is left.
    void expect_clean_end() {
        wait_for_exit();
        CHECK(supervisor->exit_status() == 0);
        expect_refused_without_loss();
        for (const int pid : pids)
            CHECK(has_ended(pid));
    }
    void expect_refused_without_loss() {
        run_for(Duration(100'000));
        load->finish();
        const std::size_t refused = load->count(CallOutcome::refused);
        load->send_to_all();
        load->finish();
        CHECK(load->count(CallOutcome::refused) == refused + targets.size());
        expect_nothing_lost();
    }
    void expect_nothing_lost() {
        INFO("sent " << load->sent() << ", served " << load->count(CallOutcome::served) << ", rejected "
                     << load->count(CallOutcome::rejected) << ", refused "
                     << load->count(CallOutcome::refused) << "\n"
                     << log_of("supervisor") << log_of("p0"));
        CHECK(load->count(CallOutcome::lost) == 0);
        CHECK(load->count(CallOutcome::served) > 0);
        // No request is run twice.
        for (const auto& [number, runs] : upstream_host.run_counts)
            CHECK(runs == 1);
    }
};

}  // namespace cressledge::testing
