#include "platform/records.hpp"

#include <spdlog/spdlog.h>

#include <vector>

namespace cressledge::platform {
namespace {

using curlewreel::Outcome;
constexpr std::size_t most_reply = 64U << 10U;

}  // namespace

RecordsClient::RecordsClient(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address,
                             core::Server& server)
    : Link(loop, deadlines, address), server_(server), lines_(most_reply) {}

void RecordsClient::call(core::RequestNo no, std::string_view name, std::string_view body,
                         core::Time deadline) {
    Op& op = ops_[no] = {std::string(name), std::string(body), deadline, false};
    names_[op.name] = no;
    if (up_) return send(op);
    dial();
    if (stream_ == nullptr) fail(no, Outcome::connect_failed);  // no descriptor: nothing was sent
}

void RecordsClient::send(Op& op) {
    const auto left = (op.deadline - loop_.unix_now()).count();
    const std::string ms = std::to_string(std::max<std::int64_t>(1, (left + 999) / 1000));
    std::string line = "OP " + op.name + ' ' + ms + ' ' + std::to_string(op.body.size()) + "\r\n";
    op.sent = true;
    if (stream_->write(line.append(op.body).append("\r\n"))) return;
    spdlog::warn("records: link given up, it reads nothing");
    hang_up();
    drop_all(false);
}

// Its outcome is told on the next turn: the Controller's actions come first, in their order.
void RecordsClient::fail(core::RequestNo no, Outcome outcome) {
    if (const auto it = ops_.find(no); it != ops_.end()) it->second.sent = true;  // no link takes it up again
    deadlines_.at(core::Time(0), [this, no, outcome] {
        const auto it = ops_.find(no);
        if (it == ops_.end()) return;
        names_.erase(it->second.name);
        ops_.erase(it);
        server_.called(no, outcome, {});
    });
}

void RecordsClient::abandon(core::RequestNo no) {
    const auto it = ops_.find(no);
    if (it == ops_.end()) return;
    const std::string name = it->second.name;
    const bool sent = it->second.sent;
    names_.erase(name);
    ops_.erase(it);
    if (sent && up_ && !stream_->write("UNOP " + name + "\r\n")) {
        hang_up();
        drop_all(false);
    }
}

void RecordsClient::on_open() {
    up_ = true;
    lines_.clear();
    settled();
    std::vector<core::RequestNo> waiting;
    for (const auto& [no, op] : ops_)
        if (!op.sent) waiting.push_back(no);
    for (const core::RequestNo no : waiting)
        if (const auto it = ops_.find(no); it != ops_.end() && up_) send(it->second);
}

void RecordsClient::drop_all(bool refused) {
    up_ = false;
    std::vector<std::pair<core::RequestNo, bool>> all;
    for (const auto& [no, op] : ops_) all.emplace_back(no, op.sent);
    if (!all.empty()) spdlog::warn("records: {} under {} calls", refused ? "refused" : "broken", all.size());
    // A refused connection proves that no call ran; one that breaks under a call proves nothing.
    for (const auto& [no, sent] : all) fail(no, sent ? Outcome::reset : Outcome::connect_failed);
}

void RecordsClient::on_end(bool refused) {
    stream_ = nullptr;
    drop_all(refused);
}

void RecordsClient::on_bytes(std::string_view bytes) {
    lines_.add(bytes);
    std::vector<std::string_view> words;
    std::string_view body;
    const auto counted = [](const auto& w) { return w.size() == 3 && w[1] == "DONE"; };
    while (stream_ != nullptr) {
        const Lines::Got got = lines_.next(words, body, counted);
        if (got == Lines::Got::nothing) return;
        if (got == Lines::Got::broken) {
            spdlog::warn("records: link given up, what it says cannot be read");
            hang_up();
            return drop_all(false);
        }
        if (words.size() < 2) continue;
        const auto found = names_.find(std::string(words[0]));
        if (found == names_.end()) continue;  // given up meanwhile
        const core::RequestNo no = found->second;
        const std::string_view how = words[1];
        const Outcome outcome = how == "DONE"   ? Outcome::ok
                                : how == "WAIT" ? Outcome::full
                                : how == "EMPTY"
                                    ? Outcome::full  // the call never ran, as little as with WAIT
                                : how == "PAST" ? Outcome::timeout
                                                : Outcome::error;
        const std::string reply(body);
        ops_.erase(no);
        names_.erase(found);
        server_.called(no, outcome, reply);
    }
}

}  // namespace cressledge::platform
