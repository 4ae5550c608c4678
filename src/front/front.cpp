#include "front/front.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cressledge::front {
namespace {

constexpr std::size_t most_later = 16U << 10U;  // of what a peer sends ahead of its turn
constexpr std::size_t most_dropped = 1U << 20U;  // read out after a last answer, so that it is not reset away
constexpr core::Span linger_for{1'000'000};  // for a peer to read a last answer and close
constexpr core::Span lobby_wait{500'000};  // for the request of somebody who has been turned away already
constexpr std::size_t most_taken = 64;  // connections in one turn of the loop; the rest wait in the backlog
constexpr std::size_t most_last = 1024;  // taken out of the backlog before the listening socket is closed

}  // namespace

// ---- Session ----

void Session::on_bytes(std::string_view bytes) {
    if (!life_.takes_requests()) {  // the write side is shut: what still comes is dropped, never run or sent on
        dropped_ += bytes.size();
        // Guards the processor against a peer that goes on sending: what has not read its answer now may lose it.
        if (dropped_ > most_dropped) {
            ++front_.ended_.flooding;
            bury();
        }
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
    while (!busy_ && life_.takes_requests() && !later_.empty()) {
        const std::string now = std::exchange(later_, {});
        const std::size_t used = parse(now);
        if (used < now.size()) later_.insert(0, now, used);
    }
    pumping_ = false;
    if (busy_ || !life_.takes_requests()) return;
    if (paused_) {
        paused_ = false;
        stream_->pause(false);
    }
    if (partial() && !whole_by_) {
        whole_by(front_.server_.now() + (turned_away_ ? lobby_wait : front_.limits_.whole));
        front_.porter_.gate().stirs(front_.server_.now(), seat_);
        resting_ = false;
    }
}

// Guards the table against peers that say nothing, or begin a request and never end it.
void Session::whole_by(core::Time when) {
    front_.deadlines_.cancel(deadline_);
    whole_by_ = true;
    deadline_ = front_.deadlines_.at(when, [this] {
        deadline_ = 0;
        overdue();
    });
}

// Before it is ended: what the other side had sent by now is still its request. True: there is one in hand, or it has
// ended by that.
bool Session::read_out() {
    if (stream_ != nullptr) stream_->read_now();
    return stream_ == nullptr || busy_ || !life_.takes_requests();
}

void Session::overdue() {
    // Its last bytes may lie in the socket, where this process has been too slow for them.
    if (read_out() || deadline_ != 0) return;
    ++front_.ended_.overdue;
    if (!awaited()) return linger();  // nobody has asked anything
    say(too_slow(), true);
}

// The request is whole. In hand, it has a place until its answer has gone out.
bool Session::admitted() {
    busy_ = true;
    resting_ = whole_by_ = false;
    front_.deadlines_.cancel(deadline_);
    if (evicted_) {
        hold_off_ = front_.porter_.gate().settings().hold_off;
        return false;
    }
    const auto ruling = front_.porter_.gate().request(front_.server_.now(), seat_);
    if (ruling.may) return true;
    front_.porter_.request_refused(ruling, seat_);
    hold_off_ = ruling.hold_off;
    return false;
}

void Session::submit(core::Arrival arrival) {
    if (!admitted()) return front_.server_.turn_away(front_, no_, hold_off_, arrival.kind);
    const core::RequestNo no = front_.server_.arrive(std::move(arrival), front_, no_);
    if (busy_) request_ = no;
}

void Session::check(bool deep) {
    if (!admitted()) return checked(false);
    front_.server_.check(deep, [front = &front_, no = no_](bool good) {
        if (Session* s = front->sessions_.find(no); s != nullptr) s->checked(good);
    });
}
void Session::checked(bool good) {
    if (!busy_) return;
    const bool close = closes();
    conclude(format_check(good, close), close);
}

void Session::answer(const core::Answer& a) {
    if (!busy_) return;
    const bool close = closes();
    conclude(format(a, close), close);
}

void Session::malformed(const std::string& bytes, bool close) {
    ++front_.ended_.malformed;
    say(bytes, close);
}

void Session::say(const std::string& bytes, bool close) {
    front_.deadlines_.cancel(deadline_);
    whole_by_ = false;
    conclude(bytes, close);
}

// Once the socket is handed over, a caller's next request goes to the next process by a new connection.
bool Session::closes() const {
    return !keep_alive() || life_.says_close() || front_.leaving_ || front_.handing_over_ || turned_away_;
}

void Session::interim(std::string_view bytes) {
    if (stream_ != nullptr) stream_->write(bytes);
}

void Session::conclude(const std::string& bytes, bool close) {
    busy_ = false;
    request_ = 0;
    if (stream_ == nullptr) return;
    if (!stream_->write(bytes)) {
        ++front_.ended_.unread;
        return bury();
    }
    close = close || turned_away_;
    front_.porter_.gate().answered(front_.server_.now(), seat_, !close);
    resting_ = false;
    if (close) return linger();
    rest();
    pump();
}

// Closing outright while bytes come in would reset the connection under the answer.
void Session::linger() {
    if (!life_.linger()) return;
    front_.deadlines_.cancel(deadline_);
    whole_by_ = resting_ = false;
    std::string().swap(later_);
    stream_->finish();
    if (paused_) stream_->pause(false);
    deadline_ = front_.deadlines_.at(front_.server_.now() + linger_for, [this] {
        deadline_ = 0;
        bury();
    });
}

void Session::drain() {
    if (!life_.drain() || busy_ || read_out() || partial()) return;
    front_.porter_.gate().answered(front_.server_.now(), seat_, false);
    linger();
}

// What it had sent by now never ran and is told so; otherwise its descriptor is free at once.
void Session::evict() {
    ++front_.ended_.evicted;
    evicted_ = turned_away_ = true;
    const bool asked_nothing = life_.takes_requests() && !busy_;
    if (asked_nothing && read_out() && life_.lingers()) return;
    bury();
}

void Session::rest() {
    front_.deadlines_.cancel(deadline_);
    if (!std::exchange(resting_, true)) since_ = front_.server_.now();
    const core::Span own = front_.idle_, most = front_.limits_.idle;
    const core::Span idle = own <= core::Span(0) || (most > core::Span(0) && most < own) ? most : own;
    if (idle <= core::Span(0)) return;
    deadline_ = front_.deadlines_.at(since_ + idle, [this] {
        deadline_ = 0;
        // A request may have come in this very instant: then it does not rest.
        if (read_out() || deadline_ != 0) return;
        ++front_.ended_.idle;
        front_.porter_.gate().answered(front_.server_.now(), seat_, false);
        linger();
    });
}

bool Session::on_eof() {
    if (life_.lingers()) return stream_->unsent();  // it may read on: the deadline ends it
    if (busy_ || !life_.takes_requests() || !partial()) return false;
    ++front_.ended_.cut_short;
    const std::string bytes = cut_short();
    if (bytes.empty()) return false;
    say(bytes, true);
    return true;
}

void Session::on_end(bool) {
    stream_ = nullptr;
    const core::RequestNo request = std::exchange(request_, 0);
    busy_ = false;
    if (request != 0) front_.server_.gone(request);
    bury();
}

void Session::bury() {
    front_.porter_.gate().close(seat_);
    front_.deadlines_.cancel(deadline_);
    life_.close();
    if (stream_ != nullptr) std::exchange(stream_, nullptr)->close();
    // Its own code may still be on the stack: the slot is freed on the next turn.
    deadline_ = front_.deadlines_.at(core::Time(0), [front = &front_, no = no_] { front->remove(no); });
}

// ---- Front ----

Front::Front(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, Porter& porter,
             const net::Listening& where, const Limits& limits, Make make)
    : loop_(loop), deadlines_(deadlines), server_(server), limits_(limits), make_(std::move(make)),
      porter_(porter), door_(porter.join(*this)), shared_(where.inherited >= 0),
      listener_(loop.uv(), where, [this] { take(); }) {
    own_ = porter_.descriptors().take(server_.now(), admission::Purpose::listener);
}

Front::~Front() {
    porter_.part(door_);
    for (const core::SlotNo no : sessions_.numbers()) {
        Session* s = sessions_.find(no);
        deadlines_.cancel(s->deadline_);
        if (s->stream_ != nullptr) s->stream_->close();
    }
}

void Front::take() {
    // Guards those that are served against a storm of connections: their turn comes after so many.
    for (std::size_t n = 0; n < most_taken && !leaving_; ++n) {
        auto lease = porter_.descriptor();
        if (!lease) return listener_.pause(true);  // what waits in the backlog has lost nothing
        if (!accept(std::move(lease))) return;
    }
}

void Front::look() {
    if (!leaving_) listener_.pause(false);
}

bool Front::accept(admission::Descriptors::Lease lease) {
    auto made = make_(*this);
    Session* s = made.get();
    const core::SlotNo no = sessions_.add(std::move(made));
    s->no_ = no;
    int bad = 0;
    s->stream_ = net::Stream::accept(listener_, *s, std::move(lease), &bad);
    if (s->stream_ == nullptr) {
        sessions_.erase(no);
        if (bad == UV_EMFILE || bad == UV_ENFILE) porter_.none_to_accept(bad);
        return bad != UV_EAGAIN;
    }
    const auto entry = porter_.enter(door_, no, s->stream_->peer().ip());
    s->seat_ = entry.seat;
    if (entry.seat == 0) {
        // It hears at once that it has to go elsewhere, with an answer if its request came along. Not lingered for: others
        // wait for the descriptor.
        s->evict();
        if (s->stream_ != nullptr) s->bury();
        return true;
    }
    s->turned_away_ = entry.refused;
    s->whole_by(server_.now() + (entry.refused ? lobby_wait : limits_.whole));
    if (leaving_) s->drain();
    return true;
}

void Front::remove(core::SlotNo no) { sessions_.erase(no); }

void Front::let_go(std::uint64_t session) {
    if (Session* s = sessions_.find(session); s != nullptr) s->evict();
}

void Front::answer(std::uint64_t ticket, const core::Answer& a) {
    if (Session* s = sessions_.find(ticket); s != nullptr) s->answer(a);
}

void Front::idle_limit(core::Span limit) {
    idle_ = limit;
    for (const core::SlotNo no : sessions_.numbers()) {
        Session* s = sessions_.find(no);
        if (!s->busy_ && s->life_.takes_requests() && !s->whole_by_) s->rest();
    }
}

void Front::notice() {
    if (!shared_ || leaving_) return;
    handing_over_ = true;
    stop_listening();
}

void Front::leave() {
    if (leaving_) return;
    leaving_ = true;
    for (const core::SlotNo no : sessions_.numbers())
        if (Session* s = sessions_.find(no); s != nullptr) s->drain();
    empty_backlog(false);
}

// Who is in the backlog has been accepted by the system, with a request perhaps: closing the socket would reset him.
void Front::empty_backlog(bool last) {
    if (!listening_) return;
    bool more = true, short_of_descriptors = false;
    for (std::size_t n = 0; n < most_last && more && !short_of_descriptors; ++n) {
        auto lease = porter_.descriptor();
        short_of_descriptors = !lease;
        if (lease) more = accept(std::move(lease));
    }
    if (short_of_descriptors && !last) return listener_.pause(true);  // some are given back as others end
    stop_listening();
}

void Front::stop_listening() {
    listening_ = false;
    listener_.close();
    own_.release();
}

void Front::end_unwhole() {
    for (const core::SlotNo no : sessions_.numbers())
        if (Session* s = sessions_.find(no); s != nullptr && !s->busy_ && s->stream_ != nullptr && s->life_.takes_requests()) {
            ++ended_.unwhole;
            s->linger();
        }
}

bool Front::owes() {
    const auto all = sessions_.numbers();
    return listening_ || std::any_of(all.begin(), all.end(), [this](core::SlotNo no) {
        const Session* s = sessions_.find(no);
        return s != nullptr && (s->busy_ || s->life_.lingers());
    });
}

}  // namespace cressledge::front
