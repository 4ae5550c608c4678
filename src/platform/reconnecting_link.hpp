// A stream to one address that is dialled again for as long as it is wanted.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "base/timer_queue.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::platform {

class ReconnectingLink : public net::Stream::Owner {
public:
    ReconnectingLink(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                     connection_admission::FileDescriptorBudget& descriptors)
        : loop_(loop), timers_(timers), address_(address), descriptors_(descriptors) {}
    ~ReconnectingLink() override {
        timers_.cancel(reconnect_timer_);
        if (stream_ != nullptr)
            stream_->close();
    }
    ReconnectingLink(const ReconnectingLink&) = delete;
    ReconnectingLink& operator=(const ReconnectingLink&) = delete;

protected:
    void try_connect() {
        timers_.cancel(reconnect_timer_);
        if (stream_ != nullptr)
            return;
        const base::Timestamp now = loop_.unix_now();
        int bad = 0;
        if (auto lease =
                descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::platform_link))
            stream_ = net::Stream::connect(loop_.uv(), address_, *this, std::move(lease), &bad);
        if (bad == UV_EMFILE || bad == UV_ENFILE)
            descriptors_.on_system_exhausted(now);
    }
    // Guards against a peer that is down: tried again soon, then less often, never given up.
    void schedule_reconnect() {
        if (reconnect_timer_ != 0)
            return;
        backoff_ = std::clamp(backoff_ * 2, base::Duration(20'000), base::Duration(250'000));
        reconnect_timer_ = timers_.schedule(loop_.unix_now() + backoff_, [this] {
            reconnect_timer_ = 0;
            try_connect();
            if (stream_ == nullptr)
                schedule_reconnect();
        });
    }
    // Guards against a pause that outlasts its cause.
    void reset_backoff() { backoff_ = base::Duration(0); }
    void disconnect() {
        if (stream_ != nullptr)
            std::exchange(stream_, nullptr)->close();
    }

    net::Loop& loop_;
    base::TimerQueue& timers_;
    net::Address address_;
    net::Stream* stream_ = nullptr;

private:
    connection_admission::FileDescriptorBudget& descriptors_;
    base::TimerQueue::Handle reconnect_timer_ = 0;
    base::Duration backoff_{0};
};

// Lines of words ending in CR LF, some followed by a counted body and CR LF, out of split and coalesced reads.
class LineReader {
public:
    enum class Status { incomplete, complete, malformed };
    explicit LineReader(std::size_t most_body) : max_body_bytes_(most_body) {}
    void append(std::string_view bytes) { buffer_.append(bytes); }
    void clear() { buffer_.clear(), consumed_bytes_ = 0; }
    // `counted` says whether the words call for a body; the last word is then its length.
    template <class Counted>
    Status read_line(std::vector<std::string_view>& words, std::string_view& body, Counted has_body) {
        if (consumed_bytes_ > 0 && consumed_bytes_ >= buffer_.size() / 2) {
            buffer_.erase(0, consumed_bytes_);
            consumed_bytes_ = 0;
        }
        const std::string_view all = std::string_view(buffer_).substr(consumed_bytes_);
        const std::size_t end = all.find("\r\n");
        if (end == std::string_view::npos)
            return all.size() > max_line_bytes ? Status::malformed : Status::incomplete;
        if (end > max_line_bytes)
            return Status::malformed;
        words.clear();
        for (std::size_t at = 0; at <= end;) {
            const std::size_t space = std::min(all.find(' ', at), end);
            if (space > at)
                words.push_back(all.substr(at, space - at));
            at = space + 1;
        }
        body = {};
        std::size_t taken = end + 2;
        if (!words.empty() && has_body(words)) {
            std::size_t length = 0;
            for (const char c : words.back()) {
                if (c < '0' || c > '9' || length > max_body_bytes_)
                    return Status::malformed;
                length = length * 10 + static_cast<std::size_t>(c - '0');
            }
            if (length > max_body_bytes_)
                return Status::malformed;
            if (all.size() < taken + length + 2)
                return Status::incomplete;
            body = all.substr(taken, length);
            if (all.substr(taken + length, 2) != "\r\n")
                return Status::malformed;
            taken += length + 2;
        }
        consumed_bytes_ += taken;
        return Status::complete;
    }

private:
    static constexpr std::size_t max_line_bytes = 1024;
    const std::size_t max_body_bytes_;
    std::string buffer_;
    std::size_t consumed_bytes_ = 0;
};

}  // namespace cressledge::platform
