#include "fault_injection/relay.hpp"

#include "gossip/transport.hpp"

namespace cressledge::fault_injection {

/// A connection through the relay: the accepted side, the side to the receiver, and the bytes that arrived before the
/// connection to the receiver was open.
class Relay::ProxiedConnection {
public:
    struct Side final : net::Stream::Owner {
        ProxiedConnection& connection;
        net::Stream* stream = nullptr;
        explicit Side(ProxiedConnection& owner) : connection(owner) {}
        void on_open() override { connection.on_receiver_open(); }
        void on_bytes(std::string_view bytes) override { connection.on_bytes(*this, bytes); }
        void on_end(bool) override {
            stream = nullptr;
            connection.relay.close(connection.id);
        }
    };
    ProxiedConnection(Relay& owner, std::size_t to)
        : relay(owner), receiver_index(to), sender(*this), receiver(*this) {}
    ~ProxiedConnection() {
        for (Side* side : {&sender, &receiver})
            if (side->stream != nullptr)
                std::exchange(side->stream, nullptr)->close();
    }
    void on_receiver_open() {
        is_receiver_open = true;
        if (!pending.empty())
            receiver.stream->write(pending);
        pending.clear();
    }
    void on_bytes(Side& from, std::string_view bytes) {
        if (&from == &receiver) {
            if (sender.stream == nullptr || !sender.stream->write(bytes))
                relay.close(id);
            return;
        }
        if (is_receiver_open) {
            receiver.stream->write(bytes);
            return;
        }
        pending.append(bytes);
        if (receiver.stream == nullptr)
            connect_receiver();
    }
    /// Connects to the receiver once the first message is complete, unless the link is cut or the sender unknown.
    void connect_receiver() {
        if (pending.size() < gossip::frame_header_bytes)
            return;
        const std::size_t length = gossip::decode_frame_length(pending);
        if (pending.size() < length + gossip::frame_header_bytes)
            return;
        if (!is_allowed(std::string_view(pending).substr(gossip::frame_header_bytes, length))) {
            ++relay.counters_.rejected_connections;
            return relay.close(id);
        }
        ++relay.counters_.forwarded_connections;
        receiver.stream = net::Stream::connect(
            relay.loop_.uv(), gossip::to_address(relay.processes_[receiver_index]->bound_endpoint), receiver);
        if (receiver.stream == nullptr)
            relay.close(id);
    }
    bool is_allowed(std::string_view first_message) const {
        const auto decoded = membership::decode(first_message, relay.fleet_, membership::max_exchange_bytes);
        const auto* message = std::get_if<membership::Message>(&decoded);
        if (message == nullptr)
            return false;
        const auto it = relay.index_by_id_.find(message->sender.id);
        return it != relay.index_by_id_.end() && !relay.is_cut({it->second, receiver_index}) &&
               !relay.is_cut({receiver_index, it->second});
    }

    Relay& relay;
    const std::size_t receiver_index;
    base::SlotId id = 0;
    Side sender, receiver;
    std::string pending;
    bool is_receiver_open = false;
};

Relay::Relay(net::Loop& loop, base::TimerQueue& timers, std::string fleet, std::uint64_t seed)
    : loop_(loop), timers_(timers), fleet_(std::move(fleet)), random_(seed) {}

Relay::~Relay() = default;

membership::Endpoint Relay::add(const std::string& id, const membership::Endpoint& bound_endpoint,
                                std::uint32_t ip) {
    const std::size_t index = processes_.size();
    auto process = std::make_unique<Process>();
    process->id = id;
    process->bound_endpoint = bound_endpoint;
    gossip::GossipTransport transport = gossip::open_transport(
        loop_.uv(), {ip, 0},
        [this, index](std::string_view bytes, const net::Address& from) { on_datagram(index, bytes, from); },
        [this, index] { accept(index); });
    process->datagrams = std::move(transport.datagrams);
    process->listener = std::move(transport.listener);
    index_by_id_[id] = index;
    index_by_bound_endpoint_[bound_endpoint] = index;
    processes_.push_back(std::move(process));
    return transport.local_endpoint;
}

void Relay::set_faults(const LinkFaults& faults) {
    default_faults_ = faults;
    faults_by_link_.clear();
}

void Relay::set_faults(const std::string& from, const std::string& to, const LinkFaults& faults) {
    faults_by_link_[{index_of(from), index_of(to)}] = faults;
}

void Relay::cut(const std::string& from, const std::string& to) {
    cut_links_.insert({index_of(from), index_of(to)});
}

void Relay::partition(const std::set<std::string>& group) {
    for (std::size_t a = 0; a < processes_.size(); ++a)
        for (std::size_t b = 0; b < processes_.size(); ++b)
            if (group.count(processes_[a]->id) != group.count(processes_[b]->id))
                cut_links_.insert({a, b});
}

void Relay::heal() {
    cut_links_.clear();
}

void Relay::on_datagram(std::size_t to, std::string_view bytes, const net::Address& from) {
    const auto sender = index_by_bound_endpoint_.find(gossip::to_endpoint(from));
    if (sender == index_by_bound_endpoint_.end()) {
        ++counters_.unknown_senders;
        return;
    }
    const Link link{sender->second, to};
    if (is_cut(link)) {
        ++counters_.cut;
        return;
    }
    const auto own = faults_by_link_.find(link);
    const LinkFaults& faults = own == faults_by_link_.end() ? default_faults_ : own->second;
    if (uniform() < faults.loss_probability) {
        ++counters_.lost;
        return;
    }
    const bool is_duplicated = uniform() < faults.duplication_probability;
    counters_.duplicated += is_duplicated ? 1 : 0;
    for (int copies = is_duplicated ? 2 : 1; copies > 0; --copies) {
        if (faults.max_delay <= Duration(0)) {
            forward(link, bytes);
            continue;
        }
        const auto jitter_us = static_cast<double>((faults.max_delay - faults.min_delay).count());
        forward_delayed(link, bytes,
                        faults.min_delay + Duration(static_cast<std::int64_t>(uniform() * jitter_us)));
    }
}

void Relay::forward_delayed(const Link& link, std::string_view bytes, Duration delay) {
    const std::uint64_t number = ++last_delayed_;
    delay_timers_[number] =
        timers_.schedule(loop_.unix_now() + delay, [this, link, number, copy = std::string(bytes)] {
            delay_timers_.erase(number);
            forward(link, copy);
        });
}

void Relay::forward(const Link& link, std::string_view bytes) {
    ++counters_.forwarded;
    const Process& receiver = *processes_[link.second];
    processes_[link.first]->datagrams->send(gossip::to_address(receiver.bound_endpoint), bytes);
}

void Relay::accept(std::size_t to) {
    auto owned = std::make_unique<ProxiedConnection>(*this, to);
    ProxiedConnection* connection = owned.get();
    connection->id = connections_.add(std::move(owned));
    connection->sender.stream = net::Stream::accept(*processes_[to]->listener, connection->sender);
    if (connection->sender.stream == nullptr)
        connections_.erase(connection->id);
}

void Relay::close(base::SlotId id) {
    connections_.erase(id);
}

}  // namespace cressledge::fault_injection
