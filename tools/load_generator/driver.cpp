#include "load_generator/driver.hpp"

#include <http_parser.h>

#include <algorithm>

namespace cressledge::load_generator {
namespace {

constexpr Duration rests_for{2'000'000};  // a connection that has nothing to do

std::uint64_t key(const net::Address& a) {
    const auto& in = reinterpret_cast<const sockaddr_in&>(a.raw);
    return std::uint64_t{in.sin_addr.s_addr} << 16U | in.sin_port;
}

End end_of(unsigned status) {
    if (status >= 200 && status < 300)
        return End::ok;
    if (status == 503 || status == 429)
        return End::refused;
    return status == 504 ? End::out_of_time : End::failed;
}

}  // namespace

class Driver::Connection final : public net::Stream::Owner {
public:
    Connection(Driver& driver, net::Address to) : driver_(driver), door(to) {
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        http_parser_settings_init(&hooks_);
        hooks_.on_message_complete = [](http_parser* p) {
            auto& me = *static_cast<Connection*>(p->data);
            me.stays = http_should_keep_alive(p) != 0;
            me.whole = true;
            http_parser_pause(p, 1);
            return 0;
        };
    }
    ~Connection() override {
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    void ask(const std::string& text) {
        request = text;
        if (open && !stream->write(request))
            on_end(false);
    }
    void on_open() override {
        open = true;
        if (busy)
            stream->write(request);
    }
    void on_bytes(std::string_view bytes) override {
        if (!busy)
            return driver_.drop(no);
        http_parser_execute(&parser_, &hooks_, bytes.data(), bytes.size());
        if (whole) {
            whole = false;
            http_parser_pause(&parser_, 0);
            return driver_.ended(*this, end_of(parser_.status_code));
        }
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            on_end(false);
    }
    void on_end(bool) override {
        if (stream != nullptr)
            stream->close();
        stream = nullptr;
        stays = false;
        if (busy)
            return driver_.ended(*this, End::lost);
        driver_.drop(no);
    }

private:
    Driver& driver_;
    http_parser parser_{};
    http_parser_settings hooks_{};

public:
    const net::Address door;
    std::size_t door_no = 0;
    base::SlotId no = 0;
    net::Stream* stream = nullptr;
    std::string request;
    std::size_t kind = 0;
    Timestamp due{0};
    base::TimerHandle rest;
    bool open = false, busy = false, whole = false, stays = false;
};

Driver::Driver(net::Loop& loop, base::TimerQueue& timers, Arrivals arrivals, std::size_t most)
    : loop_(loop),
      timers_(timers),
      arrivals_(std::move(arrivals)),
      most_(most),
      records_(arrivals_.kinds().size()) {}

Driver::~Driver() = default;

void Driver::start() {
    on_ = true;
    due_ = arrivals_.next(loop_.unix_now());
    next_ = timers_.schedule(due_, [this] { come(); });
}
void Driver::stop() {
    on_ = false;
    next_.cancel();
}
void Driver::forget() {
    counted_from_ = loop_.unix_now();
    records_.assign(records_.size(), Record());
    sent_ = unsent_ = 0;
}
Record Driver::total() const {
    Record all;
    for (const Record& r : records_)
        all.add(r);
    return all;
}

void Driver::come() {
    for (const Timestamp now = loop_.unix_now(); on_ && due_ <= now; due_ = arrivals_.next(due_))
        for (unsigned k = 0; k < arrivals_.run(); ++k)
            send(due_);
    if (on_)
        next_ = timers_.schedule(due_, [this] { come(); });
}

void Driver::send(Timestamp due) {
    if (doors_.empty())
        return;
    const std::size_t kind = arrivals_.kind(),
                      where = arrivals_.pick(static_cast<std::uint32_t>(doors_.size()));
    const net::Address& door = doors_[where];
    Connection* c = nullptr;
    // The one used last is the least likely to have been closed.
    if (auto& idle = idle_[key(door)]; !idle.empty()) {
        c = connections_.find(idle.back());
        idle.pop_back();
        c->rest.cancel();
    }
    if (c == nullptr && connections_.size() >= most_) {
        ++unsent_;
        return;
    }
    if (c == nullptr) {
        auto made = std::make_unique<Connection>(*this, door);
        c = made.get();
        c->no = connections_.add(std::move(made));
    }
    c->busy = true;
    c->kind = kind;
    c->due = due;
    c->door_no = where;
    ++waiting_;
    ++sent_;
    const std::string body = "r" + std::to_string(++serial_);
    const std::string text = "POST /v1/" + arrivals_.kinds()[kind].name +
                             " HTTP/1.1\r\nHost: map\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
    if (c->stream == nullptr) {
        c->request = text;
        c->stream = net::Stream::connect(loop_.uv(), door, *c);
        if (c->stream == nullptr)
            ended(*c, End::lost);
        return;
    }
    c->ask(text);
}

void Driver::ended(Connection& c, End end) {
    if (!c.busy)
        return;
    c.busy = false;
    --waiting_;
    const Duration took = loop_.unix_now() - c.due;
    if (c.due >= counted_from_) {
        records_[c.kind].add(end, took);
        if (on_end)
            on_end(c.kind, c.door_no, end, took);
    }
    if (!c.stays || c.stream == nullptr)
        return drop(c.no);
    idle_[key(c.door)].push_back(c.no);
    c.rest = timers_.schedule(loop_.unix_now() + rests_for, [this, no = c.no] { drop(no); });
}

void Driver::drop(base::SlotId no) {
    if (Connection* c = connections_.find(no); c != nullptr)
        std::erase(idle_[key(c->door)], no);
    over_.push_back(no);
    if (sweep_.is_scheduled())
        return;
    sweep_ = timers_.schedule(Timestamp(0), [this] {
        for (const base::SlotId over : std::exchange(over_, {}))
            connections_.erase(over);
    });
}

}  // namespace cressledge::load_generator
