/// Helpers shared by many tests: scripted peers on loopback that run on the event loop of the code under test.
#pragma once

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"

namespace cressledge::testing {

using namespace cressledge;
using base::Duration, base::Timestamp;

/// A string of a literal that may contain zero bytes.
template <std::size_t N>
std::string binary_literal(const char (&literal)[N]) {
    return {literal, N - 1};
}

/// Returns the program's log output since the last call.
std::string take_log();

inline Timestamp wall_clock_now() {
    return std::chrono::duration_cast<Timestamp>(std::chrono::system_clock::now().time_since_epoch());
}

/// An event loop on the real clock.
struct TestLoop {
    base::TimerQueue timers;
    net::Loop loop{timers};

    /// Runs the loop until `is_done`, which is called before the first turn and after each, returns true. If
    /// `wait_for_events` is false, `is_done` must make progress itself. Fails the test after 10 seconds.
    void run_until(const std::function<bool()>& is_done, bool wait_for_events = true) {
        const Timestamp deadline = wall_clock_now() + Duration(10'000'000);
        const base::TimerHandle wake_up = timers.schedule(deadline, [] {});
        bool done = is_done();
        while (!done && wall_clock_now() < deadline) {
            loop.run_once(wait_for_events);
            done = is_done();
        }
        REQUIRE(done);
    }
};

/// One end of a connection, which records what it receives.
struct StreamPeer final : net::Stream::Owner {
    net::Stream* stream = nullptr;
    std::string received;
    bool is_open = false;
    bool is_closed = false;
    bool connect_refused = false;

    ~StreamPeer() override { close(); }
    void on_open() override { is_open = true; }
    void on_bytes(std::string_view bytes) override { received.append(bytes); }
    void on_end(bool connect_failed) override {
        stream = nullptr;
        is_closed = true;
        connect_refused = connect_failed;
    }
    void send(std::string_view bytes) { REQUIRE((stream != nullptr && stream->write(bytes))); }
    void close() {
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    bool has_received(const std::string& expected) const {
        return received.find(expected) != std::string::npos;
    }
    /// Removes the received bytes up to the end of the first `delimiter` and returns them.
    std::string take_through(const std::string& delimiter) {
        const std::size_t end = received.find(delimiter) + delimiter.size();
        const std::string taken = received.substr(0, end);
        received.erase(0, end);
        return taken;
    }
};

inline net::Address loopback_address(int port) {
    return *net::Address::parse("127.0.0.1:" + std::to_string(port));
}

inline std::unique_ptr<StreamPeer> connect_peer(TestLoop& test_loop, int port) {
    auto peer = std::make_unique<StreamPeer>();
    peer->stream = net::Stream::connect(test_loop.loop.uv(), loopback_address(port), *peer);
    test_loop.run_until([&] { return peer->is_open || peer->is_closed; });
    return peer;
}

/// A listener that accepts each connection as a peer.
struct ListeningPeer {
    std::vector<std::unique_ptr<StreamPeer>> peers;
    std::unique_ptr<net::Listener> listener;

    explicit ListeningPeer(net::Loop& loop, int port = 0) { listen(loop, port); }
    void listen(net::Loop& loop, int port) {
        listener = std::make_unique<net::Listener>(loop.uv(), loopback_address(port), [this] {
            peers.push_back(std::make_unique<StreamPeer>());
            peers.back()->stream = net::Stream::accept(*listener, *peers.back());
        });
    }
    int port() const { return listener->port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    StreamPeer& latest_peer() { return *peers.back(); }
    bool has_received(const std::string& expected) const {
        return !peers.empty() && peers.back()->has_received(expected);
    }
};

/// A directory that is removed with its files at the end of the test.
struct TemporaryDirectory {
    std::string path;
    std::vector<std::string> files;

    TemporaryDirectory() {
        char name[] = "/tmp/cressledge-XXXXXX";
        path = mkdtemp(name);
    }
    ~TemporaryDirectory() {
        for (const std::string& file : files)
            std::remove(file.c_str());
        std::remove(path.c_str());
    }
    std::string write_file(const std::string& name, const std::string& text) {
        files.push_back(path + '/' + name);
        std::ofstream(files.back()) << text;
        return files.back();
    }
};

/// A clock that the test sets.
struct ManualClock final : base::Clock {
    Timestamp now{1'764'576'000'000'000};
    Timestamp unix_now() override { return now; }
};

/// Settings with three classes: two reads, and a write that must run once.
inline policy::Settings test_settings() {
    policy::Settings settings;
    settings.cores = 4;
    settings.memory_kb = 80'000.0;
    settings.max_runnable_per_core = 5.0;
    settings.drain_grace = Duration(2'000'000);
    settings.max_retry_after = Duration(1'000'000);
    settings.preemption = policy::Preemption::discard;
    const auto add = [&](const char* name, policy::Idempotency idempotency, double weight, int objective_ms,
                         int deadline_ms) {
        policy::RequestClass request_class;
        request_class.name = name;
        request_class.idempotency = idempotency;
        request_class.priority_weight = weight;
        request_class.latency_objective = Duration(objective_ms * 1000);
        request_class.answer_deadline = Duration(deadline_ms * 1000);
        settings.classes.push_back(request_class);
    };
    add("trail-sheet", policy::Idempotency::always, 1, 2900, 8800);
    add("route-profile", policy::Idempotency::always, 2, 1500, 3500);
    add("map-order", policy::Idempotency::never, 5, 3500, 12000);
    return settings;
}

}  // namespace cressledge::testing
