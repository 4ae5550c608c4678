#include "platform/engine.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace cressledge::platform {
namespace {

// The engine may have lost what it was sent in the last 50 ms before a break. How long a command that it has, as
// likely as not, is given to show itself by a notice, and how old one is that was not lost for certain.
constexpr core::Span recent{250'000}, shown_within{100'000}, surely_there{2'000'000};
constexpr std::size_t most_body = 64U << 10U;  // results hold 4 KiB; calls state no bound of their own

template <class T>
bool number(std::string_view text, T& to) {
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), to);
    return !text.empty() && error == std::errc() && stop == text.data() + text.size();
}
bool counted(const std::vector<std::string_view>& words) { return words[0] == "DONE" || words[0] == "NEED"; }

}  // namespace

Engine::Engine(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address, core::Server& server,
               admission::Descriptors& descriptors, std::vector<std::string> gauges)
    : Link(loop, deadlines, address, descriptors), server_(server), gauges_(std::move(gauges)), lines_(most_body) {}

// ---- commands ----

void Engine::send(std::string_view bytes) {
    if (stream_ != nullptr && !stream_->write(bytes)) lose("it reads nothing");
}

// A command stays with its job until a notice proves it: guards against one that was lost with a link.
void Engine::command(core::RequestNo no, std::string bytes, bool feeds) {
    const auto it = jobs_.find(no);
    if (it == jobs_.end()) return;
    Job& job = it->second;
    job.unproved = std::move(bytes);
    job.order = ++order_;
    job.sent = in_step_ ? loop_.unix_now() : core::Time(0);
    job.feeds = feeds;
    job.doubtful = false;
    if (in_step_) send(job.unproved);
}

void Engine::run(const core::Work& work) {
    const std::string name(work.name);
    Job& job = jobs_[work.no];
    job.name = name;
    names_[name] = work.no;
    std::string line = "RUN " + name + ' ' + std::string(work.kind) + ' ' + std::to_string(work.body.size());
    line.append("\r\n").append(work.body).append("\r\n");
    command(work.no, std::move(line));
}
void Engine::resume(core::RequestNo no) {
    if (const auto it = jobs_.find(no); it != jobs_.end()) command(no, "RESUME " + it->second.name + "\r\n");
}
void Engine::feed(core::RequestNo no, std::string_view reply) {
    const auto it = jobs_.find(no);
    if (it == jobs_.end()) return;
    std::string line = "FEED " + it->second.name + ' ' + std::to_string(reply.size()) + "\r\n";
    command(no, line.append(reply).append("\r\n"), true);
}
void Engine::skip(core::RequestNo no, std::uint64_t notice) {
    if (const auto it = jobs_.find(no); it != jobs_.end())
        command(no, "SKIP " + it->second.name + ' ' + std::to_string(notice) + "\r\n");
}
void Engine::halt(core::RequestNo no) {
    const auto it = jobs_.find(no);
    if (it == jobs_.end()) return;
    it->second.halting = true;
    if (in_step_) send("HALT " + it->second.name + "\r\n");
}
bool Engine::sample(std::uint64_t tag) {
    if (!in_step_) return false;
    send("STAT " + std::to_string(tag) + "\r\n");
    return in_step_;
}
bool Engine::test(std::uint64_t tag) {
    if (!in_step_) return false;
    send("TEST " + std::to_string(tag) + "\r\n");
    return in_step_;
}
void Engine::release(core::RequestNo no) {
    const auto it = jobs_.find(no);
    if (it == jobs_.end()) return;
    if (const auto name = names_.find(it->second.name); name != names_.end() && name->second == no)
        names_.erase(name);
    jobs_.erase(it);
}

// ---- the link ----

void Engine::move(const net::Address& address) {
    if (address == address_) return;
    address_ = address;
    out_of_step();
    hang_up();  // a dial that is open as well
    settled();
    connect();
}

void Engine::on_open() {
    lines_.clear();
    in_step_ = false;
    ++links_;
    send("ATTACH " + std::to_string(last_notice_) + "\r\n");
}

void Engine::on_end(bool refused) {
    stream_ = nullptr;
    if (in_step_ || !refused) spdlog::warn("engine: link lost after notice {}", last_notice_);
    out_of_step();
    dial_again();
}

void Engine::lose(const char* why) {
    spdlog::warn("engine: link given up, {}", why);
    out_of_step();
    hang_up();
    dial_again();
}

