#include "platform/engine_client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace cressledge::platform {
namespace {

// The engine may have lost what it was sent in the last 50 ms before a break. How long a command that it has, as
// likely as not, is given to show itself by a notice, and how old one is that was not lost for certain.
constexpr base::Duration uncertain_delivery_window{250'000}, confirmation_timeout{100'000},
    certain_delivery_age{2'000'000};
constexpr std::size_t max_body_bytes = 64U << 10U;  // results hold 4 KiB; calls state no bound of their own

template <class T>
bool parse_number(std::string_view text, T& to) {
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), to);
    return !text.empty() && error == std::errc() && stop == text.data() + text.size();
}
bool has_counted_body(const std::vector<std::string_view>& words) {
    return words[0] == "DONE" || words[0] == "NEED";
}

}  // namespace

EngineClient::EngineClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                           request::RequestManager& server,
                           connection_admission::FileDescriptorBudget& descriptors,
                           std::vector<std::string> gauges)
    : ReconnectingLink(loop, timers, address, descriptors),
      request_manager_(server),
      gauge_names_(std::move(gauges)),
      line_reader_(max_body_bytes) {}

// ---- commands ----

void EngineClient::write(std::string_view bytes) {
    if (stream_ != nullptr && !stream_->write(bytes))
        drop_link("it reads nothing");
}

// A command stays with its job until a notice proves it: guards against one that was lost with a link.
void EngineClient::send_command(request::RequestId no, std::string bytes, bool feeds) {
    const auto it = active_runs_.find(no);
    if (it == active_runs_.end())
        return;
    ActiveRun& job = it->second;
    job.unconfirmed_command = std::move(bytes);
    job.sequence = ++last_sequence_;
    job.sent_at = synchronized_ ? loop_.unix_now() : base::Timestamp(0);
    job.is_feed = feeds;
    job.awaiting_confirmation = false;
    if (synchronized_)
        write(job.unconfirmed_command);
}

void EngineClient::run(const request::Work& work) {
    const std::string name(work.external_id);
    ActiveRun& job = active_runs_[work.request_id];
    job.name = name;
    request_ids_by_name_[name] = work.request_id;
    std::string line =
        "RUN " + name + ' ' + std::string(work.class_name) + ' ' + std::to_string(work.body.size());
    line.append("\r\n").append(work.body).append("\r\n");
    send_command(work.request_id, std::move(line));
}
void EngineClient::resume(request::RequestId no) {
    if (const auto it = active_runs_.find(no); it != active_runs_.end())
        send_command(no, "RESUME " + it->second.name + "\r\n");
}
void EngineClient::deliver_call_reply(request::RequestId no, std::string_view reply) {
    const auto it = active_runs_.find(no);
    if (it == active_runs_.end())
        return;
    std::string line = "FEED " + it->second.name + ' ' + std::to_string(reply.size()) + "\r\n";
    send_command(no, line.append(reply).append("\r\n"), true);
}
void EngineClient::skip_call(request::RequestId no, std::uint64_t notice) {
    if (const auto it = active_runs_.find(no); it != active_runs_.end())
        send_command(no, "SKIP " + it->second.name + ' ' + std::to_string(notice) + "\r\n");
}
void EngineClient::suspend(request::RequestId no) {
    const auto it = active_runs_.find(no);
    if (it == active_runs_.end())
        return;
    it->second.halt_requested = true;
    if (synchronized_)
        write("HALT " + it->second.name + "\r\n");
}
bool EngineClient::request_gauges(std::uint64_t tag) {
    if (!synchronized_)
        return false;
    write("STAT " + std::to_string(tag) + "\r\n");
    return synchronized_;
}
bool EngineClient::request_health_check(std::uint64_t tag) {
    if (!synchronized_)
        return false;
    write("TEST " + std::to_string(tag) + "\r\n");
    return synchronized_;
}
void EngineClient::release(request::RequestId no) {
    const auto it = active_runs_.find(no);
    if (it == active_runs_.end())
        return;
    if (const auto name = request_ids_by_name_.find(it->second.name);
        name != request_ids_by_name_.end() && name->second == no)
        request_ids_by_name_.erase(name);
    active_runs_.erase(it);
}

// ---- the link ----

void EngineClient::set_address(const net::Address& address) {
    if (address == address_)
        return;
    address_ = address;
    mark_unsynchronized();
    disconnect();  // a dial that is open as well
    reset_backoff();
    connect();
}

void EngineClient::on_open() {
    line_reader_.clear();
    synchronized_ = false;
    ++link_epoch_;
    write("ATTACH " + std::to_string(last_notice_) + "\r\n");
}

void EngineClient::on_end(bool refused) {
    stream_ = nullptr;
    if (synchronized_ || !refused)
        spdlog::warn("engine: link lost after notice {}", last_notice_);
    mark_unsynchronized();
    schedule_reconnect();
}

void EngineClient::drop_link(const char* why) {
    spdlog::warn("engine: link given up, {}", why);
    mark_unsynchronized();
    disconnect();
    schedule_reconnect();
}

