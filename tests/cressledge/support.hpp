/// Scripted peers on loopback, all on the event loop of what is tested, and what many tests share.
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

/// A literal with its zero bytes.
template <std::size_t N>
std::string binary_literal(const char (&literal)[N]) {
    return {literal, N - 1};
}

/// What the program has logged since the last call.
std::string take_log();

inline Timestamp wall_clock_now() {
    return std::chrono::duration_cast<Timestamp>(std::chrono::system_clock::now().time_since_epoch());
}

/// An event loop on the real clock.
struct TestLoop {
    base::TimerQueue timers;
    net::Loop loop{timers};

    /// Runs until `is_done`, which is asked once a turn. Without events to wait for, `is_done` has to move things on. The
    /// bound ends only a test that has failed.
    void run_until(const std::function<bool()>& is_done, bool wait_for_events = true) {
        const Timestamp end = wall_clock_now() + Duration(10'000'000);
        const base::TimerHandle wake_up = timers.schedule(end, [] {});
        bool reached = is_done();
        while (!reached && wall_clock_now() < end) {
            loop.run_once(wait_for_events);
            reached = is_done();
        }
        REQUIRE(reached);
    }
};

/// One end of a connection.
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
    bool has_received(const std::string& part) const { return received.find(part) != std::string::npos; }
    /// Takes what stands before and including `part` out of what was received.
    std::string take_through(const std::string& part) {
        const std::size_t end = received.find(part) + part.size();
        const std::string front = received.substr(0, end);
        received.erase(0, end);
        return front;
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

/// A listener whose connections are peers.
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
    bool has_received(const std::string& part) const {
        return !peers.empty() && peers.back()->has_received(part);
    }
};

/// A directory and files that are removed at the end of the test.
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

/// The classes of the tests: two reads, and a write that must run once.
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