void Engine::in_step() {
    in_step_ = true;
    settled();
    const core::Time now = loop_.unix_now();
    std::vector<Job*> open;
    for (auto& [no, job] : jobs_) {
        // A reply that went over just before the break has likely been taken: sent again, it might meet the next
        // call of its run and pass for the reply to that. It waits for a notice to show it; so do old commands.
        const bool there = job.sent > core::Time(0) && (job.feeds || lost_ - job.sent > recent);
        if (job.feeds && there && job.halting) job.unproved.clear();  // nobody wants what it would go on to
        job.doubtful = !job.unproved.empty() && there && !job.halting;
        if ((!job.unproved.empty() && !job.doubtful) || job.halting) open.push_back(&job);
    }
    std::sort(open.begin(), open.end(), [](const Job* a, const Job* b) { return a->order < b->order; });
    std::string all;
    for (Job* job : open) {
        all += job->unproved;
        job->sent = now;
        if (job->halting) all += "HALT " + job->name + "\r\n";
    }
    spdlog::info("engine: link up, last notice {}, {} commands sent again", last_notice_, open.size());
    if (!all.empty()) send(all);
    deadlines_.at(now + shown_within, [this, link = links_] {
        if (in_step_ && link == links_) resolve();
    });
}

// What no notice has shown to be there by now is sent again.
void Engine::resolve() {
    const core::Time now = loop_.unix_now();
    std::string all;
    for (auto& [no, job] : jobs_) {
        if (!job.doubtful) continue;
        job.doubtful = false;
        if (job.unproved.empty() || (job.feeds && lost_ - job.sent > surely_there)) continue;
        all += job.unproved;
        job.sent = now;
    }
    if (!all.empty()) send(all);
}

void Engine::out_of_step() {
    if (std::exchange(in_step_, false)) lost_ = loop_.unix_now();
}

void Engine::on_bytes(std::string_view bytes) {
    lines_.add(bytes);
    std::vector<std::string_view> words;
    std::string_view body;
    while (stream_ != nullptr) {
        const Lines::Got got = lines_.next(words, body, counted);
        if (got == Lines::Got::nothing) return;
        if (got == Lines::Got::broken) return lose("what it says cannot be read");
        if (!words.empty()) handle(words, body);
    }
}

void Engine::handle(const std::vector<std::string_view>& w, std::string_view body) {
    const std::string_view what = w[0];
    std::uint64_t n = 0;
    if (what == "DONE" || what == "NEED" || what == "NOTE") {
        if (w.size() < 2 || !number(w[1], n)) return lose("a notice without a number");
        if (n <= last_notice_) return;  // told before: a new link repeats what the old one had brought
        last_notice_ = n;
        if (what == "NOTE") return;
        const auto found = w.size() < 4 ? names_.end() : names_.find(std::string(w[2]));
        if (found == names_.end()) return;
        const core::RequestNo no = found->second;
        Job& job = jobs_.at(no);
        job.unproved.clear();
        job.doubtful = false;
        if (what == "NEED") return server_.needs(no, n, std::string(body));
        job.halting = false;
        const core::End end = w[3] == "PASS"     ? core::End::pass
                              : w[3] == "KILLED" ? core::End::killed
                              : w[3] == "NOOP"   ? core::End::noop
                                                 : core::End::fail;
        return server_.ended(no, end, body);
    }
    if (what == "STATS" && w.size() >= 2) {
        if (!in_step_ && w[1] == "s" + std::to_string(links_)) return in_step();
        curlewreel::Gauges g;
        for (std::size_t i = 0; i < gauges_.size() && i + 2 < w.size(); ++i) {
            double v = 0.0;
            if (!number(w[i + 2], v) || !std::isfinite(v)) continue;
            if (gauges_[i] == "cpu_busy") g.cpu = v;
            if (gauges_[i] == "runnable") g.runnable = v;
            if (gauges_[i] == "mem_used") g.memory = v;
            if (gauges_[i] == "sockets") g.connections = v;
        }
        if (number(w[1], n)) server_.sampled(n, g);
    } else if (what == "TESTED" && w.size() >= 3) {
        if (number(w[1], n)) server_.tested(n, w[2] == "PASS");
    } else if (what == "HELLO" && w.size() >= 3) {
        // Its answer comes after all notices that were missed: until then nothing is sent that they may overtake.
        send("STAT s" + std::to_string(links_) + "\r\n");
        double ms = 0.0;
        if (!number(w[2], ms) || !(ms >= 0.0)) ms = 0.0;
        if (server_.started()) return;
        spdlog::info("engine: up, {}, {} ms ago", w[1], ms);
        // A cold engine has warmed since its start; the age of one that came up loaded tells nothing.
        const core::Span age(std::llround(std::min(ms, 1e9) * 1000.0));
        const curlewreel::Settings& s = server_.settings();
        server_.start(loop_.unix_now() - (s.cold ? std::min(age, s.cold_for) : core::Span(0)));
    } else if (what == "NO" && w.size() >= 3) {
        std::uint64_t passed = 0;
        if (quiet_.may(loop_.unix_now(), passed))
            spdlog::warn("engine: not carried out: {} {}; {} more like it", w[1], w[2], passed);
        const auto found = names_.find(std::string(w[2]));
        // Guards against an answer owed for a run that never began.
        if (found != names_.end() && w[1] == "RUN") server_.ended(found->second, core::End::noop, {});
    }
}

}  // namespace cressledge::platform
