#include "platform/records_client.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "platform/line_reader.hpp"
#include "platform/records_protocol.hpp"

namespace cressledge::platform {
namespace {

using policy::Outcome;

constexpr std::size_t max_calls_per_connection = 64;
/// The service may close or forget an idle connection. A call that is lost on one proves nothing, and a write would
/// have failed for good.
constexpr base::Duration max_idle_time{100'000};

}  // namespace

/// One connection, with the call that it carries. It lives in the client's slot map until it has been closed.
class RecordsClient::Connection final : public net::Stream::Owner {
public:
    enum class State { connecting, open, closed };

    explicit Connection(RecordsClient& records_client)
        : client(records_client), line_reader(records_protocol::max_body_bytes, records_protocol::has_body) {}
    ~Connection() override {
        if (stream != nullptr)
            stream->close();
    }
    void on_open() override {
        state = State::open;
        client.send_call(*this);
    }
    void on_end(bool refused) override {
        stream = nullptr;
        client.on_connection_lost(*this, refused);
    }
    void on_bytes(std::string_view bytes) override {
        line_reader.append(bytes);
        Line line;
        while (stream != nullptr) {
            const LineReader::Status status = line_reader.read_line(line);
            if (status == LineReader::Status::incomplete)
                return;
            if (status == LineReader::Status::malformed)
                return on_malformed_reply();
            const auto reply = records_protocol::parse_reply(line.tokens);
            if (!reply)
                return on_malformed_reply();
            if (answers_this_call(*reply)) {
                client.finish_call(*this, reply->outcome, std::string(line.body));
                continue;
            }
            // A duplicate, or a reply to nobody: it is ignored, but more may follow.
            reusable = false;
            if (request_id == 0)
                return client.close_connection(*this);
        }
    }

    RecordsClient& client;
    base::SlotId id = 0;
    net::Stream* stream = nullptr;
    LineReader line_reader;
    /// The request whose call it carries; 0: none.
    request::RequestId request_id = 0;
    /// Requests that it has served: duplicates of their replies may still be under way.
    std::vector<std::string> served_names;
    base::TimerHandle idle_timer;
    State state = State::connecting;
    bool reusable = true;

private:
    bool answers_this_call(const records_protocol::Reply& reply) const {
        const auto call = client.pending_calls_.find(request_id);
        return request_id != 0 && call != client.pending_calls_.end() &&
               call->second.name == reply.request_name;
    }

    // What follows a malformed reply cannot be told from the rest of it.
    void on_malformed_reply() {
        std::uint64_t suppressed = 0;
        if (client.log_limiter_.try_acquire(client.loop_.unix_now(), suppressed))
            base::log_warning("records: malformed reply suppressed={}", suppressed);
        client.on_connection_lost(*this, false);
    }
};

RecordsClient::RecordsClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                             std::size_t max_connections, request::RequestManager& request_manager,
                             connection_admission::FileDescriptorBudget& descriptors)
    : loop_(loop),
      timers_(timers),
      address_(address),
      max_connections_(max_connections),
      request_manager_(request_manager),
      descriptors_(descriptors) {}

RecordsClient::~RecordsClient() = default;

void RecordsClient::call(request::RequestId request_id, std::string_view name, std::string_view body,
                         base::Timestamp deadline) {
    PendingCall& pending = pending_calls_[request_id];
    pending = {std::string(name), std::string(body), deadline, ++last_sequence_, 0, Progress::not_sent};
    assign_connection(request_id, pending);
}

void RecordsClient::assign_connection(request::RequestId request_id, PendingCall& call) {
    if (Connection* idle = take_idle_connection(call.name); idle != nullptr) {
        bind_call(*idle, request_id, call);
        return send_call(*idle);
    }
    if (connections_.size() < max_connections_)
        return open_connection(request_id, call);
    if (!idle_connections_.empty()) {
        close_connection(*connections_.find(idle_connections_.front()));
        return open_connection(request_id, call);
    }
    // Its deadline stays the same.
    waiting_requests_.push_back(request_id);
}

// The connection used last is the least likely to have been closed. One that served this very request may still bring
// a duplicate of that reply, which would pass for the reply to this call.
RecordsClient::Connection* RecordsClient::take_idle_connection(const std::string& request_name) {
    for (std::size_t i = idle_connections_.size(); i > 0; --i) {
        Connection& connection = *connections_.find(idle_connections_[i - 1]);
        const auto& served = connection.served_names;
        if (std::find(served.begin(), served.end(), request_name) != served.end())
            continue;
        idle_connections_.erase(idle_connections_.begin() + static_cast<std::ptrdiff_t>(i - 1));
        connection.idle_timer.cancel();
        return &connection;
    }
    return nullptr;
}

void RecordsClient::bind_call(Connection& connection, request::RequestId request_id, PendingCall& call) {
    connection.request_id = request_id;
    call.connection_id = connection.id;
}

void RecordsClient::open_connection(request::RequestId request_id, PendingCall& call) {
    auto created = std::make_unique<Connection>(*this);
    Connection& connection = *created;
    connection.id = connections_.add(std::move(created));
    bind_call(connection, request_id, call);
    const base::Timestamp now = loop_.unix_now();
    int error = 0;
    if (auto lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::records))
        connection.stream = net::Stream::connect(loop_.uv(), address_, connection, std::move(lease), &error);
    if (net::is_descriptor_exhaustion(error))
        descriptors_.on_system_exhausted(now);
    // Nothing was sent: that is as good as a refused connection.
    if (connection.stream == nullptr)
        on_connection_lost(connection, true);
}

