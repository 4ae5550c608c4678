#include "store/background_writer.hpp"

#include <utility>

namespace cressledge::store {

BackgroundWriter::BackgroundWriter(uv_loop_t* loop, Store& store, CommitHandler on_commit)
    : loop_(loop), store_(store), on_commit_(std::move(on_commit)) {
    work_.data = this;
}

BackgroundWriter::~BackgroundWriter() {
    flush();
}

void BackgroundWriter::commit(Changes changes) {
    // merge() doesn't overwrite: a key in both maps keeps its newer value.
    changes.merge(pending_);
    pending_ = std::move(changes);
    start_next_commit();
}

void BackgroundWriter::start_next_commit() {
    if (is_busy_ || pending_.empty())
        return;
    in_progress_ = std::exchange(pending_, {});
    is_busy_ = true;
    const auto run_commit = [](uv_work_t* work) {
        auto* self = static_cast<BackgroundWriter*>(work->data);
        self->commit_error_ = self->store_.commit(self->in_progress_);
    };
    const auto finish_commit = [](uv_work_t* work, int) {
        static_cast<BackgroundWriter*>(work->data)->on_commit_finished();
    };
    if (uv_queue_work(loop_, &work_, run_commit, finish_commit) != 0)
        is_busy_ = false;
}

void BackgroundWriter::on_commit_finished() {
    is_busy_ = false;
    ++commits_;
    if (commit_error_ != no_error)
        ++failures_;
    on_commit_(commit_error_);
    start_next_commit();
}

void BackgroundWriter::flush() {
    while (is_busy_)
        uv_run(loop_, UV_RUN_ONCE);
}

}  // namespace cressledge::store
