// Reports changes of a file by polling its times and size on libuv's thread pool. This also works on file systems
// without kernel notifications (network file systems), and needs no descriptor.
#pragma once

#include <uv.h>

#include <functional>
#include <string>

namespace cressledge::net {

/// Watches one path. The file may be replaced, created or removed while it is watched.
class FileWatcher {
public:
    /// Calls `on_change` on the loop, at most once every `interval_ms` milliseconds.
    FileWatcher(uv_loop_t* loop, const std::string& path, unsigned interval_ms,
                std::function<void()> on_change)
        : poll_(new uv_fs_poll_t), on_change_(std::move(on_change)) {
        uv_fs_poll_init(loop, poll_);
        poll_->data = this;
        uv_fs_poll_start(
            poll_,
            [](uv_fs_poll_t* poll, int, const uv_stat_t*, const uv_stat_t*) {
                if (poll->data != nullptr)
                    static_cast<FileWatcher*>(poll->data)->on_change_();
            },
            path.c_str(), interval_ms);
    }
    ~FileWatcher() {
        poll_->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(poll_),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_fs_poll_t*>(handle); });
    }
    FileWatcher(const FileWatcher&) = delete;
    FileWatcher& operator=(const FileWatcher&) = delete;

private:
    uv_fs_poll_t* poll_;
    std::function<void()> on_change_;
};

}  // namespace cressledge::net
