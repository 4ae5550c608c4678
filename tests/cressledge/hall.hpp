// A front before a core whose runs the test ends, and clients that act by plain system calls while the loop stands still:
// with them a crossing is forced, not hoped for.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>

#include "front/doors.hpp"
#include "front/http/session.hpp"
#include "front/scgi/session.hpp"
#include "support.hpp"

namespace story {

// A client that acts while the loop does not turn. The system completes its connection in the backlog.
class Raw {
public:
    explicit Raw(int port, int receives = 0) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<std::uint16_t>(port));
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        // What it sends is on its way when send() returns: the system must not hold a second small write back.
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (receives > 0) ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receives, sizeof receives);
        refused = ::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0;
    }
    ~Raw() { ::close(fd_); }
    Raw(const Raw&) = delete;
    Raw& operator=(const Raw&) = delete;
    void send(const std::string& b) const { REQUIRE(::send(fd_, b.data(), b.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(b.size())); }
    void try_send(const std::string& b) {  // the system tells of a reset once: here, if this is the first to ask
        if (::send(fd_, b.data(), b.size(), MSG_NOSIGNAL) < 0) reset = reset || errno == ECONNRESET;
    }
    void half_close() const { ::shutdown(fd_, SHUT_WR); }
    void close() { ::close(std::exchange(fd_, -1)); }
    void take() {  // what has come so far
        if (fd_ < 0) return;
        char b[4096];
        ssize_t n = 0;
        while ((n = ::recv(fd_, b, sizeof b, MSG_DONTWAIT)) > 0) got.append(b, static_cast<std::size_t>(n));
        ended = ended || n == 0;
        reset = reset || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    bool over() { return take(), ended || reset; }
    bool has(const std::string& part) { return take(), got.find(part) != std::string::npos; }

    std::string got;
    bool refused = false, ended = false, reset = false;

private:
    int fd_;
};

// Runs everything at once, a repeat excepted: it shares the outcome of the run that it repeats.
struct Runs final : curlewreel::Controller {
    explicit Runs(curlewreel::Settings settings) : s(std::move(settings)) {}
    const curlewreel::Settings s;
    std::optional<curlewreel::Request> last;
    void handle(Time, const curlewreel::Event& e, std::vector<curlewreel::Action>& out) override {
        const auto* r = std::get_if<curlewreel::Request>(&e);
        if (r == nullptr) return;
        last = *r;
        const curlewreel::Class& c = s.classes[r->kind];
        if (r->repeats != 0) return out.emplace_back(curlewreel::Reuse{r->id}), void();
        if (c.effect == curlewreel::Effect::keyed) out.emplace_back(curlewreel::Keep{r->id, c.window - r->age});
        out.emplace_back(curlewreel::Run{r->id});
    }
};

enum class Speaks { http, scgi };
inline constexpr Speaks both[] = {Speaks::http, Speaks::scgi};

// One front before a core whose runs the test ends.
struct Hall : core::Executor, core::Records, core::Surroundings {
    World w;
    const Speaks speaks;
    admission::Plan plan;
    admission::Descriptors descriptors;
    Runs* runs;  // the core has it
    core::Server server;
    front::Porter porter;
    front::Supply supply{7, 24.0};
    front::Doors doors;
    std::vector<core::RequestNo> running;

    static admission::Plan planned(std::uint32_t connections) {
        admission::Needs needs;
        needs.listeners = 1;
        needs.lobby = 4;
        return admission::plan(256, 0, needs, connections);
    }
    // `sends`: bytes that the system takes from the program for each connection before the peer does; 0: its own measure.
    static net::Listening listening(int sends) {
        if (sends == 0) return net::Listening{at(0)};
        const int fd = net::listening_socket(at(0));
        ::setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &sends, sizeof sends);
        return {at(0), fd};
    }
    static admission::Settings admitted(const admission::Plan& plan) {
        admission::Settings s;
        s.connections = plan.connections;
        s.lobby = plan.lobby;
        return s;
    }
    explicit Hall(Speaks wire, front::Front::Limits limits = {}, std::uint32_t connections = 64, Span stop = Span(3'000'000),
                  const curlewreel::Settings& s = settings(), int sends = 0)
        : speaks(wire), plan(planned(connections)), descriptors(plan), runs(new Runs(s)),
          server(s, std::unique_ptr<curlewreel::Controller>(runs), w.loop, w.deadlines),
          porter(w.deadlines, server, descriptors, admitted(plan), 1), doors(w.loop, w.deadlines, server, stop) {
        server.attach(*this, *this, *this);
        server.start(wall());
        doors.add(std::make_unique<front::Front>(
            w.loop, w.deadlines, server, porter, listening(sends), limits, [this](front::Front& f) -> std::unique_ptr<front::Session> {
                if (speaks == Speaks::scgi) return std::make_unique<front::scgi::ScgiSession>(f, supply);
                return std::make_unique<front::http::HttpSession>(f, &supply);
            }));
    }
    void run(const core::Work& work) override { running.push_back(work.no); }
    void halt(core::RequestNo) override {}
    void resume(core::RequestNo) override {}
    void feed(core::RequestNo, std::string_view) override {}
    void skip(core::RequestNo, std::uint64_t) override {}
    bool sample(std::uint64_t) override { return false; }
    bool test(std::uint64_t) override { return false; }
    void release(core::RequestNo) override {}
    void call(core::RequestNo, std::string_view, std::string_view, Time) override {}
    void abandon(core::RequestNo) override {}
    void idle_limit(Span) override {}

    front::Front& front() { return doors.last(); }
    std::uint64_t read() const { return server.counts().read; }
    // `more`: fields by their names on the wire, with their values.
    std::string request(const std::string& kind = "map-order", const std::string& body = "x",
                        const std::vector<std::pair<std::string, std::string>>& more = {}) {
        if (speaks == Speaks::http) {
            std::string text = "POST /v1/" + kind + " HTTP/1.1\r\n";
            for (const auto& [name, value] : more) text += name + ": " + value + "\r\n";
            return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
        std::string head = bytes("CONTENT_LENGTH\0") + std::to_string(body.size()) + '\0';
        head += bytes("SCGI\0\x31\0REQUEST_METHOD\0POST\0REQUEST_URI\0/v1/") + kind + '\0';
        for (const auto& [name, value] : more) {
            head += "HTTP_";
            for (const char c : name) head += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
            head += '\0' + value + '\0';
        }
        return std::to_string(head.size()) + ':' + head + ',' + body;
    }
    // A connection that has been accepted and has nothing in hand: over HTTP one that has been answered before.
    // `receives`: bytes that the system takes for it before it reads.
    std::unique_ptr<Raw> resting(int receives = 0) {
        auto r = std::make_unique<Raw>(front().port(), receives);
        const std::size_t had = connections();
        w.until([&] { return connections() == had + 1; }, true);
        if (speaks == Speaks::scgi) return r;
        r->send("GET /healthz HTTP/1.1\r\n\r\n");
        w.until([&] { return r->has("\r\n\r\n"); });
        r->got.clear();
        return r;
    }
    std::size_t connections() { return porter.gate().open(); }
    void serve_all() {
        for (const core::RequestNo no : std::exchange(running, {})) server.ended(no, core::End::pass, "a whole map");
    }
    void served(Raw& r) {  // one whole answer, then a clean end
        w.until([&] { return r.over(); });
        INFO(r.got);
        CHECK(r.has(" 200 OK\r\n"));
        CHECK(r.has("\r\n\r\na whole map"));
        CHECK_FALSE(r.reset);
        CHECK(r.got.find(" 200 OK", r.got.find(" 200 OK") + 1) == std::string::npos);
    }
    void ended_clean(Raw& r) {
        w.until([&] { return r.over(); });
        CHECK_FALSE(r.reset);
        CHECK(r.got.empty());
    }
};

}  // namespace story
