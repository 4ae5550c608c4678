#include "platform/records.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "platform/link.hpp"

namespace cressledge::platform {
namespace {

using curlewreel::Outcome;
constexpr std::size_t most_reply = 64U << 10U;
constexpr std::size_t most_served = 64;  // calls of one connection
// Guards against a connection that the service has closed or forgotten while it stood idle: a call that is lost
// on it proves nothing, and a write would have failed for good.
constexpr core::Span trusted{100'000};

Outcome outcome_of(std::string_view word) {
    if (word == "DONE") return Outcome::ok;
    if (word == "WAIT" || word == "EMPTY") return Outcome::full;  // either way the call never ran
    if (word == "PAST") return Outcome::timeout;
    if (word == "ERROR") return Outcome::error;
    return Outcome::moot;  // no reply at all
}

}  // namespace

class RecordsClient::Wire final : public net::Stream::Owner {
public:
    explicit Wire(RecordsClient& of) : client(of), lines(most_reply) {}
    ~Wire() override {
        client.deadlines_.cancel(rest);
        if (stream != nullptr) stream->close();
    }
    void on_open() override {
        open = true;
        client.send(*this);
    }
    void on_end(bool refused) override {
        stream = nullptr;
        client.lose(*this, refused);
    }
    void on_bytes(std::string_view bytes) override {
        lines.add(bytes);
        std::vector<std::string_view> words;
        std::string_view body;
        const auto counted = [](const auto& w) { return w.size() == 3 && w[1] == "DONE"; };
        while (stream != nullptr) {
            const Lines::Got got = lines.next(words, body, counted);
            if (got == Lines::Got::nothing) return;
            const Outcome outcome = words.size() < 2 ? Outcome::moot : outcome_of(words[1]);
            if (got == Lines::Got::broken || outcome == Outcome::moot ||
                words.size() != (outcome == Outcome::ok ? 3U : 2U))
                return spoilt();
            const auto it = client.ops_.find(op);
            if (op == 0 || it == client.ops_.end() || it->second.name != words[0]) {
                surplus = true;  // a second copy, or a reply for nobody: passed over
                if (op == 0) return client.bury(*this);
                continue;
            }
            client.settle(*this, outcome, std::string(body));
        }
    }
    // Nothing that comes after it can be told apart from its rest.
    void spoilt() {
        std::uint64_t passed = 0;
        if (client.quiet_.may(client.loop_.unix_now(), passed))
            spdlog::warn("records: a reply that cannot be read, its connection closed; {} more like it",
                         passed);
        client.lose(*this, false);
    }

    RecordsClient& client;
    core::SlotNo no = 0;
    net::Stream* stream = nullptr;
    Lines lines;
    core::RequestNo op = 0;
    std::vector<std::string> served;  // a second copy of a reply may still be under way for these
    core::Deadlines::Handle rest = 0;
    bool open = false, old = false, surplus = false, over = false;
};

RecordsClient::RecordsClient(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address,
                             std::size_t connections, core::Server& server,
                             admission::Descriptors& descriptors)
    : loop_(loop), deadlines_(deadlines), address_(address), most_(connections), server_(server),
      descriptors_(descriptors) {}
RecordsClient::~RecordsClient() = default;

void RecordsClient::call(core::RequestNo no, std::string_view name, std::string_view body,
                         core::Time deadline) {
    Op& op = ops_[no] = {std::string(name), std::string(body), deadline, ++serial_, 0, false, false};
    assign(no, op);
}

void RecordsClient::assign(core::RequestNo no, Op& op) {
    // The connection used last is the least likely to have been closed. One that served this very request may
    // still bring a second copy of that reply, which would pass for the reply to this call.
    for (std::size_t i = idle_.size(); i > 0; --i) {
        Wire& wire = *wires_.find(idle_[i - 1]);
        if (std::find(wire.served.begin(), wire.served.end(), op.name) != wire.served.end()) continue;
        idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i - 1));
        deadlines_.cancel(wire.rest);
        put(wire, no, op);
        return send(wire);
    }
    if (wires_.size() < most_) return dial(no, op);
    if (!idle_.empty()) {
        bury(*wires_.find(idle_.front()));
        return dial(no, op);
    }
    waiting_.push_back(no);  // its deadline goes on
}

void RecordsClient::put(Wire& wire, core::RequestNo no, Op& op) {
    wire.op = no;
    op.wire = wire.no;
}

