// Saves the learned state of a running process from time to time and loads it at the start. Owns the store,
// its files and the timer; what is saved and what is trusted is decided by SavePlanner and restore().
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/log_rate_limiter.hpp"
#include "base/timer_queue.hpp"
#include "learned_state/learned_state.hpp"
#include "learned_state/restore.hpp"
#include "learned_state/save_planner.hpp"
#include "net/loop.hpp"
#include "request/request_manager.hpp"
#include "store/background_writer.hpp"
#include "store/posix_file_system.hpp"

namespace cressledge::learned_state {

class LearnedStateSaver {
public:
    struct Settings {
        std::string directory;
        Identity identity;
        Duration save_interval{30'000'000};
        ConfidencePolicy confidence_policy;
    };

    /// The references must outlive the saver. `collect_upstream_stats` is called on the loop, before each
    /// save.
    LearnedStateSaver(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& request_manager,
                      Settings settings, std::function<UpstreamStatsByName()> collect_upstream_stats);
    LearnedStateSaver(const LearnedStateSaver&) = delete;
    LearnedStateSaver& operator=(const LearnedStateSaver&) = delete;

    /// Reads the directory and decodes what is there; blocks, so it is for the start. The caller puts the
    /// result in force. Without a directory that can be written nothing is ever saved, and the process goes
    /// on.
    RestoreResult load(Timestamp now);

    /// Saves every `save_interval` from now on.
    void start_saving();

    /// Saves a last time and blocks until that is durable or has failed; for the end, when no client waits
    /// any more.
    void flush();

    void log_summary() const;

    std::uint64_t bytes_written() const { return store_.bytes_written(); }
    std::uint64_t commits() const { return writer_ ? writer_->commits() : 0; }

private:
    void log_restored(const RestoreResult& result, Timestamp now) const;
    void save(Timestamp now);
    /// `error` is 0 or an errno.
    void on_commit(int error);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    const Settings settings_;
    const std::function<UpstreamStatsByName()> collect_upstream_stats_;
    store::PosixFileSystem files_;
    store::Store store_;
    SavePlanner planner_;
    std::uint64_t failed_saves_ = 0;
    base::LogRateLimiter log_limiter_;
    /// Null if nothing can be saved. It runs the loop on destruction, which may call on_commit(): what that uses stands
    /// above, and the next save, to be cancelled before, below.
    std::unique_ptr<store::BackgroundWriter> writer_;
    base::TimerHandle next_save_;
};

}  // namespace cressledge::learned_state
