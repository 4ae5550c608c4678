/// An emulated fleet: a membership::MembershipTable for every member, over a simulated network with loss, delay and cut
/// links. It runs on simulated time without waiting, for fleets too large to run in real time on one machine and for
/// thousands of seeded runs. The result depends only on the calls made and the seed.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "membership/membership_table.hpp"

namespace cressledge::emulator {

using base::Duration;
using base::Timestamp;

/// Properties of all links.
struct NetworkModel {
    /// Probability that a datagram is lost.
    double loss_probability = 0.0;
    /// The one-way delay is uniformly distributed between the two.
    Duration min_delay{200}, max_delay{2'000};
};

/// Members are identified by their index in the order in which they were started.
class Fleet {
public:
    /// `max_members`: upper bound on the number of members that are started.
    Fleet(std::size_t max_members, const membership::MembershipSettings& settings,
          const NetworkModel& network, std::uint64_t seed);

    /// Starts a new member that joins through `seeds`. Returns its index.
    std::size_t start(const std::vector<std::size_t>& seeds);
    /// Starts `count` members whose tables already contain each other.
    void start_converged(std::size_t count);
    /// Stops a member without an announcement.
    void crash(std::size_t index) { members_[index].table.reset(); }
    /// Restarts a crashed member with the same id and a later start time.
    void restart(std::size_t index, const std::vector<std::size_t>& seeds);
    /// Makes a member announce its departure and stop.
    void leave(std::size_t index);
    /// Suspends a member until `until`; its messages and timers are postponed.
    void pause(std::size_t index, Timestamp until);
    /// Cuts the links for which `is_cut` returns true and restores all others. An empty function cuts none.
    void set_cut_links(std::function<bool(std::size_t from, std::size_t to)> is_cut) {
        is_cut_ = std::move(is_cut);
    }

    /// Advances time to `until`.
    void run(Timestamp until);
    /// Advances time until `is_done`, evaluated every `check_interval`, returns true. False if it does not by `until`.
    bool run(Timestamp until, Duration check_interval, const std::function<bool()>& is_done);
    /// Current simulated time.
    Timestamp now() const { return now_; }

    /// Whether a member has been started and has not crashed or left.
    bool running(std::size_t index) const { return members_[index].table != nullptr; }
    /// The table of a running member.
    const membership::MembershipTable& view(std::size_t index) const { return *members_[index].table; }
    /// Id of a member in the fleet.
    const std::string& id(std::size_t index) const { return members_[index].id; }
    /// Number of members that have been started.
    std::size_t size() const { return members_.size(); }
    /// Whether every running member's table contains exactly the running members, all alive.
    bool has_converged() const;
    /// Number of times a running member's table declared another running member dead although no link between the two
    /// was cut.
    std::uint64_t false_deaths() const { return false_deaths_; }
    /// Upper bound on the bytes sent, by membership::max_encoded_size, full exchanges included.
    std::uint64_t bytes() const { return bytes_; }

private:
    struct Member {
        std::string id;
        /// Null if the member is not running.
        std::unique_ptr<membership::MembershipTable> table;
        std::uint64_t incarnation = 0;
        Timestamp next_tick_at = Timestamp::max(), paused_until{0};
        bool is_leaving = false;
    };
    struct Event {
        Timestamp at;
        std::uint64_t sequence;
        std::size_t to, from;
        /// For a tick: the incarnation for which it was scheduled.
        std::uint64_t incarnation;
        /// The message to deliver; null for a tick.
        std::shared_ptr<const membership::Message> message;
    };
    struct IsLater {
        bool operator()(const Event& a, const Event& b) const {
            return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
        }
    };
    using Effects = membership::MembershipTable::Effects;
    static membership::Endpoint endpoint_of(std::size_t index) {
        return {0x0A000000U + static_cast<std::uint32_t>(index) + 1, 7946};
    }
    static std::size_t index_of(const membership::Endpoint& endpoint) { return endpoint.ip - 0x0A000001U; }
    void boot(std::size_t index, const std::vector<std::size_t>& seeds);
    void handle(const Event& event);
    void postpone(Event event);
    void receive(Member& member, const Event& event, Effects& effects);
    void apply(std::size_t index, Effects& effects);
    void send_messages(std::size_t from, Effects& effects);
    void start_exchanges(std::size_t from, const Effects& effects);
    void count_false_deaths(std::size_t observer, const Effects& effects);
    void schedule_tick(std::size_t index);
    void deliver_later(std::size_t from, std::size_t to, std::shared_ptr<const membership::Message> message);
    bool is_cut(std::size_t from, std::size_t to) const { return is_cut_ && is_cut_(from, to); }

    const membership::MembershipSettings settings_;
    const NetworkModel network_;
    membership::MemberIndexTable member_indices_;
    pcg32 random_;
    std::vector<Member> members_;
    std::priority_queue<Event, std::vector<Event>, IsLater> events_;
    std::function<bool(std::size_t, std::size_t)> is_cut_;
    Timestamp now_{1'000'000'000};
    std::uint64_t last_sequence_ = 0, bytes_ = 0, false_deaths_ = 0;
};

}  // namespace cressledge::emulator
