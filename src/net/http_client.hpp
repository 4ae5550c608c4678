// HTTP/1.1 requests to admin addresses: one exchange on a connection of its own, with an absolute deadline. No
// redirects, no TLS, no connection reuse.
#pragma once

#include <functional>
#include <string>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::net {

/// Sends requests and reports their responses. Requests that are open when it is destroyed are dropped silently.
class HttpClient {
public:
    /// What a request came to.
    struct Response {
        /// 0: no complete response came by the deadline.
        int status = 0;
        std::string body;
    };
    using ResponseHandler = std::function<void(const Response&)>;

    /// A response with a longer body counts as none.
    static constexpr std::size_t max_response_bytes = 4U << 20U;

    /// `timers` holds the deadline of each request.
    HttpClient(Loop& loop, base::TimerQueue& timers);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Calls `on_response` once, on a later turn of the loop or before this returns.
    void request(const Address& address, const std::string& method, const std::string& path,
                 const std::string& body, base::Timestamp deadline, ResponseHandler on_response);

    /// A GET request; see request().
    void get(const Address& address, const std::string& path, base::Timestamp deadline,
             ResponseHandler on_response) {
        request(address, "GET", path, "", deadline, std::move(on_response));
    }

    /// Requests that were sent and have not been reported yet.
    std::size_t requests_in_flight() const { return pending_requests_.size(); }

private:
    class PendingRequest;

    Loop& loop_;
    base::TimerQueue& timers_;
    base::SlotMap<PendingRequest> pending_requests_;
};

}  // namespace cressledge::net
