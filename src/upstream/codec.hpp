// The codecs for upstream hosts, HTTP/1.1 and SCGI: they encode calls and decode responses. They do not depend on
// connections, hosts or retries.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/timer_queue.hpp"
#include "load_balancing/load_reports.hpp"
#include "request/request_manager.hpp"

namespace cressledge::upstream {

/// A response with a longer body is malformed.
constexpr std::size_t max_body_bytes = 64U << 10U;

/// A host's response to a call or probe.
struct Response {
    /// HTTP status code; 0 until the headers have been decoded.
    int status = 0;
    std::string body;
    /// Value of the Retry-After header (RFC 9110, section 10.2.3; whole seconds on the wire); 0: none.
    base::Duration retry_after{0};
    /// The load report of the host; empty if there is none or it is malformed.
    std::optional<load_balancing::LoadReport> load;
    /// Whether the response has a load report, well formed or not.
    bool has_load_report = false;
};

/// Decodes one response. A truncated response is malformed as a whole.
class ResponseDecoder {
public:
    enum class Status { incomplete, complete, malformed };

    virtual ~ResponseDecoder() = default;
    /// Decodes the next bytes of the response.
    virtual Status decode(std::string_view bytes) = 0;

    /// Ends the response after the host has closed the connection. Never returns `incomplete`.
    virtual Status finish() = 0;

    /// Whether the connection may carry another call. Valid once the response is complete.
    virtual bool can_reuse_connection() const { return false; }

    Response response;
};

/// Returns a decoder for one HTTP/1.1 response.
std::unique_ptr<ResponseDecoder> make_http_decoder();
/// Returns a decoder for one CGI response, as SCGI servers send it.
std::unique_ptr<ResponseDecoder> make_scgi_decoder();

/// Encodes a call over HTTP/1.1. Without `keep_alive` it has the header `Connection: close`.
std::string encode_http_request(const request::Work& work, std::string_view host, bool keep_alive);
/// Encodes a call over SCGI: the headers as a netstring, then the body.
std::string encode_scgi_request(const request::Work& work);

/// Encodes the request of health checks and load probes, `GET /healthz`. The response may have a load report.
std::string encode_health_request(std::string_view host, bool keep_alive);

/// Whether `text` equals `lower_case`, which must be in lower case, apart from the case of ASCII letters.
bool equals_ignoring_case(std::string_view text, std::string_view lower_case);

}  // namespace cressledge::upstream
