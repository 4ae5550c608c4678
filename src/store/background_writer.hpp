// Commits of a store on libuv's thread pool: the event loop never waits for a disk. One commit is under way at a time;
// what is asked for meanwhile is put together, the later value of a key winning, and follows it.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>

#include "store/store.hpp"

namespace cressledge::store {

class BackgroundWriter {
public:
    // `told` hears of each commit on the loop: 0 or an errno. The store is the writer's alone until it ends.
    BackgroundWriter(uv_loop_t* loop, Store& store, std::function<void(int)> on_commit);
    ~BackgroundWriter();  // after finish()
    BackgroundWriter(const BackgroundWriter&) = delete;
    BackgroundWriter& operator=(const BackgroundWriter&) = delete;

    void commit(Changes changes);
    void
    flush();  // blocks until all that was asked for is durable or has failed; for the end, once the loop stands
    bool is_busy() const { return is_busy_; }
    std::uint64_t commits() const { return commits_; }
    std::uint64_t failures() const { return failures_; }

private:
    void start_next_commit();
    void on_commit_finished();

    uv_loop_t* const loop_;
    Store& store_;
    const std::function<void(int)> on_commit_;
    Changes pending_, in_progress_;
    uv_work_t work_{};
    int commit_error_ = 0;
    bool is_busy_ = false;
    std::uint64_t commits_ = 0, failures_ = 0;
};

}  // namespace cressledge::store
