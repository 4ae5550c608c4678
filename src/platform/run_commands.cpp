#include "platform/run_commands.hpp"

#include <algorithm>
#include <utility>

#include "base/log.hpp"
#include "platform/engine_protocol.hpp"

namespace cressledge::platform {
namespace {

/// The engine may lose commands sent in the last 50 ms before the link broke. A command sent longer before the break
/// than this window was probably delivered; the rest of it is for the time until the break is noticed.
constexpr base::Duration uncertain_delivery_window{250'000};
/// Time for a notice of a run whose call reply was most probably executed. Longer than most work between two calls.
constexpr base::Duration presumed_execution_wait{1'000'000};
constexpr std::int64_t microseconds_per_millisecond = 1000;

constexpr base::Timestamp never_sent{0};

}  // namespace

void RunCommands::add_run(request::RequestId request_id, std::string_view name) {
    active_runs_[request_id].name = name;
    request_ids_by_name_[std::string(name)] = request_id;
}

void RunCommands::remove_run(request::RequestId request_id) {
    const auto it = active_runs_.find(request_id);
    if (it == active_runs_.end())
        return;
    // A later request may use the same name by now.
    if (find_request(it->second.name) == request_id)
        request_ids_by_name_.erase(it->second.name);
    active_runs_.erase(it);
}

request::RequestId RunCommands::find_request(std::string_view name) const {
    const auto it = request_ids_by_name_.find(std::string(name));
    return it == request_ids_by_name_.end() ? 0 : it->second;
}

const std::string* RunCommands::find_name(request::RequestId request_id) const {
    const auto it = active_runs_.find(request_id);
    return it == active_runs_.end() ? nullptr : &it->second.name;
}

void RunCommands::record(request::RequestId request_id, std::string bytes, CommandType type,
                         base::Timestamp sent_at) {
    ActiveRun& run = active_runs_.at(request_id);
    run.unconfirmed_command = std::move(bytes);
    run.command_type = type;
    run.sequence = ++last_sequence_;
    run.sent_at = sent_at;
    run.awaiting_confirmation = false;
    run.barrier_ended = false;
    run.resend_at.reset();
}

void RunCommands::request_suspension(request::RequestId request_id) {
    active_runs_.at(request_id).suspend_requested = true;
}

void RunCommands::clear_suspension(request::RequestId request_id) {
    active_runs_.at(request_id).suspend_requested = false;
}

void RunCommands::confirm(request::RequestId request_id) {
    ActiveRun& run = active_runs_.at(request_id);
    run.unconfirmed_command.clear();
    run.awaiting_confirmation = false;
    run.resend_at.reset();
}

void RunCommands::confirm_call_replies(std::uint64_t sequence) {
    for (auto& [request_id, run] : active_runs_)
        if (is_sent_call_reply(run) && !run.resend_at && run.sequence <= sequence)
            run.barrier_ended = true;
}

RunCommands::Batch RunCommands::take_lost_commands(base::Timestamp now) {
    Batch batch;
    for (ActiveRun* run :
         runs_in_command_order([&](ActiveRun& run) { return update_for_new_link(run, now); })) {
        add_to_batch(*run, now, batch);
        if (run->suspend_requested)
            batch.bytes += engine_protocol::encode_suspend(run->name);
    }
    return batch;
}

RunCommands::Batch RunCommands::take_unconfirmed_commands(base::Timestamp now) {
    Batch batch;
    const auto is_due = [](ActiveRun& run) {
        return std::exchange(run.awaiting_confirmation, false) && !run.unconfirmed_command.empty();
    };
    for (ActiveRun* run : runs_in_command_order(is_due))
        add_to_batch(*run, now, batch);
    return batch;
}

RunCommands::Batch RunCommands::take_due_call_replies(base::Timestamp now) {
    Batch batch;
    const auto is_due = [now](const ActiveRun& run) { return run.resend_at && *run.resend_at <= now; };
    for (ActiveRun* run : runs_in_command_order(is_due)) {
        run->resend_at.reset();
        run->barrier_ended = false;
        // A suspended run does not need the reply.
        if (run->suspend_requested)
            run->unconfirmed_command.clear();
        else
            add_to_batch(*run, now, batch);
    }
    return batch;
}

bool RunCommands::needs_barrier() const {
    return std::any_of(active_runs_.begin(), active_runs_.end(), [](const auto& entry) {
        const ActiveRun& run = entry.second;
        return is_sent_call_reply(run) && !run.resend_at && !run.barrier_ended;
    });
}

std::optional<base::Timestamp> RunCommands::next_call_reply_due() const {
    std::optional<base::Timestamp> next;
    for (const auto& [request_id, run] : active_runs_)
        if (run.resend_at && (!next || *run.resend_at < *next))
            next = run.resend_at;
    return next;
}

std::size_t RunCommands::uncertain_call_reply_count() const {
    const auto count = std::count_if(active_runs_.begin(), active_runs_.end(),
                                     [](const auto& entry) { return entry.second.resend_at.has_value(); });
    return static_cast<std::size_t>(count);
}

template <class Predicate>
std::vector<RunCommands::ActiveRun*> RunCommands::runs_in_command_order(const Predicate& predicate) {
    std::vector<ActiveRun*> runs;
    for (auto& [request_id, run] : active_runs_)
        if (predicate(run))
            runs.push_back(&run);
    std::sort(runs.begin(), runs.end(),
              [](const ActiveRun* a, const ActiveRun* b) { return a->sequence < b->sequence; });
    return runs;
}

bool RunCommands::is_sent_call_reply(const ActiveRun& run) {
    return run.command_type == CommandType::call_reply && !run.unconfirmed_command.empty() &&
           run.sent_at != never_sent;
}

bool RunCommands::was_sent_before_window(const ActiveRun& run) const {
    return run.sent_at != never_sent && link_lost_at_ - run.sent_at > uncertain_delivery_window;
}

// Updates the state of a run's last command for a new link. Returns whether a command must be sent immediately.
bool RunCommands::update_for_new_link(ActiveRun& run, base::Timestamp now) const {
    run.awaiting_confirmation = false;
    if (is_sent_call_reply(run)) {
        update_call_reply(run, now);
        return run.suspend_requested;
    }
    if (!run.unconfirmed_command.empty() && !run.suspend_requested)
        run.awaiting_confirmation = was_sent_before_window(run);
    const bool lost = !run.unconfirmed_command.empty() && !run.awaiting_confirmation;
    return lost || run.suspend_requested;
}

void RunCommands::update_call_reply(ActiveRun& run, base::Timestamp now) const {
    // Uncertain since an earlier link.
    if (run.resend_at && !run.suspend_requested)
        return;
    run.resend_at.reset();
    const bool was_executed = run.barrier_ended && was_sent_before_window(run);
    // A suspended run does not need the reply.
    if (was_executed || run.suspend_requested)
        run.unconfirmed_command.clear();
    else
        run.resend_at = run.barrier_ended ? now + presumed_execution_wait : now;
}

// A call reply gets a new position, since barriers of the link before do not cover it.
void RunCommands::add_to_batch(ActiveRun& run, base::Timestamp now, Batch& batch) {
    ++batch.run_count;
    if (run.unconfirmed_command.empty())
        return;
    if (run.command_type == CommandType::call_reply)
        log_resent_call_reply(run, now);
    batch.bytes += run.unconfirmed_command;
    run.sent_at = now;
    run.sequence = ++last_sequence_;
}

void RunCommands::log_resent_call_reply(const ActiveRun& run, base::Timestamp now) const {
    if (run.sent_at == never_sent)
        return base::log_info("engine: call reply sent after a break request={}", run.name);
    base::log_info("engine: call reply sent again request={} age_at_break_ms={} since_break_ms={}", run.name,
                   (link_lost_at_ - run.sent_at).count() / microseconds_per_millisecond,
                   (now - link_lost_at_).count() / microseconds_per_millisecond);
}

}  // namespace cressledge::platform
