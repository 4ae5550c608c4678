// Saves the learned state of a running process from time to time and loads it at the start. What is saved and what
// is trusted is decided by SavePlanner and restore(); the store's files and the thread that writes them are those of its
// owner.
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
#include "request/request_manager.hpp"
#include "store/async_writer.hpp"

namespace cressledge::learned_state {

/// Loads once, then saves at an interval. Owns the writer and the timer of the next save.
class LearnedStateSaver {
public:
    /// Whose state is saved, how often, and how far a saved one is trusted.
    struct Settings {
        /// Of the store, for the log.
        std::string directory;
        Identity identity;
        Duration save_interval{30'000'000};
        ConfidencePolicy confidence_policy;
    };

    /// The references must outlive the saver, and nobody else may use `store`, which it opens. `make_writer` is called
    /// once, if that succeeds. `collect_upstream_stats` is called before each save.
    LearnedStateSaver(store::Store& store, store::AsyncWriterFactory make_writer, base::TimerQueue& timers,
                      request::RequestManager& request_manager, Settings settings,
                      std::function<UpstreamStatsByName()> collect_upstream_stats);
    LearnedStateSaver(const LearnedStateSaver&) = delete;
    LearnedStateSaver& operator=(const LearnedStateSaver&) = delete;

    /// Opens the store and decodes what is there; blocks, so it is for the start. The caller puts the result in
    /// force. Where the store cannot be opened nothing is ever saved, and the process goes on.
    RestoreResult load(Timestamp now);

    /// Saves every `save_interval` from now on.
    void start_saving();

    /// Saves a last time and blocks until that is durable or has failed; for the end, when no client waits
    /// any more.
    void flush();

    /// Logs the store's generation, and the commits and bytes written; nothing where nothing can be saved.
    void log_summary() const;

    /// Bytes written to the store's files.
    std::uint64_t bytes_written() const { return store_.bytes_written(); }
    /// Finished saves, failed ones included.
    std::uint64_t commits() const { return writer_ ? writer_->commits() : 0; }

private:
    void log_restored(const RestoreResult& result, Timestamp now) const;
    void save(Timestamp now);
    void on_commit(store::ErrorNumber error);

    store::Store& store_;
    const store::AsyncWriterFactory make_writer_;
    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    const Settings settings_;
    const std::function<UpstreamStatsByName()> collect_upstream_stats_;
    SavePlanner planner_;
    std::uint64_t failed_saves_ = 0;
    base::LogRateLimiter log_limiter_;
    /// Null if nothing can be saved. Its end may wait for a commit, and call on_commit() and timers meanwhile: what
    /// on_commit() uses stands above, and the next save, to be cancelled before, below.
    std::unique_ptr<store::AsyncWriter> writer_;
    base::TimerHandle next_save_;
};

}  // namespace cressledge::learned_state
