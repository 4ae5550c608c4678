/// One connection of the admin address: HTTP/1.1, one request and one reply.
///
/// Owns the stream, the parser and the connection's deadline. Does not own what is replied: a complete request goes to its
/// handler.
///
/// Invariant: at most one reply is written; after it nothing more is read as a request.
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

/// A connection with its one request and reply.
class AdminConnection final : public net::Stream::Owner {
public:
    /// Who keeps the connections.
    class Handler {
    public:
        virtual ~Handler() = default;
        /// A complete request has come: reply() is due before this returns.
        virtual void on_request(AdminConnection& connection) = 0;
        /// The connection is over. It may be destroyed before this returns.
        virtual void on_closed(base::SlotId connection_id) = 0;
    };

    /// `handler` is told of each complete request and of the end; `timers` holds the deadline of the request.
    AdminConnection(Handler& handler, base::Clock& clock, base::TimerQueue& timers);
    ~AdminConnection() override;
    AdminConnection(const AdminConnection&) = delete;
    AdminConnection& operator=(const AdminConnection&) = delete;

    /// Accepts a connection, to be known by `id`, and waits for its request. Returns 0, or libuv's error code.
    int accept(net::Listener& listener, connection_admission::FileDescriptorBudget::Lease lease,
               base::SlotId id);
    /// Writes the reply, unless there has been one. `status`: code and reason.
    void reply(const char* status, const std::string& body, const char* content_type = "text/plain");
    /// To be called before the connection is ended: a request that lies complete in the socket gets its reply, so that
    /// no close goes over unread bytes. Returns whether there is a reply.
    bool read_pending();

    // Of a complete request:
    const char* method() const;
    /// Whether the method of the request is GET.
    bool is_get() const { return parser_.method == HTTP_GET; }
    /// The target without its query.
    std::string path() const;
    /// The query with its question mark; empty where there is none.
    std::string query() const;
    /// The body of the request, at most 64 KiB; a longer one is answered with 413.
    const std::string& body() const { return body_; }

    /// net::Stream::Owner: feeds the bytes read to the HTTP parser.
    void on_bytes(std::string_view bytes) override;
    /// net::Stream::Owner: a request cut short gets 400. Returns whether a reply is still being written.
    bool on_eof() override;
    /// net::Stream::Owner: the stream is over; tells the handler, which may destroy this connection.
    void on_end(bool connect_failed) override;

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
    base::TimerHandle deadline_;
    http_parser parser_{};
    std::string url_, body_;
    std::size_t head_bytes_ = 0;
    bool is_complete_ = false;
    bool is_head_too_large_ = false;
    bool is_body_too_large_ = false;
    bool has_replied_ = false;
};

}  // namespace cressledge::admin
