// What both fronts share: a listener, the table of its connections, and the life of a connection. A session
// reads one request at a time, hands it to the core and writes the one final answer. No policy lives here.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "frontend/connection_admitter.hpp"
#include "frontend/connection_lifecycle.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"

namespace cressledge::frontend {

class Frontend;

class Session : public net::Stream::Owner {
public:
    explicit Session(Frontend& frontend) : frontend_(frontend) {}
    void on_bytes(std::string_view bytes) final;
    bool on_eof() final;
    void on_end(bool connect_failed) final;
    void send_response(const request::Response& answer);
    void send_health_response(bool is_healthy);

protected:
    // Takes bytes up to the end of a request; stops after submit(), check() or say(). Says how many it took.
    virtual std::size_t parse(std::string_view bytes) = 0;
    virtual bool has_partial_request() const = 0;  // a request has begun and is not whole
    virtual bool expects_request() const {
        return has_partial_request();
    }  // what is late at its deadline is told so
    virtual std::string format_response(const request::Response& answer, bool close) = 0;
    virtual std::string format_health_response(bool is_healthy, bool close) = 0;
    virtual std::string format_timeout_response() = 0;  // the answer to a request that does not get whole
    virtual std::string format_truncated_response() {
        return {};
    }  // the answer to one that ended unwhole; empty: none
    virtual bool keep_alive() const = 0;

    void submit(request::IncomingRequest arrival);
    void check_health(bool deep);
    void reject_malformed(const std::string& bytes, bool close);  // the answer to what is no request, counted
    void respond_directly(const std::string& bytes, bool close);  // an answer that needs no core
    void send_interim(std::string_view bytes);  // bytes ahead of the final answer
    Frontend& frontend_;

private:
    friend class Frontend;
    void process_input();
    void finish_request(const std::string& bytes, bool close);
    void start_idle_timer();  // no request is open: deadlines for the next one
    void start_request_timer(base::Timestamp when);
    bool read_pending();
    void on_request_timeout();  // its next request is not whole in time
    void start_drain();  // the next answer is the last one; without a request, it ends now
    void start_lingering();
    void evict();  // its place is another's
    void close_and_remove();
    bool try_admit_request();  // whether the gate lets its request through; if not, it is refused
    bool should_close() const;  // with the answer

    net::Stream* stream_ = nullptr;
    base::SlotId id_ = 0;
    request::RequestId request_id_ = 0;
    std::string pending_input_;  // read ahead of its turn
    ConnectionLifecycle lifecycle_;
    bool request_in_flight_ = false, processing_input_ = false, reading_paused_ = false;
    base::TimerQueue::Handle deadline_ = 0;
    bool request_timer_active_ = false;  // the deadline is for the rest of a request
    std::size_t discarded_bytes_ = 0;  // bytes that came after a last answer
    connection_admission::ConnectionSlotId connection_slot_ = 0;
    bool rejected_ = false;  // its seat is in the lobby: only read for a request to be refused
    bool evicted_ = false;  // it has no seat any more: what had been sent by then is refused
    bool idle_ = false;
    base::Timestamp idle_since_{0};  // that it rests
    base::Duration retry_after_{0};  // the gate's advice with its refusal
};

class Frontend final : public request::Responder {
public:
    using SessionFactory = std::function<std::unique_ptr<Session>(Frontend&)>;
    struct Limits {
        base::Duration request_timeout{
            2'500'000};  // from the accept, later ones from their first byte, to a whole request
        base::Duration idle_timeout{
            0};  // a connection is let go after as long without a request; 0: the caller does it
    };
    Frontend(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
             ConnectionAdmitter& admitter, const net::ListenEndpoint& listening, const Limits& limits,
             SessionFactory make_session);
    ~Frontend() override;

    void respond(std::uint64_t ticket, const request::Response& answer) override;
    void set_idle_limit(base::Duration limit);
    void evict(std::uint64_t session_id);  // close it: its seat is somebody else's
    void resume_accepting();  // at the backlog again: there may be a descriptor for who waits there
    // The notice to leave: a listening socket shared with the platform is given up at once, so that who comes
    // next waits in its backlog for the next process; one of our own is kept until leave(), as nobody else has it.
    void start_handover();
    void start_drain();  // take nobody new, end idle connections, and the others with their answer
    void drain_backlog(
        bool
            is_final_attempt);  // after leave(), until it is done; the last time it is done for better or worse
    void
    close_incomplete_requests();  // after leave(): the connections that have sent nothing, or half a request only
    bool is_drained() const { return sessions_.size() == 0 && !listening_; }
    bool
    has_unfinished_responses();  // some connection has a request in hand, or a last answer that may not have been read yet
    int port() const { return listener_.port(); }
    request::RequestManager& server() { return server_; }
    const ClosedConnectionCounts& closed_connections() const { return closed_connections_; }

private:
    friend class Session;
    void accept_pending();
    bool accept_connection(
        connection_admission::FileDescriptorBudget::Lease lease);  // false: nobody is left in the backlog
    void remove_session(base::SlotId session_id);
    void stop_listening();

    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& server_;
    const Limits limits_;
    ClosedConnectionCounts closed_connections_;
    const SessionFactory make_session_;
    ConnectionAdmitter& admitter_;
    const std::uint32_t listener_index_;
    base::SlotMap<Session> sessions_;
    base::Duration idle_limit_{0};
    bool listening_ = true;  // the listening socket is open
    bool draining_ = false;
    const bool socket_inherited_;  // the listening socket is the platform's
    bool handing_over_ = false;  // and this process has given it up
    connection_admission::FileDescriptorBudget::Lease listener_lease_;  // of the listener
    net::Listener listener_;
};

}  // namespace cressledge::frontend
