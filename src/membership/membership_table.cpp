#include "membership/membership_table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cressledge::membership {
namespace {

/// Interval between two removals of expired departed members, as a fraction of their retention.
constexpr double forget_interval_fraction = 0.1;

/// Returns the digest contribution of a suspect, which has to differ from that of the same member when alive.
std::uint64_t suspect_digest(std::uint64_t member_digest) {
    return member_digest * 31 + 7;
}

}  // namespace

MembershipTable::MembershipTable(MemberIndexTable& member_indices, bool shares_member_indices,
                                 const MembershipSettings& settings, const LocalMember& local_member,
                                 std::vector<Endpoint> seeds, std::uint64_t random_seed, Timestamp now)
    : state_(member_indices, shares_member_indices, settings, local_member, random_seed),
      disseminator_(state_),
      merger_(state_, disseminator_),
      failure_detector_(state_, disseminator_, merger_),
      anti_entropy_(state_, disseminator_, std::move(seeds)),
      now_(now),
      next_forget_at_(now + settings.departed_retention) {
    failure_detector_.start(now);
    disseminator_.start(now);
    anti_entropy_.start(now);
    disseminator_.announce(state_.local_index);
}

void MembershipTable::reconfigure(const MembershipSettings& settings, std::vector<Endpoint> seeds) {
    state_.settings = settings;
    anti_entropy_.set_seeds(std::move(seeds));
}

void MembershipTable::assume_converged() {
    disseminator_.clear();
    anti_entropy_.skip_early_exchanges(now_);
}

Timestamp MembershipTable::next_deadline() const {
    return std::min({failure_detector_.next_deadline(), disseminator_.next_deadline(),
                     anti_entropy_.next_deadline(), next_forget_at_});
}

void MembershipTable::advance_clock(Timestamp now) {
    if (now <= now_)
        return;
    const Timestamp due = next_deadline();
    if (now > due && now - due > state_.settings.probe_interval) {
        ++state_.counters.stalls;
        state_.local_health.degrade();
        failure_detector_.compensate_stall(now - due);
    }
    now_ = now;
}

void MembershipTable::tick(Timestamp now, Effects& effects) {
    advance_clock(now);
    failure_detector_.tick(now_, effects);
    disseminator_.tick(now_, effects);
    anti_entropy_.tick(now_, effects);
    if (next_forget_at_ <= now_) {
        next_forget_at_ = now_ + scaled(state_.settings.departed_retention, forget_interval_fraction);
        merger_.forget_departed(now_);
    }
}

void MembershipTable::on_message(Timestamp now, const Message& message, const Endpoint& from,
                                 Effects& effects) {
    advance_clock(now);
    merger_.apply_message(now_, message, UpdateSource::gossip, effects);
    switch (message.type) {
        case MessageType::ping:
            return failure_detector_.on_ping(message, from, effects);
        case MessageType::ping_request:
            return failure_detector_.on_ping_request(now_, message, from, effects);
        case MessageType::ack:
            return failure_detector_.on_ack(message, effects);
        case MessageType::nack:
            return failure_detector_.on_nack(message);
        case MessageType::gossip:
        case MessageType::exchange:
        case MessageType::exchange_reply:
            return;
    }
}

Message MembershipTable::full_state(MessageType type) const {
    return disseminator_.full_state(type);
}

void MembershipTable::merge_full_state(Timestamp now, const Message& message, Effects& effects) {
    advance_clock(now);
    ++state_.counters.exchanges;
    merger_.apply_message(now_, message, UpdateSource::exchange, effects);
}

void MembershipTable::leave(Timestamp now) {
    if (state_.is_leaving)
        return;
    advance_clock(now);
    state_.is_leaving = true;
    failure_detector_.cancel_probe();
    disseminator_.announce(state_.local_index);
    disseminator_.gossip_at(now_);
}

bool MembershipTable::departure_announced() const {
    return state_.is_leaving && !disseminator_.is_pending(state_.local_index);
}

std::vector<MemberInfo> MembershipTable::members() const {
    std::vector<MemberInfo> all;
    state_.records.for_each([&](MemberIndex member, const MemberRecord& record) {
        all.push_back({state_.indices.id(member), record.endpoint, record.state, record.incarnation,
                       record.start_time_us, record.changed_at});
    });
    std::sort(all.begin(), all.end(), [](const MemberInfo& a, const MemberInfo& b) { return a.id < b.id; });
    return all;
}

std::optional<MemberState> MembershipTable::state_of(std::string_view id) const {
    const MemberRecord* record = state_.records.find(state_.indices.find(id));
    if (record == nullptr)
        return std::nullopt;
    return record->state;
}

std::uint64_t MembershipTable::member_digest(const std::string& id, const Endpoint& endpoint) {
    const std::uint64_t seed = std::uint64_t{endpoint.ip} << 16U | endpoint.port;
    return XXH3_64bits_withSeed(id.data(), id.size(), seed);
}

// The digest is a sum, so that it does not depend on the order in which members became known.
std::uint64_t MembershipTable::digest() const {
    const bool is_member = !state_.is_displaced && !state_.is_leaving;
    std::uint64_t sum = is_member ? member_digest(state_.local.id, state_.local.endpoint) : 0;
    state_.records.for_each([&](MemberIndex member, const MemberRecord& record) {
        if (is_departed(record.state))
            return;
        const std::uint64_t contribution = member_digest(state_.indices.id(member), record.endpoint);
        sum += record.state == MemberState::suspect ? suspect_digest(contribution) : contribution;
    });
    return sum;
}

}  // namespace cressledge::membership
