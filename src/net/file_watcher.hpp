// Looks at a file's name from time to time, and tells when what it stands for has changed, come or gone. By its times
// and sizes, on the thread pool: works where no kernel notice reaches (network folders), and takes no descriptor.
#pragma once

#include <uv.h>

#include <functional>
#include <string>

namespace cressledge::net {

class FileWatcher {
public:
    FileWatcher(uv_loop_t* loop, const std::string& path, unsigned every_ms, std::function<void()> changed)
        : poll_(new uv_fs_poll_t), on_change_(std::move(changed)) {
        uv_fs_poll_init(loop, poll_);
        poll_->data = this;
        uv_fs_poll_start(
            poll_,
            [](uv_fs_poll_t* p, int, const uv_stat_t*, const uv_stat_t*) {
                if (p->data != nullptr)
                    static_cast<FileWatcher*>(p->data)->on_change_();
            },
            path.c_str(), every_ms);
    }
    ~FileWatcher() {
        poll_->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(poll_),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_fs_poll_t*>(h); });
    }
    FileWatcher(const FileWatcher&) = delete;
    FileWatcher& operator=(const FileWatcher&) = delete;

private:
    uv_fs_poll_t* poll_;
    std::function<void()> on_change_;
};

}  // namespace cressledge::net
