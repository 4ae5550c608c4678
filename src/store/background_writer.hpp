// Commits to a store on libuv's thread pool, so that the event loop never waits for disk I/O.
#pragma once

#include <uv.h>

#include <cstdint>

#include "store/async_writer.hpp"

namespace cressledge::store {

/// Runs each commit on a thread of the pool. Its functions must be called, and `on_commit` is called, on the loop's
/// thread.
class BackgroundWriter final : public AsyncWriter {
public:
    /// `loop` and `store` must outlive the writer.
    BackgroundWriter(uv_loop_t* loop, Store& store, CommitHandler on_commit);
    /// Flushes, so that no commit uses the store after it is destroyed.
    ~BackgroundWriter() override;
    BackgroundWriter(const BackgroundWriter&) = delete;
    BackgroundWriter& operator=(const BackgroundWriter&) = delete;

    void commit(Changes changes) override;

    /// Runs the loop until no commit is in progress. Only for shutdown, when the loop has been stopped.
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
    /// The changes of the running commit. Until it finishes, only the pool thread reads them and writes
    /// commit_error_.
    Changes in_progress_;
    ErrorNumber commit_error_ = no_error;
    uv_work_t work_{};
    bool is_busy_ = false;
    std::uint64_t commits_ = 0;
    std::uint64_t failures_ = 0;
};

}  // namespace cressledge::store
