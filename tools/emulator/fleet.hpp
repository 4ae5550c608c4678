/// An emulated fleet: a membership::MembershipTable for every member, over a simulated network with loss, delay and cut
/// links. Nothing here waits; time is the emulator's own. For fleets that no machine holds in real time, and for
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

/// The properties of every link.
struct NetworkModel {
    /// Probability that a datagram is lost.
    double loss_probability = 0.0;
    /// The one-way delay is uniform between the two.
    Duration min_delay{200}, max_delay{2'000};
};

/// Members are named by their index in the order they were started.
class Fleet {
public:
    /// `max_members`: members that will ever be started.
    Fleet(std::size_t max_members, const membership::MembershipSettings& settings,
          const NetworkModel& network, std::uint64_t seed);

    /// Starts a new member that joins through `seeds`; its index.
    std::size_t start(const std::vector<std::size_t>& seeds);
    /// Starts `count` members that know each other already.
    void start_converged(std::size_t count);
    /// Stops a member without notice.
    void crash(std::size_t index) { members_[index].table.reset(); }
    /// Starts a crashed member again: the same id, a later start time.
    void restart(std::size_t index, const std::vector<std::size_t>& seeds);
    /// Makes a member announce its departure and stop.
    void leave(std::size_t index);
    /// Suspends a member until then: messages and timers wait.
    void pause(std::size_t index, Timestamp until);
    /// Cuts the links for which `is_cut` holds, instead of those cut before. Empty: none.
    void set_cut_links(std::function<bool(std::size_t from, std::size_t to)> is_cut) {
        is_cut_ = std::move(is_cut);
    }

    /// Moves time on.
    void run(Timestamp until);
    /// Moves time on until `is_done`, which is asked every `check_interval`; false: not by `until`.
    bool run(Timestamp until, Duration check_interval, const std::function<bool()>& is_done);
    /// Emulated time.
    Timestamp now() const { return now_; }

    /// Whether it has been started and has not crashed or left.
    bool running(std::size_t index) const { return members_[index].table != nullptr; }
    /// The table of a running member.
    const membership::MembershipTable& view(std::size_t index) const { return *members_[index].table; }
    /// The id by which other members know it.
    const std::string& id(std::size_t index) const { return members_[index].id; }
    /// Members that were ever started.
    std::size_t size() const { return members_.size(); }
    /// Whether every running member's table has all running members alive and no other.
    bool has_converged() const;
    /// Running members declared dead, counted in each table, where no link between the two was cut.
    std::uint64_t false_deaths() const { return false_deaths_; }
    /// Bytes sent, at most: as membership::max_encoded_size has them, full exchanges included.
    std::uint64_t bytes() const { return bytes_; }

private:
    struct Member {
        std::string id;
        /// Null: it does not run.
        std::unique_ptr<membership::MembershipTable> table;
        std::uint64_t incarnation = 0;
        Timestamp next_tick_at = Timestamp::max(), paused_until{0};
        bool is_leaving = false;
    };
    struct Event {
        Timestamp at;
        std::uint64_t sequence;
        std::size_t to, from;
        /// The incarnation that a tick is for.
        std::uint64_t incarnation;
        /// Null: a tick.
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
