#include "fault_injection/wire.hpp"

#include <utility>
#include <vector>

namespace cressledge::fault_injection {

class Wire::Pair {
public:
    struct End final : net::Stream::Owner {
        Pair& pair;
        net::Stream* stream = nullptr;
        std::string held;  // until the other end is open
        bool open = false;
        explicit End(Pair& p) : pair(p) {}
        End& other() { return &pair.near == this ? pair.far : pair.near; }
        void on_open() override {
            open = true;
            if (!held.empty())
                stream->write(std::exchange(held, {}));
        }
        void on_bytes(std::string_view b) override {
            if (pair.wire.cut_)
                return;  // lost
            End& o = other();
            if (o.open && o.stream != nullptr)
                o.stream->write(b);
            else
                o.held.append(b);
        }
        void on_end(bool) override {
            stream = nullptr;
            if (!pair.wire.cut_)
                pair.end();
        }
    };
    Pair(Wire& w) : wire(w), near(*this), far(*this) {}
    ~Pair() {
        for (End* e : {&near, &far})
            if (e->stream != nullptr)
                std::exchange(e->stream, nullptr)->close();
    }
    void end() {
        if (std::exchange(over, true))
            return;
        wire.over_.push_back(no);
        if (wire.sweep_.is_scheduled())
            return;
        wire.sweep_ = wire.timers_.schedule(base::Timestamp(0), [w = &wire] {
            for (const base::SlotId gone : std::exchange(w->over_, {}))
                w->pairs_.erase(gone);
        });
    }
    Wire& wire;
    base::SlotId no = 0;
    End near, far;
    bool over = false;
};

Wire::Wire(net::Loop& loop, base::TimerQueue& timers, const net::Address& to, std::uint64_t seed)
    : loop_(loop),
      timers_(timers),
      to_(to),
      random_(seed, 29),
      listener_(loop.uv(), *net::Address::parse("127.0.0.1:0"), [this] { take(); }) {}

Wire::~Wire() = default;

void Wire::take() {
    auto made = std::make_unique<Pair>(*this);
    Pair& p = *made;
    p.near.stream = net::Stream::accept(listener_, p.near);
    if (p.near.stream == nullptr)
        return;
    p.near.open = true;
    p.no = pairs_.add(std::move(made));
    const bool lost = random_() < loss_ * 4294967296.0;
    harmed_ += cut_ || lost ? 1 : 0;
    if (cut_)
        return;  // it hangs
    if (lost)
        return p.end();
    ++passed_;
    p.far.stream = net::Stream::connect(loop_.uv(), to_, p.far);
    if (p.far.stream == nullptr)
        p.end();
}

void Wire::cut(bool on) {
    cut_ = on;
    if (on)
        return;
    // What hung is broken off: its caller asks again.
    for (const base::SlotId no : pairs_.ids())
        pairs_.find(no)->end();
}

}  // namespace cressledge::fault_injection
