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

#include "core/server.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace story {

using namespace cressledge;
using core::Span, core::Time;

// A literal with its zero bytes.
template <std::size_t N>
std::string bytes(const char (&literal)[N]) {
    return {literal, N - 1};
}

std::string logged();  // what the program has logged since the last call

inline Time wall() {
    return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
}

struct World {  // a loop on the real clock
    core::Deadlines deadlines;
    net::Loop loop{deadlines};
    // Waits on events; the bound only ends a test that has failed.
    // Where `done` itself moves things on, there may be nothing to wait for.
    void until(const std::function<bool()>& done, bool wait = true) {
        const Time end = wall() + Span(10'000'000);
        core::Deadlines::Handle bound = deadlines.at(end, [] {});
        bool reached = done();  // asked once a turn: it may take what it looks at
        while (!reached && wall() < end) {
            loop.turn(wait);
            reached = done();
        }
        deadlines.cancel(bound);
        REQUIRE(reached);
    }
};

struct Peer final : net::Stream::Owner {  // one end of a connection
    net::Stream* stream = nullptr;
    std::string got;
    bool open = false, ended = false, refused = false;
    ~Peer() override { close(); }
    void on_open() override { open = true; }
    void on_bytes(std::string_view b) override { got.append(b); }
    void on_end(bool r) override { stream = nullptr, ended = true, refused = r; }
    void send(std::string_view b) { REQUIRE((stream != nullptr && stream->write(b))); }
    void close() {
        if (stream != nullptr) std::exchange(stream, nullptr)->close();
    }
    bool has(const std::string& part) const { return got.find(part) != std::string::npos; }
    // Takes what stands before and including `part` out of what was read.
    std::string take(const std::string& part) {
        const std::size_t end = got.find(part) + part.size();
        const std::string front = got.substr(0, end);
        got.erase(0, end);
        return front;
    }
};

inline net::Address at(int port) { return *net::Address::parse("127.0.0.1:" + std::to_string(port)); }

inline std::unique_ptr<Peer> dial(World& w, int port) {
    auto p = std::make_unique<Peer>();
    p->stream = net::Stream::dial(w.loop.uv(), at(port), *p);
    w.until([&] { return p->open || p->ended; });
    return p;
}

struct Standing {  // a listening peer
    std::vector<std::unique_ptr<Peer>> peers;
    std::unique_ptr<net::Listener> listener;
    explicit Standing(net::Loop& loop, int port = 0) { listen(loop, port); }
    void listen(net::Loop& loop, int port) {
        listener = std::make_unique<net::Listener>(loop.uv(), at(port), [this] {
            peers.push_back(std::make_unique<Peer>());
            peers.back()->stream = net::Stream::accept(*listener, *peers.back());
        });
    }
    int port() const { return listener->port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    Peer& last() { return *peers.back(); }
    bool has(const std::string& part) const { return !peers.empty() && peers.back()->has(part); }
};

struct Folder {  // files of one test
    std::string path;
    Folder() {
        char name[] = "/tmp/cressledge-XXXXXX";
        path = mkdtemp(name);
    }
    ~Folder() {
        for (const std::string& f : files) std::remove(f.c_str());
        std::remove(path.c_str());
    }
    std::string write(const std::string& name, const std::string& text) {
        files.push_back(path + '/' + name);
        std::ofstream(files.back()) << text;
        return files.back();
    }
    std::vector<std::string> files;
};

struct ManualClock final : core::Clock {
    Time now{1'764'576'000'000'000};
    Time unix_now() override { return now; }
};

// Classes of the site: two reads and a write that must run once.
inline curlewreel::Settings settings() {
    curlewreel::Settings s;
    s.cores = 4;
    s.memory_kb = 80'000.0;
    s.crowd = 5.0;
    s.drain_grace = Span(2'000'000);
    s.max_retry_after = Span(1'000'000);
    s.stop = curlewreel::Stop::discard;
    const auto add = [&](const char* name, curlewreel::Effect effect, double worth, int target,
                         int deadline) {
        curlewreel::Class c;
        c.name = name;
        c.effect = effect;
        c.worth = worth;
        c.target = Span(target * 1000);
        c.deadline = Span(deadline * 1000);
        s.classes.push_back(c);
    };
    add("trail-sheet", curlewreel::Effect::safe, 1, 2900, 8800);
    add("route-profile", curlewreel::Effect::safe, 2, 1500, 3500);
    add("map-order", curlewreel::Effect::unsafe, 5, 3500, 12000);
    return s;
}

}  // namespace story
