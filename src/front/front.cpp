#include "front/front.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace cressledge::front {
namespace {

constexpr std::size_t most_later = 16U << 10U;  // of what a peer sends ahead of its turn
constexpr core::Span linger{1'000'000};  // for a peer to read a last answer and close

}  // namespace

// ---- Session ----

void Session::on_bytes(std::string_view bytes) {
    if (finished_) return;  // a last answer is on its way; what still comes is not read as a request
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
        // Guards the table against peers that begin a request and never end it.
        front_.deadlines_.cancel(deadline_);
        whole_by_ = true;
        deadline_ = front_.deadlines_.at(front_.server_.now() + front_.limits_.whole, [this] {
            deadline_ = 0;
            say(too_slow(), true);
        });
    }
}

void Session::submit(core::Arrival arrival) {
    busy_ = true;
    front_.deadlines_.cancel(deadline_);
    whole_by_ = false;
    const core::RequestNo no = front_.server_.arrive(std::move(arrival), front_, no_);
    if (busy_) request_ = no;
}

void Session::check(bool deep) {
    busy_ = true;
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
        later_.clear();
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
    if (front_.idle_ <= core::Span(0)) return;
    deadline_ = front_.deadlines_.at(front_.server_.now() + front_.idle_, [this] {
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
    // Guards the descriptors: at the cap new connections wait unaccepted, until one that is open ends.
    if (sessions_.size() >= limits_.connections || leaving_) return;
    auto made = make_(*this);
    Session* s = made.get();
    const core::SlotNo no = sessions_.add(std::move(made));
    s->no_ = no;
    s->stream_ = net::Stream::accept(listener_.stream(), *s);
    if (s->stream_ == nullptr) return sessions_.erase(no);
    if (limits_.first_at_once) {
        s->whole_by_ = true;
        s->deadline_ = deadlines_.at(server_.now() + limits_.whole, [s] {
            s->deadline_ = 0;
            s->say(s->too_slow(), true);
        });
    } else {
        s->rest();
    }
}

void Front::remove(core::SlotNo no) {
    const bool full = sessions_.size() >= limits_.connections;
    sessions_.erase(no);
    if (full && !leaving_) take();
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
