// A gateway in front of one scripted upstream host, and clients with chosen source addresses, all on loopback.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <utility>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace cressledge::testing {

inline std::string scgi_request(const std::string& class_name, const std::string& body) {
    std::string headers = binary_literal("CONTENT_LENGTH\0") + std::to_string(body.size()) + '\0';
    headers += binary_literal("SCGI\0\x31\0REQUEST_METHOD\0POST\0REQUEST_URI\0/v1/") + class_name + '\0';
    return std::to_string(headers.size()) + ':' + headers + ',' + body;
}

inline std::string http_request(const std::string& class_name, const std::string& body) {
    return "POST /v1/" + class_name + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// An SCGI host that responds to each call at once and counts the calls. Bodies have the form `body-NUMBER.`.
struct EchoUpstream {
    struct Connection final : net::Stream::Owner {
        EchoUpstream& owner;
        net::Stream* stream = nullptr;
        std::string received;

        explicit Connection(EchoUpstream& upstream) : owner(upstream) {}
        ~Connection() override {
            if (stream != nullptr)
                stream->close();
        }
        void on_bytes(std::string_view bytes) override {
            received.append(bytes);
            const std::size_t end = received.find(",body-");
            if (end == std::string::npos || received.back() != '.')
                return;
            ++owner.run_counts[received.substr(end + 6)];
            stream->write("Status: 200 OK\r\nContent-Length: 1\r\n\r\ny");
            stream->shut_down_writes();
        }
        void on_end(bool) override { stream = nullptr; }
    };

    std::vector<std::unique_ptr<Connection>> connections;
    /// Number of calls, by the text `NUMBER.` of the body.
    std::map<std::string, int> run_counts;
    net::Listener listener;

    explicit EchoUpstream(TestLoop& test_loop)
        : listener(test_loop.loop.uv(), loopback_address(0), [this] { accept(); }) {}
    void accept() {
        std::erase_if(connections, [](const auto& connection) { return connection->stream == nullptr; });
        connections.push_back(std::make_unique<Connection>(*this));
        connections.back()->stream = net::Stream::accept(listener, *connections.back());
    }
};

/// A client that is bound to a source address. The test decides how many bytes it sends at a time.
class BoundClient {
public:
    BoundClient(const std::string& source_address, int port) : source_address_(source_address) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        REQUIRE(fd_ >= 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        // connect() chooses the port, so that there are enough ports for thousands of clients.
        constexpr int ip_bind_address_no_port = 24;
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_IP, ip_bind_address_no_port, &on, sizeof on);
        ::inet_pton(AF_INET, source_address.c_str(), &address.sin_addr);
        REQUIRE(::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        const int error = ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        REQUIRE((error == 0 || errno == EINPROGRESS));
    }
    BoundClient(BoundClient&& other) noexcept
        : received(std::move(other.received)),
          unsent(std::move(other.unsent)),
          is_open(other.is_open),
          source_address_(other.source_address_),
          fd_(std::exchange(other.fd_, -1)) {}
    BoundClient& operator=(BoundClient&& other) noexcept {
        std::swap(received, other.received);
        std::swap(unsent, other.unsent);
        std::swap(is_open, other.is_open);
        std::swap(source_address_, other.source_address_);
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~BoundClient() { hang_up(false); }

    /// Closes the connection, with a reset if `reset` is set.
    void hang_up(bool reset) {
        if (fd_ < 0)
            return;
        const linger reset_on_close{1, 0};
        if (reset)
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
        ::close(std::exchange(fd_, -1));
    }
    /// Sends up to `max_bytes` of `unsent`, reads the available bytes, and clears `is_open` if the peer has closed the
    /// connection.
    void step(std::size_t max_bytes) {
        pollfd events{fd_, POLLIN | POLLOUT, 0};
        if (!is_open || ::poll(&events, 1, 0) <= 0)
            return;
        if ((events.revents & POLLOUT) != 0 && !unsent.empty() && max_bytes > 0) {
            const ssize_t sent = ::send(fd_, unsent.data(), std::min(max_bytes, unsent.size()), MSG_NOSIGNAL);
            if (sent > 0)
                unsent.erase(0, static_cast<std::size_t>(sent));
        }
        char buffer[4096];
        ssize_t size = 1;
        while (is_open && size > 0) {
            size = ::recv(fd_, buffer, sizeof buffer, MSG_DONTWAIT);
            if (size > 0)
                received.append(buffer, static_cast<std::size_t>(size));
            if (size == 0 || (size < 0 && errno != EAGAIN && errno != ENOTCONN))
                is_open = false;
        }
    }
    /// The status of the response; 0 if there is none, -1 if there is more than one.
    int status() const {
        const std::size_t first = std::min(received.find("Status: "), received.find("HTTP/1.1 "));
        if (first == std::string::npos)
            return 0;
        if (received.find("Status: ", first + 1) != std::string::npos ||
            received.find("HTTP/1.1 ", first + 1) != std::string::npos)
            return -1;
        return std::stoi(received.substr(received.find(' ', first) + 1, 3));
    }
    const std::string& source_address() const { return source_address_; }

    std::string received, unsent;
    bool is_open = true;

private:
    std::string source_address_;
    int fd_ = -1;
};

/// A gateway and its configuration. The test may change `config` before it calls start().
struct GatewayFixture {
    TestLoop test_loop;
    TemporaryDirectory directory;
    EchoUpstream upstream_host{test_loop};
    config::OperatorConfig config;
    std::unique_ptr<upstream::UpstreamGateway> gateway;

    GatewayFixture() {
        config.scgi_address = config.http_address = "127.0.0.1:0";
        config.inventory_path = directory.write_file(
            "servers.csv", "name,address,protocol,group\nup,127.0.0.1:" +
                               std::to_string(upstream_host.listener.port()) + ",scgi,maps\n");
        config.stop_delay = Duration(900'000);
        config.policy_settings = test_settings();
        config.policy_settings.cores = 16;
        config.admission.max_connections = 128;
        config.admission.rejection_slots = 8;
    }
    void start() {
        gateway = std::make_unique<upstream::UpstreamGateway>(test_loop.loop, test_loop.timers,
                                                              test_loop.loop, config, 7);
    }
    /// Adds a client group with 8 reserved connections and 8 reserved requests. Must be called before start().
    void add_listed_group(const std::string& network) {
        connection_admission::NetworkError error;
        config.admission.groups.push_back({"front-ends", {}, 8, 8});
        config.admission.networks.add(*connection_admission::parse_network(network, error), 1, error);
    }
    connection_admission::ConnectionLimiter& limiter() { return gateway->connection_admitter().limiter(); }
    /// Runs the client and the gateway until the client's connection is closed.
    void run_until_closed(BoundClient& client) {
        test_loop.run_until([&] { return client.step(1'000), !client.is_open; }, false);
    }
};

}  // namespace cressledge::testing
