#include "load_generator/driver.hpp"

#include <algorithm>

#include "common/http_message_parser.hpp"

namespace cressledge::load_generator {
namespace {

constexpr Duration idle_timeout{2'000'000};

std::uint64_t address_key(const net::Address& address) {
    const auto& in = reinterpret_cast<const sockaddr_in&>(address.raw);
    return std::uint64_t{in.sin_addr.s_addr} << 16U | in.sin_port;
}

Outcome outcome_of(unsigned status) {
    if (status >= 200 && status < 300)
        return Outcome::ok;
    if (status == 503 || status == 429)
        return Outcome::rejected;
    return status == 504 ? Outcome::timed_out : Outcome::failed;
}

}  // namespace

/// A connection to one target; it has at most one request in flight.
class Driver::Connection final : public net::Stream::Owner {
public:
    Connection(Driver& driver, net::Address address) : target(address), driver_(driver) {}
    ~Connection() override {
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    void send(const std::string& text) {
        request_ = text;
        if (stream == nullptr) {
            stream = net::Stream::connect(driver_.loop_.uv(), target, *this);
            if (stream == nullptr)
                driver_.finish_request(*this, Outcome::connection_lost);
            return;
        }
        if (is_open_ && !stream->write(request_))
            on_end(false);
    }
    void on_open() override {
        is_open_ = true;
        if (has_request)
            stream->write(request_);
    }
    void on_bytes(std::string_view bytes) override {
        if (!has_request)
            return driver_.drop(id);
        switch (parser_.parse(bytes)) {
            case tools::HttpMessageParser::Result::incomplete:
                return;
            case tools::HttpMessageParser::Result::complete:
                is_reusable = parser_.keeps_alive();
                return driver_.finish_request(*this, outcome_of(parser_.status()));
            case tools::HttpMessageParser::Result::malformed:
                return on_end(false);
        }
    }
    void on_end(bool) override {
        if (stream != nullptr)
            stream->close();
        stream = nullptr;
        is_reusable = false;
        if (has_request)
            return driver_.finish_request(*this, Outcome::connection_lost);
        driver_.drop(id);
    }

    const net::Address target;
    base::SlotId id = 0;
    net::Stream* stream = nullptr;
    base::TimerHandle idle_timer;
    /// The request in flight: whether there is one, its class, its target and the time at which it was due.
    bool has_request = false;
    std::size_t class_index = 0, target_index = 0;
    Timestamp due_at{0};
    /// Whether the connection can carry another request after the last one.
    bool is_reusable = false;

private:
    Driver& driver_;
    tools::HttpMessageParser parser_{HTTP_RESPONSE};
    std::string request_;
    bool is_open_ = false;
};

Driver::Driver(net::Loop& loop, base::TimerQueue& timers, ArrivalProcess arrivals,
               std::size_t max_connections)
    : loop_(loop),
      timers_(timers),
      arrivals_(std::move(arrivals)),
      max_connections_(max_connections),
      stats_(arrivals_.classes().size()) {}

Driver::~Driver() = default;

void Driver::start() {
    is_started_ = true;
    next_due_at_ = arrivals_.next(loop_.unix_now());
    arrival_timer_ = timers_.schedule(next_due_at_, [this] { send_due_requests(); });
}

void Driver::stop() {
    is_started_ = false;
    arrival_timer_.cancel();
}

void Driver::reset_counts() {
    counted_since_ = loop_.unix_now();
    stats_.assign(stats_.size(), OutcomeStats());
    sent_ = unsent_ = 0;
}

OutcomeStats Driver::total_stats() const {
    OutcomeStats total;
    for (const OutcomeStats& stats : stats_)
        total.add(stats);
    return total;
}

void Driver::send_due_requests() {
    for (const Timestamp now = loop_.unix_now(); is_started_ && next_due_at_ <= now;
         next_due_at_ = arrivals_.next(next_due_at_))
        for (unsigned i = 0; i < arrivals_.batch_size(); ++i)
            send(next_due_at_);
    if (is_started_)
        arrival_timer_ = timers_.schedule(next_due_at_, [this] { send_due_requests(); });
}

Driver::Connection* Driver::idle_or_new_connection(const net::Address& target) {
    // The most recently used connection is the least likely to have been closed by the target.
    if (auto& idle = idle_connections_[address_key(target)]; !idle.empty()) {
        Connection* connection = connections_.find(idle.back());
        idle.pop_back();
        connection->idle_timer.cancel();
        return connection;
    }
    if (connections_.size() >= max_connections_)
        return nullptr;
    auto owned = std::make_unique<Connection>(*this, target);
    Connection* connection = owned.get();
    connection->id = connections_.add(std::move(owned));
    return connection;
}

void Driver::send(Timestamp due_at) {
    if (targets_.empty())
        return;
    const std::size_t class_index = arrivals_.sample_class();
    const std::size_t target_index = arrivals_.sample_index(static_cast<std::uint32_t>(targets_.size()));
    Connection* connection = idle_or_new_connection(targets_[target_index]);
    if (connection == nullptr) {
        ++unsent_;
        return;
    }
    connection->has_request = true;
    connection->class_index = class_index;
    connection->target_index = target_index;
    connection->due_at = due_at;
    ++in_flight_;
    ++sent_;
    const std::string body = "r" + std::to_string(++last_body_number_);
    connection->send("POST /v1/" + arrivals_.classes()[class_index].name +
                     " HTTP/1.1\r\nHost: map\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                     body);
}

void Driver::finish_request(Connection& connection, Outcome outcome) {
    if (!connection.has_request)
        return;
    connection.has_request = false;
    --in_flight_;
    const Duration latency = loop_.unix_now() - connection.due_at;
    if (connection.due_at >= counted_since_) {
        stats_[connection.class_index].add(outcome, latency);
        if (on_request_finished)
            on_request_finished(connection.class_index, connection.target_index, outcome, latency);
    }
    if (!connection.is_reusable || connection.stream == nullptr)
        return drop(connection.id);
    idle_connections_[address_key(connection.target)].push_back(connection.id);
    connection.idle_timer =
        timers_.schedule(loop_.unix_now() + idle_timeout, [this, id = connection.id] { drop(id); });
}

void Driver::drop(base::SlotId id) {
    if (Connection* connection = connections_.find(id); connection != nullptr)
        std::erase(idle_connections_[address_key(connection->target)], id);
    closed_connections_.erase(id);
}

}  // namespace cressledge::load_generator
