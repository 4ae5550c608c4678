#include "upstream/probe.hpp"

#include <utility>

namespace cressledge::upstream {
namespace {

using upstream_health::CallResult;

constexpr int first_server_error = 500;
/// Length of "HTTP/1.1 200"; the first digit of the status is at `status_offset`.
constexpr std::size_t status_line_bytes = 12;
constexpr std::size_t status_offset = 9;

}  // namespace

Probe::Probe(ProbeObserver& observer, base::TimerQueue& timers, upstream_health::HostId host_id,
             std::string address)
    : observer_(observer), timers_(timers), host_id_(host_id), address_(std::move(address)) {}

Probe::~Probe() {
    if (connection_.stream != nullptr)
        connection_.stream->close();
}

void Probe::start(HostConnection connection, base::Timestamp deadline) {
    connection_ = connection;
    timer_ = timers_.schedule(deadline, [this] { finish(CallResult::timeout); });
}

void Probe::send(std::string_view request) {
    connection_.stream->write(request);
}

void Probe::finish(CallResult result) {
    if (finished_)
        return;
    finished_ = true;
    if (connection_.stream != nullptr)
        std::exchange(connection_.stream, nullptr)->close();
    // A member function is running: the observer, which may destroy the probe, is notified on the next iteration of the
    // event loop.
    timer_ = timers_.schedule(base::Timestamp(0), [this, result] { notify_finished(result); });
}

void Probe::on_end(bool refused) {
    connection_.stream = nullptr;
    finish(refused ? CallResult::connection_refused : CallResult::error);
}

void HealthCheck::on_bytes(std::string_view bytes) {
    if (is_finished())
        return;
    received_.append(bytes);
    if (received_.size() < status_line_bytes)
        return;
    const bool server_error = received_[status_offset] == '5';
    finish(server_error ? CallResult::error : CallResult::ok);
}

void LoadProbe::start_on_idle_connection(HostConnection connection, base::Timestamp deadline) {
    connection_reused_ = true;
    start(connection, deadline);
    on_open();
}

void LoadProbe::on_bytes(std::string_view bytes) {
    if (is_finished())
        return;
    const ResponseDecoder::Status status = decoder_->decode(bytes);
    if (status == ResponseDecoder::Status::incomplete)
        return;
    has_response_ =
        status == ResponseDecoder::Status::complete && decoder_->response.status < first_server_error;
    if (has_response_)
        observer().on_load_probe_response(*this);
    finish(has_response_ ? CallResult::ok : CallResult::error);
}

}  // namespace cressledge::upstream
