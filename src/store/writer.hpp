// Commits of a store on libuv's thread pool: the event loop never waits for a disk. One commit is under way at a time;
// what is asked for meanwhile is put together, the later value of a key winning, and follows it.
#pragma once

#include <uv.h>

#include <cstdint>
#include <functional>

#include "store/store.hpp"

namespace cressledge::store {

class Writer {
public:
    // `told` hears of each commit on the loop: 0 or an errno. The store is the writer's alone until it ends.
    Writer(uv_loop_t* loop, Store& store, std::function<void(int)> told);
    ~Writer();  // after finish()
    Writer(const Writer&) = delete;
    Writer& operator=(const Writer&) = delete;

    void commit(Changes changes);
    void finish();  // blocks until all that was asked for is durable or has failed; for the end, once the loop stands
    bool busy() const { return busy_; }
    std::uint64_t commits() const { return commits_; }
    std::uint64_t failures() const { return failures_; }

private:
    void next();
    void done();

    uv_loop_t* const loop_;
    Store& store_;
    const std::function<void(int)> told_;
    Changes waiting_, writing_;
    uv_work_t work_{};
    int bad_ = 0;
    bool busy_ = false;
    std::uint64_t commits_ = 0, failures_ = 0;
};

}  // namespace cressledge::store
