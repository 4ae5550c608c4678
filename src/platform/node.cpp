#include "platform/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>

#include "front/http/session.hpp"

namespace cressledge::platform {
namespace {

// Before the stop: time for callers to read their answers, and for what crosses a close to be sent elsewhere.
constexpr core::Span close_before{500'000}, quit_before{100'000}, settle_every{10'000};

net::Address address(const char* field, const std::string& text) {
    const auto a = net::Address::parse(text);
    if (!a) throw config::Invalid(std::string(field) + ": not an address: " + text);
    return *a;
}
front::Front::Limits limits(std::size_t sockets) {
    front::Front::Limits l;
    l.connections = sockets * 3 / 4;  // callers use half; the rest is for our own links and closing ones
    return l;
}

}  // namespace

Node::Node(net::Loop& loop, core::Deadlines& deadlines, const config::Node& c)
    : loop_(loop), deadlines_(deadlines), stop_(c.stop), server_(c.settings, c.seed, loop, deadlines),
      front_(loop, deadlines, server_, address("listen", c.listen), limits(c.sockets),
             [](front::Front& f) { return std::make_unique<front::http::HttpSession>(f); }),
      engine_(loop, deadlines, address("engine", c.engine), server_, c.gauges),
      records_(loop, deadlines, address("records", c.records), server_),
      directory_(loop, deadlines, address("lookup", c.lookup), c.name) {
    server_.attach(engine_, records_, *this);
}

void Node::start() {
    loop_.on_signal(SIGTERM, [this] { leave(); });
    loop_.on_signal(SIGINT, [this] { leave(); });
    engine_.connect();
    directory_.report(true);
    spdlog::info("serving");
}

void Node::leave() {
    if (server_.draining()) return;
    const core::Time now = loop_.unix_now(), stop = now + stop_;
    spdlog::info("notice to leave: {} requests unanswered, stop in {} ms", server_.unanswered(),
                 stop_.count() / 1000);
    server_.drain(stop);
    directory_.report(false);
    deadlines_.at(std::max(now, stop - close_before), [this] { last_moments(); });
}

void Node::last_moments() {
    front_.leave();
    settle();
}

void Node::settle() {
    const core::Time stop = server_.stop_at();
    if (front_.empty() || loop_.unix_now() >= stop - quit_before) {
        const auto& n = server_.counts();
        spdlog::info("left: read {}, served {}, refused {}, failed {}, gone {}, unanswered {}", n.read, n.served,
                     n.refused, n.failed, n.gone, server_.unanswered());
        if (server_.unanswered() == 0) return loop_.stop();
    }
    deadlines_.at(loop_.unix_now() + settle_every, [this] { settle(); });
}

}  // namespace cressledge::platform
