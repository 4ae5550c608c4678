// Scripted peers on loopback, all on the server's own event loop, and a core with a scripted controller.
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

// A literal with its zero bytes.
template <std::size_t N>
std::string binary_literal(const char (&literal)[N]) {
    return {literal, N - 1};
}

std::string take_log();  // what the program has logged since the last call

inline Timestamp wall_clock_now() {
    return std::chrono::duration_cast<Timestamp>(std::chrono::system_clock::now().time_since_epoch());
}

struct TestLoop {  // a loop on the real clock
    base::TimerQueue timers;
    net::Loop loop{timers};
    // Waits on events; the bound only ends a test that has failed.
    // Where `done` itself moves things on, there may be nothing to wait for.
    void run_until(const std::function<bool()>& is_done, bool wait_for_events = true) {
        const Timestamp end = wall_clock_now() + Duration(10'000'000);
        base::TimerQueue::Handle bound = timers.schedule(end, [] {});
        bool reached = is_done();  // asked once a turn: it may take what it looks at
        while (!reached && wall_clock_now() < end) {
            loop.run_once(wait_for_events);
            reached = is_done();
        }
        timers.cancel(bound);
        REQUIRE(reached);
    }
};

struct StreamPeer final : net::Stream::Owner {  // one end of a connection
    net::Stream* stream = nullptr;
    std::string received;
    bool is_open = false, is_closed = false, connect_refused = false;
    ~StreamPeer() override { close(); }
    void on_open() override { is_open = true; }
    void on_bytes(std::string_view b) override { received.append(b); }
    void on_end(bool connect_failed) override {
        stream = nullptr, is_closed = true, connect_refused = connect_failed;
    }
    void send(std::string_view b) { REQUIRE((stream != nullptr && stream->write(b))); }
    void close() {
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    bool has_received(const std::string& part) const { return received.find(part) != std::string::npos; }
    // Takes what stands before and including `part` out of what was read.
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

inline std::unique_ptr<StreamPeer> connect_peer(TestLoop& w, int port) {
    auto p = std::make_unique<StreamPeer>();
    p->stream = net::Stream::connect(w.loop.uv(), loopback_address(port), *p);
    w.run_until([&] { return p->is_open || p->is_closed; });
    return p;
}

struct ListeningPeer {  // a listening peer
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

struct TemporaryDirectory {  // files of one test
    std::string path;
    TemporaryDirectory() {
        char name[] = "/tmp/cressledge-XXXXXX";
        path = mkdtemp(name);
    }
    ~TemporaryDirectory() {
        for (const std::string& f : files)
            std::remove(f.c_str());
        std::remove(path.c_str());
    }
    std::string write_file(const std::string& name, const std::string& text) {
        files.push_back(path + '/' + name);
        std::ofstream(files.back()) << text;
        return files.back();
    }
    std::vector<std::string> files;
};

struct ManualClock final : base::Clock {
    Timestamp now{1'764'576'000'000'000};
    Timestamp unix_now() override { return now; }
};

// Classes of the site: two reads and a write that must run once.
inline cressledge::policy::Settings test_settings() {
    cressledge::policy::Settings s;
    s.cores = 4;
    s.memory_kb = 80'000.0;
    s.max_runnable_per_core = 5.0;
    s.drain_grace = Duration(2'000'000);
    s.max_retry_after = Duration(1'000'000);
    s.preemption = cressledge::policy::Preemption::discard;
    const auto add = [&](const char* name, cressledge::policy::Idempotency effect, double worth, int target,
                         int deadline) {
        cressledge::policy::RequestClass c;
        c.name = name;
        c.idempotency = effect;
        c.priority_weight = worth;
        c.latency_objective = Duration(target * 1000);
        c.answer_deadline = Duration(deadline * 1000);
        s.classes.push_back(c);
    };
    add("trail-sheet", cressledge::policy::Idempotency::always, 1, 2900, 8800);
    add("route-profile", cressledge::policy::Idempotency::always, 2, 1500, 3500);
    add("map-order", cressledge::policy::Idempotency::never, 5, 3500, 12000);
    return s;
}

}  // namespace cressledge::testing
