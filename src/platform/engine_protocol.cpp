#include "platform/engine_protocol.hpp"

#include <charconv>
#include <cmath>

namespace cressledge::platform::engine_protocol {
namespace {

using Words = std::vector<std::string_view>;

template <class Number>
bool parse_as(std::string_view text, Number& value) {
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && error == std::errc() && stop == text.data() + text.size();
}

request::RunResult to_run_result(std::string_view word) {
    if (word == "PASS")
        return request::RunResult::succeeded;
    if (word == "KILLED")
        return request::RunResult::killed;
    if (word == "NOOP")
        return request::RunResult::noop;
    return request::RunResult::failed;
}

// DONE number run result ..., NEED number run ..., NOTE number ...
Message parse_notice(const Line& line) {
    const Words& words = line.words;
    Notice notice;
    if (words.size() < 2 || !parse_number(words[1], notice.number))
        return MalformedNotice{};
    if (words.size() < 4)
        return notice;
    if (words[0] == "DONE")
        notice.content = RunEnded{words[2], to_run_result(words[3]), line.body};
    if (words[0] == "NEED")
        notice.content = CallNeeded{words[2], line.body};
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
Message parse_gauges(const Words& words, const std::vector<std::string>& gauge_names) {
    constexpr std::size_t first_value = 2;
    GaugesReply reply;
    reply.tag = words[1];
    for (std::size_t i = 0; i < gauge_names.size() && i + first_value < words.size(); ++i) {
        double value = 0.0;
        if (parse_as(words[i + first_value], value) && std::isfinite(value))
            store_gauge(gauge_names[i], value, reply.gauges);
    }
    return reply;
}

// TESTED tag result
Message parse_health(const Words& words) {
    HealthCheckReply reply;
    if (!parse_number(words[1], reply.query_id))
        return Ignored{};
    reply.healthy = words[2] == "PASS";
    return reply;
}

// HELLO state milliseconds
Message parse_hello(const Words& words) {
    Hello hello;
    hello.state = words[1];
    double uptime_ms = 0.0;
    if (parse_as(words[2], uptime_ms) && uptime_ms >= 0.0)
        hello.uptime_ms = uptime_ms;
    return hello;
}

std::string to_line(std::string_view command, std::string_view argument) {
    std::string line(command);
    return line.append(" ").append(argument).append("\r\n");
}

}  // namespace

bool has_body(const Words& words) {
    return words[0] == "DONE" || words[0] == "NEED";
}

bool parse_number(std::string_view text, std::uint64_t& value) {
    return parse_as(text, value);
}

Message parse_message(const Line& line, const std::vector<std::string>& gauge_names) {
    const Words& words = line.words;
    const std::string_view type = words[0];
    if (type == "DONE" || type == "NEED" || type == "NOTE")
        return parse_notice(line);
    if (type == "STATS" && words.size() >= 2)
        return parse_gauges(words, gauge_names);
    if (type == "TESTED" && words.size() >= 3)
        return parse_health(words);
    if (type == "HELLO" && words.size() >= 3)
        return parse_hello(words);
    if (type == "NO" && words.size() >= 3)
        return CommandRejected{words[1], words[2], words[1] == "RUN"};
    return Ignored{};
}

std::string encode_attach(std::uint64_t last_notice) {
    return to_line("ATTACH", std::to_string(last_notice));
}

std::string encode_run(std::string_view run_name, std::string_view class_name, std::string_view body) {
    std::string line = "RUN ";
    line.append(run_name).append(" ").append(class_name).append(" ").append(std::to_string(body.size()));
    return line.append("\r\n").append(body).append("\r\n");
}

std::string encode_resume(std::string_view run_name) {
    return to_line("RESUME", run_name);
}

std::string encode_halt(std::string_view run_name) {
    return to_line("HALT", run_name);
}

std::string encode_call_reply(std::string_view run_name, std::string_view body) {
    std::string line = "FEED ";
    line.append(run_name).append(" ").append(std::to_string(body.size()));
    return line.append("\r\n").append(body).append("\r\n");
}

std::string encode_skip_call(std::string_view run_name, std::uint64_t notice) {
    std::string line = "SKIP ";
    return line.append(run_name).append(" ").append(std::to_string(notice)).append("\r\n");
}

std::string encode_gauges_query(std::string_view tag) {
    return to_line("STAT", tag);
}

std::string encode_health_check(std::uint64_t query_id) {
    return to_line("TEST", std::to_string(query_id));
}

}  // namespace cressledge::platform::engine_protocol
