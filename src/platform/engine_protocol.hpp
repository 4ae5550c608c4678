// The engine's wire: commands as bytes, and messages out of lines. Nothing here keeps state.
//
// Messages that report what a run did are notices, which the engine numbers without gaps. A new link names the last
// notice that was read, and the engine repeats those after it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "platform/line_reader.hpp"
#include "request/request_manager.hpp"

namespace cressledge::platform::engine_protocol {

/// Results hold 4 KiB at most; the engine states no bound for the bodies of calls.
constexpr std::size_t max_body_bytes = 64U << 10U;

/// Whether a message has a counted body; see LineReader.
bool has_body(const std::vector<std::string_view>& tokens);

/// A run has ended.
struct RunEnded {
    std::string_view run_name;
    request::RunResult result = request::RunResult::failed;
    std::string_view body;
};

/// A run waits for a call of its dependency.
struct CallNeeded {
    std::string_view run_name;
    std::string_view body;
};

/// A notice of which only the number counts.
struct OtherNotice {};

/// A numbered message of the engine about a run; the engine numbers them without gaps.
struct Notice {
    std::uint64_t number = 0;
    std::variant<OtherNotice, RunEnded, CallNeeded> content;
};

/// A notice without a readable number: the link can no longer be taken up after it.
struct MalformedNotice {};

/// The answer to encode_gauges_query(). `tag` is the one of the query.
struct GaugesReply {
    std::string_view tag;
    policy::Gauges gauges;
};

/// The answer to encode_health_check().
struct HealthCheckReply {
    std::uint64_t query_id = 0;
    bool healthy = false;
};

/// The engine's first message on a link.
struct Hello {
    std::string_view state;
    /// Since the engine's start, in milliseconds; 0 where the engine says nothing that can be read.
    double uptime_ms = 0.0;
};

/// The engine did not carry a command out.
struct CommandRejected {
    std::string_view command;
    std::string_view run_name;
    bool is_run = false;
};

/// A message that this version does not know, or that lacks a field.
struct Ignored {};

/// Any one message of the engine, as `parse_message` reads it.
using Message =
    std::variant<Ignored, Notice, MalformedNotice, GaugesReply, HealthCheckReply, Hello, CommandRejected>;

/// Reads one message. Its views are those of `line`, which must have tokens. `gauge_names` gives the order in which the
/// engine states its gauges.
Message parse_message(const Line& line, const std::vector<std::string>& gauge_names);

/// Reads a whole decimal number; false where `text` is none.
bool parse_number(std::string_view text, std::uint64_t& value);

/// Asks for all notices after `last_notice`.
std::string encode_attach(std::uint64_t last_notice);
/// RUN: starts a run of the class with the request's body.
std::string encode_run(std::string_view run_name, std::string_view class_name, std::string_view body);
/// RESUME: lets a suspended run go on.
std::string encode_resume(std::string_view run_name);
/// HALT: suspends a run.
std::string encode_suspend(std::string_view run_name);
/// FEED: the reply of a run's dependency call.
std::string encode_call_reply(std::string_view run_name, std::string_view body);
/// SKIP: the run goes on without the dependency call of notice `notice`.
std::string encode_skip_call(std::string_view run_name, std::uint64_t notice);
/// STAT: asks for the engine's gauges; the reply carries `tag`.
std::string encode_gauges_query(std::string_view tag);
/// TEST: asks for a health check; the reply carries `query_id`.
std::string encode_health_check(std::uint64_t query_id);

}  // namespace cressledge::platform::engine_protocol
