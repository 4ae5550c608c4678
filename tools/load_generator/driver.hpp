// Drives requests through the front doors of many processes over HTTP/1.1, as an open loop, and keeps what became of
// each. A request's time counts from the moment it was due, not from when it was sent. Bounded in time by its caller, in
// connections by `most`: a request for which there is none is counted as unsent.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/slot_map.hpp"
#include "load_generator/arrivals.hpp"
#include "load_generator/record.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::load_generator {

class Driver {
public:
    Driver(net::Loop& loop, base::TimerQueue& timers, Arrivals arrivals, std::size_t most = 8192);
    ~Driver();
    Driver(const Driver&) = delete;
    Driver& operator=(const Driver&) = delete;

    void doors(std::vector<net::Address> all) { doors_ = std::move(all); }  // one by chance for each request
    void start();
    void stop();  // no new ones; those that are open go on
    void rate(double rate_s) { arrivals_.rate(rate_s); }
    double rate() const { return arrivals_.rate(); }
    void forget();  // counts from here on; what is open now is not counted
    std::size_t open() const { return waiting_; }
    std::uint64_t sent() const { return sent_; }
    std::uint64_t unsent() const { return unsent_; }
    const std::vector<Record>& records() const { return records_; }  // by class
    const std::vector<Kind>& kinds() const { return arrivals_.kinds(); }
    Record total() const;
    // Called for each request that has ended, with its class, its door's place and what became of it.
    std::function<void(std::size_t kind, std::size_t door, End end, Duration took)> on_end;

private:
    class Connection;
    void come();
    void send(Timestamp due);
    void ended(Connection& c, End end);
    void drop(base::SlotId no);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    Arrivals arrivals_;
    const std::size_t most_;
    std::vector<net::Address> doors_;
    base::SlotMap<Connection> connections_;
    std::unordered_map<std::uint64_t, std::vector<base::SlotId>> idle_;  // by door; used last comes last
    std::vector<base::SlotId> over_;  // freed on the next turn: their own code may be on the stack
    base::TimerHandle sweep_;
    std::vector<Record> records_;
    base::TimerHandle next_;
    Timestamp due_{0}, counted_from_{0};
    std::uint64_t sent_ = 0, unsent_ = 0, serial_ = 0;
    std::size_t waiting_ = 0;
    bool on_ = false;
};

}  // namespace cressledge::load_generator
