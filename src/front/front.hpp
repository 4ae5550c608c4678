// What both fronts share: a listener, the table of its connections, and the life of a connection. A session
// reads one request at a time, hands it to the core and writes the one final answer. No policy lives here.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/server.hpp"
#include "front/lifecycle.hpp"
#include "front/porter.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::front {

class Front;

class Session : public net::Stream::Owner {
public:
    explicit Session(Front& front) : front_(front) {}
    void on_bytes(std::string_view bytes) final;
    bool on_eof() final;
    void on_end(bool refused) final;
    void answer(const core::Answer& answer);
    void checked(bool good);

protected:
    // Takes bytes up to the end of a request; stops after submit(), check() or say(). Says how many it took.
    virtual std::size_t parse(std::string_view bytes) = 0;
    virtual bool partial() const = 0;  // a request has begun and is not whole
    virtual bool awaited() const { return partial(); }  // what is late at its deadline is told so
    virtual std::string format(const core::Answer& answer, bool close) = 0;
    virtual std::string format_check(bool good, bool close) = 0;
    virtual std::string too_slow() = 0;  // the answer to a request that does not get whole
    virtual std::string cut_short() { return {}; }  // the answer to one that ended unwhole; empty: none
    virtual bool keep_alive() const = 0;

    void submit(core::Arrival arrival);
    void check(bool deep);
    void malformed(const std::string& bytes, bool close);  // the answer to what is no request, counted
    void say(const std::string& bytes, bool close);  // an answer that needs no core
    void interim(std::string_view bytes);  // bytes ahead of the final answer
    Front& front_;

private:
    friend class Front;
    void pump();
    void conclude(const std::string& bytes, bool close);
    void rest();  // no request is open: deadlines for the next one
    void whole_by(core::Time when);
    bool read_out();
    void overdue();  // its next request is not whole in time
    void drain();  // the next answer is the last one; without a request, it ends now
    void linger();
    void evict();  // its place is another's
    void bury();
    bool admitted();  // whether the gate lets its request through; if not, it is refused
    bool closes() const;  // with the answer

    net::Stream* stream_ = nullptr;
    core::SlotNo no_ = 0;
    core::RequestNo request_ = 0;
    std::string later_;  // read ahead of its turn
    Lifecycle life_;
    bool busy_ = false, pumping_ = false, paused_ = false;
    core::Deadlines::Handle deadline_ = 0;
    bool whole_by_ = false;  // the deadline is for the rest of a request
    std::size_t dropped_ = 0;  // bytes that came after a last answer
    admission::SeatNo seat_ = 0;
    bool turned_away_ = false;  // its seat is in the lobby: only read for a request to be refused
    bool evicted_ = false;  // it has no seat any more: what had been sent by then is refused
    bool resting_ = false;
    core::Time since_{0};  // that it rests
    core::Span hold_off_{0};  // the gate's advice with its refusal
};

class Front final : public core::Responder {
public:
    using Make = std::function<std::unique_ptr<Session>(Front&)>;
    struct Limits {
        core::Span whole{2'500'000};  // from the accept, later ones from their first byte, to a whole request
        core::Span idle{0};  // a connection is let go after as long without a request; 0: the caller does it
    };
    Front(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, Porter& porter,
          const net::Listening& where, const Limits& limits, Make make);
    ~Front() override;

    void answer(std::uint64_t ticket, const core::Answer& answer) override;
    void idle_limit(core::Span limit);
    void let_go(std::uint64_t session);  // close it: its seat is somebody else's
    void look();  // at the backlog again: there may be a descriptor for who waits there
    // The notice to leave: a listening socket shared with the platform is given up at once, so that who comes
    // next waits in its backlog for the next process; one of our own is kept until leave(), as nobody else has it.
    void notice();
    void leave();  // take nobody new, end idle connections, and the others with their answer
    void empty_backlog(bool last);  // after leave(), until it is done; the last time it is done for better or worse
    void end_unwhole();  // after leave(): the connections that have sent nothing, or half a request only
    bool empty() const { return sessions_.size() == 0 && !listening_; }
    bool owes();  // some connection has a request in hand, or a last answer that may not have been read yet
    int port() const { return listener_.port(); }
    core::Server& server() { return server_; }
    const Ended& ended() const { return ended_; }

private:
    friend class Session;
    void take();
    bool accept(admission::Descriptors::Lease lease);  // false: nobody is left in the backlog
    void remove(core::SlotNo no);
    void stop_listening();

    net::Loop& loop_;
    core::Deadlines& deadlines_;
    core::Server& server_;
    const Limits limits_;
    Ended ended_;
    const Make make_;
    Porter& porter_;
    const std::uint32_t door_;
    core::Slots<Session> sessions_;
    core::Span idle_{0};
    bool listening_ = true;  // the listening socket is open
    bool leaving_ = false;
    const bool shared_;  // the listening socket is the platform's
    bool handing_over_ = false;  // and this process has given it up
    admission::Descriptors::Lease own_;  // of the listener
    net::Listener listener_;
};

}  // namespace cressledge::front
