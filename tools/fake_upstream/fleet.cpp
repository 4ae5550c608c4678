#include "fake_upstream/fleet.hpp"

#include "common/http_message_parser.hpp"
#include "load_balancing/load_reports.hpp"

namespace cressledge::fake_upstream {
namespace {

constexpr std::size_t max_accepts_per_event = 64;

}  // namespace

/// A connection that one server has accepted; it has at most one call in progress.
class Fleet::Connection final : public net::Stream::Owner {
public:
    Connection(Fleet& fleet, std::size_t server_index) : server(server_index), fleet_(fleet) {}
    ~Connection() override { close_stream(); }
    void on_bytes(std::string_view bytes) override {
        if (call != 0)
            return fleet_.close(id);  // pipelined request: not supported
        switch (parser_.parse(bytes)) {
            case tools::HttpMessageParser::Result::incomplete:
                return;
            case tools::HttpMessageParser::Result::complete:
                fleet_.counters_.malformed += parser_.has_trailing_bytes() ? 1 : 0;
                return fleet_.on_request(*this);
            case tools::HttpMessageParser::Result::malformed:
                ++fleet_.counters_.malformed;
                return fleet_.close(id);
        }
    }
    void on_end(bool) override {
        stream = nullptr;
        fleet_.close(id);
    }
    void answer(const char* status, const std::string& load_report, std::string_view body) {
        std::string response = std::string("HTTP/1.1 ") + status +
                               "\r\nEndpoint-Load-Metrics: " + load_report +
                               "\r\nContent-Length: " + std::to_string(body.size()) +
                               (parser_.keeps_alive() ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
        response.append(body);
        if (stream == nullptr)
            return;
        if (!stream->write(response))
            return fleet_.close(id);
        if (!parser_.keeps_alive())
            stream->shut_down_writes();
    }
    void close_stream() {
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    const std::string& url() const { return parser_.url(); }
    const std::string& body() const { return parser_.body(); }

    const std::size_t server;
    base::SlotId id = 0;
    net::Stream* stream = nullptr;
    /// The call that has not been answered yet; 0 for none.
    CallId call = 0;

private:
    Fleet& fleet_;
    tools::HttpMessageParser parser_{HTTP_REQUEST};
};

Fleet::Fleet(net::Loop& loop, base::TimerQueue& timers, FleetSpec spec)
    : loop_(loop), timers_(timers), spec_(std::move(spec)), random_(spec_.seed, 5) {
    for (const ServerProfile& profile : spec_.servers)
        models_.emplace_back(profile);
    listeners_.resize(models_.size());
    ports_.resize(models_.size());
    calls_by_server_.resize(models_.size());
    for (std::size_t i = 0; i < models_.size(); ++i)
        listen(i);
}

Fleet::~Fleet() = default;

void Fleet::listen(std::size_t server) {
    // After a restart the server listens on the port that the kernel chose at the first start.
    const std::string text = ports_[server] == 0 ? spec_.addresses.at(server) : address(server);
    listeners_[server] = std::make_unique<net::Listener>(loop_.uv(), *net::Address::parse(text),
                                                         [this, server] { accept(server); });
    ports_[server] = listeners_[server]->port();
}

std::string Fleet::address(std::size_t server) const {
    const std::string& configured = spec_.addresses.at(server);
    return configured.substr(0, configured.rfind(':') + 1) + std::to_string(ports_[server]);
}

void Fleet::accept(std::size_t server) {
    for (std::size_t n = 0; n < max_accepts_per_event; ++n) {
        auto owned = std::make_unique<Connection>(*this, server);
        Connection& connection = *owned;
        connection.id = connections_.add(std::move(owned));
        connection.stream = net::Stream::accept(*listeners_[server], connection);
        if (connection.stream == nullptr)
            return connections_.erase(connection.id);
    }
}

void Fleet::on_request(Connection& connection) {
    ServerModel& model = models_[connection.server];
    const Timestamp now = loop_.unix_now();
    const std::string& url = connection.url();
    if (url == "/healthz") {
        ++counters_.probes;
        return connection.answer(model.is_failing() ? "503 x" : "200 x",
                                 load_balancing::format_load_report(model.answer_probe(now)), "ok");
    }
    ++counters_.calls;
    ++calls_by_server_[connection.server];
    const std::string class_name = url.substr(url.rfind('/') + 1);
    if (spec_.at_most_once_classes.count(class_name) != 0 && !seen_bodies_.insert(connection.body()).second)
        ++counters_.duplicates;
    connection.call = ++last_call_;
    connection_by_call_[connection.call] = connection.id;
    schedule_finish(connection.server, model.arrive(now, connection.call, random_));
}

void Fleet::schedule_finish(std::size_t server, const std::optional<ServerModel::ServiceStart>& start) {
    if (!start)
        return;
    finish_timers_[start->call] = timers_.schedule(
        start->finishes_at, [this, server, call = start->call] { on_service_finished(server, call); });
}

void Fleet::on_service_finished(std::size_t server, CallId call) {
    finish_timers_.erase(call);
    const base::SlotId id = connection_by_call_[call];
    depart(server, call);
    Connection* connection = connections_.find(id);
    if (connection == nullptr)
        return;
    connection->call = 0;
    const bool failing = models_[server].is_failing();
    ++(failing ? counters_.errors : counters_.answers);
    connection->answer(failing ? "500 x" : "200 x",
                       load_balancing::format_load_report(models_[server].load_report()),
                       failing ? "no" : "ok");
}

void Fleet::depart(std::size_t server, CallId call) {
    connection_by_call_.erase(call);
    finish_timers_.erase(call);
    schedule_finish(server, models_[server].depart(loop_.unix_now(), call, random_));
}

void Fleet::close(base::SlotId id) {
    Connection* connection = connections_.find(id);
    if (connection == nullptr)
        return;
    if (connection->call != 0) {
        ++counters_.abandoned;
        depart(connection->server, connection->call);
    }
    connection->call = 0;
    connection->close_stream();
    closed_connections_.erase(id);
}

void Fleet::restart(std::size_t server, Duration downtime) {
    listeners_.at(server).reset();
    for (const base::SlotId id : connections_.ids())
        if (connections_.find(id)->server == server)
            close(id);
    restart_timers_[server] = timers_.schedule(loop_.unix_now() + downtime, [this, server] {
        restart_timers_.erase(server);
        models_[server].restart(loop_.unix_now());
        listen(server);
    });
}

void Fleet::set_monitoring(bool enabled) {
    sample_timer_.cancel();
    if (!enabled)
        return;
    monitor_ = LoadImbalanceMonitor();
    next_sample_at_ = loop_.unix_now();
    take_due_samples();
}

void Fleet::take_due_samples() {
    // Takes every sample that is due, even if late: the averages are over time, not over iterations of the event loop.
    for (const Timestamp now = loop_.unix_now(); next_sample_at_ <= now; next_sample_at_ += sample_interval)
        monitor_.sample(models_);
    sample_timer_ = timers_.schedule(next_sample_at_, [this] { take_due_samples(); });
}

}  // namespace cressledge::fake_upstream
