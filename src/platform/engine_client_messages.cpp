// What the engine's messages do to the client; commands and the link itself are in engine_client.cpp.

#include <algorithm>
#include <cmath>
#include <variant>

#include "base/log.hpp"
#include "platform/engine_client.hpp"

namespace cressledge::platform {
namespace {

/// Longer uptimes of the engine count as this one.
constexpr double max_uptime_ms = 1e9;
constexpr double microseconds_per_millisecond = 1000.0;

}  // namespace

void EngineClient::on_bytes(std::string_view bytes) {
    line_reader_.append(bytes);
    Line line;
    while (stream() != nullptr) {
        const LineReader::Status status = line_reader_.read_line(line);
        if (status == LineReader::Status::incomplete)
            return;
        if (status == LineReader::Status::malformed)
            return drop_link("protocol error detail=\"malformed message\"");
        if (line.tokens.empty())
            continue;
        std::visit([this](const auto& message) { handle(message); },
                   engine_protocol::parse_message(line, gauge_names_));
    }
}

void EngineClient::handle(const engine_protocol::MalformedNotice&) {
    drop_link("protocol error detail=\"notice without a number\"");
}

void EngineClient::handle(const engine_protocol::Notice& notice) {
    // A new link repeats notices that the last one had brought.
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
    active_runs_.at(request_id).suspend_requested = false;
    request_manager_.run_finished(request_id, ended.result, ended.body);
}

void EngineClient::handle_notice_content(std::uint64_t number, const engine_protocol::CallNeeded& call) {
    const request::RequestId request_id = confirm_last_command(call.run_name);
    if (request_id != 0)
        request_manager_.dependency_call_requested(request_id, number, std::string(call.body));
}

// Returns the request whose run this is; 0 where there is none.
request::RequestId EngineClient::confirm_last_command(std::string_view run_name) {
    const auto found = request_ids_by_name_.find(std::string(run_name));
    if (found == request_ids_by_name_.end())
        return 0;
    ActiveRun& run = active_runs_.at(found->second);
    run.unconfirmed_command.clear();
    run.awaiting_confirmation = false;
    return found->second;
}

void EngineClient::handle(const engine_protocol::GaugesReply& reply) {
    if (!synchronized_ && reply.tag == synchronization_tag())
        return on_synchronized();
    std::uint64_t query_id = 0;
    if (engine_protocol::parse_number(reply.tag, query_id))
        request_manager_.gauges_received(query_id, reply.gauges);
}

void EngineClient::handle(const engine_protocol::HealthCheckReply& reply) {
    request_manager_.health_check_finished(reply.query_id, reply.healthy);
}

void EngineClient::handle(const engine_protocol::Hello& hello) {
    // The answer comes after all notices that were missed.
    write(engine_protocol::encode_gauges_query(synchronization_tag()));
    if (request_manager_.started())
        return;
    base::log_info("engine: up state={} uptime_ms={}", hello.state, hello.uptime_ms);
    // A cold engine has warmed up since its start. The age of one that started with its data loaded says nothing.
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
    // A run that never began still owes its caller a response.
    const auto found = request_ids_by_name_.find(std::string(rejection.run_name));
    if (found != request_ids_by_name_.end())
        request_manager_.run_finished(found->second, request::RunResult::noop, {});
}

}  // namespace cressledge::platform
