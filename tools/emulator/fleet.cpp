#include "emulator/fleet.hpp"

namespace cressledge::emulator {

Fleet::Fleet(std::size_t most, const membership::MembershipSettings& rules, const Network& network,
             std::uint64_t seed)
    : most_(most), rules_(rules), network_(network), random_(seed) {
    nodes_.reserve(most);
}

Duration Fleet::delay() {
    const auto width = static_cast<double>((network_.most - network_.least).count());
    return network_.least + Duration(static_cast<std::int64_t>(random_() * 0x1p-32 * width));
}

void Fleet::boot(std::size_t no, const std::vector<std::size_t>& seeds) {
    Node& n = nodes_[no];
    std::vector<membership::Endpoint> places;
    for (const std::size_t s : seeds)
        places.push_back(place(s));
    ++n.life;
    n.leaving = false;
    n.scheduled = Timestamp::max();
    const membership::LocalMember self{n.id, place(no), static_cast<std::uint64_t>(now_.count())};
    n.view = std::make_unique<membership::MembershipTable>(names_, true, rules_, self, std::move(places),
                                                           random_(), now_);
    schedule(no);
}

std::size_t Fleet::start(std::vector<std::size_t> seeds) {
    const std::size_t no = nodes_.size();
    nodes_.emplace_back().id = "n" + std::to_string(no);
    boot(no, seeds);
    return no;
}

void Fleet::restart(std::size_t no, std::vector<std::size_t> seeds) {
    boot(no, seeds);
}

void Fleet::start_agreed(std::size_t n) {
    const std::size_t first = nodes_.size();
    for (std::size_t i = 0; i < n; ++i)
        start({});
    membership::Message all;
    all.type = membership::MessageType::exchange;
    for (std::size_t i = 0; i < n; ++i) {
        const membership::LocalMember& s = nodes_[first + i].view->local_member();
        all.updates.push_back({s.id, s.endpoint, s.start_time_us, 0, membership::MemberState::alive, {}});
    }
    all.sender = all.updates.front();
    membership::MembershipTable::Effects out;
    for (std::size_t i = 0; i < n; ++i) {
        nodes_[first + i].view->merge_full_state(now_, all, out);
        nodes_[first + i].view->assume_converged();
        schedule(first + i);
    }
}

void Fleet::leave(std::size_t no) {
    nodes_[no].view->leave(now_);
    nodes_[no].leaving = true;
    schedule(no);
}

void Fleet::pause(std::size_t no, Timestamp until) {
    nodes_[no].paused = until;
}

void Fleet::put(Timestamp when, std::size_t from, std::size_t to,
                std::shared_ptr<const membership::Message> m) {
    events_.push({when, ++order_, to, from, 0, std::move(m)});
}

void Fleet::schedule(std::size_t no) {
    Node& n = nodes_[no];
    const Timestamp at = std::max(now_, n.view->next_deadline());
    if (at >= n.scheduled)
        return;
    n.scheduled = at;
    events_.push({at, ++order_, no, no, n.life, nullptr});
}

void Fleet::carry(std::size_t no, membership::MembershipTable::Effects& out) {
    for (auto& s : out.messages) {
        const std::size_t to = number(s.destination);
        ++datagrams_;
        bytes_ += membership::max_encoded_size(s.message, 5);
        for (const auto& u : s.message.updates)
            bytes_ += membership::max_encoded_size(u);
        if (to >= nodes_.size() || cut(no, to) || random_() * 0x1p-32 < network_.loss)
            continue;
        put(now_ + delay(), no, to, std::make_shared<const membership::Message>(std::move(s.message)));
    }
    for (const auto& p : out.exchange_peers) {
        const std::size_t to = number(p);
        if (to >= nodes_.size() || to == no || cut(no, to) || cut(to, no))
            continue;
        put(now_ + delay(), no, to,
            std::make_shared<const membership::Message>(
                nodes_[no].view->full_state(membership::MessageType::exchange)));
    }
    for (const auto& c : out.changes) {
        if (c.new_state != membership::MemberState::dead)
            continue;
        const std::size_t of = number(c.endpoint);
        false_deaths_ += of < nodes_.size() && nodes_[of].view != nullptr && !nodes_[of].leaving &&
                         !cut(no, of) && !cut(of, no);
    }
    if (nodes_[no].leaving && nodes_[no].view->departure_announced())
        nodes_[no].view.reset();
    else
        schedule(no);
}

void Fleet::handle(const Event& e) {
    Node& n = nodes_[e.to];
    if (n.view == nullptr)
        return;
    if (n.paused > now_) {
        Event later = e;
        later.when = n.paused;
        if (e.message == nullptr)
            later.order = 0;  // timers go first when it goes on
        if (e.message == nullptr)
            n.scheduled = n.paused;
        events_.push(std::move(later));
        return;
    }
    membership::MembershipTable::Effects out;
    if (e.message == nullptr) {
        if (e.life != n.life || e.when != n.scheduled)
            return;
        n.scheduled = Timestamp::max();
        n.view->tick(now_, out);
    } else if (e.message->type == membership::MessageType::exchange) {
        auto reply = std::make_shared<const membership::Message>(
            n.view->full_state(membership::MessageType::exchange_reply));
        for (const auto& m : {e.message, reply})
            for (const auto& u : m->updates)
                bytes_ += membership::max_encoded_size(u);
        n.view->merge_full_state(now_, *e.message, out);
        put(now_ + delay(), e.to, e.from, std::move(reply));
    } else if (e.message->type == membership::MessageType::exchange_reply) {
        n.view->merge_full_state(now_, *e.message, out);
    } else {
        n.view->on_message(now_, *e.message, place(e.from), out);
    }
    carry(e.to, out);
}

void Fleet::run(Timestamp until) {
    while (!events_.empty() && events_.top().when <= until) {
        const Event e = events_.top();
        events_.pop();
        now_ = std::max(now_, e.when);
        handle(e);
    }
    now_ = until;
}

bool Fleet::run(Timestamp until, Duration look_every, const std::function<bool()>& done) {
    while (now_ < until) {
        if (done())
            return true;
        run(std::min(until, now_ + look_every));
    }
    return done();
}

bool Fleet::agreed() const {
    std::size_t running = 0;
    for (const Node& n : nodes_)
        running += n.view != nullptr && !n.leaving;
    std::uint64_t digest = 0;
    bool first = true;
    for (const Node& n : nodes_) {
        if (n.view == nullptr || n.leaving)
            continue;
        if (n.view->live_count() + 1 != running || n.view->suspect_count() != 0)
            return false;
        const std::uint64_t d = n.view->digest();
        if (!first && d != digest)
            return false;
        digest = d;
        first = false;
    }
    return true;
}

}  // namespace cressledge::emulator
