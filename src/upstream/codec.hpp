// The two wires towards upstream hosts, HTTP/1.1 and SCGI: a call as bytes, and a response out of them. Nothing here
// knows connections, hosts or retries.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/timer_queue.hpp"
#include "load_balancing/load_reports.hpp"
#include "request/request_manager.hpp"

namespace cressledge::upstream {

/// Longer response bodies are malformed.
constexpr std::size_t max_body_bytes = 64U << 10U;

/// A host's response to a call or probe.
struct Response {
    /// 0 until the headers have been read.
    int status = 0;
    std::string body;
    /// How long the host asks not to be called (RFC 9110, section 10.2.3, in seconds); 0: it does not ask.
    base::Duration retry_after{0};
    /// The host's load report; nothing where it has none, or a malformed one.
    std::optional<load_balancing::LoadReport> load;
    /// Whether there was a load report, well formed or not.
    bool has_load_report = false;
};

/// Decodes one response, which is complete or counts for nothing.
class ResponseDecoder {
public:
    enum class Status { incomplete, complete, malformed };

    virtual ~ResponseDecoder() = default;
    /// Takes the next bytes of the response.
    virtual Status decode(std::string_view bytes) = 0;

    /// The host has sent its last byte. Never returns `incomplete`.
    virtual Status finish() = 0;

    /// Of a complete response: whether the connection may carry another call.
    virtual bool can_reuse_connection() const { return false; }

    Response response;
};

/// A decoder for one HTTP/1.1 response, and one for a CGI response as SCGI servers send it.
std::unique_ptr<ResponseDecoder> make_http_decoder();
std::unique_ptr<ResponseDecoder> make_scgi_decoder();

/// `keep_alive`: the host is not asked to close the connection after its response.
std::string encode_http_request(const request::Work& work, std::string_view host, bool keep_alive);
/// One SCGI request: its headers as a netstring, and the body.
std::string encode_scgi_request(const request::Work& work);

/// A request for the host's health, which may come with a load report.
std::string encode_health_request(std::string_view host, bool keep_alive);

/// Whether `text` is `lower_case` but for the case of its ASCII letters.
bool equals_ignoring_case(std::string_view text, std::string_view lower_case);

}  // namespace cressledge::upstream
