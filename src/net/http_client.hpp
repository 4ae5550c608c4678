// Calls of control addresses: one HTTP/1.1 exchange each, on a connection of its own, answered or given up at a set time.
#pragma once

#include <functional>
#include <string>

#include "base/slot_map.hpp"
#include "base/timer_queue.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::net {

class HttpClient {
public:
    struct Response {
        int status = 0;  // 0: none came whole by its time
        std::string body;
    };
    static constexpr std::size_t max_response_bytes = 4U << 20U;  // bytes; more is given up

    HttpClient(Loop& loop, base::TimerQueue& timers);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;
    // `told` hears once, on a later turn of the loop or before this returns; never after this object is gone.
    void request(const Address& address, const std::string& method, const std::string& path,
                 const std::string& body, base::Timestamp deadline,
                 std::function<void(const Response&)> on_response);
    void get(const Address& address, const std::string& path, base::Timestamp deadline,
             std::function<void(const Response&)> on_response) {
        request(address, "GET", path, "", deadline, std::move(on_response));
    }
    std::size_t requests_in_flight() const { return pending_requests_.size(); }

private:
    class PendingRequest;
    Loop& loop_;
    base::TimerQueue& timers_;
    base::SlotMap<PendingRequest> pending_requests_;
};

}  // namespace cressledge::net
