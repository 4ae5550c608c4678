/// Reads the bodies of requests to a supervisor's admin address. Knows the words of the wire, and nothing of processes.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "supervisor/process_spec.hpp"

namespace cressledge::supervisor {

/// A request that is not granted: the HTTP status of the answer and why.
class RequestError : public std::runtime_error {
public:
    /// `status`: the status line without the version, of static lifetime.
    RequestError(const char* status, const std::string& reason)
        : std::runtime_error(reason), status_(status) {}

    /// The HTTP status of the answer; what() is the reason.
    const char* status() const { return status_; }

private:
    const char* status_;
};

constexpr const char* status_ok = "200 OK";
constexpr const char* status_accepted = "202 Accepted";
constexpr const char* status_bad_request = "400 Bad Request";
constexpr const char* status_not_found = "404 Not Found";
constexpr const char* status_method_not_allowed = "405 Method Not Allowed";
constexpr const char* status_conflict = "409 Conflict";

/// The body of one POST, a JSON object that names the rollout it comes from.
class SupervisorRequest {
public:
    /// Throws `RequestError` where the body names no rollout.
    explicit SupervisorRequest(const std::string& body);

    /// The rollout that the request comes from; never empty.
    const std::string& rollout_name() const { return rollout_name_; }

    /// Whether the rollout takes the lease (`true`) or releases it. Throws `RequestError`.
    bool takes_lease() const;

    /// The requested program and settings; the overlay is empty or a YAML mapping. Throws `RequestError`.
    ProcessSpec spec() const;

private:
    const nlohmann::json json_;
    std::string rollout_name_;
};

}  // namespace cressledge::supervisor
