#include "store/background_writer.hpp"

#include <utility>

namespace cressledge::store {

BackgroundWriter::BackgroundWriter(uv_loop_t* loop, Store& store, std::function<void(int)> on_commit)
    : loop_(loop), store_(store), on_commit_(std::move(on_commit)) {
    work_.data = this;
}

// Guards the thread that is still at work against a store that is no more.
BackgroundWriter::~BackgroundWriter() {
    flush();
}

void BackgroundWriter::commit(Changes changes) {
    changes.merge(pending_);  // keeps what is newer
    pending_ = std::move(changes);
    start_next_commit();
}

void BackgroundWriter::start_next_commit() {
    if (is_busy_ || pending_.empty())
        return;
    in_progress_ = std::exchange(pending_, {});
    is_busy_ = true;
    const int bad = uv_queue_work(
        loop_, &work_,
        [](uv_work_t* w) {
            auto* self = static_cast<BackgroundWriter*>(w->data);
            self->commit_error_ = self->store_.commit(self->in_progress_);
        },
        [](uv_work_t* w, int) { static_cast<BackgroundWriter*>(w->data)->on_commit_finished(); });
    if (bad != 0)
        is_busy_ = false;
}

void BackgroundWriter::on_commit_finished() {
    is_busy_ = false;
    ++commits_;
    failures_ += commit_error_ != 0 ? 1 : 0;
    on_commit_(commit_error_);
    start_next_commit();
}

void BackgroundWriter::flush() {
    while (is_busy_)
        uv_run(loop_, UV_RUN_ONCE);
}

}  // namespace cressledge::store
