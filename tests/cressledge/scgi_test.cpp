// Stories of the operator's set-up: small SCGI clients and servers of our own, on loopback.
#include <sys/socket.h>
#include <unistd.h>

#include "support.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace story;

struct Office {
    World w;
    Folder folder;
    Standing server{w.loop}, spare{w.loop};
    std::unique_ptr<upstream::Gateway> gateway;
    config::Operator o;

    explicit Office(const std::string& protocol = "scgi", Span whole = Span(5'000'000)) {
        o.scgi = o.http = "127.0.0.1:0";
        o.inventory = inventory(protocol);
        o.whole = whole;
        o.stop = Span(900'000);
        o.settings = settings();
        gateway = std::make_unique<upstream::Gateway>(w.loop, w.deadlines, w.loop, o, 7);
    }
    std::string inventory(const std::string& protocol) {
        return folder.write("servers.csv", "name,address,protocol,group\nup," + server.address() + "," +
                                               protocol + ",maps\n");
    }
    static std::string scgi(const std::string& path, const std::string& body, const std::string& more = "") {
        std::string head = bytes("CONTENT_LENGTH\0");
        head += std::to_string(body.size()) + '\0' +
                std::string(
                    "SCGI\0"
                    "1\0",
                    7);
        head += bytes("REQUEST_METHOD\0POST\0REQUEST_URI\0") + path + '\0' + more;
        return std::to_string(head.size()) + ':' + head + ',' + body;
    }
    std::unique_ptr<Peer> client() { return dial(w, gateway->scgi_port()); }
    std::unique_ptr<Peer> ask(const std::string& bytes) {
        auto c = client();
        c->send(bytes);
        return c;
    }
    std::string status(Peer& c) {
        w.until([&] { return c.ended; });
        return c.got.substr(0, c.got.find("\r\n"));
    }
};

TEST_CASE("an old client that knows no platform fields reaches a server over SCGI, byte for byte") {
    Office o;
    const std::string body = bytes("\0,1:\r\n"), result = bytes("\r\n\r\n\0x");
    const std::string request = Office::scgi("/maps/trail-sheet?x=1", body);
    auto c = o.client();
    for (const char byte : request) {  // however it is split
        c->send(std::string(1, byte));
        o.w.loop.turn(false);
    }
    o.w.until([&] { return o.server.has("," + body); });
    Peer& up = o.server.last();
    CHECK(up.has(bytes("REQUEST_URI\0/v1/trail-sheet\0")));
    CHECK(up.has("HTTP_TRACE_ID"));
    up.send("Status: 200 OK\r\nContent-Length: 6\r\n");
    up.send("\r\n" + result);
    CHECK(o.status(*c) == "Status: 200 OK");
    CHECK(c->has("Content-Length: 6\r\n\r\n" + result));
}

TEST_CASE("an SCGI client reaches a new server that speaks HTTP") {
    Office o("http");
    auto c = o.ask(Office::scgi("/route-profile", "x"));
    o.w.until([&] { return o.server.has("\r\n\r\nx"); });
    CHECK(o.server.last().got.rfind("POST /v1/route-profile HTTP/1.1\r\n", 0) == 0);
    o.server.last().send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nmap\r\n0\r\n\r\n");
    CHECK(o.status(*c) == "Status: 200 OK");
    CHECK(c->has("\r\n\r\nmap"));
}

TEST_CASE("malformed and oversized headers are refused at once, and others keep moving") {
    Office o;
    auto stalled = o.ask("70:CONTENT_LENGTH");  // says no more, and is not waited for
    const std::string good = Office::scgi("/trail-sheet", "");
    const auto net = [](const std::string& block, char end = ',') {
        return std::to_string(block.size()) + ':' + block + end;
    };
    const std::string start = bytes(
        "CONTENT_LENGTH\0"
        "0\0SCGI\0"
        "1\0");
    const std::string bads[] = {
        "x",
        ":",
        "012:",
        "9000:",
        "24:SCGI",
        net(start, ';'),
        net(bytes("CONTENT_LENGTH\0"
                  "0\0")),  // no SCGI
        net(bytes("CONTENT_LENGTH\0"
                  "x\0SCGI\0"
                  "1\0")),
        net(bytes("CONTENT_LENGTH\0"
                  "0\0SCGI\0"
                  "2\0")),
        net(start + bytes("A\0b\0A\0c\0")),  // a name that comes twice
        net(start + bytes("A\0")),  // no value
        net(start + bytes("\0b\0")),  // no name
        net(start + "A"),  // not ended
    };
    for (const std::string& bad : bads) {
        INFO(bad);
        auto c = o.ask(bad);
        CHECK(o.status(*c) == "Status: 400 Bad Request");
    }
    auto large = o.ask(Office::scgi("/trail-sheet", std::string(2049, 'x')));
    CHECK(o.status(*large) == "Status: 413 Payload Too Large");
    auto lost = o.ask(Office::scgi("/no-such-class", ""));
    CHECK(o.status(*lost) == "Status: 404 Not Found");
    auto wrong = o.ask(Office::scgi("/trail-sheet", "", bytes("HTTP_TRACE_ID\0zz\0")));
    CHECK(o.status(*wrong) == "Status: 400 Bad Request");
    CHECK(stalled->got.empty());
    auto c = o.ask(good);
    o.w.until([&] { return o.server.peers.size() == 1; });
}

TEST_CASE("a truncated header is refused when its client ends it, or by an absolute deadline") {
    Office o("scgi", Span(150'000));
    auto silent = o.client();
    auto cut = o.ask(Office::scgi("/trail-sheet", "body").substr(0, 40));
    CHECK(o.status(*cut) == "Status: 400 Bad Request");
    CHECK(o.status(*silent) == "Status: 400 Bad Request");
    auto half = o.ask("70:CONT");
    half->stream->finish();
    CHECK(o.status(*half) == "Status: 400 Bad Request");
    CHECK(o.gateway->server().counts().read == 0);
}

TEST_CASE("a reset after sending proves nothing: the write fails, and no other server is tried") {
    Office o;
    o.folder.write("servers.csv", "name,address,protocol,group\nup," + o.server.address() +
                                      ",scgi,maps\nspare," + o.spare.address() + ",scgi,maps\n");
    o.gateway->reload();
    auto c = o.ask(Office::scgi("/map-order", "pay"));
    const auto both = [&] { return o.server.peers.size() + o.spare.peers.size(); };
    o.w.until([&] { return o.server.has(",pay") || o.spare.has(",pay"); });
    (o.server.peers.empty() ? o.spare : o.server).last().close();
    CHECK(o.status(*c) == "Status: 502 Bad Gateway");
    CHECK(both() == 1);
}

namespace {

// A server that acts by plain system calls: it can break a connection off by a reset, which a Peer cannot.
struct RawServer {
    int listening = net::listening_socket(at(0)), fd = -1;
    std::string got;
    std::size_t calls = 0;
    ~RawServer() { ::close(listening), ::close(fd); }
    bool has(const std::string& part) {
        char b[4096];
        if (fd < 0 && (fd = ::accept4(listening, nullptr, nullptr, SOCK_NONBLOCK)) >= 0) ++calls;
        for (ssize_t n = 0; fd >= 0 && (n = ::recv(fd, b, sizeof b, 0)) > 0;) got.append(b, static_cast<std::size_t>(n));
        return got.find(part) != std::string::npos;
    }
    void send(const std::string& b) const { REQUIRE(::send(fd, b.data(), b.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(b.size())); }
    void reset() {
        const linger now{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::close(std::exchange(fd, -1));
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(net::port_of(listening)); }
};

}  // namespace

TEST_CASE("an answer up to the connection's end that a reset cuts off is no answer, and what is unsafe is never called again") {
    for (const std::string& protocol : {std::string("scgi"), std::string("http")}) {
        Office o;
        RawServer raw;
        const bool scgi = protocol == "scgi";
        o.folder.write("servers.csv", "name,address,protocol,group\nup," + raw.address() + ',' + protocol + ",maps\n");
        o.gateway->reload();
        auto c = o.ask(Office::scgi("/map-order", "pay"));
        o.w.until([&] { return raw.has(scgi ? ",pay" : "\r\n\r\npay"); }, false);
        raw.send(std::string(scgi ? "Status: 200 OK" : "HTTP/1.1 200 OK") + "\r\n\r\nhalf a rec");
        // The program has read the half before the reset comes: nothing but the reset tells that it is one.
        for (int i = 0; i < 5; ++i) o.w.loop.turn(false);
        raw.reset();
        CHECK(o.status(*c) == "Status: 502 Bad Gateway");
        CHECK(c->got.find("half") == std::string::npos);
        CHECK_FALSE(raw.has("never"));
        CHECK(raw.calls == 1);
        CHECK(o.gateway->server().counts().failed == 1);
        // The same bytes, ended by the server itself, are an answer.
        auto d = o.ask(Office::scgi("/map-order", "pay"));
        raw.got.clear();
        o.w.until([&] { return raw.has(scgi ? ",pay" : "\r\n\r\npay"); }, false);
        raw.send(std::string(scgi ? "Status: 200 OK" : "HTTP/1.1 200 OK") + "\r\n\r\nhalf a rec");
        ::close(std::exchange(raw.fd, -1));
        CHECK(o.status(*d) == "Status: 200 OK");
        CHECK(d->has("half a rec"));
    }
}

TEST_CASE("a refused connection proves that nothing ran: the next server is called") {
    Office o;
    o.folder.write("servers.csv", "name,address,protocol,group\nup," + o.server.address() +
                                      ",scgi,maps\nspare," + o.spare.address() + ",scgi,maps\n");
    o.gateway->reload();
    o.server.listener->close();
    for (int i = 0; i < 2; ++i) {  // whichever is first in turn
        const std::size_t before = o.spare.peers.size();
        auto c = o.ask(Office::scgi("/map-order", "pay"));
        o.w.until([&] { return o.spare.peers.size() > before && o.spare.has(",pay"); });
        o.spare.last().send("Status: 200 OK\r\n\r\nreceipt");
        o.spare.last().stream->finish();
        CHECK(o.status(*c) == "Status: 200 OK");
    }
    o.spare.listener->close();
    auto c = o.ask(Office::scgi("/map-order", "pay"));
    CHECK(o.status(*c) == "Status: 502 Bad Gateway");
}

TEST_CASE("a server's answer that is cut short or says failure is a failure") {
    for (const std::string& answer :
         {std::string("Status: 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
          std::string("Status: 500 No\r\n\r\n"), std::string("nonsense\r\n\r\n")}) {
        Office o;
        auto c = o.ask(Office::scgi("/route-profile", "x"));
        o.w.until([&] { return o.server.has(",x"); });
        o.server.last().send(answer);
        o.server.last().stream->finish();
        CHECK(o.status(*c) == "Status: 502 Bad Gateway");
    }
}

TEST_CASE("out of time is told at once as 504, and a client that goes cancels its call") {
    Office o;
    auto late = o.ask(
        Office::scgi("/route-profile", "x",
                     bytes("HTTP_ACCEPTED_AT_MS\0") + std::to_string(wall().count() / 1000 - 1000) + '\0'));
    o.w.until([&] { return o.server.has(",x"); });
    auto c = o.ask(Office::scgi("/trail-sheet", "y"));
    o.w.until([&] { return o.server.peers.size() == 2 && o.server.has(",y"); });
    c->close();
    o.w.until([&] { return o.server.last().ended; });
    CHECK(o.status(*late) == "Status: 504 Gateway Timeout");
    CHECK(o.server.peers[0]->ended);
}

TEST_CASE("refused is 503 with Retry-After, and a drain treats a write over SCGI as one over HTTP") {
    Office o;
    o.gateway->leave();
    // Accepted before the notice, or within its grace, a write may run; the controller says which.
    auto c = o.ask(
        Office::scgi("/map-order", "a",
                     bytes("HTTP_ACCEPTED_AT_MS\0") + std::to_string(wall().count() / 1000 - 11'500) + '\0'));
    CHECK(o.status(*c) == "Status: 503 Service Unavailable");
    CHECK(c->has("\r\nRetry-After: 1\r\n"));
    auto h = dial(o.w, o.gateway->http_port());
    h->send("POST /v1/map-order HTTP/1.1\r\nAccepted-At-Ms: " +
            std::to_string(wall().count() / 1000 - 11'500) + "\r\nContent-Length: 1\r\n\r\na");
    o.w.until([&] { return h->has("\r\n\r\n"); });
    CHECK(h->got.rfind("HTTP/1.1 503 ", 0) == 0);
    CHECK(o.server.peers.empty());
}

TEST_CASE("a bad inventory leaves the old one in force") {
    Office o;
    o.folder.write("servers.csv", "name,address,protocol,group\nup,nowhere,scgi,maps\n");
    o.gateway->reload();
    auto c = o.ask(Office::scgi("/trail-sheet", "x"));
    o.w.until([&] { return o.server.has(",x"); });
}

TEST_CASE("over SCGI too, an open request's id is refused to another, and silent clients make room") {
    Office o;
    const std::string id = bytes(
        "HTTP_TRACE_ID\0"
        "00000000000000aa\0");
    auto c = o.ask(Office::scgi("/trail-sheet", "x", id));
    o.w.until([&] { return o.server.has(",x"); });
    auto thief = o.ask(Office::scgi("/trail-sheet", "y", id));
    CHECK(o.status(*thief) == "Status: 400 Bad Request");
    std::vector<std::unique_ptr<Peer>> silent;
    for (std::size_t i = 0; i < o.o.admission.connections; ++i) silent.push_back(o.client());
    o.w.until([&] { return silent[0]->ended; });
    CHECK_FALSE(c->ended);
    auto late = o.ask(Office::scgi("/healthz", ""));
    CHECK(o.status(*late) == "Status: 200 OK");
    o.server.last().send("Status: 200 OK\r\nContent-Length: 1\r\n\r\nz");
    CHECK(o.status(*c) == "Status: 200 OK");
}

}  // namespace
