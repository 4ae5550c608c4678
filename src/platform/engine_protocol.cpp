#include "platform/engine_protocol.hpp"

#include <charconv>
#include <cmath>

namespace cressledge::platform::engine_protocol {
namespace {

using Tokens = std::vector<std::string_view>;

template <class Number>
bool parse_entire(std::string_view text, Number& value) {
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && stop == text.data() + text.size();
}

request::RunResult to_run_result(std::string_view token) {
    if (token == "PASS")
        return request::RunResult::succeeded;
    if (token == "KILLED")
        return request::RunResult::killed;
    if (token == "NOOP")
        return request::RunResult::noop;
    return request::RunResult::failed;
}

// DONE number run result ..., NEED number run ..., NOTE number ...
Message parse_notice(const Frame& frame) {
    const Tokens& tokens = frame.tokens;
    Notice notice;
    if (tokens.size() < 2 || !parse_number(tokens[1], notice.number))
        return MalformedNotice{};
    if (tokens.size() < 4)
        return notice;
    if (tokens[0] == "DONE")
        notice.content = RunEnded{tokens[2], to_run_result(tokens[3]), frame.body};
    if (tokens[0] == "NEED")
        notice.content = CallNeeded{tokens[2], frame.body};
    return notice;
}

void store_gauge(const std::string& name, double value, policy::Gauges& gauges) {
    if (name == "cpu_busy")
        gauges.cpu_utilization = value;
    if (name == "runnable")
        gauges.runnable = value;
    if (name == "mem_used")
        gauges.memory_used = value;
    if (name == "sockets")
        gauges.connections = value;
}

// STATS tag value ...
Message parse_gauges(const Tokens& tokens, const std::vector<std::string>& gauge_names) {
    constexpr std::size_t first_value_token = 2;
    GaugesReply reply;
    reply.tag = tokens[1];
    for (std::size_t i = 0; i < gauge_names.size() && i + first_value_token < tokens.size(); ++i) {
        double value = 0.0;
        if (parse_entire(tokens[i + first_value_token], value) && std::isfinite(value))
            store_gauge(gauge_names[i], value, reply.gauges);
    }
    return reply;
}

// TESTED query_id result
Message parse_health(const Tokens& tokens) {
    HealthCheckReply reply;
    if (!parse_number(tokens[1], reply.query_id))
        return Ignored{};
    reply.healthy = tokens[2] == "PASS";
    return reply;
}

// HELLO state uptime_ms
Message parse_hello(const Tokens& tokens) {
    Hello hello;
    hello.state = tokens[1];
    double uptime_ms = 0.0;
    if (parse_entire(tokens[2], uptime_ms) && uptime_ms >= 0.0)
        hello.uptime_ms = uptime_ms;
    return hello;
}

std::string to_line(std::string_view command, std::string_view argument) {
    std::string line(command);
    return line.append(" ").append(argument).append("\r\n");
}

}  // namespace

bool has_body(const Tokens& tokens) {
    return tokens[0] == "DONE" || tokens[0] == "NEED";
}

bool parse_number(std::string_view text, std::uint64_t& value) {
    return parse_entire(text, value);
}

Message parse_message(const Frame& frame, const std::vector<std::string>& gauge_names) {
    const Tokens& tokens = frame.tokens;
    const std::string_view type = tokens[0];
    if (type == "DONE" || type == "NEED" || type == "NOTE")
        return parse_notice(frame);
    if (type == "STATS" && tokens.size() >= 2)
        return parse_gauges(tokens, gauge_names);
    if (type == "TESTED" && tokens.size() >= 3)
        return parse_health(tokens);
    if (type == "HELLO" && tokens.size() >= 3)
        return parse_hello(tokens);
    if (type == "NO" && tokens.size() >= 3)
        return CommandRejected{tokens[1], tokens[2], tokens[1] == "RUN"};
    return Ignored{};
}

std::string encode_attach(std::uint64_t last_notice) {
    return to_line("ATTACH", std::to_string(last_notice));
}

std::string encode_run(std::string_view run_name, std::string_view class_name, std::string_view body) {
    std::string command = "RUN ";
    command.append(run_name).append(" ").append(class_name).append(" ").append(std::to_string(body.size()));
    return command.append("\r\n").append(body).append("\r\n");
}

std::string encode_resume(std::string_view run_name) {
    return to_line("RESUME", run_name);
}

std::string encode_suspend(std::string_view run_name) {
    return to_line("HALT", run_name);
}

std::string encode_call_reply(std::string_view run_name, std::string_view body) {
    std::string command = "FEED ";
    command.append(run_name).append(" ").append(std::to_string(body.size()));
    return command.append("\r\n").append(body).append("\r\n");
}

std::string encode_skip_call(std::string_view run_name, std::uint64_t notice) {
    std::string command = "SKIP ";
    return command.append(run_name).append(" ").append(std::to_string(notice)).append("\r\n");
}

std::string encode_gauges_query(std::string_view tag) {
    return to_line("STAT", tag);
}

std::string encode_health_check(std::uint64_t query_id) {
    return to_line("TEST", std::to_string(query_id));
}

}  // namespace cressledge::platform::engine_protocol
