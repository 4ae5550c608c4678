#include "platform/engine_client.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"

namespace cressledge::platform {
namespace {

/// The engine may lose commands sent in the last 50 ms before the link broke. A command sent longer before the break
/// than this window was probably delivered.
constexpr base::Duration uncertain_delivery_window{250'000};
/// How long to wait for the notice that confirms a probably delivered command before sending the command again.
constexpr base::Duration confirmation_timeout{100'000};
/// A command sent longer than this before the break was certainly delivered.
constexpr base::Duration certain_delivery_age{2'000'000};

}  // namespace

EngineClient::EngineClient(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                           request::RequestManager& request_manager,
                           connection_admission::FileDescriptorBudget& descriptors,
                           std::vector<std::string> gauge_names)
    : ReconnectingLink(loop, timers, address, descriptors),
      request_manager_(request_manager),
      gauge_names_(std::move(gauge_names)),
      frame_reader_(engine_protocol::max_body_bytes, engine_protocol::has_body) {}

void EngineClient::connect() {
    try_connect();
    if (stream() == nullptr)
        schedule_reconnect();
}

void EngineClient::write(std::string_view bytes) {
    if (stream() != nullptr && !stream()->write(bytes))
        close_link("write buffer full");
}

void EngineClient::send_command(request::RequestId request_id, std::string bytes, CommandType type) {
    const auto it = active_runs_.find(request_id);
    if (it == active_runs_.end())
        return;
    ActiveRun& run = it->second;
    run.unconfirmed_command = std::move(bytes);
    run.command_type = type;
    run.sequence = ++last_sequence_;
    run.sent_at = synchronized_ ? loop().unix_now() : base::Timestamp(0);
    run.awaiting_confirmation = false;
    if (synchronized_)
        write(run.unconfirmed_command);
}

void EngineClient::run(const request::Work& work) {
    const std::string name(work.external_id);
    active_runs_[work.request_id].name = name;
    request_ids_by_name_[name] = work.request_id;
    send_command(work.request_id, engine_protocol::encode_run(name, work.class_name, work.body));
}

void EngineClient::resume(request::RequestId request_id) {
    if (const auto it = active_runs_.find(request_id); it != active_runs_.end())
        send_command(request_id, engine_protocol::encode_resume(it->second.name));
}

void EngineClient::deliver_call_reply(request::RequestId request_id, std::string_view reply) {
    if (const auto it = active_runs_.find(request_id); it != active_runs_.end())
        send_command(request_id, engine_protocol::encode_call_reply(it->second.name, reply),
                     CommandType::call_reply);
}

void EngineClient::skip_call(request::RequestId request_id, std::uint64_t call_id) {
    if (const auto it = active_runs_.find(request_id); it != active_runs_.end())
        send_command(request_id, engine_protocol::encode_skip_call(it->second.name, call_id));
}

void EngineClient::suspend(request::RequestId request_id) {
    const auto it = active_runs_.find(request_id);
    if (it == active_runs_.end())
        return;
    it->second.suspend_requested = true;
    if (synchronized_)
        write(engine_protocol::encode_suspend(it->second.name));
}

bool EngineClient::request_gauges(std::uint64_t query_id) {
    if (!synchronized_)
        return false;
    write(engine_protocol::encode_gauges_query(std::to_string(query_id)));
    return synchronized_;
}

bool EngineClient::request_health_check(std::uint64_t query_id) {
    if (!synchronized_)
        return false;
    write(engine_protocol::encode_health_check(query_id));
    return synchronized_;
}

void EngineClient::release(request::RequestId request_id) {
    const auto it = active_runs_.find(request_id);
    if (it == active_runs_.end())
        return;
    // A later request may use the same name by now.
    if (const auto name = request_ids_by_name_.find(it->second.name);
        name != request_ids_by_name_.end() && name->second == request_id)
        request_ids_by_name_.erase(name);
    active_runs_.erase(it);
}

void EngineClient::set_address(const net::Address& address) {
    if (!change_address(address))
        return;
    mark_unsynchronized();
    disconnect();
    reset_backoff();
    connect();
}

void EngineClient::on_open() {
    frame_reader_.clear();
    synchronized_ = false;
    ++link_epoch_;
    write(engine_protocol::encode_attach(last_notice_));
}

void EngineClient::on_end(bool refused) {
    clear_stream();
    if (synchronized_ || !refused)
        base::log_warning("engine: link lost last_notice={}", last_notice_);
    mark_unsynchronized();
    schedule_reconnect();
}

void EngineClient::close_link(const char* reason) {
    base::log_warning("engine: link closed reason=\"{}\"", reason);
    mark_unsynchronized();
    disconnect();
    schedule_reconnect();
}

void EngineClient::mark_unsynchronized() {
    if (std::exchange(synchronized_, false))
        link_lost_at_ = loop().unix_now();
}

std::string EngineClient::synchronization_tag() const {
    // append() instead of operator+: GCC 12 falsely warns about overlapping copies of a literal (GCC bug 105651).
    return std::string("s").append(std::to_string(link_epoch_));
}

// A call reply sent just before the break counts as delivered: if it were sent again, the engine could take it for the
// reply to the run's next call.
bool EngineClient::was_probably_delivered(const ActiveRun& run) const {
    if (run.sent_at == base::Timestamp(0))
        return false;
    return run.command_type == CommandType::call_reply ||
           link_lost_at_ - run.sent_at > uncertain_delivery_window;
}

// Updates the state of a run's last command for a new link. Returns whether a command must be sent immediately.
bool EngineClient::needs_resend(ActiveRun& run) const {
    const bool delivered = was_probably_delivered(run);
    // A suspended run does not need the reply.
    if (run.command_type == CommandType::call_reply && delivered && run.suspend_requested)
        run.unconfirmed_command.clear();
    run.awaiting_confirmation = !run.unconfirmed_command.empty() && delivered && !run.suspend_requested;
    const bool lost = !run.unconfirmed_command.empty() && !run.awaiting_confirmation;
    return lost || run.suspend_requested;
}

void EngineClient::on_synchronized() {
    synchronized_ = true;
    reset_backoff();
    std::vector<ActiveRun*> runs;
    for (auto& [request_id, run] : active_runs_)
        if (needs_resend(run))
            runs.push_back(&run);
    std::sort(runs.begin(), runs.end(),
              [](const ActiveRun* a, const ActiveRun* b) { return a->sequence < b->sequence; });
    const base::Timestamp now = loop().unix_now();
    std::string bytes;
    for (ActiveRun* run : runs) {
        log_resent_call_reply(*run);
        bytes += run->unconfirmed_command;
        run->sent_at = now;
        if (run->suspend_requested)
            bytes += engine_protocol::encode_suspend(run->name);
    }
    base::log_info("engine: link synchronized last_notice={} resent_commands={}", last_notice_, runs.size());
    if (!bytes.empty())
        write(bytes);
    timers().schedule_detached(now + confirmation_timeout, [this, epoch = link_epoch_] {
        if (synchronized_ && epoch == link_epoch_)
            resend_unconfirmed();
    });
}

void EngineClient::resend_unconfirmed() {
    const base::Timestamp now = loop().unix_now();
    std::string bytes;
    for (auto& [request_id, run] : active_runs_) {
        if (!std::exchange(run.awaiting_confirmation, false) || run.unconfirmed_command.empty())
            continue;
        if (run.command_type == CommandType::call_reply && link_lost_at_ - run.sent_at > certain_delivery_age)
            continue;
        log_resent_call_reply(run);
        bytes += run.unconfirmed_command;
        run.sent_at = now;
    }
    if (!bytes.empty())
        write(bytes);
}

void EngineClient::log_resent_call_reply(const ActiveRun& run) const {
    if (run.command_type != CommandType::call_reply || run.unconfirmed_command.empty())
        return;
    const bool was_sent = run.sent_at != base::Timestamp(0);
    const base::Duration age = was_sent ? link_lost_at_ - run.sent_at : base::Duration(0);
    base::log_info(
        "engine: call reply resent request={} first_sent={} sent_ms_before_loss={} link_lost_ms_ago={}",
        run.name, was_sent, age.count() / 1000, (loop().unix_now() - link_lost_at_).count() / 1000);
}

}  // namespace cressledge::platform
