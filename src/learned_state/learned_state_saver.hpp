// Loads the learned state of a process at its start and saves it at an interval. SavePlanner decides what is saved,
// restore() how far it is trusted. The owner supplies the store and the writer's thread.
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
    /// The identity of the process, the save interval, and the confidence in saved state.
    struct Settings {
        /// The store's directory, for log lines.
        std::string directory;
        Identity identity;
        Duration save_interval{30'000'000};
        ConfidencePolicy confidence_policy;
    };

    /// The references must outlive the saver. load() opens `store`, which no other code may use, and calls `make_writer`
    /// once if opening succeeds. `collect_upstream_stats` is called before each save.
    LearnedStateSaver(store::Store& store, store::AsyncWriterFactory make_writer, base::TimerQueue& timers,
                      request::RequestManager& request_manager, Settings settings,
                      std::function<UpstreamStatsByName()> collect_upstream_stats);
    LearnedStateSaver(const LearnedStateSaver&) = delete;
    LearnedStateSaver& operator=(const LearnedStateSaver&) = delete;

    /// Opens the store and decodes its entries. Blocks, so it must only be called at the start. The caller applies
    /// the result. If the store cannot be opened, saving is disabled and the process runs without it.
    RestoreResult load(Timestamp now);

    /// Starts to save every `save_interval`. Does nothing if saving is disabled.
    void start_saving();

    /// Saves once more and blocks until the save is durable or has failed. For shutdown, when no client is
    /// waiting.
    void flush();

    /// Logs the store's generation, the saves and the bytes written. Logs nothing if saving is disabled.
    void log_summary() const;

    /// The number of bytes written to the store's files.
    std::uint64_t bytes_written() const { return store_.bytes_written(); }
    /// The number of finished saves, including those that failed.
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
    /// Null if saving is disabled. Its destructor may wait for a commit and run on_commit() and timers meanwhile, so it is
    /// declared after the members that on_commit() uses, and before next_save_, whose destructor cancels the timer
    /// first.
    std::unique_ptr<store::AsyncWriter> writer_;
    base::TimerHandle next_save_;
};

}  // namespace cressledge::learned_state
