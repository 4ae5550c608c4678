// Commits to a store on libuv's thread pool, so that the event loop never waits for a disk.
#pragma once

#include <uv.h>

#include <cstdint>

#include "store/async_writer.hpp"

namespace cressledge::store {

/// Runs each commit on another thread; all its functions, and `on_commit`, run on that of the loop.
class BackgroundWriter final : public AsyncWriter {
public:
    /// Both `loop` and `store` must outlive the writer.
    BackgroundWriter(uv_loop_t* loop, Store& store, CommitHandler on_commit);
    /// Flushes: guards the thread that is still at work against a store that is gone.
    ~BackgroundWriter() override;
    BackgroundWriter(const BackgroundWriter&) = delete;
    BackgroundWriter& operator=(const BackgroundWriter&) = delete;

    void commit(Changes changes) override;

    /// Runs the loop itself: only for the end, when it is stopped.
    void flush() override;

    bool is_busy() const { return is_busy_; }
    std::uint64_t commits() const override { return commits_; }
    std::uint64_t failures() const { return failures_; }

private:
    void start_next_commit();
    void on_commit_finished();

    uv_loop_t* const loop_;
    Store& store_;
    const CommitHandler on_commit_;
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