void RecordsClient::send_call(Connection& connection) {
    const auto it = pending_calls_.find(connection.request_id);
    if (it == pending_calls_.end())
        return close_connection(connection);
    PendingCall& call = it->second;
    call.progress = Progress::sent;
    connection.served_names.push_back(call.name);
    const std::string bytes =
        records_protocol::encode_call(call.name, call.deadline - loop_.unix_now(), call.body);
    if (!connection.stream->write(bytes))
        on_connection_lost(connection, false);
}

void RecordsClient::finish_call(Connection& connection, Outcome outcome, std::string_view reply) {
    const request::RequestId request_id = std::exchange(connection.request_id, 0);
    pending_calls_.erase(request_id);
    if (connection.reusable && connection.served_names.size() < max_calls_per_connection) {
        retain_idle(connection);
    } else {
        close_connection(connection);
    }
    request_manager_.dependency_call_finished(request_id, outcome, reply);
    assign_waiting_calls();
}

void RecordsClient::retain_idle(Connection& connection) {
    idle_connections_.push_back(connection.id);
    connection.idle_timer = timers_.schedule(loop_.unix_now() + max_idle_time,
                                             [this, &connection] { close_connection(connection); });
}

// A refused connection proves that the call never ran; one that breaks under the call proves nothing.
void RecordsClient::on_connection_lost(Connection& connection, bool refused) {
    const request::RequestId request_id = std::exchange(connection.request_id, 0);
    close_connection(connection);
    const auto it = pending_calls_.find(request_id);
    if (it == pending_calls_.end())
        return;
    std::uint64_t suppressed = 0;
    if (log_limiter_.try_acquire(loop_.unix_now(), suppressed))
        base::log_warning("records: {} suppressed={}", refused ? "connection refused" : "connection lost",
                          suppressed);
    fail_call(request_id, it->second.progress == Progress::sent ? Outcome::reset : Outcome::connect_failed);
}

// The outcome is reported on the loop's next turn: actions of the admission controller that are being applied come
// first, in their order.
void RecordsClient::fail_call(request::RequestId request_id, Outcome outcome) {
    PendingCall& call = pending_calls_.at(request_id);
    call.connection_id = 0;
    call.progress = Progress::failure_pending;
    timers_.schedule_detached(base::Timestamp(0), [this, request_id, outcome, sequence = call.sequence] {
        const auto it = pending_calls_.find(request_id);
        // Abandoned meanwhile, perhaps for another call of the same request.
        if (it == pending_calls_.end() || it->second.sequence != sequence)
            return;
        pending_calls_.erase(it);
        request_manager_.dependency_call_finished(request_id, outcome, {});
    });
}

// Closing the connection tells the service that nobody waits, and keeps a late reply from passing for another's.
void RecordsClient::abandon(request::RequestId request_id) {
    const auto it = pending_calls_.find(request_id);
    if (it == pending_calls_.end())
        return;
    Connection* connection = connections_.find(it->second.connection_id);
    pending_calls_.erase(it);
    if (connection == nullptr)
        return;
    connection->request_id = 0;
    close_connection(*connection);
}

void RecordsClient::set_address(const net::Address& address) {
    if (address == address_)
        return;
    address_ = address;
    while (!idle_connections_.empty())
        close_connection(*connections_.find(idle_connections_.back()));
    for (const base::SlotId id : connections_.ids()) {
        Connection& connection = *connections_.find(id);
        connection.reusable = false;
        if (connection.state != Connection::State::connecting)
            continue;
        // Nothing has been sent on it: its call goes to the new address.
        const request::RequestId request_id = std::exchange(connection.request_id, 0);
        close_connection(connection);
        if (const auto it = pending_calls_.find(request_id); it != pending_calls_.end())
            open_connection(request_id, it->second);
    }
}

void RecordsClient::close_connection(Connection& connection) {
    connection.idle_timer.cancel();
    std::erase(idle_connections_, connection.id);
    if (connection.stream != nullptr)
        std::exchange(connection.stream, nullptr)->close();
    if (std::exchange(connection.state, Connection::State::closed) == Connection::State::closed)
        return;
    // One of its own functions may be running: the slot is freed on the loop's next turn.
    timers_.schedule_detached(base::Timestamp(0), [this, id = connection.id] {
        connections_.erase(id);
        assign_waiting_calls();
    });
}

void RecordsClient::assign_waiting_calls() {
    while (!waiting_requests_.empty() &&
           (!idle_connections_.empty() || connections_.size() < max_connections_)) {
        const request::RequestId request_id = waiting_requests_.front();
        waiting_requests_.pop_front();
        const auto it = pending_calls_.find(request_id);
        if (it == pending_calls_.end())
            continue;
        PendingCall& call = it->second;
        if (call.connection_id == 0 && call.progress != Progress::failure_pending)
            assign_connection(request_id, call);
    }
}

}  // namespace cressledge::platform
