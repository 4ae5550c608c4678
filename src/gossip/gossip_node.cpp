#include "gossip/gossip_node.hpp"

#include <utility>
#include <variant>

#include "gossip/gossip_status.hpp"
#include "membership/codec.hpp"

namespace cressledge::gossip {
namespace {

/// The UDP socket and the listener.
constexpr int socket_count = 2;

/// Returns the identity of the local member. The advertised port defaults to the port that was bound.
membership::LocalMember local_member(const Settings& settings, std::uint16_t bound_port,
                                     base::Timestamp now) {
    membership::LocalMember local;
    local.id = settings.member_id;
    local.endpoint = settings.advertise.ip == 0 ? settings.listen : settings.advertise;
    if (local.endpoint.port == 0)
        local.endpoint.port = bound_port;
    local.start_time_us = static_cast<std::uint64_t>(now.count());
    return local;
}

}  // namespace

GossipNode::GossipNode(net::Loop& loop, base::TimerQueue& timers,
                       connection_admission::FileDescriptorBudget& descriptors, const Settings& settings,
                       std::uint64_t seed)
    : loop_(loop), timers_(timers), descriptors_(descriptors), fleet_name_(settings.fleet_name) {
    const base::Timestamp now = loop.unix_now();
    acquire_socket_leases(now);
    transport_ = open_transport(
        loop.uv(), settings.listen,
        [this](std::string_view bytes, const net::Address& from) { on_datagram(bytes, from); },
        [this] { exchanges_->accept_pending(); });
    const std::uint16_t bound_port = transport_.local_endpoint.port;
    membership_ = std::make_unique<membership::MembershipTable>(member_indices_, false, settings.membership,
                                                                local_member(settings, bound_port, now),
                                                                settings.seeds, seed, now);
    const ExchangeEnvironment environment{loop_,        timers_,    descriptors_, *transport_.listener,
                                          *membership_, statistics_};
    exchanges_ = std::make_unique<ExchangeManager>(environment, fleet_name_, seed,
                                                   [this](membership::Effects& effects) { apply(effects); });
    arm_timer();
}

void GossipNode::acquire_socket_leases(base::Timestamp now) {
    for (int i = 0; i < socket_count; ++i)
        socket_leases_.push_back(
            descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::gossip));
}

void GossipNode::on_datagram(std::string_view bytes, const net::Address& from) {
    const base::Timestamp now = loop_.unix_now();
    statistics_.received.add_datagram(now, bytes.size());
    const auto decoded = membership::decode(bytes, fleet_name_, membership::max_datagram_bytes);
    if (const auto* reason = std::get_if<membership::DropReason>(&decoded))
        return statistics_.count_drop(*reason);
    const auto& message = std::get<membership::Message>(decoded);
    const membership::Endpoint sender = to_endpoint(from);
    if (!membership::is_datagram(message.type) || sender.ip == 0)
        return statistics_.count_drop(membership::DropReason::malformed);
    membership::Effects effects;
    membership_->on_message(now, message, sender, effects);
    apply(effects);
}

void GossipNode::arm_timer() {
    const base::Timestamp next = membership_->next_deadline();
    if (membership_timer_.is_scheduled() && next == timer_deadline_)
        return;
    membership_timer_.cancel();
    timer_deadline_ = next;
    if (next == membership::never)
        return;
    membership_timer_ = timers_.schedule(next, [this] { on_timer(); });
}

void GossipNode::on_timer() {
    membership::Effects effects;
    membership_->tick(loop_.unix_now(), effects);
    apply(effects);
}

void GossipNode::apply(membership::Effects& effects) {
    for (const membership::OutgoingMessage& outgoing : effects.messages)
        send(outgoing);
    for (const membership::Endpoint& peer : effects.exchange_peers)
        exchanges_->start(peer);
    for (const membership::MemberChange& change : effects.changes)
        change_log_.write(loop_.unix_now(), change);
    arm_timer();
}

void GossipNode::send(const membership::OutgoingMessage& outgoing) {
    const std::string bytes = membership::encode(outgoing.message, fleet_name_);
    if (transport_.datagrams->send(to_address(outgoing.destination), bytes))
        statistics_.sent.add_datagram(loop_.unix_now(), bytes.size());
}

void GossipNode::leave() {
    membership_->leave(loop_.unix_now());
    arm_timer();
}

void GossipNode::append_metrics(base::Metrics& metrics) {
    append_gossip_metrics(*membership_, statistics_, transport_.datagrams->dropped_datagrams(),
                          loop_.unix_now(), metrics);
}

std::string GossipNode::status_json(bool brief) {
    const StatusDetail detail = brief ? StatusDetail::summary : StatusDetail::members;
    return gossip_status_json(fleet_name_, *membership_, loop_.unix_now(), detail);
}

}  // namespace cressledge::gossip
