#include "platform/records_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "platform/reconnecting_link.hpp"

namespace cressledge::platform {
namespace {

using policy::Outcome;
constexpr std::size_t max_reply_bytes = 64U << 10U;
constexpr std::size_t max_calls_per_connection = 64;  // calls of one connection
// Guards against a connection that the service has closed or forgotten while it stood idle: a call that is lost
// on it proves nothing, and a write would have failed for good.
constexpr base::Duration max_idle_time{100'000};

Outcome outcome_of(std::string_view word) {
    if (word == "DONE")
        return Outcome::ok;
    if (word == "WAIT" || word == "EMPTY")
        return Outcome::rejected;  // either way the call never ran
    if (word == "PAST")
        return Outcome::timeout;
    if (word == "ERROR")
        return Outcome::error;
    return Outcome::not_started;  // no reply at all
}

}  // namespace

class RecordsClient::Connection final : public net::Stream::Owner {
public:
    explicit Connection(RecordsClient& of) : client(of), line_reader(max_reply_bytes) {}
    ~Connection() override {
        client.timers_.cancel(idle_timer);
        if (stream != nullptr)
            stream->close();
    }
    void on_open() override {
        connected = true;
        client.send_call(*this);
    }
    void on_end(bool refused) override {
        stream = nullptr;
        client.on_connection_lost(*this, refused);
    }
    void on_bytes(std::string_view bytes) override {
        line_reader.append(bytes);
        std::vector<std::string_view> words;
        std::string_view body;
        const auto counted = [](const auto& w) { return w.size() == 3 && w[1] == "DONE"; };
        while (stream != nullptr) {
            const LineReader::Status got = line_reader.read_line(words, body, counted);
            if (got == LineReader::Status::incomplete)
                return;
            const Outcome outcome = words.size() < 2 ? Outcome::not_started : outcome_of(words[1]);
            if (got == LineReader::Status::malformed || outcome == Outcome::not_started ||
                words.size() != (outcome == Outcome::ok ? 3U : 2U))
                return on_malformed_reply();
            const auto it = client.pending_calls_.find(request_id);
            if (request_id == 0 || it == client.pending_calls_.end() || it->second.name != words[0]) {
                received_surplus_reply = true;  // a second copy, or a reply for nobody: passed over
                if (request_id == 0)
                    return client.close_connection(*this);
                continue;
            }
            client.finish_call(*this, outcome, std::string(body));
        }
    }
    // Nothing that comes after it can be told apart from its rest.
    void on_malformed_reply() {
        std::uint64_t passed = 0;
        if (client.log_limiter_.try_acquire(client.loop_.unix_now(), passed))
            spdlog::warn("records: a reply that cannot be read, its connection closed; {} more like it",
                         passed);
        client.on_connection_lost(*this, false);
    }

    RecordsClient& client;
    base::SlotId id = 0;
    net::Stream* stream = nullptr;
    LineReader line_reader;
    request::RequestId request_id = 0;
    std::vector<std::string> served_names;  // a second copy of a reply may still be under way for these
    base::TimerQueue::Handle idle_timer = 0;
    bool connected = false, outdated = false, received_surplus_reply = false, closed = false;
};

RecordsClient::RecordsClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                             std::size_t connections, request::RequestManager& server,
                             connection_admission::FileDescriptorBudget& descriptors)
    : loop_(loop),
      timers_(timers),
      address_(address),
      max_connections_(connections),
      request_manager_(server),
      descriptors_(descriptors) {}
RecordsClient::~RecordsClient() = default;

void RecordsClient::call(request::RequestId no, std::string_view name, std::string_view body,
                         base::Timestamp deadline) {
    PendingCall& op = pending_calls_[no] = {
        std::string(name), std::string(body), deadline, ++last_sequence_, 0, false, false};
    assign_connection(no, op);
}

void RecordsClient::assign_connection(request::RequestId no, PendingCall& op) {
    // The connection used last is the least likely to have been closed. One that served this very request may
    // still bring a second copy of that reply, which would pass for the reply to this call.
    for (std::size_t i = idle_connections_.size(); i > 0; --i) {
        Connection& wire = *connections_.find(idle_connections_[i - 1]);
        if (std::find(wire.served_names.begin(), wire.served_names.end(), op.name) != wire.served_names.end())
            continue;
        idle_connections_.erase(idle_connections_.begin() + static_cast<std::ptrdiff_t>(i - 1));
        timers_.cancel(wire.idle_timer);
        bind_call(wire, no, op);
        return send_call(wire);
    }
    if (connections_.size() < max_connections_)
        return open_connection(no, op);
    if (!idle_connections_.empty()) {
        close_connection(*connections_.find(idle_connections_.front()));
        return open_connection(no, op);
    }
    waiting_requests_.push_back(no);  // its deadline goes on
}

void RecordsClient::bind_call(Connection& wire, request::RequestId no, PendingCall& op) {
    wire.request_id = no;
    op.connection_id = wire.id;
}

void RecordsClient::open_connection(request::RequestId no, PendingCall& op) {
    auto made = std::make_unique<Connection>(*this);
    Connection& wire = *made;
    wire.id = connections_.add(std::move(made));
    bind_call(wire, no, op);
    const base::Timestamp now = loop_.unix_now();
    int bad = 0;
    if (auto lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::records))
        wire.stream = net::Stream::connect(loop_.uv(), address_, wire, std::move(lease), &bad);
    if (bad == UV_EMFILE || bad == UV_ENFILE)
        descriptors_.on_system_exhausted(now);
    if (wire.stream == nullptr)
        on_connection_lost(wire, true);  // no descriptor: nothing was sent
}

