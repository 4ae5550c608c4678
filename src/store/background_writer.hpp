// Commits to a store on libuv's thread pool, so that the event loop never waits for a disk. One commit runs
// at a time; changes that arrive meanwhile are merged, the later value of a key winning, and follow it as one
// commit.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>

#include "store/store.hpp"

namespace cressledge::store {

class BackgroundWriter {
public:
    /// `on_commit` runs on the loop after each commit. Until the writer is destroyed nobody else may use the
    /// store.
    BackgroundWriter(uv_loop_t* loop, Store& store, std::function<void(ErrorNumber)> on_commit);
    /// Flushes: guards the thread that is still at work against a store that is gone.
    ~BackgroundWriter();
    BackgroundWriter(const BackgroundWriter&) = delete;
    BackgroundWriter& operator=(const BackgroundWriter&) = delete;

    void commit(Changes changes);

    /// Blocks until all changes are durable or have failed. Runs the loop itself: only for the end, when it
    /// is stopped.
    void flush();

    bool is_busy() const { return is_busy_; }
    /// Finished commits, failed ones included.
    std::uint64_t commits() const { return commits_; }
    std::uint64_t failures() const { return failures_; }

private:
    void start_next_commit();
    void on_commit_finished();

    uv_loop_t* const loop_;
    Store& store_;
    const std::function<void(ErrorNumber)> on_commit_;
    Changes pending_;
    /// Of the commit that runs. The other thread reads it and writes commit_error_; the loop touches neither
    /// meanwhile.
    Changes in_progress_;
    ErrorNumber commit_error_ = no_error;
    uv_work_t work_{};
    bool is_busy_ = false;
    std::uint64_t commits_ = 0;
    std::uint64_t failures_ = 0;
};

}  // namespace cressledge::store