void EngineClient::on_synchronized() {
    synchronized_ = true;
    reset_backoff();
    const base::Timestamp now = loop_.unix_now();
    std::vector<ActiveRun*> open;
    for (auto& [no, job] : active_runs_) {
        // A reply that went over just before the break has likely been taken: sent again, it might meet the next
        // call of its run and pass for the reply to that. It waits for a notice to show it; so do old commands.
        const bool there = job.sent_at > base::Timestamp(0) &&
                           (job.is_feed || link_lost_at_ - job.sent_at > uncertain_delivery_window);
        if (job.is_feed && there && job.halt_requested)
            job.unconfirmed_command.clear();  // nobody wants what it would go on to
        job.awaiting_confirmation = !job.unconfirmed_command.empty() && there && !job.halt_requested;
        if ((!job.unconfirmed_command.empty() && !job.awaiting_confirmation) || job.halt_requested)
            open.push_back(&job);
    }
    std::sort(open.begin(), open.end(),
              [](const ActiveRun* a, const ActiveRun* b) { return a->sequence < b->sequence; });
    std::string all;
    for (ActiveRun* job : open) {
        all += job->unconfirmed_command;
        job->sent_at = now;
        if (job->halt_requested)
            all += "HALT " + job->name + "\r\n";
    }
    spdlog::info("engine: link up, last notice {}, {} commands sent again", last_notice_, open.size());
    if (!all.empty())
        write(all);
    timers_.schedule(now + confirmation_timeout, [this, link = link_epoch_] {
        if (synchronized_ && link == link_epoch_)
            resend_unconfirmed();
    });
}

// What no notice has shown to be there by now is sent again.
void EngineClient::resend_unconfirmed() {
    const base::Timestamp now = loop_.unix_now();
    std::string all;
    for (auto& [no, job] : active_runs_) {
        if (!job.awaiting_confirmation)
            continue;
        job.awaiting_confirmation = false;
        if (job.unconfirmed_command.empty() ||
            (job.is_feed && link_lost_at_ - job.sent_at > certain_delivery_age))
            continue;
        all += job.unconfirmed_command;
        job.sent_at = now;
    }
    if (!all.empty())
        write(all);
}

void EngineClient::mark_unsynchronized() {
    if (std::exchange(synchronized_, false))
        link_lost_at_ = loop_.unix_now();
}

void EngineClient::on_bytes(std::string_view bytes) {
    line_reader_.append(bytes);
    std::vector<std::string_view> words;
    std::string_view body;
    while (stream_ != nullptr) {
        const LineReader::Status got = line_reader_.read_line(words, body, has_counted_body);
        if (got == LineReader::Status::incomplete)
            return;
        if (got == LineReader::Status::malformed)
            return drop_link("what it says cannot be read");
        if (!words.empty())
            handle_message(words, body);
    }
}

void EngineClient::handle_message(const std::vector<std::string_view>& w, std::string_view body) {
    const std::string_view what = w[0];
    std::uint64_t n = 0;
    if (what == "DONE" || what == "NEED" || what == "NOTE") {
        if (w.size() < 2 || !parse_number(w[1], n))
            return drop_link("a notice without a number");
        if (n <= last_notice_)
            return;  // told before: a new link repeats what the old one had brought
        last_notice_ = n;
        if (what == "NOTE")
            return;
        const auto found =
            w.size() < 4 ? request_ids_by_name_.end() : request_ids_by_name_.find(std::string(w[2]));
        if (found == request_ids_by_name_.end())
            return;
        const request::RequestId no = found->second;
        ActiveRun& job = active_runs_.at(no);
        job.unconfirmed_command.clear();
        job.awaiting_confirmation = false;
        if (what == "NEED")
            return request_manager_.dependency_call_requested(no, n, std::string(body));
        job.halt_requested = false;
        const request::RunResult end = w[3] == "PASS"     ? request::RunResult::succeeded
                                       : w[3] == "KILLED" ? request::RunResult::killed
                                       : w[3] == "NOOP"   ? request::RunResult::noop
                                                          : request::RunResult::failed;
        return request_manager_.run_finished(no, end, body);
    }
    if (what == "STATS" && w.size() >= 2) {
        if (!synchronized_ && w[1] == "s" + std::to_string(link_epoch_))
            return on_synchronized();
        policy::Gauges g;
        for (std::size_t i = 0; i < gauge_names_.size() && i + 2 < w.size(); ++i) {
            double v = 0.0;
            if (!parse_number(w[i + 2], v) || !std::isfinite(v))
                continue;
            if (gauge_names_[i] == "cpu_busy")
                g.cpu_utilization = v;
            if (gauge_names_[i] == "runnable")
                g.runnable = v;
            if (gauge_names_[i] == "mem_used")
                g.memory_used = v;
            if (gauge_names_[i] == "sockets")
                g.connections = v;
        }
        if (parse_number(w[1], n))
            request_manager_.gauges_received(n, g);
    } else if (what == "TESTED" && w.size() >= 3) {
        if (parse_number(w[1], n))
            request_manager_.health_check_finished(n, w[2] == "PASS");
    } else if (what == "HELLO" && w.size() >= 3) {
        // Its answer comes after all notices that were missed: until then nothing is sent that they may overtake.
        write("STAT s" + std::to_string(link_epoch_) + "\r\n");
        double ms = 0.0;
        if (!parse_number(w[2], ms) || !(ms >= 0.0))
            ms = 0.0;
        if (request_manager_.started())
            return;
        spdlog::info("engine: up, {}, {} ms ago", w[1], ms);
        // A cold engine has warmed since its start; the age of one that came up loaded tells nothing.
        const base::Duration age(std::llround(std::min(ms, 1e9) * 1000.0));
        const policy::Settings& s = request_manager_.settings();
        request_manager_.start(loop_.unix_now() -
                               (s.cold_start ? std::min(age, s.warm_up_duration) : base::Duration(0)));
    } else if (what == "NO" && w.size() >= 3) {
        std::uint64_t passed = 0;
        if (log_limiter_.try_acquire(loop_.unix_now(), passed))
            spdlog::warn("engine: not carried out: {} {}; {} more like it", w[1], w[2], passed);
        const auto found = request_ids_by_name_.find(std::string(w[2]));
        // Guards against an answer owed for a run that never began.
        if (found != request_ids_by_name_.end() && w[1] == "RUN")
            request_manager_.run_finished(found->second, request::RunResult::noop, {});
    }
}

}  // namespace cressledge::platform
