#include "fault_injection/relay.hpp"

#include "gossip/transport.hpp"

namespace cressledge::fault_injection {

// A connection through the relay: the accepted end, the dialled one, and what came before the link was known.
class Relay::Pipe {
public:
    struct End final : net::Stream::Owner {
        Pipe& pipe;
        net::Stream* stream = nullptr;
        explicit End(Pipe& p) : pipe(p) {}
        void on_open() override { pipe.opened(); }
        void on_bytes(std::string_view b) override { pipe.came(*this, b); }
        void on_end(bool) override {
            stream = nullptr;
            pipe.relay.end(pipe.no);
        }
    };
    Pipe(Relay& r, std::size_t t) : relay(r), to(t), near(*this), far(*this) {}
    ~Pipe() {
        for (End* e : {&near, &far})
            if (e->stream != nullptr)
                std::exchange(e->stream, nullptr)->close();
    }
    void opened() {
        far_open = true;
        if (!first.empty())
            far.stream->write(first);
        first.clear();
    }
    void came(End& from, std::string_view bytes) {
        if (&from == &far) {
            if (near.stream == nullptr || !near.stream->write(bytes))
                relay.end(no);
            return;
        }
        if (far_open) {
            far.stream->write(bytes);
            return;
        }
        first.append(bytes);
        if (far.stream != nullptr || first.size() < gossip::frame_header_bytes)
            return;
        const std::size_t n = gossip::decode_frame_length(first);
        if (first.size() < n + gossip::frame_header_bytes)
            return;
        const auto m = membership::decode(std::string_view(first).substr(gossip::frame_header_bytes, n),
                                          relay.fleet_, membership::max_exchange_bytes);
        const auto* who = std::get_if<membership::Message>(&m);
        const auto sender = who == nullptr ? relay.numbers_.end() : relay.numbers_.find(who->sender.id);
        const bool through = sender != relay.numbers_.end() && relay.cuts_.count({sender->second, to}) == 0 &&
                             relay.cuts_.count({to, sender->second}) == 0;
        if (!through) {
            ++relay.counts_.refused;
            return relay.end(no);
        }
        ++relay.counts_.connections;
        far.stream =
            net::Stream::connect(relay.loop_.uv(), gossip::to_address(relay.processes_[to]->own), far);
        if (far.stream == nullptr)
            relay.end(no);
    }

    Relay& relay;
    const std::size_t to;
    base::SlotId no = 0;
    End near, far;
    std::string first;
    bool far_open = false;
};

Relay::Relay(net::Loop& loop, base::TimerQueue& timers, std::string fleet, std::uint64_t seed)
    : loop_(loop), timers_(timers), fleet_(std::move(fleet)), random_(seed) {}

Relay::~Relay() = default;

membership::Endpoint Relay::add(const std::string& id, const membership::Endpoint& own, std::uint32_t ip) {
    const std::size_t no = processes_.size();
    auto p = std::make_unique<Process>();
    p->id = id;
    p->own = own;
    gossip::GossipTransport port = gossip::open_transport(
        loop_.uv(), {ip, 0}, [this, no](std::string_view b, const net::Address& from) { heard(no, b, from); },
        [this, no] { accept(no); });
    p->datagrams = std::move(port.datagrams);
    p->listener = std::move(port.listener);
    numbers_[id] = no;
    owners_[own] = no;
    processes_.push_back(std::move(p));
    return port.local_endpoint;
}

void Relay::harm(const Harm& all) {
    all_ = all;
    harms_.clear();
}
void Relay::harm(const std::string& from, const std::string& to, const Harm& one) {
    harms_[{number(from), number(to)}] = one;
}
void Relay::cut(const std::string& from, const std::string& to) {
    cuts_.insert({number(from), number(to)});
}
void Relay::part(const std::set<std::string>& some) {
    for (std::size_t a = 0; a < processes_.size(); ++a)
        for (std::size_t b = 0; b < processes_.size(); ++b)
            if (some.count(processes_[a]->id) != some.count(processes_[b]->id))
                cuts_.insert({a, b});
}
void Relay::heal() {
    cuts_.clear();
}

void Relay::heard(std::size_t to, std::string_view bytes, const net::Address& from) {
    const auto sender = owners_.find(gossip::to_endpoint(from));
    if (sender == owners_.end()) {
        ++counts_.strangers;
        return;
    }
    const Link link{sender->second, to};
    if (cuts_.count(link) != 0) {
        ++counts_.cut;
        return;
    }
    const auto own = harms_.find(link);
    const Harm& h = own == harms_.end() ? all_ : own->second;
    const auto chance = [this] { return random_() * 0x1p-32; };
    if (chance() < h.loss) {
        ++counts_.lost;
        return;
    }
    const bool twice = chance() < h.twice;
    counts_.doubled += twice ? 1 : 0;
    for (int copy = twice ? 2 : 1; copy > 0; --copy) {
        if (h.most <= Duration(0)) {
            pass(link.first, to, std::string(bytes));
            continue;
        }
        const Duration delay =
            h.least +
            Duration(static_cast<std::int64_t>(chance() * static_cast<double>((h.most - h.least).count())));
        const std::uint64_t no = ++last_delayed_;
        delayed_[no] = timers_.schedule(loop_.unix_now() + delay, [this, link, no, b = std::string(bytes)] {
            delayed_.erase(no);
            pass(link.first, link.second, b);
        });
    }
}

void Relay::pass(std::size_t from, std::size_t to, const std::string& bytes) {
    ++counts_.passed;
    processes_[from]->datagrams->send(gossip::to_address(processes_[to]->own), bytes);
}

void Relay::accept(std::size_t to) {
    auto made = std::make_unique<Pipe>(*this, to);
    Pipe* pipe = made.get();
    pipe->no = pipes_.add(std::move(made));
    pipe->near.stream = net::Stream::accept(*processes_[to]->listener, pipe->near);
    if (pipe->near.stream == nullptr)
        pipes_.erase(pipe->no);
}

void Relay::end(base::SlotId no) {
    pipes_.erase(no);
}

}  // namespace cressledge::fault_injection
