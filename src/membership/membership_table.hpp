// One process's view of its fleet: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", DSN 2002) with suspicion and incarnations, and of Lifeguard (Dadgar, Phillips,
// Currey, 2017) the suspicion time that shrinks with independent confirmations, the local health and the news first
// told to whom it concerns. A pure state machine: time, randomness and received messages go in, messages to send and
// changes to report come out. Times are Unix microseconds; a clock set back stands still.
//
// alive   -> suspect  a probe found it silent, or another member says so
// suspect -> alive    it refuted with a higher incarnation
// suspect -> dead     its time ran out, or another member says so
// dead    -> alive    it was alive after all (a partition healed), or started again
// any     -> left     it said so itself
//
// News of one id are ordered by birth, then incarnation, then what they say. Of two processes that claim one id the
// one that started later holds it; the other says so in its own view (`displaced`) until that one is gone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/timer_queue.hpp"
#include "membership/member_index_table.hpp"
#include "membership/message.hpp"

namespace cressledge::membership {

using base::Duration;
using base::Timestamp;

struct MembershipSettings {
    Duration probe_interval{500'000};  // one member each, and the bound of a probe
    unsigned indirect_probe_count =
        3;  // members asked to probe one that does not answer, and confirmations that count
    double suspicion_multiplier =
        3.0;  // times log10 of the fleet's size times probe_every: the shortest suspicion
    double max_suspicion_multiplier = 2.0;  // times the shortest: a suspicion that nobody confirms
    Duration gossip_interval{100'000};  // while there is news
    unsigned gossip_fanout = 3;  // members told in one round
    unsigned retransmit_multiplier =
        6;  // times log10 of the fleet's size, rounded up: how often one process tells one piece of news
    Duration exchange_interval{
        10'000'000};  // between two full exchanges, in a fleet of up to 32; longer in larger ones
    Duration departed_retention{600'000'000};  // members dead or gone
    std::size_t max_members = 20'000;
};

struct LocalMember {
    std::string id;
    Endpoint endpoint;  // where others reach it
    std::uint64_t start_time_us = 0;  // Unix microseconds of its start
};

class MembershipTable {
public:
    struct OutgoingMessage {
        Endpoint destination;
        Message message;
    };
    struct MemberChange {
        std::string id;
        Endpoint endpoint;
        std::optional<MemberState> old_state;  // none: not known before
        MemberState new_state;
        std::uint32_t incarnation;
        bool displaced = false;  // this process, by the one at `place`
    };
    struct Effects {
        std::vector<OutgoingMessage> messages;
        std::vector<Endpoint> exchange_peers;  // full states wanted with these
        std::vector<MemberChange> changes;
    };
    struct MemberInfo {
        std::string id;
        Endpoint endpoint;
        MemberState state;
        std::uint32_t incarnation;
        std::uint64_t start_time_us;
        Timestamp changed_at;
    };
    struct Counters {
        std::uint64_t probes = 0, acks = 0, indirect_probes = 0, nacks = 0;
        std::uint64_t suspicions_raised = 0;  // raised by this process's own probes
        std::uint64_t members_suspected = 0;  // members that became suspect in this view, whoever raised it
        std::uint64_t suspicions_refuted = 0;  // of those, found alive
        std::uint64_t own_refutations = 0;  // of what was said of this process
        std::uint64_t dead = 0, joined = 0, left = 0, revived = 0, forgotten = 0;
        std::uint64_t displaced = 0, id_conflicts = 0;  // of this process; of others
        std::uint64_t rejected_at_capacity = 0;  // members not taken in: most_members
        std::uint64_t misdirected_probes = 0;  // probes meant for another process
        std::uint64_t stalls = 0;  // this process stood still for longer than a probe
        std::uint64_t exchanges = 0;
    };

    // `names` outlives the view; `shared`: others use it too, and nothing in it is dropped.
    MembershipTable(MemberIndexTable& member_indices, bool shares_member_indices,
                    const MembershipSettings& settings, const LocalMember& local_member,
                    std::vector<Endpoint> seeds, std::uint64_t random_seed, Timestamp now);

    Timestamp next_deadline() const;  // when tick() is due; it may be called sooner
    void tick(Timestamp now, Effects& out);
    void on_message(Timestamp now, const Message& message, const Endpoint& from, Effects& out);
    Message full_state(
        MessageType type) const;  // the whole view, for an exchange; `kind`: exchange or exchange_reply
    // What the other side's `state` says.
    void merge_full_state(Timestamp now, const Message& message, Effects& out);
    void leave(Timestamp now);  // tells the others, over the next rounds
    bool departure_announced() const {
        return leaving_ && pending_broadcasts_.count(local_index_) == 0;
    }  // told as often as it takes
    // For a view that starts in full knowledge: no news is owed, and no exchange soon.
    void assume_converged();
    void reconfigure(const MembershipSettings& settings, std::vector<Endpoint> seeds);

    const LocalMember& local_member() const { return local_member_; }
    std::uint32_t incarnation() const { return incarnation_; }
    bool is_displaced() const { return displaced_; }
    bool is_leaving() const { return leaving_; }
    std::size_t live_count() const { return live_count_; }  // alive or suspect, this process not counted
    std::size_t suspect_count() const { return suspicions_.size(); }
    std::vector<MemberInfo> members() const;  // all but this process, by id
    std::optional<MemberState> state_of(std::string_view id) const;
    // Of the live members' ids, places and states, this process with them: equal where two views agree.
    std::uint64_t digest() const;
    static std::uint64_t member_digest(const std::string& id,
                                       const Endpoint& place);  // of a live member: the digest is their sum
    const Counters& counters() const { return counters_; }

private:
    struct MemberRecord {
        Timestamp changed_at{0};
        std::uint64_t start_time_us = 0;
        Endpoint endpoint;
        std::uint32_t incarnation = 0;
        MemberState state = MemberState::dead;
        bool is_known = false, in_probe_order = false;  // ringed: stands in ring_
    };
    struct Suspicion {
        Timestamp started_at{0}, expires_at{0},
            recheck_at{0};  // check: ask it once more, before it is too late
        unsigned confirmations = 0;
        bool raised_locally = false, rechecked = false;
        std::vector<MemberIndex> accusers;
    };
    struct Probe {
        MemberIndex target = no_member;
        std::uint64_t target_start_time_us = 0;
        std::uint32_t sequence = 0;
        Timestamp indirect_at{0};  // others then
        bool acked = false, indirect_sent = false;
        unsigned nacks_expected = 0, nacks_received = 0;
    };
    struct Relay {  // a probe made for another
        Endpoint requester;
        std::uint32_t sequence = 0;
        Timestamp expires_at{0};
    };
    struct PendingBroadcast {
        unsigned transmissions = 0;
        std::uint64_t order = 0;
    };
    enum class UpdateSource : std::uint8_t { gossip, exchange };

    static constexpr Timestamp never = Timestamp::max();
    static bool departure_announced(MemberState s) {
        return s == MemberState::dead || s == MemberState::left;
    }
    MemberRecord* find_record(MemberIndex no) {
        return no < records_.size() && records_[no].is_known ? &records_[no] : nullptr;
    }
    const MemberRecord* find_record(MemberIndex no) const {
        return no < records_.size() && records_[no].is_known ? &records_[no] : nullptr;
    }
    MemberUpdate update_of(MemberIndex no) const;
    MemberUpdate local_update() const;
    double log_size_factor() const;
    Duration scaled_exchange_interval() const;  // in a fleet of this size
    unsigned retransmit_limit() const;

    void apply(Timestamp now, const MemberUpdate& u, UpdateSource source, Effects& out);
    void apply_about_self(Timestamp now, const MemberUpdate& u, Effects& out);
    void add_member(Timestamp now, const MemberUpdate& u, Effects& out);
    void set_state(Timestamp now, MemberIndex no, MemberState to, Effects& out);
    void suspect(Timestamp now, MemberIndex no, MemberIndex by, Effects& out, bool mine = false);
    void schedule_suspicion(Timestamp now, MemberIndex no, Suspicion& s);
    void end_suspicion(MemberIndex no);
    void forget_departed(Timestamp now);

    void enqueue(MemberIndex no);
    void unqueue(MemberIndex no);
    void piggyback_updates(Message& m, MemberIndex to, std::uint64_t heard_birth);
    // `heard_birth`: what the other side said of itself; where a later one holds its id, it is told.
    void send(const Endpoint& to, Message m, MemberIndex whom, Effects& out,
              std::uint64_t heard_birth = max_start_time_us);
    Message make_message(MessageType kind, std::uint32_t sequence) const;
    void ping(MemberIndex no, std::uint32_t sequence, Effects& out);

    void advance_clock(Timestamp now);
    void compensate_stall(Duration gap);
    void start_probe_period(Timestamp now, Effects& out);
    void send_indirect_probes(Effects& out);
    void run_gossip_round(Timestamp now, Effects& out);
    void ping_departed_member(Effects& out);
    void request_exchange(Timestamp now, Effects& out);
    void insert_into_probe_order(MemberIndex no);
    MemberIndex random_live_member();  // a live member, by chance; nobody: none
    Duration random_jitter(Duration span);  // by chance, from none to all of it
    void adjust_local_health(bool better);

    MemberIndexTable& member_indices_;
    const bool shares_member_indices_;
    MembershipSettings settings_;
    LocalMember local_member_;
    MemberIndex local_index_;
    std::vector<Endpoint> seeds_;
    pcg32 random_;
    std::vector<MemberRecord> records_;  // by number
    std::vector<MemberIndex> probe_order_;  // whom to probe, in this order; the dead leave it at its end
    std::size_t probe_position_ = 0, live_count_ = 0;
    std::vector<MemberIndex> departed_;  // dead, not forgotten
    std::vector<MemberIndex> pending_rechecks_;  // dead here and alive elsewhere: asked soon
    std::unordered_map<MemberIndex, Suspicion> suspicions_;
    std::set<std::pair<Timestamp, MemberIndex>>
        suspicion_timers_;  // of the suspicions: their next check or end
    std::unordered_map<MemberIndex, PendingBroadcast> pending_broadcasts_;
    std::set<std::pair<std::pair<unsigned, std::uint64_t>, MemberIndex>>
        broadcast_queue_;  // least told first, of those the newest
    std::uint64_t last_broadcast_order_ = 0;
    std::optional<Probe> probe_;
    std::map<std::uint32_t, Relay> relays_;
    std::uint32_t last_sequence_ = 0, incarnation_ = 0;
    unsigned local_health_score_ = 0;  // local health, 0 the best
    unsigned remaining_early_exchanges_ = 3;  // a newcomer's, a second apart
    bool leaving_ = false, displaced_ = false;
    Timestamp now_, next_probe_at_, next_gossip_at_, next_exchange_at_, next_departed_ping_at_,
        next_forget_at_;
    Counters counters_;
};

}  // namespace cressledge::membership
