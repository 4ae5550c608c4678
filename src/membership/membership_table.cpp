#include "membership/membership_table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cressledge::membership {
namespace {

constexpr unsigned max_local_health_score =
    4;  // a probe takes up to five times its time on a process in trouble
constexpr std::size_t max_relays = 256, max_rechecks_per_round = 8;
constexpr Duration departed_ping_interval{500'000}, early_exchange_interval{1'000'000};
constexpr double recheck_fraction = 0.6;  // of a suspicion's time, before the member is asked once more
constexpr double direct_probe_fraction = 0.3;  // of a probe's time, before others are asked
constexpr double exchange_scaling_threshold =
    32.0;  // from here on full exchanges grow rarer, as each grows longer

Duration scaled(Duration span, double n) {
    return Duration(static_cast<std::int64_t>(static_cast<double>(span.count()) * n));
}

}  // namespace

MembershipTable::MembershipTable(MemberIndexTable& member_indices, bool shares_member_indices,
                                 const MembershipSettings& settings, const LocalMember& local_member,
                                 std::vector<Endpoint> seeds, std::uint64_t random_seed, Timestamp now)
    : member_indices_(member_indices),
      shares_member_indices_(shares_member_indices),
      settings_(settings),
      local_member_(local_member),
      local_index_(member_indices.add(local_member.id)),
      seeds_(std::move(seeds)),
      random_(random_seed, local_index_),
      now_(now) {
    last_sequence_ = random_();
    // By chance within a period: guards against a fleet that was started at once and probes at once ever after.
    next_probe_at_ = now + random_jitter(settings_.probe_interval);
    next_gossip_at_ = now + random_jitter(settings_.gossip_interval);
    next_departed_ping_at_ = now + random_jitter(departed_ping_interval);
    next_exchange_at_ = now;
    next_forget_at_ = now + settings_.departed_retention;
    enqueue(local_index_);
}

void MembershipTable::reconfigure(const MembershipSettings& settings, std::vector<Endpoint> seeds) {
    settings_ = settings;
    seeds_ = std::move(seeds);
}

void MembershipTable::assume_converged() {
    broadcast_queue_.clear();
    pending_broadcasts_.clear();
    remaining_early_exchanges_ = 0;
    next_exchange_at_ = now_ + random_jitter(scaled_exchange_interval());
}

// ---- what is known ----

MemberUpdate MembershipTable::local_update() const {
    return {local_member_.id,
            local_member_.endpoint,
            local_member_.start_time_us,
            incarnation_,
            leaving_ ? MemberState::left : MemberState::alive,
            {}};
}
MemberUpdate MembershipTable::update_of(MemberIndex no) const {
    if (no == local_index_)
        return local_update();
    const MemberRecord& r = records_[no];
    MemberUpdate u{member_indices_.id(no), r.endpoint, r.start_time_us, r.incarnation, r.state, {}};
    if (r.state == MemberState::suspect) {
        const Suspicion& s = suspicions_.at(no);
        u.accuser_id = member_indices_.id(s.accusers.back());
        if (u.accuser_id.empty())
            u.accuser_id = local_member_.id;  // forgotten since
    }
    return u;
}

double MembershipTable::log_size_factor() const {
    return std::max(1.0, std::log10(static_cast<double>(live_count_ + 1)));
}
Duration MembershipTable::scaled_exchange_interval() const {
    return scaled(settings_.exchange_interval,
                  std::max(1.0, static_cast<double>(live_count_ + 1) / exchange_scaling_threshold));
}
unsigned MembershipTable::retransmit_limit() const {
    return settings_.retransmit_multiplier * static_cast<unsigned>(std::ceil(log_size_factor()));
}

std::vector<MembershipTable::MemberInfo> MembershipTable::members() const {
    std::vector<MemberInfo> all;
    for (MemberIndex no = 0; no < records_.size(); ++no)
        if (const MemberRecord& r = records_[no]; r.is_known)
            all.push_back(
                {member_indices_.id(no), r.endpoint, r.state, r.incarnation, r.start_time_us, r.changed_at});
    std::sort(all.begin(), all.end(), [](const MemberInfo& a, const MemberInfo& b) { return a.id < b.id; });
    return all;
}

std::optional<MemberState> MembershipTable::state_of(std::string_view id) const {
    const MemberRecord* r = find_record(member_indices_.find(id));
    if (r == nullptr)
        return std::nullopt;
    return r->state;
}

std::uint64_t MembershipTable::member_digest(const std::string& id, const Endpoint& place) {
    return XXH3_64bits_withSeed(id.data(), id.size(), std::uint64_t{place.ip} << 16U | place.port);
}

// A sum: the order in which members became known does not matter.
std::uint64_t MembershipTable::digest() const {
    std::uint64_t sum = displaced_ || leaving_ ? 0 : member_digest(local_member_.id, local_member_.endpoint);
    for (MemberIndex no = 0; no < records_.size(); ++no) {
        const MemberRecord& r = records_[no];
        if (!r.is_known || departure_announced(r.state))
            continue;
        const std::uint64_t m = member_digest(member_indices_.id(no), r.endpoint);
        sum += r.state == MemberState::suspect ? m * 31 + 7 : m;
    }
    return sum;
}

Message MembershipTable::full_state(MessageType type) const {
    Message m = make_message(type, 0);
    for (MemberIndex no = 0; no < records_.size(); ++no)
        if (records_[no].is_known)
            m.updates.push_back(update_of(no));
    return m;
}

// ---- news ----

void MembershipTable::apply(Timestamp now, const MemberUpdate& u, UpdateSource source, Effects& out) {
    if (u.id == local_member_.id)
        return apply_about_self(now, u, out);
    const MemberIndex no = member_indices_.find(u.id);
    MemberRecord* r = find_record(no);
    if (r == nullptr) {
        if (!departure_announced(u.state))
            add_member(now, u, out);
        return;
    }
    if (u.start_time_us < r->start_time_us)
        return;  // of an earlier life
    if (u.start_time_us > r->start_time_us) {
        if (!departure_announced(r->state) && !(u.endpoint == r->endpoint))
            ++counters_.id_conflicts;
        end_suspicion(no);
        r->start_time_us = u.start_time_us;
        r->endpoint = u.endpoint;
        r->incarnation = u.incarnation;
        set_state(now, no, departure_announced(u.state) ? u.state : MemberState::alive, out);
        if (u.state == MemberState::suspect)
            suspect(now, no, member_indices_.find(u.accuser_id), out);
        return;
    }
    switch (u.state) {
        case MemberState::alive:
            if (u.incarnation > r->incarnation) {
                r->incarnation = u.incarnation;
                // The same process may say of itself where it is now reached.
                r->endpoint = u.endpoint;
                counters_.suspicions_refuted += r->state == MemberState::suspect;
                set_state(now, no, MemberState::alive, out);
            } else if (r->state == MemberState::dead && source == UpdateSource::exchange &&
                       pending_rechecks_.size() < max_rechecks_per_round * 16 &&
                       std::find(pending_rechecks_.begin(), pending_rechecks_.end(), no) ==
                           pending_rechecks_.end()) {
                pending_rechecks_.push_back(no);
            }
            return;
        case MemberState::suspect:
            if (u.incarnation < r->incarnation ||
                (departure_announced(r->state) && u.incarnation == r->incarnation))
                return;
            if (u.incarnation > r->incarnation) {
                r->incarnation = u.incarnation;
                if (departure_announced(r->state))
                    set_state(now, no, MemberState::alive, out);
                if (r->state == MemberState::suspect)
                    enqueue(no);
            }
            return suspect(now, no, member_indices_.find(u.accuser_id), out);
        case MemberState::dead:
            if (u.incarnation < r->incarnation || departure_announced(r->state))
                return;
            r->incarnation = u.incarnation;
            // The other half of a healed partition holds us all for dead: whoever lives gets to refute first.
            if (source == UpdateSource::exchange)
                return suspect(now, no, local_index_, out);
            return set_state(now, no, MemberState::dead, out);
        case MemberState::left:
            if (u.incarnation < r->incarnation || r->state == MemberState::left)
                return;
            r->incarnation = u.incarnation;
            return set_state(now, no, MemberState::left, out);
    }
}

void MembershipTable::add_member(Timestamp now, const MemberUpdate& u, Effects& out) {
    const std::size_t most = settings_.max_members;
    if (live_count_ + departed_.size() >= most) {
        ++counters_.rejected_at_capacity;
        return;
    }
    const MemberIndex no = member_indices_.add(u.id);
    if (no >= records_.size())
        records_.resize(std::max<std::size_t>(no + 1U, member_indices_.size()));
    MemberRecord& r = records_[no];
    r = {now, u.start_time_us, u.endpoint, u.incarnation, MemberState::alive, true, false};
    ++counters_.joined;
    ++live_count_;
    insert_into_probe_order(no);
    out.changes.push_back({u.id, u.endpoint, std::nullopt, MemberState::alive, u.incarnation, false});
    enqueue(no);
    if (u.state == MemberState::suspect)
        suspect(now, no, member_indices_.find(u.accuser_id), out);
}

void MembershipTable::apply_about_self(Timestamp now, const MemberUpdate& u, Effects& out) {
    if (u.start_time_us > local_member_.start_time_us) {
        // A former life of this process whose clock was ahead, or another's that is over: its id is ours again.
        if (u.endpoint == local_member_.endpoint || departure_announced(u.state)) {
            local_member_.start_time_us = std::min(u.start_time_us + 1, max_start_time_us);
            incarnation_ = 0;
            displaced_ = false;
            return enqueue(local_index_);
        }
        if (!displaced_) {
            displaced_ = true;
            ++counters_.displaced;
            unqueue(local_index_);
            out.changes.push_back(
                {local_member_.id, u.endpoint, MemberState::alive, MemberState::alive, u.incarnation, true});
        }
        return;
    }
    if (u.start_time_us < local_member_.start_time_us || leaving_)
        return;
    const bool wrong = u.state != MemberState::alive;
    if (wrong ? u.incarnation < incarnation_ : u.incarnation <= incarnation_)
        return;
    incarnation_ = std::min(u.incarnation + 1, max_incarnation);
    if (wrong) {
        ++counters_.own_refutations;
        adjust_local_health(false);
    }
    enqueue(local_index_);
    next_gossip_at_ = std::min(next_gossip_at_, now);  // others' clocks run
}

void MembershipTable::set_state(Timestamp now, MemberIndex no, MemberState to, Effects& out) {
    MemberRecord& r = records_[no];
    const MemberState from = r.state;
    if (from != to) {
        if (from == MemberState::suspect)
            end_suspicion(no);
        const bool lived = !departure_announced(from), lives = !departure_announced(to);
        if (lived && !lives) {
            --live_count_;
            ++(to == MemberState::dead ? counters_.dead : counters_.left);
            departed_.push_back(no);
        } else if (!lived && lives) {
            ++live_count_;
            ++counters_.revived;
            std::erase(departed_, no);
            insert_into_probe_order(no);
        }
        r.state = to;
        r.changed_at = now;
        out.changes.push_back({member_indices_.id(no), r.endpoint, from, to, r.incarnation, false});
    }
    enqueue(no);
}

// Lifeguard, section 4.2: from the longest to the shortest time by the logarithm of the confirmations.
void MembershipTable::schedule_suspicion(Timestamp now, MemberIndex no, Suspicion& s) {
    suspicion_timers_.erase({s.rechecked ? s.expires_at : s.recheck_at, no});
    const Duration least =
        scaled(settings_.probe_interval, settings_.suspicion_multiplier * log_size_factor());
    const unsigned wanted =
        live_count_ > settings_.indirect_probe_count + 1 ? settings_.indirect_probe_count : 0;
    Duration all = least;
    if (wanted > 0) {
        const double part = std::log(s.confirmations + 1.0) / std::log(wanted + 1.0);
        const Duration most = scaled(least, settings_.max_suspicion_multiplier);
        all = std::max(least, most - scaled(most - least, part));
    }
    s.expires_at = s.started_at + all;
    s.recheck_at = std::max(now, s.started_at + scaled(all, recheck_fraction));
    // Guards the answer's way back where confirmations bring the verdict near.
    if (!s.rechecked)
        s.expires_at =
            std::max(s.expires_at, s.recheck_at + scaled(settings_.probe_interval, direct_probe_fraction));
    suspicion_timers_.insert({s.rechecked ? s.expires_at : s.recheck_at, no});
}

void MembershipTable::suspect(Timestamp now, MemberIndex no, MemberIndex by, Effects& out, bool mine) {
    MemberRecord& r = records_[no];
    if (departure_announced(r.state))
        return;
    if (by == no_member)
        by = local_index_;  // one that is not known here counts as nobody's confirmation
    if (r.state != MemberState::suspect) {
        Suspicion& s = suspicions_[no];
        s = {};
        s.started_at = now;
        s.raised_locally = mine;
        s.accusers.push_back(by);
        ++counters_.members_suspected;
        schedule_suspicion(now, no, s);
        return set_state(now, no, MemberState::suspect, out);
    }
    Suspicion& s = suspicions_.at(no);
    s.raised_locally = s.raised_locally || mine;
    if (s.confirmations >= settings_.indirect_probe_count ||
        std::find(s.accusers.begin(), s.accusers.end(), by) != s.accusers.end())
        return;
    s.accusers.push_back(by);
    ++s.confirmations;
    schedule_suspicion(now, no, s);
    enqueue(no);  // the confirmation is news too
}

void MembershipTable::end_suspicion(MemberIndex no) {
    const auto it = suspicions_.find(no);
    if (it == suspicions_.end())
        return;
    suspicion_timers_.erase({it->second.rechecked ? it->second.expires_at : it->second.recheck_at, no});
    suspicions_.erase(it);
}

void MembershipTable::forget_departed(Timestamp now) {
    next_forget_at_ = now + scaled(settings_.departed_retention, 0.1);
    std::erase_if(departed_, [&](MemberIndex no) {
        MemberRecord& r = records_[no];
        if (now - r.changed_at < settings_.departed_retention)
            return false;
        unqueue(no);
        std::erase(probe_order_, no);  // short by now: rounds are over many times
        std::erase(pending_rechecks_, no);
        r = {};
        probe_position_ = std::min(probe_position_, probe_order_.size());
        if (!shares_member_indices_)
            member_indices_.release(no);
        ++counters_.forgotten;
        return true;
    });
}

// ---- telling it ----

void MembershipTable::enqueue(MemberIndex no) {
    if (no == local_index_ && displaced_)
        return;
    unqueue(no);
    const PendingBroadcast q{0, ~++last_broadcast_order_};
    pending_broadcasts_[no] = q;
    broadcast_queue_.insert({{q.transmissions, q.order}, no});
}
void MembershipTable::unqueue(MemberIndex no) {
    const auto it = pending_broadcasts_.find(no);
    if (it == pending_broadcasts_.end())
        return;
    broadcast_queue_.erase({{it->second.transmissions, it->second.order}, no});
    pending_broadcasts_.erase(it);
}

Message MembershipTable::make_message(MessageType kind, std::uint32_t sequence) const {
    Message m;
    m.type = kind;
    m.sequence = sequence;
    m.sender = local_update();
    return m;
}

void MembershipTable::piggyback_updates(Message& m, MemberIndex to, std::uint64_t heard_birth) {
    std::size_t room = max_datagram_bytes - max_encoded_size(m, max_id_length);
    const auto put = [&](MemberIndex no) {
        MemberUpdate u = update_of(no);
        const std::size_t n = max_encoded_size(u);
        if (n > room)
            return false;
        room -= n;
        m.updates.push_back(std::move(u));
        return true;
    };
    // Whom it concerns hears first what is said of it, and can refute at once.
    const MemberRecord* r = find_record(to);
    const bool concerned =
        r != nullptr && (r->state != MemberState::alive || heard_birth < r->start_time_us) && put(to);
    const unsigned most = retransmit_limit();
    std::vector<MemberIndex> told;
    for (const auto& [rank, no] : broadcast_queue_) {
        if (no == local_index_ || (concerned && no == to)) {  // the sender's own state is in every message
            told.push_back(no);
            continue;
        }
        if (!put(no))
            break;
        told.push_back(no);
    }
    for (const MemberIndex no : told) {
        PendingBroadcast& q = pending_broadcasts_.at(no);
        broadcast_queue_.erase({{q.transmissions, q.order}, no});
        if (++q.transmissions >= most)
            pending_broadcasts_.erase(no);
        else
            broadcast_queue_.insert({{q.transmissions, q.order}, no});
    }
}

void MembershipTable::send(const Endpoint& to, Message m, MemberIndex whom, Effects& out,
                           std::uint64_t heard_birth) {
    piggyback_updates(m, whom, heard_birth);
    out.messages.push_back({to, std::move(m)});
}

void MembershipTable::ping(MemberIndex no, std::uint32_t sequence, Effects& out) {
    Message m = make_message(MessageType::ping, sequence);
    m.target_id = member_indices_.id(no);
    send(records_[no].endpoint, std::move(m), no, out);
}

// ---- what is due ----

Duration MembershipTable::random_jitter(Duration span) {
    return Duration(static_cast<std::int64_t>(random_() * 0x1p-32 * static_cast<double>(span.count())));
}
void MembershipTable::adjust_local_health(bool better) {
    if (better ? local_health_score_ > 0 : local_health_score_ < max_local_health_score)
        local_health_score_ = better ? local_health_score_ - 1 : local_health_score_ + 1;
}

Timestamp MembershipTable::next_deadline() const {
    Timestamp t = std::min(next_exchange_at_, next_forget_at_);
    if (!leaving_)
        t = std::min(t, next_probe_at_);
    if (probe_ && !probe_->acked && !probe_->indirect_sent)
        t = std::min(t, probe_->indirect_at);
    if (!broadcast_queue_.empty() || !pending_rechecks_.empty())
        t = std::min(t, next_gossip_at_);
    if (!departed_.empty())
        t = std::min(t, next_departed_ping_at_);
    if (!suspicion_timers_.empty())
        t = std::min(t, suspicion_timers_.begin()->first);
    for (const auto& [sequence, relay] : relays_)
        t = std::min(t, relay.expires_at);
    return t;
}

void MembershipTable::advance_clock(Timestamp now) {
    if (now <= now_)
        return;
    // Guards others against the verdicts of a process that stood still: what it missed meanwhile is not their fault.
    const Timestamp due = next_deadline();
    if (now > due && now - due > settings_.probe_interval)
        compensate_stall(now - due);
    now_ = now;
}

void MembershipTable::compensate_stall(Duration gap) {
    ++counters_.stalls;
    adjust_local_health(false);
    probe_.reset();
    suspicion_timers_.clear();
    for (auto& [no, s] : suspicions_) {
        s.started_at += gap;
        s.expires_at += gap;
        s.recheck_at += gap;
        suspicion_timers_.insert({s.rechecked ? s.expires_at : s.recheck_at, no});
    }
    relays_.clear();
}

void MembershipTable::tick(Timestamp now, Effects& out) {
    advance_clock(now);
    now = now_;
    if (probe_ && !probe_->acked && !probe_->indirect_sent && probe_->indirect_at <= now)
        send_indirect_probes(out);
    if (!leaving_ && next_probe_at_ <= now)
        start_probe_period(now, out);
    while (!suspicion_timers_.empty() && suspicion_timers_.begin()->first <= now) {
        const MemberIndex no = suspicion_timers_.begin()->second;
        suspicion_timers_.erase(suspicion_timers_.begin());
        Suspicion& s = suspicions_.at(no);
        if (!s.rechecked) {
            // Guards a member whose refutation has not come this way: asked once more before the verdict.
            s.rechecked = true;
            suspicion_timers_.insert({s.expires_at, no});
            if (!leaving_)
                ping(no, ++last_sequence_, out);
        } else {
            set_state(now, no, MemberState::dead, out);
        }
    }
    for (auto it = relays_.begin(); it != relays_.end();) {
        if (it->second.expires_at > now) {
            ++it;
            continue;
        }
        send(it->second.requester, make_message(MessageType::nack, it->second.sequence), no_member, out);
        it = relays_.erase(it);
    }
    if (next_gossip_at_ <= now)
        run_gossip_round(now, out);
    if (next_departed_ping_at_ <= now) {
        ping_departed_member(out);
        next_departed_ping_at_ = now + departed_ping_interval;
    }
    if (next_exchange_at_ <= now)
        request_exchange(now, out);
    if (next_forget_at_ <= now)
        forget_departed(now);
}

void MembershipTable::insert_into_probe_order(MemberIndex no) {
    if (std::exchange(records_[no].in_probe_order, true))
        return;  // it was dead for a moment, and stands there still
    probe_order_.push_back(no);
    // Among those that are still to come in this round (SWIM, section 4.3).
    const std::size_t from = std::min(probe_position_, probe_order_.size() - 1);
    std::swap(probe_order_[from + random_(static_cast<std::uint32_t>(probe_order_.size() - from))],
              probe_order_.back());
}

MemberIndex MembershipTable::random_live_member() {
    for (int tries = 0; tries < 16 && !probe_order_.empty(); ++tries) {
        const MemberIndex no = probe_order_[random_(static_cast<std::uint32_t>(probe_order_.size()))];
        if (const MemberRecord* r = find_record(no); r != nullptr && !departure_announced(r->state))
            return no;
    }
    return no_member;
}

void MembershipTable::start_probe_period(Timestamp now, Effects& out) {
    if (probe_ && !probe_->acked) {
        const MemberRecord* r = find_record(probe_->target);
        if (r != nullptr && r->start_time_us == probe_->target_start_time_us &&
            !departure_announced(r->state)) {
            // Members that were asked and do not even say no: the trouble may be this process's own.
            adjust_local_health(probe_->nacks_expected > 0 &&
                                probe_->nacks_received >= probe_->nacks_expected);
            ++counters_.suspicions_raised;
            suspect(now, probe_->target, local_index_, out, true);
        }
    } else if (probe_) {
        adjust_local_health(true);
    }
    probe_.reset();
    const Duration period = settings_.probe_interval * static_cast<int>(1 + local_health_score_);
    next_probe_at_ += period;
    if (next_probe_at_ <= now)
        next_probe_at_ = now + period;  // a probe always has its whole time
    // One that this process suspects is asked until it answers or is dead, beside the round.
    for (const auto& [no, s] : suspicions_)
        if (s.raised_locally)
            ping(no, ++last_sequence_, out);
    for (std::size_t tries = probe_order_.size() + 1; tries > 0 && !probe_order_.empty(); --tries) {
        if (probe_position_ >= probe_order_.size()) {
            std::erase_if(probe_order_, [this](MemberIndex no) {
                if (!departure_announced(records_[no].state))
                    return false;
                records_[no].in_probe_order = false;
                return true;
            });
            for (std::size_t i = probe_order_.size(); i > 1; --i)
                std::swap(probe_order_[i - 1], probe_order_[random_(static_cast<std::uint32_t>(i))]);
            probe_position_ = 0;
            continue;
        }
        const MemberIndex no = probe_order_[probe_position_++];
        const MemberRecord* r = find_record(no);
        if (r == nullptr || departure_announced(r->state))
            continue;
        ++counters_.probes;
        probe_ = Probe{no,
                       r->start_time_us,
                       ++last_sequence_,
                       now + scaled(period, direct_probe_fraction),
                       false,
                       false,
                       0,
                       0};
        return ping(no, probe_->sequence, out);
    }
}

// Once more directly as well: one lost datagram is no reason to suspect anybody.
void MembershipTable::send_indirect_probes(Effects& out) {
    Probe& p = *probe_;
    p.indirect_sent = true;
    ping(p.target, p.sequence, out);
    std::set<MemberIndex> asked;
    for (unsigned tries = 0;
         tries < settings_.indirect_probe_count * 4 && asked.size() < settings_.indirect_probe_count;
         ++tries) {
        const MemberIndex via = random_live_member();
        if (via == no_member || via == p.target || records_[via].state != MemberState::alive ||
            !asked.insert(via).second)
            continue;
        Message m = make_message(MessageType::ping_request, p.sequence);
        m.target_id = member_indices_.id(p.target);
        m.target_endpoint = records_[p.target].endpoint;
        ++counters_.indirect_probes;
        ++p.nacks_expected;
        send(records_[via].endpoint, std::move(m), via, out);
    }
}

void MembershipTable::run_gossip_round(Timestamp now, Effects& out) {
    next_gossip_at_ = now + settings_.gossip_interval;
    for (std::size_t n = 0; n < max_rechecks_per_round && !pending_rechecks_.empty(); ++n) {
        const MemberIndex no = pending_rechecks_.back();
        pending_rechecks_.pop_back();
        if (const MemberRecord* r = find_record(no); r != nullptr && r->state == MemberState::dead)
            ping(no, ++last_sequence_, out);
    }
    const unsigned fanout = settings_.gossip_fanout * (leaving_ ? 2 : 1);
    std::set<MemberIndex> told;
    for (unsigned tries = 0; tries < fanout * 4 && told.size() < fanout && !broadcast_queue_.empty();
         ++tries) {
        const MemberIndex no = random_live_member();
        if (no == no_member)
            break;
        if (told.insert(no).second)
            send(records_[no].endpoint, make_message(MessageType::gossip, 0), no, out);
    }
    if (leaving_ && live_count_ == 0)
        unqueue(local_index_);
}

// The dead are asked now and then: after a partition both halves find each other by it.
void MembershipTable::ping_departed_member(Effects& out) {
    if (departed_.empty() || leaving_)
        return;
    const MemberIndex no = departed_[random_(static_cast<std::uint32_t>(departed_.size()))];
    if (records_[no].state == MemberState::dead)
        ping(no, ++last_sequence_, out);
}

void MembershipTable::request_exchange(Timestamp now, Effects& out) {
    if (leaving_) {
        next_exchange_at_ = never;
        return;
    }
    const bool alone = live_count_ == 0;
    const bool early = remaining_early_exchanges_ > 0;
    if (alone || early) {
        next_exchange_at_ =
            now + scaled(early_exchange_interval, 0.5) + random_jitter(early_exchange_interval);
    } else {
        const Duration every = scaled_exchange_interval();
        next_exchange_at_ = now + scaled(every, 0.5) + random_jitter(every);
    }
    if (!alone && early)
        --remaining_early_exchanges_;
    // A seed that is no live member may be the way to the rest of a fleet that has forgotten this part.
    std::vector<Endpoint> strangers;
    for (const Endpoint& s : seeds_) {
        const bool member = std::any_of(probe_order_.begin(), probe_order_.end(), [&](MemberIndex no) {
            const MemberRecord* r = find_record(no);
            return r != nullptr && !departure_announced(r->state) && r->endpoint == s;
        });
        if (!member && !(s == local_member_.endpoint))
            strangers.push_back(s);
    }
    if (!strangers.empty() && (alone || random_(4) == 0)) {
        out.exchange_peers.push_back(strangers[random_(static_cast<std::uint32_t>(strangers.size()))]);
    } else if (const MemberIndex no = random_live_member(); no != no_member) {
        out.exchange_peers.push_back(records_[no].endpoint);
    }
}

// ---- what comes in ----

void MembershipTable::on_message(Timestamp now, const Message& m, const Endpoint& from, Effects& out) {
    advance_clock(now);
    now = now_;
    apply(now, m.sender, UpdateSource::gossip, out);
    for (const MemberUpdate& u : m.updates)
        apply(now, u, UpdateSource::gossip, out);
    const MemberIndex sender = member_indices_.find(m.sender.id);
    switch (m.type) {
        case MessageType::ping:
            if (m.target_id != local_member_.id) {
                ++counters_.misdirected_probes;
                return;
            }
            return send(from, make_message(MessageType::ack, m.sequence), sender, out,
                        m.sender.start_time_us);
        case MessageType::ping_request: {
            if (relays_.size() >= max_relays || leaving_)
                return;
            const std::uint32_t sequence = ++last_sequence_;
            relays_[sequence] = {from, m.sequence, now + scaled(settings_.probe_interval, 0.5)};
            Message p = make_message(MessageType::ping, sequence);
            p.target_id = m.target_id;
            return send(m.target_endpoint, std::move(p), member_indices_.find(m.target_id), out);
        }
        case MessageType::ack: {
            ++counters_.acks;
            if (probe_ && probe_->sequence == m.sequence)
                probe_->acked = true;
            const auto relay = relays_.find(m.sequence);
            if (relay == relays_.end())
                return;
            const Relay r = relay->second;
            relays_.erase(relay);
            return send(r.requester, make_message(MessageType::ack, r.sequence), no_member, out);
        }
        case MessageType::nack:
            ++counters_.nacks;
            if (probe_ && probe_->sequence == m.sequence)
                ++probe_->nacks_received;
            return;
        case MessageType::gossip:
        case MessageType::exchange:
        case MessageType::exchange_reply:
            return;
    }
}

void MembershipTable::merge_full_state(Timestamp now, const Message& m, Effects& out) {
    advance_clock(now);
    now = now_;
    ++counters_.exchanges;
    apply(now, m.sender, UpdateSource::exchange, out);
    for (const MemberUpdate& u : m.updates)
        apply(now, u, UpdateSource::exchange, out);
}

void MembershipTable::leave(Timestamp now) {
    if (leaving_)
        return;
    advance_clock(now);
    leaving_ = true;
    probe_.reset();
    enqueue(local_index_);
    next_gossip_at_ = now_;
}

}  // namespace cressledge::membership
