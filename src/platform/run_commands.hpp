// The last command of each run, and which of them must be sent again on a new link to the engine. Pure: the owner does
// the I/O.
//
// The engine may lose commands that were sent shortly before a link broke. A run's command is therefore kept until it
// is known to have been executed. Most commands may be sent twice: the engine ignores RUN for a request that runs, and
// RESUME and SKIP that no longer apply. A call reply (FEED) may not: it does not name its call, so the engine would take
// a repeated reply for the reply to the run's next call.
//
// Invariants:
// - a command is confirmed by a notice of its run; a call reply also by a barrier, unless the link breaks soon after it
//   was sent;
// - an unconfirmed call reply that was sent is sent again only on a later link, and only when the owner knows that the
//   engine has sent no notice of the run (take_due_call_replies). One that a barrier followed was most probably
//   executed: its run first gets the time to send a notice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "request/incoming_request.hpp"

namespace cressledge::platform {

/// Commands of the runs in progress.
class RunCommands {
public:
    enum class CommandType { repeatable, call_reply };

    /// Commands to write, in order.
    struct Batch {
        std::string bytes;
        std::size_t run_count = 0;
    };

    /// Adds the run `name` of a request.
    void add_run(request::RequestId request_id, std::string_view name);
    /// Removes a request's run, if it has one.
    void remove_run(request::RequestId request_id);
    /// The request whose run has this name; 0 if there is none.
    request::RequestId find_request(std::string_view name) const;
    /// The name of a request's run; null if it has none.
    const std::string* find_name(request::RequestId request_id) const;

    /// Records a run's command, which replaces the one before. `sent_at`: when it is sent; 0 if there is no synchronized
    /// link.
    void record(request::RequestId request_id, std::string bytes, CommandType type, base::Timestamp sent_at);
    /// Records that a run is to be suspended, until clear_suspension.
    void request_suspension(request::RequestId request_id);
    void clear_suspension(request::RequestId request_id);

    /// A notice of the run was read: its last command has been executed.
    void confirm(request::RequestId request_id);
    /// A barrier ended behind the commands up to `sequence`: confirms the call replies among them.
    void confirm_call_replies(std::uint64_t sequence);
    /// Position of the last command.
    std::uint64_t last_sequence() const { return last_sequence_; }

    /// A link that was synchronized has ended.
    void on_link_lost(base::Timestamp now) { link_lost_at_ = now; }
    /// A new link is synchronized. Returns the commands to send at once; call replies that were sent on an earlier link
    /// become uncertain.
    Batch take_lost_commands(base::Timestamp now);
    /// Returns the repeatable commands of earlier links that no notice has confirmed since the link was synchronized.
    Batch take_unconfirmed_commands(base::Timestamp now);
    /// Returns the uncertain call replies that are due. Call it only if a barrier has just ended and nothing of a later
    /// notice has been read.
    Batch take_due_call_replies(base::Timestamp now);

    /// Whether a call reply was sent on this link and no barrier has ended behind it.
    bool needs_barrier() const;
    /// When the next uncertain call reply is due; nothing if there is none.
    std::optional<base::Timestamp> next_call_reply_due() const;
    /// Number of call replies of earlier links of which it is not known whether they were executed.
    std::size_t uncertain_call_reply_count() const;

private:
    struct ActiveRun {
        std::string name;
        /// The last command; cleared once it is confirmed.
        std::string unconfirmed_command;
        CommandType command_type = CommandType::repeatable;
        /// Position of the command in the order of commands of all runs.
        std::uint64_t sequence = 0;
        /// When the command was sent; 0 if no synchronized link was open.
        base::Timestamp sent_at{0};
        bool suspend_requested = false;
        /// The command is repeatable and was probably delivered: it is sent again unless a notice confirms it in time.
        bool awaiting_confirmation = false;
        /// The command is a call reply, and a barrier has ended behind it.
        bool barrier_ended = false;
        /// The command is a call reply that was sent on an earlier link and may have been lost with it: when to send it
        /// again.
        std::optional<base::Timestamp> resend_at;
    };

    template <class Predicate>
    std::vector<ActiveRun*> runs_in_command_order(const Predicate& predicate);
    static bool is_sent_call_reply(const ActiveRun& run);
    bool was_sent_before_window(const ActiveRun& run) const;
    bool update_for_new_link(ActiveRun& run, base::Timestamp now) const;
    void update_call_reply(ActiveRun& run, base::Timestamp now) const;
    void add_to_batch(ActiveRun& run, base::Timestamp now, Batch& batch);
    void log_resent_call_reply(const ActiveRun& run, base::Timestamp now) const;

    std::unordered_map<request::RequestId, ActiveRun> active_runs_;
    std::unordered_map<std::string, request::RequestId> request_ids_by_name_;
    std::uint64_t last_sequence_ = 0;
    /// When the last synchronized link ended.
    base::Timestamp link_lost_at_{0};
};

}  // namespace cressledge::platform
