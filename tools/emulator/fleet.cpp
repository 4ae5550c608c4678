#include "emulator/fleet.hpp"

namespace cressledge::emulator {
namespace {

/// Length of the fleet's name, used to estimate message sizes.
constexpr std::size_t fleet_name_bytes = 5;

std::uint64_t update_bytes(const membership::Message& message) {
    std::uint64_t bytes = 0;
    for (const auto& update : message.updates)
        bytes += membership::max_encoded_size(update);
    return bytes;
}

}  // namespace

Fleet::Fleet(std::size_t max_members, const membership::MembershipSettings& settings,
             const NetworkModel& network, std::uint64_t seed)
    : settings_(settings), network_(network), random_(seed) {
    members_.reserve(max_members);
}

void Fleet::boot(std::size_t index, const std::vector<std::size_t>& seeds) {
    Member& member = members_[index];
    std::vector<membership::Endpoint> seed_endpoints;
    seed_endpoints.reserve(seeds.size());
    for (const std::size_t seed : seeds)
        seed_endpoints.push_back(endpoint_of(seed));
    ++member.incarnation;
    member.is_leaving = false;
    member.next_tick_at = Timestamp::max();
    const membership::LocalMember self{member.id, endpoint_of(index),
                                       static_cast<std::uint64_t>(now_.count())};
    member.table = std::make_unique<membership::MembershipTable>(member_indices_, true, settings_, self,
                                                                 std::move(seed_endpoints), random_(), now_);
    schedule_tick(index);
}

std::size_t Fleet::start(const std::vector<std::size_t>& seeds) {
    const std::size_t index = members_.size();
    members_.emplace_back().id = "n" + std::to_string(index);
    boot(index, seeds);
    return index;
}

void Fleet::restart(std::size_t index, const std::vector<std::size_t>& seeds) {
    boot(index, seeds);
}

void Fleet::start_converged(std::size_t count) {
    const std::size_t first = members_.size();
    for (std::size_t i = 0; i < count; ++i)
        start({});
    membership::Message full_state;
    full_state.type = membership::MessageType::exchange;
    for (std::size_t i = 0; i < count; ++i) {
        const membership::LocalMember& local = members_[first + i].table->local_member();
        full_state.updates.push_back(
            {local.id, local.endpoint, local.start_time_us, 0, membership::MemberState::alive, {}});
    }
    full_state.sender = full_state.updates.front();
    Effects ignored;
    for (std::size_t i = 0; i < count; ++i) {
        members_[first + i].table->merge_full_state(now_, full_state, ignored);
        members_[first + i].table->assume_converged();
        schedule_tick(first + i);
    }
}

void Fleet::leave(std::size_t index) {
    members_[index].table->leave(now_);
    members_[index].is_leaving = true;
    schedule_tick(index);
}

void Fleet::pause(std::size_t index, Timestamp until) {
    members_[index].paused_until = until;
}

void Fleet::deliver_later(std::size_t from, std::size_t to,
                          std::shared_ptr<const membership::Message> message) {
    const auto jitter_us = static_cast<double>((network_.max_delay - network_.min_delay).count());
    const Duration delay =
        network_.min_delay + Duration(static_cast<std::int64_t>(random_() * 0x1p-32 * jitter_us));
    events_.push({now_ + delay, ++last_sequence_, to, from, 0, std::move(message)});
}

void Fleet::schedule_tick(std::size_t index) {
    Member& member = members_[index];
    const Timestamp at = std::max(now_, member.table->next_deadline());
    if (at >= member.next_tick_at)
        return;
    member.next_tick_at = at;
    events_.push({at, ++last_sequence_, index, index, member.incarnation, nullptr});
}

void Fleet::send_messages(std::size_t from, Effects& effects) {
    for (auto& outgoing : effects.messages) {
        const std::size_t to = index_of(outgoing.destination);
        bytes_ +=
            membership::max_encoded_size(outgoing.message, fleet_name_bytes) + update_bytes(outgoing.message);
        if (to >= members_.size() || is_cut(from, to) || random_() * 0x1p-32 < network_.loss_probability)
            continue;
        deliver_later(from, to, std::make_shared<const membership::Message>(std::move(outgoing.message)));
    }
}

void Fleet::start_exchanges(std::size_t from, const Effects& effects) {
    for (const auto& peer : effects.exchange_peers) {
        const std::size_t to = index_of(peer);
        if (to >= members_.size() || to == from || is_cut(from, to) || is_cut(to, from))
            continue;
        deliver_later(from, to,
                      std::make_shared<const membership::Message>(
                          members_[from].table->full_state(membership::MessageType::exchange)));
    }
}

void Fleet::count_false_deaths(std::size_t observer, const Effects& effects) {
    for (const auto& change : effects.changes) {
        if (change.new_state != membership::MemberState::dead)
            continue;
        const std::size_t subject = index_of(change.endpoint);
        false_deaths_ += subject < members_.size() && running(subject) && !members_[subject].is_leaving &&
                         !is_cut(observer, subject) && !is_cut(subject, observer);
    }
}

void Fleet::apply(std::size_t index, Effects& effects) {
    send_messages(index, effects);
    start_exchanges(index, effects);
    count_false_deaths(index, effects);
    if (members_[index].is_leaving && members_[index].table->departure_announced())
        members_[index].table.reset();
    else
        schedule_tick(index);
}

void Fleet::postpone(Event event) {
    Member& member = members_[event.to];
    event.at = member.paused_until;
    if (event.message == nullptr) {
        event.sequence = 0;  // when the member continues, its timers fire before messages are delivered
        member.next_tick_at = member.paused_until;
    }
    events_.push(std::move(event));
}

void Fleet::receive(Member& member, const Event& event, Effects& effects) {
    const membership::Message& message = *event.message;
    if (message.type == membership::MessageType::exchange) {
        auto reply = std::make_shared<const membership::Message>(
            member.table->full_state(membership::MessageType::exchange_reply));
        bytes_ += update_bytes(message) + update_bytes(*reply);
        member.table->merge_full_state(now_, message, effects);
        deliver_later(event.to, event.from, std::move(reply));
    } else if (message.type == membership::MessageType::exchange_reply) {
        member.table->merge_full_state(now_, message, effects);
    } else {
        member.table->on_message(now_, message, endpoint_of(event.from), effects);
    }
}

void Fleet::handle(const Event& event) {
    Member& member = members_[event.to];
    if (member.table == nullptr)
        return;
    if (member.paused_until > now_)
        return postpone(event);
    Effects effects;
    if (event.message == nullptr) {
        if (event.incarnation != member.incarnation || event.at != member.next_tick_at)
            return;
        member.next_tick_at = Timestamp::max();
        member.table->tick(now_, effects);
    } else {
        receive(member, event, effects);
    }
    apply(event.to, effects);
}

void Fleet::run(Timestamp until) {
    while (!events_.empty() && events_.top().at <= until) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        handle(event);
    }
    now_ = until;
}

bool Fleet::run(Timestamp until, Duration check_interval, const std::function<bool()>& is_done) {
    while (now_ < until) {
        if (is_done())
            return true;
        run(std::min(until, now_ + check_interval));
    }
    return is_done();
}

bool Fleet::has_converged() const {
    std::size_t running_members = 0;
    for (const Member& member : members_)
        running_members += member.table != nullptr && !member.is_leaving;
    std::optional<std::uint64_t> common_digest;
    for (const Member& member : members_) {
        if (member.table == nullptr || member.is_leaving)
            continue;
        if (member.table->live_count() + 1 != running_members || member.table->suspect_count() != 0)
            return false;
        const std::uint64_t digest = member.table->digest();
        if (common_digest && digest != *common_digest)
            return false;
        common_digest = digest;
    }
    return true;
}

}  // namespace cressledge::emulator
