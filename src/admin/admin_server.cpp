#include "admin/admin_server.hpp"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace cressledge::admin {
namespace {

std::string format_message(const char* status, const std::string& body, const char* type) {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Type: " + type +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace

void collect_class_metrics(const request::RequestManager& server, base::Metrics& out) {
    const auto& by_class = server.counts_by_class();
    const auto add_class = [&](const std::string& name, const request::RequestManager::ClassCounts& n) {
        const std::string at = "node.responses." + name + '.';
        out.emplace_back(at + "ok", n.served);
        out.emplace_back(at + "shed", n.rejected);
        out.emplace_back(at + "errors", n.failed);
        out.emplace_back(at + "tries", n.runs_started);
    };
    for (const auto& c : server.settings().classes)
        if (by_class.count(c.name) == 0)
            add_class(c.name, {});
    for (const auto& [name, counts] : by_class)
        add_class(name, counts);
    out.emplace_back("node.active", server.unanswered_count());
}

void collect_latency_metrics(const request::RequestManager& server, base::Metrics& out) {
    for (const auto& [name, counts] : server.counts_by_class()) {
        out.emplace_back("node.responses." + name + ".late", counts.served_late);
        for (std::size_t i = 0; i < base::LatencyHistogram::bucket_count; ++i)
            if (counts.latency.counts()[i] > 0)
                out.emplace_back("node.took." + name + '.' +
                                     std::to_string(base::LatencyHistogram::bucket_upper_bound_us(i)),
                                 counts.latency.counts()[i]);
    }
}

class AdminServer::Connection final : public net::Stream::Owner {
public:
    explicit Connection(AdminServer& server) : server_(server) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        http_parser_settings_init(&callbacks_);
        callbacks_.on_url = [](http_parser* p, const char* at, std::size_t n) {
            Connection& me = *static_cast<Connection*>(p->data);
            me.url_.append(at, std::min(n, max_head_bytes));
            return me.count_head_bytes(n);
        };
        callbacks_.on_header_field = [](http_parser* p, const char*, std::size_t n) {
            return static_cast<Connection*>(p->data)->count_head_bytes(n);
        };
        callbacks_.on_header_value = callbacks_.on_header_field;
        callbacks_.on_body = [](http_parser* p, const char* at, std::size_t n) {
            Connection& me = *static_cast<Connection*>(p->data);
            me.body_too_large_ = me.body_.size() + n > max_body_bytes;
            if (!me.body_too_large_)
                me.body_.append(at, n);
            return me.body_too_large_ ? 1 : 0;
        };
        callbacks_.on_message_complete = [](http_parser* p) {
            static_cast<Connection*>(p->data)->message_complete_ = true;
            http_parser_pause(p, 1);  // one call a connection: what follows is not read
            return 0;
        };
    }
    ~Connection() override {
        server_.timers_.cancel(deadline_);
        if (stream_ != nullptr)
            std::exchange(stream_, nullptr)->close();
    }
    void on_bytes(std::string_view bytes) override {
        if (replied_)
            return;
        http_parser_execute(&parser_, &callbacks_, bytes.data(), bytes.size());
        if (message_complete_)
            return server_.dispatch(*this);
        if (body_too_large_)
            return reply("413 Payload Too Large", "too large\n");
        if (head_too_large_)
            return reply("431 Request Header Fields Too Large", "too long\n");
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            reply("400 Bad Request", "bad call\n");
    }
    bool on_eof() override {
        if (replied_)
            return stream_->has_unwritten_bytes();  // both sides are through, or the deadline ends it
        // Guards the table against a caller that ends without a whole call: nothing more can make it whole.
        reply("400 Bad Request", "cut short\n");
        return true;
    }
    void on_end(bool) override {
        stream_ = nullptr;
        server_.close_connection(id_);
    }
    void reply(const char* status, const std::string& body, const char* type = "text/plain") {
        if (replied_ || stream_ == nullptr)
            return;
        replied_ = true;
        stream_->write(format_message(status, body, type));
        stream_->shut_down_writes();
        server_.timers_.cancel(deadline_);
        deadline_ = server_.timers_.schedule(server_.loop_.unix_now() + linger_timeout,
                                             [c = &server_, no = id_] { c->close_connection(no); });
    }
    // Before it is ended: a call that lies whole in the socket is answered, and no close goes over unread bytes.
    bool read_pending() {
        if (!replied_ && stream_ != nullptr)
            stream_->read_pending();
        return replied_;
    }
    int count_head_bytes(std::size_t size) {
        head_bytes_ += size;
        head_too_large_ = head_bytes_ > max_head_bytes;
        return head_too_large_ ? 1 : 0;
    }

    AdminServer& server_;
    base::SlotId id_ = 0;
    net::Stream* stream_ = nullptr;
    base::TimerQueue::Handle deadline_ = 0;
    http_parser parser_{};
    http_parser_settings callbacks_{};
    std::string url_, body_;
    std::size_t head_bytes_ = 0;
    bool message_complete_ = false, head_too_large_ = false, body_too_large_ = false, replied_ = false;
};

AdminServer::AdminServer(net::Loop& loop, base::TimerQueue& timers,
                         connection_admission::FileDescriptorBudget& descriptors,
                         const net::ListenEndpoint& listening, AdminSource& source)
    : loop_(loop),
      timers_(timers),
      descriptors_(descriptors),
      source_(source),
      listener_lease_(
          descriptors.try_acquire(loop.unix_now(), connection_admission::DescriptorPurpose::admin)),
      listener_(loop.uv(), listening, [this] { accept_pending(); }) {}

AdminServer::~AdminServer() = default;

void AdminServer::accept_pending() {
    for (std::size_t n = 0; n < max_connections; ++n) {
        if (connections_.size() >= max_connections) {
            // Guards readiness against callers that hold connections open: the oldest goes for the newcomer.
            const base::SlotId oldest = accept_order_.front();
            ++evicted_count_;
            connections_.find(oldest)->read_pending();
            close_connection(oldest);
        }
        auto lease =
            descriptors_.try_acquire(loop_.unix_now(), connection_admission::DescriptorPurpose::admin);
        if (!lease)
            return;  // the backlog keeps who comes until a call has ended
        auto owned_connection = std::make_unique<Connection>(*this);
        Connection* connection = owned_connection.get();
        const base::SlotId connection_id = connections_.add(std::move(owned_connection));
        connection->id_ = connection_id;
        int accept_error = 0;
        connection->stream_ = net::Stream::accept(listener_, *connection, std::move(lease), &accept_error);
        if (connection->stream_ == nullptr) {
            connections_.erase(connection_id);
            if (accept_error != UV_EAGAIN)
                spdlog::warn("control: accept: {}", uv_strerror(accept_error));
            return;
        }
        accept_order_.push_back(connection_id);
        connection->deadline_ = timers_.schedule(loop_.unix_now() + request_timeout, [this, connection_id] {
            Connection* c = connections_.find(connection_id);
            if (c != nullptr)
                c->deadline_ = 0;
            if (c == nullptr || !c->read_pending())
                close_connection(connection_id);
        });
    }
}

void AdminServer::dispatch(Connection& connection) {
    const std::size_t end = std::min(connection.url_.find('?'), connection.url_.size());
    const std::string path = connection.url_.substr(0, end), query = connection.url_.substr(end);
    const bool is_get = connection.parser_.method == HTTP_GET;
    std::optional<std::string> membership;
    if (path == "/v1/fleet" && is_get)
        membership = source_.membership_json(query == "?brief");
    const char* method = http_method_str(static_cast<http_method>(connection.parser_.method));
    if (const auto custom_reply = source_.handle_request(method, path, connection.body_)) {
        ++answered_count_;
        return connection.reply(custom_reply->status, custom_reply->json, "application/json");
    }
    if (path != "/v1/readyz" && path != "/v1/metrics" && !membership)
        return connection.reply("404 Not Found", "no such call\n");
    if (!is_get)
        return connection.reply("405 Method Not Allowed", "GET only\n");
    ++answered_count_;
    if (membership)
        return connection.reply("200 OK", *membership, "application/json");
    if (path == "/v1/readyz") {
        if (source_.is_ready())
            return connection.reply("200 OK", "ready\n");
        return connection.reply("503 Service Unavailable", "not ready\n");
    }
    base::Metrics metrics;
    source_.collect_metrics(metrics);
    std::string body;
    for (const auto& [name, value] : metrics)
        body.append(name).append("=").append(std::to_string(value)).append("\n");
    connection.reply("200 OK", body);
}

void AdminServer::close_connection(base::SlotId connection_id) {
    if (connections_.find(connection_id) == nullptr)
        return;
    accept_order_.erase(std::find(accept_order_.begin(), accept_order_.end(), connection_id));
    connections_.erase(connection_id);
}

}  // namespace cressledge::admin
