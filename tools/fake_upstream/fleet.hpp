// A stand-in for the servers of an inventory: many HTTP/1.1 servers in one process, each a Queue on a listening socket of
// its own, that say their load (load_balancing::report) in their answers. They slow down, fail and restart cold on command.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/slot_map.hpp"
#include "fake_upstream/observer.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::fake_upstream {

struct Plan {
    std::vector<Nature> servers;
    std::vector<std::string> addresses;  // of each, with a port; port 0: the kernel chooses
    std::set<std::string> once;  // classes of which no body may be read twice
    std::uint64_t seed = 1;
};

class Fleet {
public:
    Fleet(net::Loop& loop, base::TimerQueue& timers, Plan plan);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    std::size_t size() const { return queues_.size(); }
    std::string address(std::size_t server) const;
    void slow(std::size_t server, double factor) { queues_.at(server).slow(factor); }
    void fail(std::size_t server, bool on) { queues_.at(server).fail(on); }
    void restart(std::size_t server, Duration gone_for);  // its connections break; it listens again, cold
    void observe(bool on);  // from now on; what was seen before is forgotten when it is turned on

    struct Counts {
        std::uint64_t calls = 0, answers = 0, errors = 0, probes = 0;
        std::uint64_t given_up = 0;  // calls whose connection ended first
        std::uint64_t bad = 0;  // that no server understands
        std::uint64_t doubled = 0;  // bodies of a class of `once` that came again
    };
    const Counts& counts() const { return counts_; }
    const std::vector<std::uint64_t>& calls() const { return calls_; }  // of each server
    Evenness evenness() const { return observer_.result(); }

private:
    class Connection;
    void listen(std::size_t server);
    void take(std::size_t server);
    void read(Connection& c);
    void follow(std::size_t server, const std::optional<Queue::Begun>& begun);
    void end(CallNo call);
    void leave(std::size_t server, CallNo call);
    void gone(base::SlotId no);
    void look();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const Plan plan_;
    Random random_;
    std::vector<Queue> queues_;
    std::vector<std::unique_ptr<net::Listener>> listeners_;
    std::vector<int> ports_;
    base::SlotMap<Connection> connections_;
    std::map<CallNo, base::SlotId> open_;  // calls that a connection waits for
    std::map<CallNo, base::TimerHandle> ends_;
    std::map<std::size_t, base::TimerHandle> back_;
    std::set<std::string> seen_;
    CallNo last_ = 0;
    base::TimerHandle look_, sweep_;
    std::vector<base::SlotId> over_;  // freed on the next turn: their own code may be on the stack
    Timestamp next_look_{0};
    Observer observer_;
    Counts counts_;
    std::vector<std::uint64_t> calls_;
};

}  // namespace cressledge::fake_upstream
