#include "front/front.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace cressledge::front {
namespace {

constexpr std::size_t most_later = 16U << 10U;  // of what a peer sends ahead of its turn
constexpr std::size_t most_dropped = 1U << 20U;  // read out after a last answer, so that it is not reset away
constexpr core::Span linger{1'000'000};  // for a peer to read a last answer and close
constexpr core::Span settling{250'000};  // a usual caller's request follows its connection sooner

}  // namespace

// ---- Session ----

void Session::on_bytes(std::string_view bytes) {
    if (finished_) {  // a last answer is on its way; what still comes is not read as a request
        dropped_ += bytes.size();
        // Guards the processor against a peer that goes on sending: what has not read its answer now may lose it.
        if (dropped_ > most_dropped) bury();
        return;
    }
    later_.append(bytes);
    if (busy_ && later_.size() > most_later && !paused_) {
        // Guards memory against a peer that sends on and on ahead of its answers.
        paused_ = true;
        stream_->pause(true);
    }
    pump();
}

void Session::pump() {
    if (pumping_) return;
    pumping_ = true;
    while (!busy_ && !finished_ && !later_.empty()) {
        const std::string now = std::exchange(later_, {});
        const std::size_t used = parse(now);
        if (used < now.size()) later_.insert(0, now, used);
    }
    pumping_ = false;
    if (busy_ || finished_) return;
    if (paused_) {
        paused_ = false;
        stream_->pause(false);
    }
    if (partial() && !whole_by_) {
        whole_by(front_.server_.now() + front_.limits_.whole);
        front_.enlist(*this, front_.silent_);
    }
}

// Guards the table against peers that say nothing, or begin a request and never end it.
void Session::whole_by(core::Time when) {
    front_.deadlines_.cancel(deadline_);
    whole_by_ = true;
    deadline_ = front_.deadlines_.at(when, [this] {
        deadline_ = 0;
        if (!partial()) return bury();  // nobody has asked anything
        say(too_slow(), true);
    });
}

void Session::submit(core::Arrival arrival) {
    busy_ = true;
    front_.delist(*this);
    front_.deadlines_.cancel(deadline_);
    whole_by_ = false;
    const core::RequestNo no = front_.server_.arrive(std::move(arrival), front_, no_);
    if (busy_) request_ = no;
}

void Session::check(bool deep) {
    busy_ = true;
    front_.delist(*this);
    front_.deadlines_.cancel(deadline_);
    whole_by_ = false;
    front_.server_.check(deep, [front = &front_, no = no_](bool good) {
        if (Session* s = front->sessions_.find(no); s != nullptr) s->checked(good);
    });
}
void Session::checked(bool good) {
    if (!busy_) return;
    const bool close = !keep_alive() || front_.leaving_;
    conclude(format_check(good, close), close);
}

void Session::answer(const core::Answer& a) {
    if (!busy_) return;
    const bool close = !keep_alive() || front_.leaving_;
    conclude(format(a, close), close);
}

void Session::say(const std::string& bytes, bool close) {
    front_.deadlines_.cancel(deadline_);
    whole_by_ = false;
    conclude(bytes, close);
}

void Session::interim(std::string_view bytes) {
    if (stream_ != nullptr) stream_->write(bytes);
}

void Session::conclude(const std::string& bytes, bool close) {
    busy_ = false;
    request_ = 0;
    if (stream_ == nullptr) return;
    if (!stream_->write(bytes)) return bury();  // a peer that reads nothing
    if (close) {
        finished_ = true;
        front_.enlist(*this, front_.silent_);
        std::string().swap(later_);
        stream_->finish();
        if (paused_) stream_->pause(false);
        // Closing outright while bytes come in would reset the connection under the answer.
        deadline_ = front_.deadlines_.at(front_.server_.now() + linger, [this] {
            deadline_ = 0;
            bury();
        });
        return;
    }
    rest();
    pump();
}

void Session::rest() {
    front_.deadlines_.cancel(deadline_);
    if (among_ != &front_.resting_) front_.enlist(*this, front_.resting_);
    const core::Span own = front_.idle_, most = front_.limits_.idle;
    const core::Span idle = own <= core::Span(0) || (most > core::Span(0) && most < own) ? most : own;
    if (idle <= core::Span(0)) return;
    deadline_ = front_.deadlines_.at(since_ + idle, [this] {
        deadline_ = 0;
        bury();
    });
}

bool Session::on_eof() {
    if (busy_ || finished_ || !partial()) return false;
    const std::string bytes = cut_short();
    if (bytes.empty()) return false;
    say(bytes, true);
    return true;
}

void Session::on_end(bool) {
    stream_ = nullptr;
    const core::RequestNo request = std::exchange(request_, 0);
    busy_ = false;
    finished_ = true;
    if (request != 0) front_.server_.gone(request);
    bury();
}

void Session::bury() {
    front_.delist(*this);
    front_.deadlines_.cancel(deadline_);
    finished_ = true;
    if (stream_ != nullptr) std::exchange(stream_, nullptr)->close();
    // Its own code may still be on the stack: the slot is freed on the next turn.
    deadline_ = front_.deadlines_.at(core::Time(0), [front = &front_, no = no_] { front->remove(no); });
}

// ---- Front ----

Front::Front(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, const net::Address& address,
             const Limits& limits, Make make)
    : loop_(loop), deadlines_(deadlines), server_(server), limits_(limits), make_(std::move(make)),
      listener_(loop.uv(), address, [this] { take(); }) {}

Front::~Front() {
    for (const core::SlotNo no : sessions_.numbers()) {
        Session* s = sessions_.find(no);
        deadlines_.cancel(s->deadline_);
        if (s->stream_ != nullptr) s->stream_->close();
    }
}

void Front::take() {
    if (leaving_) return;
    const bool room = make_room();
    auto made = make_(*this);
    Session* s = made.get();
    const core::SlotNo no = sessions_.add(std::move(made));
    s->no_ = no;
    s->stream_ = net::Stream::accept(listener_.stream(), *s);
    if (s->stream_ == nullptr) return sessions_.erase(no);
    if (!room) {
        // A request in hand on every connection: this one hears at once that it has to go elsewhere.
        s->stream_->close();
        return sessions_.erase(no);
    }
    enlist(*s, silent_);
    s->whole_by(server_.now() + limits_.whole);
}

void Front::remove(core::SlotNo no) { sessions_.erase(no); }

// Guards the descriptors. One that has been silent for longer than a usual caller's goes first, then the caller
// that has rested longest; never a request in hand.
bool Front::make_room() {
    while (sessions_.size() >= limits_.connections) {
        const bool stale =
            !silent_.empty() && server_.now() - sessions_.find(silent_.front())->since_ >= settling;
        std::list<core::SlotNo>& from = stale || resting_.empty() ? silent_ : resting_;
        if (from.empty()) return false;
        const core::SlotNo no = from.front();
        Session& s = *sessions_.find(no);
        s.bury();
        deadlines_.cancel(s.deadline_);
        sessions_.erase(no);  // none of its code is on the stack here
    }
    return true;
}

void Front::enlist(Session& s, std::list<core::SlotNo>& among) {
    delist(s);
    s.since_ = server_.now();
    s.among_ = &among;
    s.place_ = among.insert(among.end(), s.no_);
}
void Front::delist(Session& s) {
    if (s.among_ != nullptr) std::exchange(s.among_, nullptr)->erase(s.place_);
}

void Front::answer(std::uint64_t ticket, const core::Answer& a) {
    if (Session* s = sessions_.find(ticket); s != nullptr) s->answer(a);
}

void Front::idle_limit(core::Span limit) {
    idle_ = limit;
    for (const core::SlotNo no : sessions_.numbers()) {
        Session* s = sessions_.find(no);
        if (!s->busy_ && !s->finished_ && !s->whole_by_) s->rest();
    }
}

void Front::leave() {
    if (leaving_) return;
    leaving_ = true;
    listener_.close();
    for (const core::SlotNo no : sessions_.numbers()) {
        Session* s = sessions_.find(no);
        if (!s->busy_ && !s->finished_ && !s->partial()) s->bury();
    }
}

}  // namespace cressledge::front