void RecordsClient::send_call(Connection& wire) {
    const auto it = pending_calls_.find(wire.request_id);
    if (it == pending_calls_.end())
        return close_connection(wire);
    PendingCall& op = it->second;
    const auto left = (op.deadline - loop_.unix_now()).count();
    const std::string ms = std::to_string(std::max<std::int64_t>(1, (left + 999) / 1000));
    std::string line = "OP " + op.name + ' ' + ms + ' ' + std::to_string(op.body.size()) + "\r\n";
    op.sent = true;
    wire.served_names.push_back(op.name);
    if (!wire.stream->write(line.append(op.body).append("\r\n")))
        on_connection_lost(wire, false);
}

void RecordsClient::finish_call(Connection& wire, Outcome outcome, std::string_view reply) {
    const request::RequestId no = std::exchange(wire.request_id, 0);
    pending_calls_.erase(no);
    if (wire.outdated || wire.received_surplus_reply ||
        wire.served_names.size() >= max_calls_per_connection) {
        close_connection(wire);
    } else {
        idle_connections_.push_back(wire.id);
        wire.idle_timer = timers_.schedule(loop_.unix_now() + max_idle_time, [this, w = wire.id] {
            if (Connection* idle = connections_.find(w); idle != nullptr)
                idle->idle_timer = 0, close_connection(*idle);
        });
    }
    request_manager_.dependency_call_finished(no, outcome, reply);
    assign_waiting_calls();
}

// A refused connection proves that the call never ran; one that breaks under it proves nothing.
void RecordsClient::on_connection_lost(Connection& wire, bool refused) {
    const request::RequestId no = std::exchange(wire.request_id, 0);
    close_connection(wire);
    const auto it = pending_calls_.find(no);
    if (it == pending_calls_.end())
        return;
    std::uint64_t passed = 0;
    if (log_limiter_.try_acquire(loop_.unix_now(), passed))
        spdlog::warn("records: {} under a call; {} more like it", refused ? "refused" : "broken", passed);
    fail_call(no, it->second.sent ? Outcome::reset : Outcome::connect_failed);
}

// Its outcome is told on the next turn: the Controller's actions come first, in their order.
void RecordsClient::fail_call(request::RequestId no, Outcome outcome) {
    PendingCall& op = pending_calls_.at(no);
    op.connection_id = 0;
    op.failure_pending = true;
    timers_.schedule(base::Timestamp(0), [this, no, outcome, serial = op.sequence] {
        const auto it = pending_calls_.find(no);
        if (it == pending_calls_.end() || it->second.sequence != serial)
            return;  // given up meanwhile
        pending_calls_.erase(it);
        request_manager_.dependency_call_finished(no, outcome, {});
    });
}

// Closing the connection gives the call up, and nothing that still comes for it can be taken for another's.
void RecordsClient::abandon(request::RequestId no) {
    const auto it = pending_calls_.find(no);
    if (it == pending_calls_.end())
        return;
    Connection* wire = connections_.find(it->second.connection_id);
    pending_calls_.erase(it);
    if (wire == nullptr)
        return;
    wire->request_id = 0;
    close_connection(*wire);
}

void RecordsClient::set_address(const net::Address& address) {
    if (address == address_)
        return;
    address_ = address;
    while (!idle_connections_.empty())
        close_connection(*connections_.find(idle_connections_.back()));
    for (const base::SlotId w : connections_.ids()) {
        Connection& wire = *connections_.find(w);
        wire.outdated = true;
        if (wire.connected || wire.closed)
            continue;
        const request::RequestId no =
            std::exchange(wire.request_id, 0);  // its dial is open: nothing has been sent
        close_connection(wire);
        if (const auto it = pending_calls_.find(no); it != pending_calls_.end())
            open_connection(no, it->second);
    }
}

void RecordsClient::close_connection(Connection& wire) {
    timers_.cancel(wire.idle_timer);
    if (const auto at = std::find(idle_connections_.begin(), idle_connections_.end(), wire.id);
        at != idle_connections_.end())
        idle_connections_.erase(at);
    if (wire.stream != nullptr)
        std::exchange(wire.stream, nullptr)->close();
    if (std::exchange(wire.closed, true))
        return;
    // Its own code may still be on the stack: the slot is freed on the next turn.
    timers_.schedule(base::Timestamp(0), [this, no = wire.id] {
        connections_.erase(no);
        assign_waiting_calls();
    });
}

void RecordsClient::assign_waiting_calls() {
    while (!waiting_requests_.empty() &&
           (!idle_connections_.empty() || connections_.size() < max_connections_)) {
        const request::RequestId no = waiting_requests_.front();
        waiting_requests_.pop_front();
        if (const auto it = pending_calls_.find(no);
            it != pending_calls_.end() && it->second.connection_id == 0 && !it->second.failure_pending)
            assign_connection(no, it->second);
    }
}

}  // namespace cressledge::platform
