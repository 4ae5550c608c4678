/// One connection of the admin address: HTTP/1.1, one request and one reply.
///
/// Owns the stream, the parser and the connection's timer. The handler provides the reply to a complete request.
///
/// Invariant: at most one reply is written, and nothing is parsed as a request after it.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/stream.hpp"

namespace cressledge::admin {

/// A connection that carries one request and its reply.
class AdminConnection final : public net::Stream::Owner {
public:
    /// Owns the connections and handles their requests.
    class Handler {
    public:
        virtual ~Handler() = default;
        /// Handles a complete request. Must call reply() before it returns.
        virtual void on_request(AdminConnection& connection) = 0;
        /// The connection has ended. The handler may destroy it in this call.
        virtual void on_closed(base::SlotId connection_id) = 0;
    };

    /// `handler` receives the complete request and the end of the connection; `timers` schedules the timeouts.
    AdminConnection(Handler& handler, base::Clock& clock, base::TimerQueue& timers);
    ~AdminConnection() override;
    AdminConnection(const AdminConnection&) = delete;
    AdminConnection& operator=(const AdminConnection&) = delete;

    /// Accepts a connection from the listener and waits for its request. `id` identifies it to the handler. Returns 0
    /// or a libuv error code.
    int accept(net::Listener& listener, connection_admission::FileDescriptorBudget::Lease lease,
               base::SlotId id);
    /// Writes the reply unless one has been written. `status` is the status code and reason phrase.
    void reply(const char* status, const std::string& body, const char* content_type = "text/plain");
    /// Reads and answers a complete request that is still in the socket, so that closing the connection discards no
    /// unread bytes. Call it before closing the connection. Returns whether a reply has been written.
    bool read_pending();

    /// The request method. This and the functions below are valid once the request is complete.
    const char* method() const;
    /// Whether the request method is GET.
    bool is_get() const { return parser_.method == HTTP_GET; }
    /// The request target without its query.
    std::string path() const;
    /// The query, including the question mark; empty if there is none.
    std::string query() const;
    /// The body of the request, at most 64 KiB; a longer one is answered with 413.
    const std::string& body() const { return body_; }

    /// net::Stream::Owner: feeds the bytes read to the HTTP parser.
    void on_bytes(std::string_view bytes) override;
    /// net::Stream::Owner: answers an incomplete request with 400. Returns whether a reply is still being written.
    bool on_eof() override;
    /// net::Stream::Owner: the stream has ended; notifies the handler, which may destroy this connection.
    void on_end(bool refused) override;

private:
    struct Callbacks;

    int append_url(const char* data, std::size_t size);
    int count_head_bytes(std::size_t size);
    int append_body(const char* data, std::size_t size);
    void on_request_timeout();

    Handler& handler_;
    base::Clock& clock_;
    base::TimerQueue& timers_;
    base::SlotId id_ = 0;
    net::Stream* stream_ = nullptr;
    base::TimerHandle timeout_timer_;
    http_parser parser_{};
    std::string url_, body_;
    std::size_t head_bytes_ = 0;
    bool is_complete_ = false;
    bool is_head_too_large_ = false;
    bool is_body_too_large_ = false;
    bool has_replied_ = false;
};

}  // namespace cressledge::admin
