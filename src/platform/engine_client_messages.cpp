// Handlers of the engine's messages. Commands and the connection are handled in engine_client.cpp.

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>
#include <variant>

#include "base/log.hpp"
#include "platform/engine_client.hpp"

namespace cressledge::platform {
namespace {

/// A longer reported uptime of the engine is clamped to this value.
constexpr double max_uptime_ms = 1e9;
constexpr double microseconds_per_millisecond = 1000.0;

}  // namespace

void EngineClient::on_bytes(std::string_view bytes) {
    frame_reader_.append(bytes);
    Frame frame;
    while (stream() != nullptr) {
        const FrameReader::Status status = frame_reader_.read_frame(frame);
        if (status == FrameReader::Status::incomplete)
            break;
        if (status == FrameReader::Status::malformed)
            return close_link("malformed message");
        if (frame.tokens.empty())
            continue;
        std::visit([this](const auto& message) { handle(message); },
                   engine_protocol::parse_message(frame, gauge_names_));
    }
    if (const auto barrier = std::exchange(ended_barrier_, std::nullopt))
        on_barrier_ended(*barrier);
}

void EngineClient::handle(const engine_protocol::MalformedNotice&) {
    close_link("notice without a valid number");
}

void EngineClient::handle(const engine_protocol::Notice& notice) {
    // A new link may repeat notices that the previous one delivered.
    if (notice.number <= last_notice_)
        return;
    last_notice_ = notice.number;
    std::visit([&](const auto& content) { handle_notice_content(notice.number, content); }, notice.content);
}

void EngineClient::handle_notice_content(std::uint64_t, const engine_protocol::OtherNotice&) {}

void EngineClient::handle_notice_content(std::uint64_t, const engine_protocol::RunEnded& ended) {
    const request::RequestId request_id = confirm_last_command(ended.run_name);
    if (request_id == 0)
        return;
    commands_.clear_suspension(request_id);
    request_manager_.run_finished(request_id, ended.result, ended.body);
}

void EngineClient::handle_notice_content(std::uint64_t number, const engine_protocol::CallNeeded& call) {
    const request::RequestId request_id = confirm_last_command(call.run_name);
    if (request_id != 0)
        request_manager_.dependency_call_requested(request_id, number, std::string(call.body));
}

// Returns the request of the run, or 0 if there is none.
request::RequestId EngineClient::confirm_last_command(std::string_view run_name) {
    const request::RequestId request_id = commands_.find_request(run_name);
    if (request_id != 0)
        commands_.confirm(request_id);
    return request_id;
}

void EngineClient::handle(const engine_protocol::GaugesReply& reply) {
    if (!synchronized_ && reply.tag == synchronization_tag())
        return on_synchronized();
    if (const auto barrier = barrier_.end(reply.tag, loop().unix_now())) {
        ended_barrier_ = barrier;
        return;
    }
    std::uint64_t query_id = 0;
    if (engine_protocol::parse_number(reply.tag, query_id))
        request_manager_.gauges_received(query_id, reply.gauges);
}

void EngineClient::handle(const engine_protocol::HealthCheckReply& reply) {
    request_manager_.health_check_finished(reply.query_id, reply.healthy);
}

void EngineClient::handle(const engine_protocol::Hello& hello) {
    // The engine replies after it has sent all missed notices.
    write(engine_protocol::encode_gauges_query(synchronization_tag()));
    if (request_manager_.started())
        return;
    base::log_info("engine: up state={} uptime_ms={}", hello.state, hello.uptime_ms);
    // An engine that started cold has been warming up since then. If it started with its data loaded, its uptime is
    // irrelevant.
    const base::Duration uptime(
        std::llround(std::min(hello.uptime_ms, max_uptime_ms) * microseconds_per_millisecond));
    const policy::Settings& settings = request_manager_.settings();
    const base::Duration warmed_up =
        settings.cold_start ? std::min(uptime, settings.warm_up_duration) : base::Duration(0);
    request_manager_.start(loop().unix_now() - warmed_up);
}

void EngineClient::handle(const engine_protocol::CommandRejected& rejection) {
    std::uint64_t suppressed = 0;
    if (log_limiter_.try_acquire(loop().unix_now(), suppressed))
        base::log_warning("engine: command rejected command={} request={} suppressed={}", rejection.command,
                          rejection.run_name, suppressed);
    if (!rejection.is_run)
        return;
    // The run never started, but its caller still needs a response.
    const request::RequestId request_id = commands_.find_request(rejection.run_name);
    if (request_id != 0)
        request_manager_.run_finished(request_id, request::RunResult::noop, {});
}

}  // namespace cressledge::platform
