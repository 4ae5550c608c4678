// A wire between a caller and a listening address on loopback that can be cut: connections then hang, and nothing of what
// is said goes through; or lossy: a share of the connections, by a seed, is broken off before they say anything.
#pragma once

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/slot_map.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::fault_injection {

class Wire {
public:
    Wire(net::Loop& loop, base::TimerQueue& timers, const net::Address& to, std::uint64_t seed);
    ~Wire();
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    void cut(bool on);
    void loss(double share) { loss_ = share; }
    std::uint64_t passed() const { return passed_; }
    std::uint64_t harmed() const { return harmed_; }

private:
    class Pair;
    void take();
    net::Loop& loop_;
    base::TimerQueue& timers_;
    const net::Address to_;
    pcg32 random_;
    base::SlotMap<Pair> pairs_;
    std::vector<base::SlotId> over_;
    base::TimerHandle sweep_;
    double loss_ = 0.0;
    bool cut_ = false;
    std::uint64_t passed_ = 0, harmed_ = 0;
    net::Listener listener_;
};

}  // namespace cressledge::fault_injection
