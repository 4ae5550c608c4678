#include "fake_upstream/fleet.hpp"

#include <http_parser.h>

#include "load_balancing/load_reports.hpp"

namespace cressledge::fake_upstream {
namespace {

constexpr std::size_t most_accepts = 64, most_body = 64U << 10U;

}  // namespace

class Fleet::Connection final : public net::Stream::Owner {
public:
    Connection(Fleet& fleet, std::size_t to) : fleet_(fleet), server(to) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        http_parser_settings_init(&hooks_);
        hooks_.on_message_begin = [](http_parser* p) {
            Connection& me = self(p);
            me.url.clear();
            me.body.clear();
            return 0;
        };
        hooks_.on_url = [](http_parser* p, const char* at, std::size_t n) {
            self(p).url.append(at, n);
            return self(p).url.size() > 512 ? 1 : 0;
        };
        hooks_.on_body = [](http_parser* p, const char* at, std::size_t n) {
            self(p).body.append(at, n);
            return self(p).body.size() > most_body ? 1 : 0;
        };
        hooks_.on_message_complete = [](http_parser* p) {
            self(p).stays = http_should_keep_alive(p) != 0;
            self(p).whole = true;
            http_parser_pause(p, 1);  // one call at a time
            return 0;
        };
    }
    ~Connection() override {
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    void on_bytes(std::string_view bytes) override {
        if (call != 0)
            return fleet_.gone(no);  // it speaks out of turn
        const std::size_t n = http_parser_execute(&parser_, &hooks_, bytes.data(), bytes.size());
        if (whole) {
            if (n < bytes.size())
                ++fleet_.counts_.bad;
            whole = false;
            http_parser_pause(&parser_, 0);
            return fleet_.read(*this);
        }
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_OK)
            return;
        ++fleet_.counts_.bad;
        fleet_.gone(no);
    }
    void on_end(bool) override {
        stream = nullptr;
        fleet_.gone(no);
    }
    void answer(const char* status, const std::string& load, std::string_view text) {
        std::string out = std::string("HTTP/1.1 ") + status + "\r\nEndpoint-Load-Metrics: " + load +
                          "\r\nContent-Length: " + std::to_string(text.size()) +
                          (stays ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
        out.append(text);
        if (stream == nullptr)
            return;
        if (!stream->write(out))
            return fleet_.gone(no);
        if (!stays)
            stream->shut_down_writes();
    }

private:
    static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }
    Fleet& fleet_;
    http_parser parser_{};
    http_parser_settings hooks_{};

public:
    const std::size_t server;
    base::SlotId no = 0;
    net::Stream* stream = nullptr;
    std::string url, body;
    CallNo call = 0;  // that it waits for; 0: none
    bool whole = false, stays = false;
};

Fleet::Fleet(net::Loop& loop, base::TimerQueue& timers, Plan plan)
    : loop_(loop), timers_(timers), plan_(std::move(plan)), random_(plan_.seed, 5) {
    for (const Nature& n : plan_.servers)
        queues_.emplace_back(n);
    listeners_.resize(queues_.size());
    ports_.resize(queues_.size());
    calls_.resize(queues_.size());
    for (std::size_t i = 0; i < queues_.size(); ++i)
        listen(i);
}

Fleet::~Fleet() = default;

void Fleet::listen(std::size_t server) {
    const std::string& where = plan_.addresses.at(server);
    const std::string again = where.substr(0, where.rfind(':') + 1) + std::to_string(ports_[server]);
    listeners_[server] =
        std::make_unique<net::Listener>(loop_.uv(), *net::Address::parse(ports_[server] == 0 ? where : again),
                                        [this, server] { take(server); });
    ports_[server] = listeners_[server]->port();
}

std::string Fleet::address(std::size_t server) const {
    const std::string& where = plan_.addresses.at(server);
    return where.substr(0, where.rfind(':') + 1) + std::to_string(ports_[server]);
}

void Fleet::take(std::size_t server) {
    for (std::size_t n = 0; n < most_accepts; ++n) {
        auto made = std::make_unique<Connection>(*this, server);
        Connection& c = *made;
        c.no = connections_.add(std::move(made));
        c.stream = net::Stream::accept(*listeners_[server], c);
        if (c.stream == nullptr)
            return connections_.erase(c.no);
    }
}

void Fleet::read(Connection& c) {
    Queue& q = queues_[c.server];
    const Timestamp now = loop_.unix_now();
    if (c.url == "/healthz") {
        ++counts_.probes;
        return c.answer(q.failing() ? "503 x" : "200 x", load_balancing::format_load_report(q.probed(now)),
                        "ok");
    }
    ++counts_.calls;
    ++calls_[c.server];
    if (plan_.once.count(c.url.substr(c.url.rfind('/') + 1)) != 0 && !seen_.insert(c.body).second)
        ++counts_.doubled;
    c.call = ++last_;
    open_[c.call] = c.no;
    follow(c.server, q.arrive(now, c.call, random_));
}

void Fleet::follow(std::size_t server, const std::optional<Queue::Begun>& begun) {
    if (!begun)
        return;
    ends_[begun->call] = timers_.schedule(begun->ends, [this, server, call = begun->call] {
        ends_.erase(call);
        const base::SlotId no = open_[call];
        leave(server, call);
        Connection* c = connections_.find(no);
        if (c == nullptr)
            return;
        c->call = 0;
        const bool bad = queues_[server].failing();
        ++(bad ? counts_.errors : counts_.answers);
        c->answer(bad ? "500 x" : "200 x", load_balancing::format_load_report(queues_[server].load()),
                  bad ? "no" : "ok");
    });
}

void Fleet::leave(std::size_t server, CallNo call) {
    open_.erase(call);
    ends_.erase(call);
    follow(server, queues_[server].leave(loop_.unix_now(), call, random_));
}

void Fleet::gone(base::SlotId no) {
    Connection* c = connections_.find(no);
    if (c == nullptr)
        return;
    if (c->call != 0) {
        ++counts_.given_up;
        leave(c->server, c->call);
    }
    c->call = 0;
    if (c->stream != nullptr)
        std::exchange(c->stream, nullptr)->close();
    over_.push_back(no);
    if (sweep_.is_scheduled())
        return;
    sweep_ = timers_.schedule(Timestamp(0), [this] {
        for (const base::SlotId over : std::exchange(over_, {}))
            connections_.erase(over);
    });
}

void Fleet::restart(std::size_t server, Duration gone_for) {
    listeners_.at(server).reset();
    for (const base::SlotId no : connections_.ids())
        if (Connection* c = connections_.find(no); c->server == server)
            gone(no);
    back_[server] = timers_.schedule(loop_.unix_now() + gone_for, [this, server] {
        back_.erase(server);
        queues_[server].restart(loop_.unix_now());
        listen(server);
    });
}

void Fleet::observe(bool on) {
    look_.cancel();
    if (!on)
        return;
    observer_ = Observer();
    next_look_ = loop_.unix_now();
    look();
}

void Fleet::look() {
    // Every one that was due is taken, late or not: a figure over time counts moments, not turns of the loop.
    for (const Timestamp now = loop_.unix_now(); next_look_ <= now; next_look_ += look_every)
        observer_.look(queues_);
    look_ = timers_.schedule(next_look_, [this] { look(); });
}

}  // namespace cressledge::fake_upstream
