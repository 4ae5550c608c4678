#include "platform/engine_client.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"

namespace cressledge::platform {
namespace {

/// How long to wait for the notice that confirms a probably delivered command before sending the command again.
constexpr base::Duration confirmation_timeout{100'000};
/// A barrier that took longer tells too little of where the runs stand now.
constexpr base::Duration max_barrier_round_trip{10'000};
/// Delay before the next barrier if the last one did not allow the uncertain call replies to be sent.
constexpr base::Duration barrier_retry_delay{5'000};

using CommandType = RunCommands::CommandType;

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

void EngineClient::send_command(request::RequestId request_id, const std::string& bytes, CommandType type) {
    const base::Timestamp sent_at = synchronized_ ? loop().unix_now() : base::Timestamp(0);
    commands_.record(request_id, bytes, type, sent_at);
    if (!synchronized_)
        return;
    write(type == CommandType::call_reply ? bytes + begin_barrier() : bytes);
}

// Returns the query to send behind the commands sent so far; nothing if one is pending, whose end begins the next.
std::string EngineClient::begin_barrier() {
    if (barrier_.is_pending())
        return {};
    return engine_protocol::encode_gauges_query(barrier_.begin(commands_.last_sequence(), loop().unix_now()));
}

void EngineClient::run(const request::Work& work) {
    const std::string name(work.external_id);
    commands_.add_run(work.request_id, name);
    send_command(work.request_id, engine_protocol::encode_run(name, work.class_name, work.body),
                 CommandType::repeatable);
}

void EngineClient::resume(request::RequestId request_id) {
    if (const std::string* name = commands_.find_name(request_id))
        send_command(request_id, engine_protocol::encode_resume(*name), CommandType::repeatable);
}

void EngineClient::deliver_call_reply(request::RequestId request_id, std::string_view reply) {
    if (const std::string* name = commands_.find_name(request_id))
        send_command(request_id, engine_protocol::encode_call_reply(*name, reply), CommandType::call_reply);
}

void EngineClient::skip_call(request::RequestId request_id, std::uint64_t call_id) {
    if (const std::string* name = commands_.find_name(request_id))
        send_command(request_id, engine_protocol::encode_skip_call(*name, call_id), CommandType::repeatable);
}

void EngineClient::suspend(request::RequestId request_id) {
    const std::string* name = commands_.find_name(request_id);
    if (name == nullptr)
        return;
    commands_.request_suspension(request_id);
    if (synchronized_)
        write(engine_protocol::encode_suspend(*name));
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
    commands_.remove_run(request_id);
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
    barrier_.cancel();
    ended_barrier_.reset();
    barrier_timer_.cancel();
    if (std::exchange(synchronized_, false))
        commands_.on_link_lost(loop().unix_now());
}

std::string EngineClient::synchronization_tag() const {
    // append() instead of operator+: GCC 12 falsely warns about overlapping copies of a literal (GCC bug 105651).
    return std::string("s").append(std::to_string(link_epoch_));
}

void EngineClient::on_synchronized() {
    synchronized_ = true;
    reset_backoff();
    const base::Timestamp now = loop().unix_now();
    const RunCommands::Batch lost = commands_.take_lost_commands(now);
    const std::size_t uncertain_count = commands_.uncertain_call_reply_count();
    base::log_info("engine: link synchronized last_notice={} resent_commands={} uncertain_call_replies={}",
                   last_notice_, lost.run_count, uncertain_count);
    std::string bytes = lost.bytes;
    if (commands_.needs_barrier())
        bytes += begin_barrier();
    if (!bytes.empty())
        write(bytes);
    schedule_barrier(base::Duration(0));
    timers().schedule_detached(now + confirmation_timeout, [this, epoch = link_epoch_] {
        if (synchronized_ && epoch == link_epoch_)
            resend_unconfirmed();
    });
}

void EngineClient::resend_unconfirmed() {
    const RunCommands::Batch batch = commands_.take_unconfirmed_commands(loop().unix_now());
    if (!batch.bytes.empty())
        write(batch.bytes);
}

// Called when all bytes received have been handled. If they ended with a whole message, soon after the query, no notice
// of a run with an uncertain call reply is on its way, as far as can be known: the run still waits for the reply, or
// works. The reply is sent now, before a notice of its next call can arrive.
void EngineClient::on_barrier_ended(const BarrierResult& barrier) {
    commands_.confirm_call_replies(barrier.sequence);
    std::string bytes;
    if (barrier.round_trip <= max_barrier_round_trip && frame_reader_.is_empty())
        bytes = commands_.take_due_call_replies(loop().unix_now()).bytes;
    if (commands_.needs_barrier())
        bytes += begin_barrier();
    if (!bytes.empty())
        write(bytes);
    schedule_barrier(barrier_retry_delay);
}

// Begins a barrier when the next uncertain call reply is due, but not before `min_delay` is over.
void EngineClient::schedule_barrier(base::Duration min_delay) {
    const auto due = commands_.next_call_reply_due();
    if (!due || !synchronized_)
        return;
    const base::Timestamp at = std::max(*due, loop().unix_now() + min_delay);
    barrier_timer_ = timers().schedule(at, [this] { send_due_barrier(); });
}

// If another barrier is pending, its end leads here again.
void EngineClient::send_due_barrier() {
    if (!synchronized_ || commands_.uncertain_call_reply_count() == 0)
        return;
    if (const std::string query = begin_barrier(); !query.empty())
        write(query);
}

}  // namespace cressledge::platform
