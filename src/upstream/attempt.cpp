#include "upstream/attempt.hpp"

#include <utility>

namespace cressledge::upstream {
namespace {

using upstream_health::CallResult;

bool is_success(int status) {
    return status >= 200 && status < 300;
}

}  // namespace

Attempt::Attempt(AttemptObserver& observer, base::TimerQueue& timers, ActiveRequest& request,
                 upstream_health::HostId host_id, base::Timestamp started_at)
    : observer_(observer), timers_(timers), request_(request), host_id_(host_id), started_at_(started_at) {}

Attempt::~Attempt() {
    close_connection();
    if (!finished_)
        observer_.on_attempt_abandoned(*this);
}

void Attempt::use_new_connection(HostConnection connection) {
    connection_ = connection;
}

void Attempt::use_idle_connection(HostConnection connection) {
    connection_ = connection;
    connection_reused_ = true;
    observer_.on_attempt_connected(*this);
}

void Attempt::send(std::string_view call, std::unique_ptr<ResponseDecoder> decoder) {
    decoder_ = std::move(decoder);
    // From here on, a failure no longer proves that the call did not run.
    progress_ = Progress::sent;
    if (!connection_.stream->write(call))
        observer_.on_attempt_result(*this, CallResult::error);
}

void Attempt::set_deadline(base::Timestamp deadline) {
    deadline_timer_ =
        timers_.schedule(deadline, [this] { observer_.on_attempt_result(*this, CallResult::timeout); });
}

bool Attempt::finish() {
    if (finished_)
        return false;
    finished_ = true;
    deadline_timer_.cancel();
    return true;
}

void Attempt::close_connection() {
    if (connection_.stream != nullptr)
        std::exchange(connection_.stream, nullptr)->close();
}

HostConnection Attempt::take_connection() {
    return std::exchange(connection_, {});
}

bool Attempt::was_stale(CallResult result) const {
    return connection_reused_ && progress_ != Progress::response_started && result == CallResult::error;
}

void Attempt::on_bytes(std::string_view bytes) {
    if (finished_ || !decoder_)
        return;
    progress_ = Progress::response_started;
    on_decoded(decoder_->decode(bytes));
}

bool Attempt::on_eof() {
    closed_by_host_ = true;
    return false;
}

void Attempt::on_end(bool refused) {
    connection_.stream = nullptr;
    if (finished_)
        return;
    if (refused && progress_ == Progress::not_sent)
        return observer_.on_attempt_result(*this, CallResult::connection_refused);
    // A response without a length is complete only if the host closed the connection; a reset may have truncated it.
    const bool may_be_complete = decoder_ && closed_by_host_;
    const ResponseDecoder::Status status =
        may_be_complete ? decoder_->finish() : ResponseDecoder::Status::malformed;
    on_decoded(status);
}

void Attempt::on_decoded(ResponseDecoder::Status status) {
    if (status == ResponseDecoder::Status::incomplete)
        return;
    const bool succeeded =
        status == ResponseDecoder::Status::complete && is_success(decoder_->response.status);
    observer_.on_attempt_result(*this, succeeded ? CallResult::ok : CallResult::error);
}

}  // namespace cressledge::upstream
