// Scripted HTTP hosts on loopback, and a gateway in front of them.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace cressledge::testing {

/// How a host replies to a call, or at which point it closes the connection.
enum class ReplyKind {
    complete,
    reset_on_accept,
    reset_during_request,
    reset_after_request,
    reset_during_response,
    /// A complete response with the given status.
    status,
    /// The request is read, but there is no response.
    no_response,
};

/// The reply of a host to a call.
struct ScriptedReply {
    ReplyKind kind = ReplyKind::complete;
    int status = 200;
    std::string extra_headers;
};

/// An HTTP host. The body of a request identifies it, and ends with a full stop, by which the host detects its end.
struct ScriptedHost {
    struct Connection final : net::Stream::Owner {
        ScriptedHost& host;
        net::Stream* stream = nullptr;
        std::string received;
        int requests = 0;

        explicit Connection(ScriptedHost& owner) : host(owner) {}
        ~Connection() override { hang_up(); }
        void hang_up() {
            if (stream != nullptr)
                std::exchange(stream, nullptr)->close();
        }
        void on_bytes(std::string_view bytes) override {
            received.append(bytes);
            if (host.next_reply.kind == ReplyKind::reset_during_request && received.size() > 20)
                return hang_up();
            const std::size_t header_end = received.find("\r\n\r\n");
            if (header_end == std::string::npos)
                return;
            if (received.rfind("GET /healthz ", 0) == 0)
                return respond_to_probe();
            if (received.back() == '.')
                respond_to_request(header_end);
        }
        void respond_to_probe() {
            received.clear();
            ++host.probes;
            if (!host.ignores_probes)
                stream->write("HTTP/1.1 200 x\r\n" + load_header() + "Content-Length: 2\r\n\r\nok");
        }
        void respond_to_request(std::size_t header_end) {
            const ScriptedReply reply = host.next_reply;
            ++host.requests_by_body[received.substr(header_end + 4)];
            received.clear();
            host.reused_connections += requests++ > 0 ? 1 : 0;
            if (reply.kind == ReplyKind::reset_after_request)
                return hang_up();
            if (reply.kind == ReplyKind::no_response)
                return;
            std::string response = "HTTP/1.1 " + std::to_string(reply.status) + " x\r\n" +
                                   reply.extra_headers + load_header() + "Content-Length: 2\r\n\r\nok";
            if (reply.kind == ReplyKind::reset_during_response)
                response.resize(response.size() / 2);
            stream->write(response);
            if (reply.kind == ReplyKind::reset_during_response)
                hang_up();
        }
        std::string load_header() const {
            return host.load_report.empty() ? "" : "Endpoint-Load-Metrics: " + host.load_report + "\r\n";
        }
        void on_end(bool) override { stream = nullptr; }
    };

    ScriptedReply next_reply;
    /// Number of complete requests, by body.
    std::map<std::string, int> requests_by_body;
    /// Load report in every response; empty: none.
    std::string load_report;
    int accepted_connections = 0;
    int reused_connections = 0;
    int probes = 0;
    bool ignores_probes = false;
    std::vector<std::unique_ptr<Connection>> connections;
    std::unique_ptr<net::Listener> listener;
    int port = 0;

    explicit ScriptedHost(TestLoop& loop) { listen(loop); }
    void listen(TestLoop& loop) {
        listener = std::make_unique<net::Listener>(loop.loop.uv(), loopback_address(port),
                                                   [this] { accept_connection(); });
        port = listener->port();
    }
    void accept_connection() {
        std::erase_if(connections, [](const auto& connection) { return connection->stream == nullptr; });
        auto connection = std::make_unique<Connection>(*this);
        connection->stream = net::Stream::accept(*listener, *connection);
        if (connection->stream == nullptr)
            return;
        ++accepted_connections;
        if (next_reply.kind == ReplyKind::reset_on_accept)
            return connection->hang_up();
        connections.push_back(std::move(connection));
    }
};

/// A gateway with `host_count` scripted hosts. `config` may be changed before start().
struct UpstreamFixture {
    TestLoop loop;
    TemporaryDirectory directory;
    std::vector<std::unique_ptr<ScriptedHost>> hosts;
    config::OperatorConfig config;
    std::unique_ptr<upstream::UpstreamGateway> gateway;
    std::unique_ptr<StreamPeer> client;

    explicit UpstreamFixture(std::size_t host_count) {
        for (std::size_t i = 0; i < host_count; ++i)
            hosts.push_back(std::make_unique<ScriptedHost>(loop));
        config.scgi_address = "127.0.0.1:0";
        config.http_address = "127.0.0.1:0";
        config.inventory_path = directory.path + "/s.csv";
        write_inventory(inventory_text());
        config.policy_settings = test_settings();
        config.policy_settings.cores = 16;
        config.routing.inventory_poll_interval = Duration(0);
        config.routing.health_checks_enabled = false;
    }
    std::string inventory_row(std::size_t i) const {
        return "tiles-" + std::to_string(i) + ",127.0.0.1:" + std::to_string(hosts[i]->port) +
               ",http,maps,thies,1\n";
    }
    std::string inventory_text() const {
        std::string text = "name,address,protocol,group,data_centre,weight\n";
        for (std::size_t i = 0; i < hosts.size(); ++i)
            text += inventory_row(i);
        return text;
    }
    void write_inventory(const std::string& text) { directory.write_file("s.csv", text); }
    void start() {
        gateway = std::make_unique<upstream::UpstreamGateway>(loop.loop, loop.timers, loop.loop, config, 7);
    }
    /// Sends a request, waits for the response and returns its status.
    std::string post(const std::string& request_class, const std::string& body,
                     const std::string& extra_headers = "") {
        if (!client || client->is_closed)
            client = connect_peer(loop, gateway->http_port());
        client->received.clear();
        client->send("POST /v1/" + request_class + " HTTP/1.1\r\n" + extra_headers +
                     "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        loop.run_until([&] { return client->has_received("\r\n\r\n") || client->is_closed; });
        return client->received.substr(9, 3);
    }
    /// The number of complete requests that the hosts have read.
    int request_count() const {
        int total = 0;
        for (const auto& host : hosts)
            for (const auto& [body, count] : host->requests_by_body)
                total += count;
        return total;
    }
};

}  // namespace cressledge::testing
