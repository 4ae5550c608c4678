// A stream to one address that is dialled again for as long as it is wanted.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "admission/descriptors.hpp"
#include "core/deadlines.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::platform {

class Link : public net::Stream::Owner {
public:
    Link(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address,
         admission::Descriptors& descriptors)
        : loop_(loop), deadlines_(deadlines), address_(address), descriptors_(descriptors) {}
    ~Link() override {
        deadlines_.cancel(redial_);
        if (stream_ != nullptr) stream_->close();
    }
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

protected:
    void dial() {
        deadlines_.cancel(redial_);
        if (stream_ != nullptr) return;
        const core::Time now = loop_.unix_now();
        int bad = 0;
        if (auto lease = descriptors_.take(now, admission::Purpose::link))
            stream_ = net::Stream::dial(loop_.uv(), address_, *this, std::move(lease), &bad);
        if (bad == UV_EMFILE || bad == UV_ENFILE) descriptors_.refused_by_system(now);
    }
    // Guards against a peer that is down: tried again soon, then less often, never given up.
    void dial_again() {
        if (redial_ != 0) return;
        pause_ = std::clamp(pause_ * 2, core::Span(20'000), core::Span(250'000));
        redial_ = deadlines_.at(loop_.unix_now() + pause_, [this] {
            redial_ = 0;
            dial();
            if (stream_ == nullptr) dial_again();
        });
    }
    // Guards against a pause that outlasts its cause.
    void settled() { pause_ = core::Span(0); }
    void hang_up() {
        if (stream_ != nullptr) std::exchange(stream_, nullptr)->close();
    }

    net::Loop& loop_;
    core::Deadlines& deadlines_;
    net::Address address_;
    net::Stream* stream_ = nullptr;

private:
    admission::Descriptors& descriptors_;
    core::Deadlines::Handle redial_ = 0;
    core::Span pause_{0};
};

// Lines of words ending in CR LF, some followed by a counted body and CR LF, out of split and coalesced reads.
class Lines {
public:
    enum class Got { nothing, line, broken };
    explicit Lines(std::size_t most_body) : most_body_(most_body) {}
    void add(std::string_view bytes) { buffer_.append(bytes); }
    void clear() { buffer_.clear(), from_ = 0; }
    // `counted` says whether the words call for a body; the last word is then its length.
    template <class Counted>
    Got next(std::vector<std::string_view>& words, std::string_view& body, Counted counted) {
        if (from_ > 0 && from_ >= buffer_.size() / 2) {
            buffer_.erase(0, from_);
            from_ = 0;
        }
        const std::string_view all = std::string_view(buffer_).substr(from_);
        const std::size_t end = all.find("\r\n");
        if (end == std::string_view::npos) return all.size() > most_line ? Got::broken : Got::nothing;
        if (end > most_line) return Got::broken;
        words.clear();
        for (std::size_t at = 0; at <= end;) {
            const std::size_t space = std::min(all.find(' ', at), end);
            if (space > at) words.push_back(all.substr(at, space - at));
            at = space + 1;
        }
        body = {};
        std::size_t taken = end + 2;
        if (!words.empty() && counted(words)) {
            std::size_t length = 0;
            for (const char c : words.back()) {
                if (c < '0' || c > '9' || length > most_body_) return Got::broken;
                length = length * 10 + static_cast<std::size_t>(c - '0');
            }
            if (length > most_body_) return Got::broken;
            if (all.size() < taken + length + 2) return Got::nothing;
            body = all.substr(taken, length);
            if (all.substr(taken + length, 2) != "\r\n") return Got::broken;
            taken += length + 2;
        }
        from_ += taken;
        return Got::line;
    }

private:
    static constexpr std::size_t most_line = 1024;
    const std::size_t most_body_;
    std::string buffer_;
    std::size_t from_ = 0;
};

}  // namespace cressledge::platform