void RecordsClient::dial(core::RequestNo no, Op& op) {
    auto made = std::make_unique<Wire>(*this);
    Wire& wire = *made;
    wire.no = wires_.add(std::move(made));
    put(wire, no, op);
    const core::Time now = loop_.unix_now();
    int bad = 0;
    if (auto lease = descriptors_.take(now, admission::Purpose::records))
        wire.stream = net::Stream::dial(loop_.uv(), address_, wire, std::move(lease), &bad);
    if (bad == UV_EMFILE || bad == UV_ENFILE) descriptors_.refused_by_system(now);
    if (wire.stream == nullptr) lose(wire, true);  // no descriptor: nothing was sent
}

void RecordsClient::send(Wire& wire) {
    const auto it = ops_.find(wire.op);
    if (it == ops_.end()) return bury(wire);
    Op& op = it->second;
    const auto left = (op.deadline - loop_.unix_now()).count();
    const std::string ms = std::to_string(std::max<std::int64_t>(1, (left + 999) / 1000));
    std::string line = "OP " + op.name + ' ' + ms + ' ' + std::to_string(op.body.size()) + "\r\n";
    op.sent = true;
    wire.served.push_back(op.name);
    if (!wire.stream->write(line.append(op.body).append("\r\n"))) lose(wire, false);
}

void RecordsClient::settle(Wire& wire, Outcome outcome, std::string_view reply) {
    const core::RequestNo no = std::exchange(wire.op, 0);
    ops_.erase(no);
    if (wire.old || wire.surplus || wire.served.size() >= most_served) {
        bury(wire);
    } else {
        idle_.push_back(wire.no);
        wire.rest = deadlines_.at(loop_.unix_now() + trusted, [this, w = wire.no] {
            if (Wire* idle = wires_.find(w); idle != nullptr) idle->rest = 0, bury(*idle);
        });
    }
    server_.called(no, outcome, reply);
    next();
}

// A refused connection proves that the call never ran; one that breaks under it proves nothing.
void RecordsClient::lose(Wire& wire, bool refused) {
    const core::RequestNo no = std::exchange(wire.op, 0);
    bury(wire);
    const auto it = ops_.find(no);
    if (it == ops_.end()) return;
    std::uint64_t passed = 0;
    if (quiet_.may(loop_.unix_now(), passed))
        spdlog::warn("records: {} under a call; {} more like it", refused ? "refused" : "broken", passed);
    fail(no, it->second.sent ? Outcome::reset : Outcome::connect_failed);
}

// Its outcome is told on the next turn: the Controller's actions come first, in their order.
void RecordsClient::fail(core::RequestNo no, Outcome outcome) {
    Op& op = ops_.at(no);
    op.wire = 0;
    op.failing = true;
    deadlines_.at(core::Time(0), [this, no, outcome, serial = op.serial] {
        const auto it = ops_.find(no);
        if (it == ops_.end() || it->second.serial != serial) return;  // given up meanwhile
        ops_.erase(it);
        server_.called(no, outcome, {});
    });
}

// Closing the connection gives the call up, and nothing that still comes for it can be taken for another's.
void RecordsClient::abandon(core::RequestNo no) {
    const auto it = ops_.find(no);
    if (it == ops_.end()) return;
    Wire* wire = wires_.find(it->second.wire);
    ops_.erase(it);
    if (wire == nullptr) return;
    wire->op = 0;
    bury(*wire);
}

void RecordsClient::move(const net::Address& address) {
    if (address == address_) return;
    address_ = address;
    while (!idle_.empty()) bury(*wires_.find(idle_.back()));
    for (const core::SlotNo w : wires_.numbers()) {
        Wire& wire = *wires_.find(w);
        wire.old = true;
        if (wire.open || wire.over) continue;
        const core::RequestNo no = std::exchange(wire.op, 0);  // its dial is open: nothing has been sent
        bury(wire);
        if (const auto it = ops_.find(no); it != ops_.end()) dial(no, it->second);
    }
}

void RecordsClient::bury(Wire& wire) {
    deadlines_.cancel(wire.rest);
    if (const auto at = std::find(idle_.begin(), idle_.end(), wire.no); at != idle_.end()) idle_.erase(at);
    if (wire.stream != nullptr) std::exchange(wire.stream, nullptr)->close();
    if (std::exchange(wire.over, true)) return;
    // Its own code may still be on the stack: the slot is freed on the next turn.
    deadlines_.at(core::Time(0), [this, no = wire.no] {
        wires_.erase(no);
        next();
    });
}

void RecordsClient::next() {
    while (!waiting_.empty() && (!idle_.empty() || wires_.size() < most_)) {
        const core::RequestNo no = waiting_.front();
        waiting_.pop_front();
        if (const auto it = ops_.find(no); it != ops_.end() && it->second.wire == 0 && !it->second.failing)
            assign(no, it->second);
    }
}

}  // namespace cressledge::platform
