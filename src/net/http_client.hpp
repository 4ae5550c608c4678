// An HTTP/1.1 client for admin addresses. Each request has a connection of its own and an absolute deadline. Redirects,
// TLS and connection reuse are not supported.
#pragma once

#include <functional>
#include <string>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::net {

/// Sends requests and reports their responses. Destroying the client drops pending requests without calling their
/// handlers.
class HttpClient {
public:
    /// The result of a request.
    struct Response {
        /// The HTTP status code; 0 if no complete response was received by the deadline.
        int status = 0;
        std::string body;
    };
    using ResponseHandler = std::function<void(const Response&)>;

    /// A response with a longer body is reported as no response.
    static constexpr std::size_t max_response_bytes = 4U << 20U;

    /// `timers` schedules the deadlines of the requests.
    HttpClient(Loop& loop, base::TimerQueue& timers);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request. Calls `on_response` once, in a later loop iteration or before this returns. `deadline` is a
    /// Unix time.
    void request(const Address& address, const std::string& method, const std::string& path,
                 const std::string& body, base::Timestamp deadline, ResponseHandler on_response);

    /// Sends a GET request; see request().
    void get(const Address& address, const std::string& path, base::Timestamp deadline,
             ResponseHandler on_response) {
        request(address, "GET", path, "", deadline, std::move(on_response));
    }

    /// Number of requests whose result has not been reported yet.
    std::size_t requests_in_flight() const { return pending_requests_.size(); }

private:
    class PendingRequest;

    Loop& loop_;
    base::TimerQueue& timers_;
    base::SlotMap<PendingRequest> pending_requests_;
};

}  // namespace cressledge::net
