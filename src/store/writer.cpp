#include "store/writer.hpp"

#include <utility>

namespace cressledge::store {

Writer::Writer(uv_loop_t* loop, Store& store, std::function<void(int)> told)
    : loop_(loop), store_(store), told_(std::move(told)) {
    work_.data = this;
}

// Guards the thread that is still at work against a store that is no more.
Writer::~Writer() { finish(); }

void Writer::commit(Changes changes) {
    changes.merge(waiting_);  // keeps what is newer
    waiting_ = std::move(changes);
    next();
}

void Writer::next() {
    if (busy_ || waiting_.empty()) return;
    writing_ = std::exchange(waiting_, {});
    busy_ = true;
    const int bad = uv_queue_work(
        loop_, &work_,
        [](uv_work_t* w) {
            auto* self = static_cast<Writer*>(w->data);
            self->bad_ = self->store_.commit(self->writing_);
        },
        [](uv_work_t* w, int) { static_cast<Writer*>(w->data)->done(); });
    if (bad != 0) busy_ = false;
}

void Writer::done() {
    busy_ = false;
    ++commits_;
    failures_ += bad_ != 0 ? 1 : 0;
    told_(bad_);
    next();
}

void Writer::finish() {
    while (busy_) uv_run(loop_, UV_RUN_ONCE);
}

}  // namespace cressledge::store
