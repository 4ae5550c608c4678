#include "platform/records_client.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "platform/frame_reader.hpp"
#include "platform/records_protocol.hpp"

namespace cressledge::platform {
namespace {

using policy::Outcome;

constexpr std::size_t max_calls_per_connection = 64;
/// The service may close or drop an idle connection. If a call is lost on such a connection, it is unknown whether it
/// ran, so a write would fail without a retry.
constexpr base::Duration max_idle_time{100'000};

}  // namespace

/// One connection and the call that it carries. Owned by the client's slot map until it has been closed.
class RecordsClient::Connection final : public net::Stream::Owner {
public:
    enum class State { connecting, open, closed };

    explicit Connection(RecordsClient& records_client)
        : client(records_client),
          frame_reader(records_protocol::max_body_bytes, records_protocol::has_body) {}
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
        frame_reader.append(bytes);
        Frame frame;
        while (stream != nullptr) {
            const FrameReader::Status status = frame_reader.read_frame(frame);
            if (status == FrameReader::Status::incomplete)
                return;
            if (status == FrameReader::Status::malformed)
                return on_malformed_reply();
            const auto reply = records_protocol::parse_reply(frame.tokens);
            if (!reply)
                return on_malformed_reply();
            if (matches_current_call(*reply)) {
                client.finish_call(*this, reply->outcome, std::string(frame.body));
                continue;
            }
            // A duplicate or unexpected reply is ignored. More may follow, so the connection is not reused.
            reusable = false;
            if (request_id == 0)
                return client.close_connection(*this);
        }
    }

    RecordsClient& client;
    base::SlotId id = 0;
    net::Stream* stream = nullptr;
    FrameReader frame_reader;
    /// The request whose call this connection carries; 0 if idle.
    request::RequestId request_id = 0;
    /// Names of the requests served so far; duplicates of their replies may still arrive.
    std::vector<std::string> served_names;
    base::TimerHandle idle_timer;
    State state = State::connecting;
    bool reusable = true;

private:
    bool matches_current_call(const records_protocol::Reply& reply) const {
        const auto call = client.pending_calls_.find(request_id);
        return request_id != 0 && call != client.pending_calls_.end() &&
               call->second.name == reply.request_name;
    }

    // The end of a malformed reply is unknown, so the bytes after it cannot be parsed.
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
    // Waiting does not extend the call's deadline.
    waiting_requests_.push_back(request_id);
}

// Prefers the most recently used connection, which is the least likely to have been closed. Skips connections that have
// served this request: a duplicate of an earlier reply could be taken for the reply to this call.
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
    auto owned_connection = std::make_unique<Connection>(*this);
    Connection& connection = *owned_connection;
    connection.id = connections_.add(std::move(owned_connection));
    bind_call(connection, request_id, call);
    const base::Timestamp now = loop_.unix_now();
    int error = 0;
    if (auto lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::records))
        connection.stream = net::Stream::connect(loop_.uv(), address_, connection, std::move(lease), &error);
    if (net::is_descriptor_exhaustion(error))
        descriptors_.on_system_exhausted(now);
    // Nothing was sent, so this is equivalent to a refused connection.
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

// A refused connection proves that the call never ran. If a connection breaks after the call was sent, it is unknown
// whether the call ran.
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

// The outcome is reported in the next loop iteration, after the actions of the admission controller that are being
// applied.
void RecordsClient::fail_call(request::RequestId request_id, Outcome outcome) {
    PendingCall& call = pending_calls_.at(request_id);
    call.connection_id = 0;
    call.progress = Progress::failure_pending;
    timers_.schedule_detached(base::Timestamp(0), [this, request_id, outcome, sequence = call.sequence] {
        const auto it = pending_calls_.find(request_id);
        // The call was abandoned in the meantime; the request may have a new call.
        if (it == pending_calls_.end() || it->second.sequence != sequence)
            return;
        pending_calls_.erase(it);
        request_manager_.dependency_call_finished(request_id, outcome, {});
    });
}

// Closing the connection signals to the service that the reply is not needed, and prevents a late reply from being
// taken for the reply to another call.
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
        // Nothing has been sent on this connection: its call goes to the new address.
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
    // A member function of the connection may be running, so the slot is freed in the next loop iteration.
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
