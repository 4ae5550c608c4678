#include "fault_injection/faulty_link.hpp"

#include <utility>

namespace cressledge::fault_injection {

/// A caller's connection and the corresponding connection to the target.
class FaultyLink::ProxiedConnection {
public:
    struct Endpoint final : net::Stream::Owner {
        ProxiedConnection& connection;
        net::Stream* stream = nullptr;
        /// Bytes to be written once the stream is open.
        std::string pending;
        bool is_open = false;
        explicit Endpoint(ProxiedConnection& owner) : connection(owner) {}
        Endpoint& peer() { return &connection.caller == this ? connection.target : connection.caller; }
        void on_open() override {
            is_open = true;
            if (!pending.empty())
                stream->write(std::exchange(pending, {}));
        }
        void on_bytes(std::string_view bytes) override {
            if (connection.link.is_cut_)
                return;
            Endpoint& to = peer();
            if (to.is_open && to.stream != nullptr)
                to.stream->write(bytes);
            else
                to.pending.append(bytes);
        }
        void on_end(bool) override {
            stream = nullptr;
            if (!connection.link.is_cut_)
                connection.close();
        }
    };
    explicit ProxiedConnection(FaultyLink& owner) : link(owner), caller(*this), target(*this) {}
    ~ProxiedConnection() {
        for (Endpoint* endpoint : {&caller, &target})
            if (endpoint->stream != nullptr)
                std::exchange(endpoint->stream, nullptr)->close();
    }
    void close() {
        if (!std::exchange(is_closed, true))
            link.closed_connections_.erase(id);
    }

    FaultyLink& link;
    base::SlotId id = 0;
    Endpoint caller, target;
    bool is_closed = false;
};

FaultyLink::FaultyLink(net::Loop& loop, base::TimerQueue& timers, const net::Address& target,
                       std::uint64_t seed)
    : loop_(loop),
      target_(target),
      random_(seed, 29),
      closed_connections_(timers, connections_),
      listener_(loop.uv(), *net::Address::parse("127.0.0.1:0"), [this] { accept(); }) {}

FaultyLink::~FaultyLink() = default;

void FaultyLink::accept() {
    auto owned = std::make_unique<ProxiedConnection>(*this);
    ProxiedConnection& connection = *owned;
    connection.caller.stream = net::Stream::accept(listener_, connection.caller);
    if (connection.caller.stream == nullptr)
        return;
    connection.caller.is_open = true;
    connection.id = connections_.add(std::move(owned));
    const bool is_lost = random_() < connection_loss_ * 4294967296.0;
    if (is_cut_)
        return;  // the connection hangs
    if (is_lost)
        return connection.close();
    connection.target.stream = net::Stream::connect(loop_.uv(), target_, connection.target);
    if (connection.target.stream == nullptr)
        connection.close();
}

void FaultyLink::set_cut(bool cut) {
    is_cut_ = cut;
    if (cut)
        return;
    // Closed, so that callers whose connections hang can retry.
    for (const base::SlotId id : connections_.ids())
        connections_.find(id)->close();
}

}  // namespace cressledge::fault_injection
