// Looks at a file's name from time to time, and tells when what it stands for has changed, come or gone. By its times
// and sizes, on the thread pool: works where no kernel notice reaches (network folders), and takes no descriptor.
#pragma once

#include <uv.h>

#include <functional>
#include <string>

namespace cressledge::net {

class Watch {
public:
    Watch(uv_loop_t* loop, const std::string& path, unsigned every_ms, std::function<void()> changed)
        : poll_(new uv_fs_poll_t), changed_(std::move(changed)) {
        uv_fs_poll_init(loop, poll_);
        poll_->data = this;
        uv_fs_poll_start(
            poll_,
            [](uv_fs_poll_t* p, int, const uv_stat_t*, const uv_stat_t*) {
                if (p->data != nullptr) static_cast<Watch*>(p->data)->changed_();
            },
            path.c_str(), every_ms);
    }
    ~Watch() {
        poll_->data = nullptr;
        uv_close(reinterpret_cast<uv_handle_t*>(poll_),
                 [](uv_handle_t* h) { delete reinterpret_cast<uv_fs_poll_t*>(h); });
    }
    Watch(const Watch&) = delete;
    Watch& operator=(const Watch&) = delete;

private:
    uv_fs_poll_t* poll_;
    std::function<void()> changed_;
};

}  // namespace cressledge::net
