// The engine's wire protocol: encodes commands and parses messages. Stateless.
//
// Messages about the progress of a run are notices, which the engine numbers without gaps. A new link states the number
// of the last notice that was read, and the engine repeats all later ones.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "platform/frame_reader.hpp"
#include "request/request_manager.hpp"

namespace cressledge::platform::engine_protocol {

/// Results have at most 4 KiB; the engine's protocol does not bound the bodies of dependency calls.
constexpr std::size_t max_body_bytes = 64U << 10U;

/// Whether a message with these tokens has a body of stated length; see FrameReader.
bool has_body(const std::vector<std::string_view>& tokens);

/// A run has ended.
struct RunEnded {
    std::string_view run_name;
    request::RunResult result = request::RunResult::failed;
    std::string_view body;
};

/// A run waits for a dependency call.
struct CallNeeded {
    std::string_view run_name;
    std::string_view body;
};

/// A notice whose content is ignored; only its number is used.
struct OtherNotice {};

/// A message about a run; the engine numbers notices without gaps.
struct Notice {
    std::uint64_t number = 0;
    std::variant<OtherNotice, RunEnded, CallNeeded> content;
};

/// A notice without a valid number: a later link could not continue after it.
struct MalformedNotice {};

/// The reply to encode_gauges_query(). `tag` is the tag of the query.
struct GaugesReply {
    std::string_view tag;
    policy::Gauges gauges;
};

/// The reply to encode_health_check().
struct HealthCheckReply {
    std::uint64_t query_id = 0;
    bool healthy = false;
};

/// The engine's first message on a link.
struct Hello {
    std::string_view state;
    /// Time since the engine's start in milliseconds; 0 if the reported value is invalid.
    double uptime_ms = 0.0;
};

/// The engine rejected a command.
struct CommandRejected {
    std::string_view command;
    std::string_view run_name;
    bool is_run = false;
};

/// A message of an unknown type, or one that lacks a field.
struct Ignored {};

/// Any message of the engine.
using Message =
    std::variant<Ignored, Notice, MalformedNotice, GaugesReply, HealthCheckReply, Hello, CommandRejected>;

/// Parses one message. `frame` must have at least one token; the message refers to the frame's data. `gauge_names`
/// lists the gauges in the order in which the engine reports them.
Message parse_message(const Frame& frame, const std::vector<std::string>& gauge_names);

/// Parses a decimal integer. Returns false if `text` is not one or does not fit.
bool parse_number(std::string_view text, std::uint64_t& value);

/// ATTACH: requests all notices after `last_notice`.
std::string encode_attach(std::uint64_t last_notice);
/// RUN: starts a run of the request class `class_name` with the request's body.
std::string encode_run(std::string_view run_name, std::string_view class_name, std::string_view body);
/// RESUME: resumes a suspended run.
std::string encode_resume(std::string_view run_name);
/// HALT: suspends a run.
std::string encode_suspend(std::string_view run_name);
/// FEED: delivers the reply to a run's dependency call.
std::string encode_call_reply(std::string_view run_name, std::string_view body);
/// SKIP: lets the run continue without the dependency call that `notice` requested.
std::string encode_skip_call(std::string_view run_name, std::uint64_t notice);
/// STAT: queries the engine's gauges; the reply carries `tag`.
std::string encode_gauges_query(std::string_view tag);
/// TEST: requests a health check; the reply carries `query_id`.
std::string encode_health_check(std::uint64_t query_id);

}  // namespace cressledge::platform::engine_protocol
