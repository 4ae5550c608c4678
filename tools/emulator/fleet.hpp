// A fleet in one process: the same membership::View for every member, over a simulated network with loss, delay and cuts.
// Nothing here waits; time is the emulator's own. For sizes that no machine holds in real time, and for thousands of
// seeded runs.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "membership/membership_table.hpp"

namespace cressledge::emulator {

using base::Duration;
using base::Timestamp;

struct Network {
    double loss = 0.0;  // of datagrams, on each link
    Duration least{200}, most{2'000};  // one way
};

class Fleet {
public:
    Fleet(std::size_t most, const membership::MembershipSettings& rules, const Network& network,
          std::uint64_t seed);

    std::size_t start(std::vector<std::size_t> seeds);  // a new member; its number
    void crash(std::size_t no) { nodes_[no].view.reset(); }
    void restart(std::size_t no, std::vector<std::size_t> seeds);  // the same id, a later birth
    void leave(std::size_t no);  // and end, once it has told so
    void pause(std::size_t no, Timestamp until);  // reads and does nothing meanwhile; what comes waits
    void start_agreed(std::size_t n);  // so many that know each other already
    // Whether a message on this link gets through at all.
    void cut(std::function<bool(std::size_t from, std::size_t to)> gone) { cut_ = std::move(gone); }
    void set_loss(double loss) { network_.loss = loss; }

    void run(Timestamp until);
    bool run(Timestamp until, Duration look_every, const std::function<bool()>& done);  // false: not by then
    Timestamp now() const { return now_; }

    bool running(std::size_t no) const { return nodes_[no].view != nullptr; }
    const membership::MembershipTable& view(std::size_t no) const { return *nodes_[no].view; }
    const std::string& id(std::size_t no) const { return nodes_[no].id; }
    std::size_t size() const { return nodes_.size(); }
    bool agreed() const;  // every running view has all running members alive and no other
    std::uint64_t false_deaths() const {
        return false_deaths_;
    }  // of running members, in any view, no cut between them
    std::uint64_t datagrams() const { return datagrams_; }
    std::uint64_t bytes() const {
        return bytes_;
    }  // at most, as membership::size_of has it; exchanges with them

private:
    struct Node {
        std::string id;
        std::unique_ptr<membership::MembershipTable> view;
        std::uint64_t life = 0;
        Timestamp scheduled = Timestamp::max(), paused{0};
        bool leaving = false;
    };
    struct Event {
        Timestamp when;
        std::uint64_t order;
        std::size_t to, from;
        std::uint64_t life;  // of the one that a tick is for
        std::shared_ptr<const membership::Message> message;  // null: a tick
    };
    struct Later {
        bool operator()(const Event& a, const Event& b) const {
            return a.when != b.when ? a.when > b.when : a.order > b.order;
        }
    };
    static membership::Endpoint place(std::size_t no) {
        return {0x0A000000U + static_cast<std::uint32_t>(no) + 1, 7946};
    }
    static std::size_t number(const membership::Endpoint& p) { return p.ip - 0x0A000001U; }
    void boot(std::size_t no, const std::vector<std::size_t>& seeds);
    void handle(const Event& e);
    void carry(std::size_t no, membership::MembershipTable::Effects& out);
    void schedule(std::size_t no);
    void put(Timestamp when, std::size_t from, std::size_t to, std::shared_ptr<const membership::Message> m);
    Duration delay();
    bool cut(std::size_t from, std::size_t to) const { return cut_ && cut_(from, to); }

    const std::size_t most_;
    const membership::MembershipSettings rules_;
    Network network_;
    membership::MemberIndexTable names_;
    pcg32 random_;
    std::vector<Node> nodes_;
    std::priority_queue<Event, std::vector<Event>, Later> events_;
    std::function<bool(std::size_t, std::size_t)> cut_;
    Timestamp now_{1'000'000'000};
    std::uint64_t order_ = 0, datagrams_ = 0, bytes_ = 0, false_deaths_ = 0;
};

}  // namespace cressledge::emulator
