// Stands between the processes of a fleet on loopback and harms what they send each other, by link, from a seed: loses,
// delays, doubles and overtakes datagrams, and cuts links. Every process advertises an address of the relay's and binds
// one of its own; whoever writes to the first is passed on to the second, from the sender's address at the relay, so
// that both ends see only such addresses. Full exchanges (connections) are passed on or, on a cut link, closed; who
// dials is read from the first message.
#pragma once

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/slot_map.hpp"
#include "membership/message.hpp"
#include "net/loop.hpp"
#include "net/udp_socket.hpp"

namespace cressledge::fault_injection {

using base::Duration;
using base::Timestamp;

struct Harm {  // of one link, one way; shares of the datagrams
    double loss = 0.0, twice = 0.0;
    Duration least{0}, most{0};  // delay, by chance between the two: what is delayed less overtakes
};

class Relay {
public:
    struct Counts {
        std::uint64_t passed = 0, lost = 0, doubled = 0, cut = 0, strangers = 0, connections = 0, refused = 0;
    };
    Relay(net::Loop& loop, base::TimerQueue& timers, std::string fleet, std::uint64_t seed);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    // A process by its id, which binds `own`; gives the address it advertises, on `ip`.
    membership::Endpoint add(const std::string& id, const membership::Endpoint& own, std::uint32_t ip);
    void harm(const Harm& all);  // every link, until the next call
    void harm(const std::string& from, const std::string& to, const Harm& one);
    void cut(const std::string& from, const std::string& to);  // one way
    void part(const std::set<std::string>& some);  // from all others, both ways
    void heal();  // all cuts; harm stays
    const Counts& counts() const { return counts_; }

private:
    class Pipe;
    struct Process {
        std::string id;
        membership::Endpoint own;
        std::unique_ptr<net::UdpSocket> datagrams;
        std::unique_ptr<net::Listener> listener;
    };
    using Link = std::pair<std::size_t, std::size_t>;
    std::size_t number(const std::string& id) const { return numbers_.at(id); }
    void heard(std::size_t to, std::string_view bytes, const net::Address& from);
    void pass(std::size_t from, std::size_t to, const std::string& bytes);
    void accept(std::size_t to);
    void end(base::SlotId no);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const std::string fleet_;
    pcg32 random_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::map<std::string, std::size_t> numbers_;
    std::map<membership::Endpoint, std::size_t> owners_;
    Harm all_;
    std::map<Link, Harm> harms_;
    std::set<Link> cuts_;
    std::uint64_t last_delayed_ = 0;
    std::map<std::uint64_t, base::TimerHandle> delayed_;  // datagrams, by number
    base::SlotMap<Pipe> pipes_;
    Counts counts_;
};

}  // namespace cressledge::fault_injection
