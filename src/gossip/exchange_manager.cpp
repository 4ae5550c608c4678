#include "gossip/exchange_manager.hpp"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "gossip/frame.hpp"
#include "gossip/transport.hpp"
#include "membership/codec.hpp"

namespace cressledge::gossip {
namespace {

using connection_admission::DescriptorPurpose;
using membership::MessageType;

/// Delay before accepting again after no file descriptor was available.
constexpr base::Duration accept_retry_delay{100'000};
/// Upper bound of the size of the frame header and a message without its updates.
constexpr std::size_t max_message_header_bytes = 1'000;

/// Returns the number of leading updates whose encoding fits into `free_bytes`.
std::size_t fitting_update_count(const std::vector<membership::MemberUpdate>& updates,
                                 std::size_t free_bytes) {
    std::size_t count = 0;
    for (; count < updates.size(); ++count) {
        const std::size_t size = membership::max_encoded_size(updates[count]);
        if (size > free_bytes)
            break;
        free_bytes -= size;
    }
    return count;
}

}  // namespace

ExchangeManager::ExchangeManager(const ExchangeEnvironment& environment, std::string fleet_name,
                                 std::uint64_t seed, EffectsHandler on_effects)
    : environment_(environment),
      fleet_name_(std::move(fleet_name)),
      on_effects_(std::move(on_effects)),
      random_(seed) {}

std::size_t& ExchangeManager::open_count(ExchangeDirection direction) {
    return direction == ExchangeDirection::outbound ? outbound_count_ : inbound_count_;
}

ExchangeConnection& ExchangeManager::add_connection(ExchangeDirection direction) {
    ExchangeConnection::Handler& handler = *this;
    auto owned = std::make_unique<ExchangeConnection>(handler, environment_.timers, direction);
    ExchangeConnection& connection = *owned;
    connection.set_id(connections_.add(std::move(owned)));
    ++open_count(direction);
    return connection;
}

void ExchangeManager::set_deadline(ExchangeConnection& connection) {
    const base::Timestamp deadline = environment_.loop.unix_now() + exchange_timeout;
    connection.set_deadline(deadline, [this, id = connection.id()] { end(id); });
}

void ExchangeManager::start(const membership::Endpoint& peer) {
    Lease lease;
    if (outbound_count_ < max_exchanges_per_direction)
        lease = environment_.descriptors.try_acquire(environment_.loop.unix_now(), DescriptorPurpose::gossip);
    if (!lease) {
        ++environment_.statistics.failed_exchanges;
        return;
    }
    ExchangeConnection& connection = add_connection(ExchangeDirection::outbound);
    if (!connection.connect(environment_.loop.uv(), to_address(peer), std::move(lease))) {
        ++environment_.statistics.failed_exchanges;
        return end(connection.id());
    }
    set_deadline(connection);
}

void ExchangeManager::accept_pending() {
    while (inbound_count_ < max_exchanges_per_direction) {
        Lease lease =
            environment_.descriptors.try_acquire(environment_.loop.unix_now(), DescriptorPurpose::gossip);
        if (!lease)
            return retry_accept_later();
        ExchangeConnection& connection = add_connection(ExchangeDirection::inbound);
        if (!connection.accept(environment_.listener, std::move(lease)))
            return end(connection.id());
        set_deadline(connection);
    }
    // At the limit. `end` resumes the listener.
    environment_.listener.set_paused(true);
}

// The listener is paused during the delay, so that its backlog does not wake the event loop repeatedly.
void ExchangeManager::retry_accept_later() {
    environment_.listener.set_paused(true);
    const base::Timestamp retry_at = environment_.loop.unix_now() + accept_retry_delay;
    accept_retry_timer_ =
        environment_.timers.schedule(retry_at, [this] { environment_.listener.set_paused(false); });
}

std::string ExchangeManager::make_frame(MessageType type) {
    membership::Message message = environment_.membership.full_state(type);
    std::vector<membership::MemberUpdate>& updates = message.updates;
    // If the table does not fit into one frame, each exchange sends a different random range of it.
    if (!updates.empty()) {
        const auto first = random_(static_cast<std::uint32_t>(updates.size()));
        std::rotate(updates.begin(), updates.begin() + first, updates.end());
    }
    updates.resize(fitting_update_count(updates, max_frame_bytes - max_message_header_bytes));
    return encode_frame(membership::encode(message, fleet_name_));
}

void ExchangeManager::send_state(ExchangeConnection& connection, MessageType type) {
    const std::string frame = make_frame(type);
    environment_.statistics.sent.add_stream_bytes(environment_.loop.unix_now(), frame.size());
    connection.send_frame(frame);
}

void ExchangeManager::on_exchange_open(ExchangeConnection& connection) {
    send_state(connection, MessageType::exchange);
}

void ExchangeManager::on_exchange_frame(ExchangeConnection& connection, std::string_view body) {
    const base::Timestamp now = environment_.loop.unix_now();
    environment_.statistics.received.add_stream_bytes(now, body.size() + frame_header_bytes);
    const auto decoded = membership::decode(body, fleet_name_, membership::max_exchange_bytes);
    if (const auto* reason = std::get_if<membership::DropReason>(&decoded))
        return fail(connection, *reason);
    const auto& message = std::get<membership::Message>(decoded);
    const bool is_outbound = connection.is_outbound();
    if (message.type != (is_outbound ? MessageType::exchange_reply : MessageType::exchange))
        return fail(connection, membership::DropReason::malformed);
    // The reply is sent before the merge, because the peer already knows the claims that it sent.
    if (!is_outbound)
        send_state(connection, MessageType::exchange_reply);
    membership::Effects effects;
    environment_.membership.merge_full_state(now, message, effects);
    if (is_outbound)
        end(connection.id());
    on_effects_(effects);
}

void ExchangeManager::on_exchange_oversized(ExchangeConnection& connection) {
    fail(connection, membership::DropReason::oversized);
}

void ExchangeManager::on_exchange_end(ExchangeConnection& connection) {
    if (!connection.has_received_frame())
        ++environment_.statistics.failed_exchanges;
    end(connection.id());
}

void ExchangeManager::fail(ExchangeConnection& connection, membership::DropReason reason) {
    environment_.statistics.count_drop(reason);
    ++environment_.statistics.failed_exchanges;
    end(connection.id());
}

void ExchangeManager::end(base::SlotId id) {
    const ExchangeConnection* connection = connections_.find(id);
    if (connection == nullptr)
        return;
    --open_count(connection->direction());
    connections_.erase(id);
    if (inbound_count_ < max_exchanges_per_direction)
        environment_.listener.set_paused(false);
}

}  // namespace cressledge::gossip
